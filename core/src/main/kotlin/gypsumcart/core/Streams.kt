package gypsumcart.core

/**
 * Describes that a request asks for the rest of a stream of which its client has a part.
 *
 * @property beganAs the request whose response brought the first event, or null if the client does not name it
 * @property lastEventId the id of the last event that the client has
 */
public data class StreamTakeUp(public val beganAs: RequestId?, public val lastEventId: String)

/** Determines which versions of a service's software may write the next events of a request's response. */
public sealed class StreamOrigin {
    /** The client has no events, so that any version may begin the stream. */
    public data object Unwritten : StreamOrigin()

    /** The client has events of [version], or of a back end whose version is not stated if it is null. */
    public data class WrittenBy(public val version: BackEndVersion?) : StreamOrigin()

    /** Returns whether a back end of [version] may write the next events. */
    public fun accepts(version: BackEndVersion?): Boolean =
        when (this) {
            Unwritten -> true
            is WrittenBy -> this.version == version
        }
}
