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

private val SUCCESS = 200..299
