package gypsumcart.core

import kotlin.time.Duration

/**
 * Describes one incarnation of a back end, as listed in the registry of back ends.
 *
 * @property incarnation distinguishes the starts of back ends that have the same id
 * @property slots the number of requests that it processes at once
 * @property draining whether it is about to stop and accepts no new requests
 * @property spot whether it is a spot instance, which the cloud may reclaim
 * @property terminatesIn the time from the registry entry until it terminates, or null if the entry does not state it
 * @property version the version of its software, or null if the entry does not state it
 * @property warmsUpIn the time from the registry entry until it works at full speed
 */
public data class BackEnd(
    public val id: BackEndId,
    public val incarnation: Incarnation,
    public val service: ServiceName,
    public val address: Address,
    public val zone: ZoneName,
    public val slots: Int,
    public val draining: Boolean,
    public val spot: Boolean,
    public val terminatesIn: Duration?,
    public val version: BackEndVersion? = null,
    public val warmsUpIn: Duration = Duration.ZERO,
)
