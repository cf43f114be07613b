package gypsumcart.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import kotlinx.io.IOException
import kotlin.coroutines.cancellation.CancellationException

/** Cancels the handling of a request whose client is no longer connected. */
public class ClientDisconnectedException : CancellationException("the client closed its connection")

/**
 * Writes the response to one request.
 *
 * The functions throw [ClientDisconnectedException] if the connection is broken. [send] and [startChunked] throw
 * [IllegalStateException] if a response has been started, as a client would take a second head for a part of the body.
 *
 * @property reservation holds the memory that the request takes, until its response has ended
 * @property closesConnection returns whether the connection closes after this response; called when the head is
 *   written
 */
public class ResponseWriter internal constructor(
    private val output: ByteWriteChannel,
    private val method: String,
    public val reservation: Reservation,
    private val closesConnection: () -> Boolean,
) {
    /** Whether bytes of the response may have been written. */
    public var isStarted: Boolean = false
        private set

    /** Whether the whole response was written. */
    public var isEnded: Boolean = false
        private set

    /** Whether the connection can carry another request after this response. */
    internal var isConnectionReusable = true
        private set

    /** What the connection carries after this response, or null if it carries further requests. */
    internal var tunnel: Tunnel? = null
        private set

    /** Responds to a `CONNECT` request with status 200, and has the connection carry [tunnel] from then on. */
    public suspend fun openTunnel(tunnel: Tunnel) {
        checkNotStarted()
        this.tunnel = tunnel
        isConnectionReusable = false
        write { output.writeByteArray(TUNNEL_HEAD) }
        isEnded = true
    }

    /** Writes a whole response, without the body if the request's method is HEAD. */
    public suspend fun send(head: ResponseHead, body: ByteArray): Unit = send(head, BodyPieces(listOf(body)))

    /** Writes a whole response, without the body if the request's method is HEAD. */
    public suspend fun send(head: ResponseHead, body: BodyPieces) {
        checkNotStarted()
        val length = HeaderField("Content-Length", body.sizeBytes.toString())
        write {
            output.writeHead(head, listOf(length))
            if (method != "HEAD") body.pieces.forEach { output.writeInPieces(it) }
        }
        isEnded = true
    }

    /** Writes the head of a response whose body follows in chunks. */
    public suspend fun startChunked(head: ResponseHead) {
        checkNotStarted()
        write { output.writeHead(head, listOf(HeaderField("Transfer-Encoding", "chunked"))) }
    }

    /** Writes the first [length] bytes of [bytes] as the next chunk of the body; does nothing if [length] is 0. */
    public suspend fun writeChunk(bytes: ByteArray, length: Int = bytes.size) {
        if (length == 0) return
        write {
            output.writeByteArray("${length.toString(HEX_RADIX)}\r\n".encodeToByteArray())
            output.writeInPieces(bytes, length)
            output.writeByteArray(LINE_END)
        }
    }

    /** Writes the last chunk, which ends a chunked response. */
    public suspend fun endChunked() {
        write { output.writeByteArray(LAST_CHUNK) }
        isEnded = true
    }

    private fun checkNotStarted(): Unit = check(!isStarted) { "a response has already been started" }

    private suspend fun write(block: suspend () -> Unit) {
        try {
            isStarted = true
            block()
            output.flush()
        } catch (_: IOException) {
            throw ClientDisconnectedException()
        }
    }

    private suspend fun ByteWriteChannel.writeHead(head: ResponseHead, framing: List<HeaderField>) {
        val builder = RequestResponseBuilder()
        builder.responseLine("HTTP/1.1", head.status, HttpStatusCode.fromValue(head.status).description)
        (head.headers.withoutHopByHop().fields + framing).forEach { builder.headerLine(it.name, it.value) }
        if (closesConnection()) {
            isConnectionReusable = false
            builder.headerLine("Connection", "close")
        }
        builder.emptyLine()
        writePacket(builder.build())
    }

    private companion object {
        const val HEX_RADIX = 16
        val TUNNEL_HEAD = "HTTP/1.1 200 OK\r\n\r\n".encodeToByteArray()
        val LINE_END = "\r\n".encodeToByteArray()
        val LAST_CHUNK = "0\r\n\r\n".encodeToByteArray()
    }
}

/**
 * Writes the first [length] bytes of [bytes], and flushes before it holds more than one piece.
 *
 * The channel copies what it holds, so a slow receiver of a large body would double its memory.
 */
internal suspend fun ByteWriteChannel.writeInPieces(bytes: ByteArray, length: Int = bytes.size) {
    for (start in 0 until length step MAX_PIECE_BYTES) {
        val end = minOf(start + MAX_PIECE_BYTES, length)
        writeFully(bytes, start, end)
        if (length > MAX_PIECE_BYTES) flush()
    }
}

private const val MAX_PIECE_BYTES = 16_384
