package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.toResultOr
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout

/**
 * Reads a request with its whole body and reserves what it takes; a request with ambiguous framing is
 * [ReadFailure.Malformed].
 *
 * The body of a request that is [ReadFailure.NoMemory] is read without keeping it, so that its client can read the
 * response.
 */
internal suspend fun ByteReadChannel.readRequest(
    limits: MessageLimits,
    reservation: Reservation,
): Result<HttpRequest, ReadFailure> =
    readCatching {
        try {
            withTimeout(limits.headerTimeout) { readHead(limits, reservation) }
                .andThen { head -> readBody(head, limits, reservation) }
        } catch (_: TimeoutCancellationException) {
            Err(ReadFailure.TooSlow)
        }
    }

private class RequestHead(val method: String, val target: String, val headers: Headers, val framing: BodyFraming)

private sealed class BodyFraming {
    data class FixedLength(val bytes: Long) : BodyFraming()

    data object Chunked : BodyFraming()
}

private suspend fun ByteReadChannel.readHead(
    limits: MessageLimits,
    reservation: Reservation,
): Result<RequestHead, ReadFailure> {
    val limiter = HeadLimiter(this, limits.maxHeaderBytes, reservation, StartLine.Request)
    val request = parseRequest(limiter) ?: return Err(ReadFailure.Ended)
    try {
        return validateHead(request, limits)
    } finally {
        request.release()
        limiter.releaseParser()
    }
}

private fun validateHead(request: Request, limits: MessageLimits): Result<RequestHead, ReadFailure> {
    val headers = request.headers.toHeaders()
    val size = request.uri.length + headers.fields.sumOf { it.name.length + it.value.length + FIELD_OVERHEAD_BYTES }
    if (size > limits.maxHeaderBytes) return Err(ReadFailure.HeaderTooLarge)
    val method = request.method.value
    val uri = request.uri.toString()
    val isLineValid = method.isToken() && uri.isOriginForm() && HTTP_1.matches(request.version)
    if (!isLineValid || headers.getAll("Host").size != 1) return Err(ReadFailure.Malformed)
    val isHttp10 = request.version.toString() == "HTTP/1.0"
    return bodyFraming(headers, isHttp10).map { RequestHead(method, uri, headers, it) }
}

private val HTTP_1 = Regex("HTTP/1[.][0-9]")

private fun String.isOriginForm(): Boolean = startsWith('/') && none { it <= ' ' || it >= ASCII_DELETE }

/**
 * Returns how [headers] define the end of the body.
 *
 * Rejects headers that define it more than once, even with equal lengths: another parser could use a different
 * definition and take a part of the body for the next request (request smuggling).
 */
private fun bodyFraming(headers: Headers, isHttp10: Boolean): Result<BodyFraming, ReadFailure> {
    val lengths = headers.getAll("Content-Length")
    val codings = headers.getAll("Transfer-Encoding")
    if (codings.isNotEmpty()) {
        val isChunked = codings.singleOrNull()?.isChunkedCoding() ?: false
        return if (isChunked && lengths.isEmpty() && !isHttp10) Ok(BodyFraming.Chunked) else Err(ReadFailure.Malformed)
    }
    if (lengths.isEmpty()) return Ok(BodyFraming.FixedLength(0))
    val length = lengths.singleOrNull()?.takeIf { it.isNotEmpty() && it.all(Char::isAsciiDigit) }?.toLongOrNull()
    return if (length == null) Err(ReadFailure.Malformed) else Ok(BodyFraming.FixedLength(length))
}

internal fun Char.isAsciiDigit(): Boolean = this in '0'..'9'

private suspend fun ByteReadChannel.readBody(
    head: RequestHead,
    limits: MessageLimits,
    reservation: Reservation,
): Result<HttpRequest, ReadFailure> {
    val source =
        when (val framing = head.framing) {
            is BodyFraming.FixedLength -> BodySource.FixedLength(this, framing.bytes)
            BodyFraming.Chunked -> BodySource.Chunked(this)
        }
    return withTimeout(limits.idleTimeout) {
        source
            .readWhole(limits.maxBodyBytes, reservation)
            .map { HttpRequest(head.method, head.target, head.headers, it) }
            .onFailure { if (it == ReadFailure.NoMemory) source.discard(limits.maxBodyBytes) }
    }
}

private suspend fun BodySource.readWhole(maxBytes: Int, reservation: Reservation): Result<ByteArray, ReadFailure> {
    val declared = declaredBytes ?: 0
    if (declared > maxBytes) return Err(ReadFailure.BodyTooLarge)
    // A body that would be given up halfway takes no memory from others.
    val whole =
        if (reservation.canGrow(declared.toInt())) {
            readPieces(maxBytes, reservation).andThen {
                it.joinOrNull(reservation).toResultOr { ReadFailure.NoMemory }
            }
        } else {
            Err(ReadFailure.NoMemory)
        }
    return whole.onFailure { reservation.close() }
}

/** The colon, the space and the line break (CRLF) of a header field. */
private const val FIELD_OVERHEAD_BYTES = 4

private const val ASCII_DELETE = '\u007f'

/** The size of a read buffer; most messages fit in one. */
internal const val BUFFER_BYTES = 8_192
