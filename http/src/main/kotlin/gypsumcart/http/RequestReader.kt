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

/** Reads a request with its whole body, or says why there is none; the framing must leave no doubt. */
internal suspend fun ByteReadChannel.readRequest(limits: MessageLimits): Result<HttpRequest, ReadFailure> =
    readOrFailure {
        try {
            withTimeout(limits.headerTimeout) { readHead(limits) }.andThen { head -> readBody(head, limits) }
        } catch (_: TimeoutCancellationException) {
            Err(ReadFailure.TooSlow)
        }
    }

private class Head(val method: String, val target: String, val headers: Headers, val framing: Framing)

private sealed class Framing {
    data class Length(val bytes: Long) : Framing()

    data object Chunked : Framing()
}

private suspend fun ByteReadChannel.readHead(limits: MessageLimits): Result<Head, ReadFailure> {
    val request = parseRequest(this) ?: return Err(ReadFailure.Ended)
    try {
        return checkHead(request, limits)
    } finally {
        request.release()
    }
}

private fun checkHead(request: Request, limits: MessageLimits): Result<Head, ReadFailure> {
    val headers = request.headers.toHeaders()
    val size = request.uri.length + headers.fields.sumOf { it.name.length + it.value.length + FIELD_OVERHEAD }
    if (size > limits.maxHeaderBytes) return Err(ReadFailure.HeaderTooLarge)
    val uri = request.uri.toString()
    val isHttp1 = request.version.startsWith("HTTP/1.")
    if (!isHttp1 || headers.all("Host").size != 1 || !uri.isOriginForm()) return Err(ReadFailure.Malformed)
    val isOld = request.version.toString() == "HTTP/1.0"
    return framingOf(headers, isOld).map { Head(request.method.value, uri, headers, it) }
}

private fun String.isOriginForm(): Boolean = startsWith('/') && none { it <= ' ' || it >= DELETE }

/** Returns how the end of the body is told; a message that tells it twice could be read in two ways. */
private fun framingOf(headers: Headers, isOld: Boolean): Result<Framing, ReadFailure> {
    val lengths = headers.all("Content-Length")
    val codings = headers.all("Transfer-Encoding")
    if (codings.isNotEmpty()) {
        val plain = codings.singleOrNull()?.trim()?.equals("chunked", ignoreCase = true) ?: false
        return if (plain && lengths.isEmpty() && !isOld) Ok(Framing.Chunked) else Err(ReadFailure.Malformed)
    }
    if (lengths.isEmpty()) return Ok(Framing.Length(0))
    val length = lengths.singleOrNull()?.takeIf { it.isNotEmpty() && it.all(Char::isAsciiDigit) }?.toLongOrNull()
    return if (length == null) Err(ReadFailure.Malformed) else Ok(Framing.Length(length))
}

private fun Char.isAsciiDigit(): Boolean = this in '0'..'9'

private suspend fun ByteReadChannel.readBody(head: Head, limits: MessageLimits): Result<HttpRequest, ReadFailure> =
    when (val framing = head.framing) {
        is Framing.Length -> readLength(framing.bytes, limits)
        Framing.Chunked -> readChunked(limits)
    }.map { HttpRequest(head.method, head.target, head.headers, it) }

private suspend fun ByteReadChannel.readLength(bytes: Long, limits: MessageLimits): Result<ByteArray, ReadFailure> {
    if (bytes > limits.maxBodyBytes) return Err(ReadFailure.BodyTooLarge)
    if (bytes == 0L) return Ok(ByteArray(0))
    return Ok(withTimeout(limits.idleTimeout) { readByteArray(bytes.toInt()) })
}

private suspend fun ByteReadChannel.readChunked(limits: MessageLimits): Result<ByteArray, ReadFailure> =
    withTimeout(limits.idleTimeout) {
        val chunks = ChunkReader(this@readChunked)
        val whole = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (whole.size() <= limits.maxBodyBytes) {
            val n = chunks.read(buffer)
            if (n < 0) return@withTimeout Ok(whole.toByteArray())
            whole.write(buffer, 0, n)
        }
        Err(ReadFailure.BodyTooLarge)
    }

/** The colon, the space and the line end of a header field. */
private const val FIELD_OVERHEAD = 4

private const val DELETE = '\u007f'

/** The size of buffers between connections; most answers fit one. */
internal const val BUFFER_BYTES = 8_192
