package gypsumcart.http

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs one server and one client on loopback for a test. */
internal class Loopback(handler: RequestHandler) : AutoCloseable {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val selector = SelectorManager(Dispatchers.IO)
    val client = HttpClient(selector, 1.seconds)
    val port: Int = freePort()
    private val limits = MessageLimits(2_000, 10_000, 500.milliseconds, 2.seconds)
    val server = HttpServer("test", HOST, port, selector, scope, { limits }, handler)

    init {
        runBlocking { server.start() }
    }

    /** Sends raw bytes and returns all that comes back until the server closes, or half a second passes. */
    fun raw(vararg pieces: String, pauseMillis: Long = 0): String =
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
        selector.close()
    }

    companion object {
        const val HOST = "127.0.0.1"
    }
}

internal fun freePort(): Int = ServerSocket(0).use { it.localPort }

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
        read.append(OPEN)
    } catch (_: java.net.SocketException) {
        read.append(RESET)
    }
    return read.toString()
}

/** Stands behind what was read when the connection was still open, or was reset. */
internal const val OPEN = "<open>"
internal const val RESET = "<reset>"
