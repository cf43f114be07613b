package gypsumcart.http

import kotlin.time.Duration

/** Represents a received request with its whole body. */
public class HttpRequest(
    public val method: String,
    public val target: String,
    public val headers: Headers,
    public val body: ByteArray,
) {
    /** The path of the target, without the query. */
    public val path: String get() = target.substringBefore('?')
}

/** Represents the status line and the headers of a response. */
public class ResponseHead(public val status: Int, public val headers: Headers) {
    /** Whether the status code is in the range from 200 to 299. */
    public val isSuccess: Boolean get() = status in SUCCESS
}

/**
 * Limits the size of a request and the time that its client may take.
 *
 * @property headerTimeout limits the time for reading the whole request head
 * @property idleTimeout limits the wait for the next request on a connection, and the time for reading a whole body
 */
public data class MessageLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)

private val SUCCESS = 200..299
