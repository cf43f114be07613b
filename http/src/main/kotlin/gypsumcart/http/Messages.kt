package gypsumcart.http

import kotlin.time.Duration

/** Holds a request with its whole body. */
public class HttpRequest(
    public val method: String,
    public val target: String,
    public val headers: Headers,
    public val body: ByteArray,
) {
    /** The path of the target, without the query. */
    public val path: String get() = target.substringBefore('?')
}

/** Holds the status line and the headers of an answer. */
public class ResponseHead(public val status: Int, public val headers: Headers) {
    /** Whether the status is one of success. */
    public val isSuccess: Boolean get() = status in SUCCESS
}

/** Bounds what one message may hold, and how long its sender may take. */
public data class MessageLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)

/** Says why a message could not be read. */
public sealed class ReadFailure {
    /** The connection ended before the first byte of a message. */
    public data object Ended : ReadFailure()

    /** The connection ended within a message. */
    public data object Truncated : ReadFailure()

    /** The sender took longer than it may. */
    public data object TooSlow : ReadFailure()

    /** The header is longer than it may be. */
    public data object HeaderTooLarge : ReadFailure()

    /** The body is longer than it may be. */
    public data object BodyTooLarge : ReadFailure()

    /** The bytes are not a message, or their end can't be told for certain. */
    public data object Malformed : ReadFailure()
}

private val SUCCESS = 200..299
