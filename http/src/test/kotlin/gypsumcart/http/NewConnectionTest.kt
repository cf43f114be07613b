package gypsumcart.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

class NewConnectionTest {
    private val loop = SocketLoop("test")
    private val client = HttpClient(loop, 1.seconds)
    private val listener = ServerSocket(0, 50, InetAddress.getByName(LoopbackServer.HOST))
    private val open = AtomicInteger()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                open.incrementAndGet()
                thread(isDaemon = true) {
                    runCatching { socket.use { it.serve() } }
                    open.decrementAndGet()
                }
            }
        }
    }

    @AfterEach
    fun close() {
        listener.close()
        loop.close()
    }

    private fun Socket.serve() {
        val lines = getInputStream().bufferedReader()
        while (true) {
            do {
                val line = lines.readLine() ?: return
            } while (line.isNotEmpty())
            getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".toByteArray())
        }
    }

    // Guards against a server that resets connections because a client holds idle ones that it will not use again.
    @Test
    fun `requests on new connections leave no connection behind for each of them`() {
        val request = OutgoingRequest("GET", "/x", Headers.EMPTY, ByteArray(0), onNewConnection = true)
        runBlocking {
            repeat(REQUESTS) {
                client.exchange(Endpoint(LoopbackServer.HOST, listener.localPort), request) { (_, body) ->
                    body.readAtMost(100)
                }
            }
        }
        Thread.sleep(500)
        expectThat(open.get()).isLessThan(REQUESTS / 2)
    }

    private companion object {
        const val REQUESTS = 20
    }
}
