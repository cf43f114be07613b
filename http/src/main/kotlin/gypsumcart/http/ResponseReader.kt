package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.io.EOFException

/**
 * Reads the head of a response of at most about [maxBytes]; informational (1xx) responses are
 * [ReadFailure.Malformed].
 */
internal suspend fun ByteReadChannel.readResponseHead(
    reservation: Reservation,
    maxBytes: Int = MAX_RESPONSE_HEAD_BYTES,
): Result<ResponseHead, ReadFailure> =
    readCatching {
        val limiter = HeadLimiter(this, maxBytes, reservation, StartLine.Status)
        val response = parseResponse(limiter)
        if (response == null) {
            Err(ReadFailure.Ended)
        } else {
            val head = ResponseHead(response.status, response.headers.toHeaders())
            response.release()
            limiter.releaseParser()
            // The parser returns a head without any fields if the input ends between two lines.
            if (limiter.isHeadComplete) Ok(head) else Err(ReadFailure.Truncated)
        }
    }

/** Reads the body of a message up to the end that its framing defines. */
internal sealed class BodySource {
    /** The number of bytes of the body that were read. */
    var receivedBytes = 0L
        private set

    /**
     * Reads some bytes into [buffer] from [offset], at most [length], and returns their number, or -1 at the end of a
     * complete body.
     */
    suspend fun read(buffer: ByteArray, offset: Int, length: Int): Int =
        readSome(buffer, offset, length).also { if (it > 0) receivedBytes += it }

    protected abstract suspend fun readSome(buffer: ByteArray, offset: Int, length: Int): Int

    /** The size of the whole body, or null if its framing does not say it in advance. */
    open val declaredBytes: Long? get() = null

    /** Whether the whole body was read and the connection can carry another message after it. */
    abstract val isConnectionReusable: Boolean

    class FixedLength(private val input: ByteReadChannel, override val declaredBytes: Long) : BodySource() {
        private var remaining = declaredBytes

        override val isConnectionReusable: Boolean get() = remaining == 0L

        override suspend fun readSome(buffer: ByteArray, offset: Int, length: Int): Int {
            if (remaining == 0L) return -1
            val n = input.readAvailable(buffer, offset, minOf(remaining, length.toLong()).toInt())
            if (n < 0) throw EOFException("connection closed $remaining bytes before the end of the body")
            remaining -= n
            return n
        }
    }

    class Chunked(input: ByteReadChannel) : BodySource() {
        private val chunks = ChunkReader(input)

        override val isConnectionReusable: Boolean get() = chunks.isEnded

        override suspend fun readSome(buffer: ByteArray, offset: Int, length: Int): Int =
            chunks.read(buffer, offset, length)
    }

    /**
     * A body that ends when the server closes the connection; a reset is a failure and not the end of the body.
     *
     * The body has failed if it holds a status line: a server that repeats a response writes the copy behind it, and
     * nothing else shows where the body ended. It has also failed if the request could not be sent, as a server that
     * ends in the middle may close the connection in order and reset it only when it receives more.
     *
     * @property awaitRequestSent waits until the request was sent or failed to be, and returns whether it was sent
     */
    class UntilClose(
        private val input: ByteReadChannel,
        private val awaitRequestSent: suspend () -> Boolean,
    ) : BodySource() {
        private val statusLine = StatusLineSearch()

        override val isConnectionReusable: Boolean get() = false

        override suspend fun readSome(buffer: ByteArray, offset: Int, length: Int): Int {
            val n = input.readAvailable(buffer, offset, length)
            if (n < 0) checkEnd()
            val holdsResponse = if (n < 0) statusLine.isWithin else statusLine.isFoundIn(buffer, offset, n)
            if (holdsResponse) throw MalformedMessageException("the body holds another response")
            return n
        }

        private suspend fun checkEnd() {
            input.closedCause?.let { throw it }
            if (!awaitRequestSent()) throw EOFException("connection closed before the request was sent")
        }
    }
}

/**
 * Returns a source for the body after [head], or null if the framing is invalid or ambiguous.
 *
 * @param awaitRequestSent waits until the request was sent or failed to be, and returns whether it was sent
 */
internal fun ByteReadChannel.bodySourceOrNull(
    head: ResponseHead,
    method: String,
    awaitRequestSent: suspend () -> Boolean = { true },
): BodySource? {
    val codings = head.headers.getAll("Transfer-Encoding")
    val lengths =
        head.headers
            .getAll("Content-Length")
            .map { it.trimBlanks() }
            .distinct()
    return when {
        head.status == NO_CONTENT && (codings.isNotEmpty() || lengths.any { it != "0" }) -> null
        method == "HEAD" || head.status in STATUSES_WITHOUT_BODY -> BodySource.FixedLength(this, 0)
        codings.singleOrNull()?.isChunkedCoding() == true && lengths.isEmpty() -> BodySource.Chunked(this)
        codings.isNotEmpty() || lengths.size > 1 -> null
        lengths.isEmpty() ->
            if (head.headers.keepsConnection()) null else BodySource.UntilClose(this, awaitRequestSent)
        else ->
            lengths
                .single()
                .takeIf { it.all(Char::isAsciiDigit) }
                ?.toLongOrNull()
                ?.let { BodySource.FixedLength(this, it) }
    }
}

/** Four times what common HTTP servers accept in a head. */
private const val MAX_RESPONSE_HEAD_BYTES = 65_536

/** Whether these fields say that the connection persists, which contradicts a body that ends with it. */
private fun Headers.keepsConnection(): Boolean {
    val options = tokens("Connection")
    return "close" !in options && ("keep-alive" in options || this["Keep-Alive"] != null)
}

/** Returns this value without the blanks around it; other kinds of white space are part of a value. */
internal fun String.trimBlanks(): String = trim(' ', '\t')

/** Whether this value is the chunked transfer coding and no other; only ASCII letters have two cases. */
internal fun String.isChunkedCoding(): Boolean =
    trimBlanks().let { value -> value.all { it.code < ASCII_SIZE } && value.equals("chunked", ignoreCase = true) }

private const val ASCII_SIZE = 128

private const val NO_CONTENT = 204

/** Status codes whose responses have no body: No Content and Not Modified. */
private val STATUSES_WITHOUT_BODY = setOf(NO_CONTENT, 304)
