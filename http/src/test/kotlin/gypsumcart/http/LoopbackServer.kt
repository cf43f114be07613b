package gypsumcart.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs an [HttpServer] on the loopback interface for a test, and provides a client for it. */
internal class LoopbackServer(memory: MemoryBudget, handler: RequestHandler) : AutoCloseable {
    constructor(handler: RequestHandler) : this(MemoryBudget.ofHeap(), handler)

    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val loop = SocketLoop("test", memory)
    val client = HttpClient(loop, 1.seconds)
    val port: Int = freePort()
    private val limits = MessageLimits(2_000, 10_000, 500.milliseconds, 2.seconds)
    val server = HttpServer("test", HOST, port, loop, scope, { limits }, handler)

    init {
        runBlocking { server.start() }
    }

    /** Sends raw bytes and returns what the server sends back until it closes, or sends nothing for 700 ms. */
    fun sendRaw(vararg pieces: String, pauseMillis: Long = 0): String =
        Socket(HOST, port).use { socket ->
            socket.soTimeout = 700
            for (piece in pieces) {
                socket.getOutputStream().write(piece.toByteArray(Charsets.ISO_8859_1))
                socket.getOutputStream().flush()
                if (pauseMillis > 0) Thread.sleep(pauseMillis)
            }
            socket.readAll()
        }

    override fun close() {
        scope.cancel()
        loop.close()
    }

    companion object {
        const val HOST = "127.0.0.1"
    }
}

internal fun freePort(): Int = ServerSocket(0).use { it.localPort }

/** Reads until the connection closes; appends [TIMED_OUT] when a read times out and [RESET] on a connection reset. */
internal fun Socket.readAll(): String {
    val read = StringBuilder()
    val buffer = ByteArray(4_096)
    try {
        while (true) {
            val n = getInputStream().read(buffer)
            if (n < 0) break
            read.append(String(buffer, 0, n, Charsets.ISO_8859_1))
        }
    } catch (_: java.net.SocketTimeoutException) {
        read.append(TIMED_OUT)
    } catch (_: java.net.SocketException) {
        read.append(RESET)
    }
    return read.toString()
}

internal const val TIMED_OUT = "<open>"
internal const val RESET = "<reset>"
