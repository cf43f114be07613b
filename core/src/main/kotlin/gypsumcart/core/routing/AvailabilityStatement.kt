package gypsumcart.core.routing

/** Describes what a back end says in a response about whether it accepts further requests. */
public sealed class AvailabilityStatement {
    /** The back end is about to stop and accepts no new requests. */
    public data object Leaving : AvailabilityStatement()

    /** The back end says something about its departure that is unreadable. */
    public data object UnreadableDeparture : AvailabilityStatement()
}
