package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.io.EOFException

/** Reads the head of an answer, or says why there is none. */
internal suspend fun ByteReadChannel.readResponseHead(): Result<ResponseHead, ReadFailure> =
    readOrFailure {
        val response = parseResponse(this)
        if (response == null) {
            Err(ReadFailure.Ended)
        } else {
            val head = ResponseHead(response.status, response.headers.toHeaders())
            response.release()
            if (head.status < FIRST_FINAL_STATUS) Err(ReadFailure.Malformed) else Ok(head)
        }
    }

/** Gives the bytes of a body one after the other. */
internal sealed class BodySource {
    /** Reads some bytes into [buffer] and returns how many, or -1 at the end of a whole body. */
    abstract suspend fun read(buffer: ByteArray): Int

    /** Whether the connection can carry another message behind the body. */
    abstract val keepsConnection: Boolean

    class Length(private val input: ByteReadChannel, private var left: Long) : BodySource() {
        override val keepsConnection: Boolean get() = left == 0L

        override suspend fun read(buffer: ByteArray): Int {
            if (left == 0L) return -1
            val n = input.readAvailable(buffer, 0, minOf(left, buffer.size.toLong()).toInt())
            if (n < 0) throw EOFException("the connection ended $left bytes before the body")
            left -= n
            return n
        }
    }

    class Chunked(input: ByteReadChannel) : BodySource() {
        private val chunks = ChunkReader(input)

        override val keepsConnection: Boolean get() = chunks.isEnded

        override suspend fun read(buffer: ByteArray): Int = chunks.read(buffer)
    }

    /** A body that ends with its connection; only an orderly end is the end of the body. */
    class UntilClose(private val input: ByteReadChannel) : BodySource() {
        override val keepsConnection: Boolean get() = false

        override suspend fun read(buffer: ByteArray): Int {
            val n = input.readAvailable(buffer)
            if (n < 0) input.closedCause?.let { throw it }
            return n
        }
    }
}

/** Returns the body behind [head], or null when its end can't be told. */
internal fun ByteReadChannel.bodyOrNull(head: ResponseHead, method: String): BodySource? {
    val codings = head.headers.tokens("Transfer-Encoding")
    val lengths =
        head.headers
            .all("Content-Length")
            .map { it.trim() }
            .distinct()
    return when {
        method == "HEAD" || head.status in BODILESS -> BodySource.Length(this, 0)
        codings == listOf("chunked") && lengths.isEmpty() -> BodySource.Chunked(this)
        codings.isNotEmpty() || lengths.size > 1 -> null
        lengths.isEmpty() -> BodySource.UntilClose(this)
        else ->
            lengths
                .single()
                .toLongOrNull()
                ?.takeIf { it >= 0 }
                ?.let { BodySource.Length(this, it) }
    }
}

private const val FIRST_FINAL_STATUS = 200

/** Statuses whose answers have no body: No Content and Not Modified. */
private val BODILESS = setOf(204, 304)
