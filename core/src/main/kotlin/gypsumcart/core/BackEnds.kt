package gypsumcart.core

import kotlin.time.Duration

/**
 * Describes one start of a back end as the directory of back ends lists it.
 *
 * @property incarnation tells the starts of one id apart
 * @property slots how many requests it works on at once
 * @property leaving whether it is about to stop and takes no new requests
 * @property spot whether it may be reclaimed
 * @property leavesIn how long it stays from the moment of the entry, when it says so
 */
public data class BackEnd(
    public val id: BackEndId,
    public val incarnation: Incarnation,
    public val service: ServiceName,
    public val address: Address,
    public val zone: ZoneName,
    public val slots: Int,
    public val leaving: Boolean,
    public val spot: Boolean,
    public val leavesIn: Duration?,
)
