package gypsumcart.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import kotlinx.io.IOException
import kotlin.coroutines.cancellation.CancellationException

/** Ends the handling of a request whose client can't be reached any more. */
public class ClientGoneException : CancellationException("the client closed its connection")

/** Writes the answer to one request. */
public class Reply internal constructor(
    private val output: ByteWriteChannel,
    private val method: String,
    private val closing: () -> Boolean,
) {
    /** Whether some of the answer was written. */
    public var isStarted: Boolean = false
        private set

    /** Whether the whole answer was written. */
    public var isEnded: Boolean = false
        private set

    /** Whether the connection can carry another request. */
    internal var keepsConnection = true
        private set

    /** Writes a whole answer. */
    public suspend fun whole(head: ResponseHead, body: ByteArray) {
        val length = HeaderField("Content-Length", body.size.toString())
        write {
            output.writeHead(head, listOf(length))
            if (method != "HEAD") output.writeByteArray(body)
        }
        isEnded = true
    }

    /** Writes the head of an answer whose body follows in pieces. */
    public suspend fun start(head: ResponseHead) {
        write { output.writeHead(head, listOf(HeaderField("Transfer-Encoding", "chunked"))) }
    }

    /** Writes the first [length] of [bytes] as the next piece of the body. */
    public suspend fun piece(bytes: ByteArray, length: Int = bytes.size) {
        if (length == 0) return
        write {
            output.writeByteArray("${length.toString(HEXADECIMAL)}\r\n".encodeToByteArray())
            output.writeFully(bytes, 0, length)
            output.writeByteArray(LINE_END)
        }
    }

    /** Writes the end of an answer in pieces. */
    public suspend fun end() {
        write { output.writeByteArray(LAST_CHUNK) }
        isEnded = true
    }

    private suspend fun write(block: suspend () -> Unit) {
        try {
            isStarted = true
            block()
            output.flush()
        } catch (_: IOException) {
            throw ClientGoneException()
        }
    }

    private suspend fun ByteWriteChannel.writeHead(head: ResponseHead, framing: List<HeaderField>) {
        val builder = RequestResponseBuilder()
        builder.responseLine("HTTP/1.1", head.status, HttpStatusCode.fromValue(head.status).description)
        (head.headers.withoutHopByHop().fields + framing).forEach { builder.headerLine(it.name, it.value) }
        if (closing()) {
            keepsConnection = false
            builder.headerLine("Connection", "close")
        }
        builder.emptyLine()
        writePacket(builder.build())
    }

    private companion object {
        const val HEXADECIMAL = 16
        val LINE_END = "\r\n".encodeToByteArray()
        val LAST_CHUNK = "0\r\n\r\n".encodeToByteArray()
    }
}
