package gypsumcart.core.routing

import kotlin.time.Duration

/** Describes what a back end says in a response about whether it accepts further requests. */
public sealed class AvailabilityStatement {
    /** The back end is about to stop and accepts no new requests. */
    public data object Leaving : AvailabilityStatement()

    /** The back end says something about its departure that is unreadable. */
    public data object UnreadableDeparture : AvailabilityStatement()

    /** The back end accepts no requests from this node for [duration]. */
    public data class Pause(public val duration: Duration) : AvailabilityStatement()

    /** The back end asks for a pause of an unreadable length. */
    public data object UnreadablePause : AvailabilityStatement()
}
