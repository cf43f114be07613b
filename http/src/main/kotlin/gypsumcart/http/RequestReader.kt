package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import java.io.ByteArrayOutputStream

/** Reads a request with its whole body; a request with ambiguous framing is [ReadFailure.Malformed]. */
internal suspend fun ByteReadChannel.readRequest(limits: MessageLimits): Result<HttpRequest, ReadFailure> =
    readCatching {
        try {
            withTimeout(limits.headerTimeout) { readHead(limits) }.andThen { head -> readBody(head, limits) }
        } catch (_: TimeoutCancellationException) {
            Err(ReadFailure.TooSlow)
        }
    }

private class RequestHead(val method: String, val target: String, val headers: Headers, val framing: BodyFraming)

private sealed class BodyFraming {
    data class FixedLength(val bytes: Long) : BodyFraming()

    data object Chunked : BodyFraming()
}

private suspend fun ByteReadChannel.readHead(limits: MessageLimits): Result<RequestHead, ReadFailure> {
    val request = parseRequest(HeadLimiter(this, limits.maxHeaderBytes)) ?: return Err(ReadFailure.Ended)
    try {
        return validateHead(request, limits)
    } finally {
        request.release()
    }
}

private fun validateHead(request: Request, limits: MessageLimits): Result<RequestHead, ReadFailure> {
    val headers = request.headers.toHeaders()
    val size = request.uri.length + headers.fields.sumOf { it.name.length + it.value.length + FIELD_OVERHEAD_BYTES }
    if (size > limits.maxHeaderBytes) return Err(ReadFailure.HeaderTooLarge)
    val uri = request.uri.toString()
    val isHttp1 = request.version.startsWith("HTTP/1.")
    if (!isHttp1 || headers.getAll("Host").size != 1 || !uri.isOriginForm()) return Err(ReadFailure.Malformed)
    val isHttp10 = request.version.toString() == "HTTP/1.0"
    return bodyFraming(headers, isHttp10).map { RequestHead(request.method.value, uri, headers, it) }
}

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
        val isChunked = codings.singleOrNull()?.trim()?.equals("chunked", ignoreCase = true) ?: false
        return if (isChunked && lengths.isEmpty() && !isHttp10) Ok(BodyFraming.Chunked) else Err(ReadFailure.Malformed)
    }
    if (lengths.isEmpty()) return Ok(BodyFraming.FixedLength(0))
    val length = lengths.singleOrNull()?.takeIf { it.isNotEmpty() && it.all(Char::isAsciiDigit) }?.toLongOrNull()
    return if (length == null) Err(ReadFailure.Malformed) else Ok(BodyFraming.FixedLength(length))
}

private fun Char.isAsciiDigit(): Boolean = this in '0'..'9'

private suspend fun ByteReadChannel.readBody(
    head: RequestHead,
    limits: MessageLimits,
): Result<HttpRequest, ReadFailure> =
    when (val framing = head.framing) {
        is BodyFraming.FixedLength -> readFixedLengthBody(framing.bytes, limits)
        BodyFraming.Chunked -> readChunkedBody(limits)
    }.map { HttpRequest(head.method, head.target, head.headers, it) }

private suspend fun ByteReadChannel.readFixedLengthBody(
    bytes: Long,
    limits: MessageLimits,
): Result<ByteArray, ReadFailure> {
    if (bytes > limits.maxBodyBytes) return Err(ReadFailure.BodyTooLarge)
    if (bytes == 0L) return Ok(ByteArray(0))
    return Ok(withTimeout(limits.idleTimeout) { readByteArray(bytes.toInt()) })
}

private suspend fun ByteReadChannel.readChunkedBody(limits: MessageLimits): Result<ByteArray, ReadFailure> =
    withTimeout(limits.idleTimeout) {
        val chunks = ChunkReader(this@readChunkedBody)
        val body = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (body.size() <= limits.maxBodyBytes) {
            val n = chunks.read(buffer)
            if (n < 0) return@withTimeout Ok(body.toByteArray())
            body.write(buffer, 0, n)
        }
        Err(ReadFailure.BodyTooLarge)
    }

/** The colon, the space and the line break (CRLF) of a header field. */
private const val FIELD_OVERHEAD_BYTES = 4

private const val ASCII_DELETE = '\u007f'

/** The size of a read buffer; most messages fit in one. */
internal const val BUFFER_BYTES = 8_192
