package gypsumcart.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.ByteArrayOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class HttpClientTest {
    private val loop = SocketLoop("test")
    private val client = HttpClient(loop, 1.seconds)
    private val listener = ServerSocket(0, 50, InetAddress.getByName(LoopbackServer.HOST))
    private val accepted = AtomicInteger()

    @AfterEach
    fun close() {
        listener.close()
        loop.close()
    }

    /**
     * Responds to each request, over all connections, with the next of [responses]; null resets the connection.
     *
     * With [closes] each connection is closed after its first response.
     */
    private fun respondWith(vararg responses: String?, closes: Boolean = false) {
        val next = AtomicInteger()
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: return@thread
                accepted.incrementAndGet()
                thread(isDaemon = true) { runCatching { socket.serve(responses, next, closes) } }
            }
        }
    }

    private fun Socket.serve(responses: Array<out String?>, next: AtomicInteger, closes: Boolean) {
        val lines = getInputStream().bufferedReader()
        while (true) {
            do {
                val line = lines.readLine()
            } while (line.isNotEmpty())
            val text = responses[next.getAndIncrement()]
            if (text == null) {
                setSoLinger(true, 0)
                close()
                return
            }
            getOutputStream().write(text.toByteArray())
            getOutputStream().flush()
            if (closes) {
                close()
                return
            }
        }
    }

    /** Accepts one connection, sends [start] and then [repeated] without end; returns how many bytes could be sent. */
    private fun sendWithoutEnd(start: String, repeated: String): CompletableFuture<Long> =
        CompletableFuture.supplyAsync {
            listener.accept().use { socket ->
                socket.getInputStream().read()
                val output = socket.getOutputStream()
                val bytes = repeated.repeat(1_000).toByteArray()
                var sent = 0L
                try {
                    output.write(start.toByteArray())
                    while (sent < ENDLESS_BYTES) {
                        output.write(bytes)
                        sent += bytes.size
                    }
                } catch (_: java.io.IOException) {
                    // The client has closed the connection.
                }
                sent
            }
        }

    @Test
    fun `a head that does not end is given up`() {
        val sent = sendWithoutEnd("HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n")
        expectThat(get()).isEqualTo("Malformed")
        expectThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(ENDLESS_BYTES)
    }

    @Test
    fun `a line of a head that does not end is given up`() {
        val sent = sendWithoutEnd("HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789")
        expectThat(get()).isEqualTo("Malformed")
        expectThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(ENDLESS_BYTES)
    }

    @Test
    fun `a body that does not end is given up at the caller's bound`() {
        val sent = sendWithoutEnd("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "0123456789")
        val result =
            runBlocking {
                client.exchange(
                    Endpoint(LoopbackServer.HOST, listener.localPort),
                    OutgoingRequest("GET", "/x", Headers.EMPTY, ByteArray(0)),
                ) { (_, body) -> body.readAtMost(100_000) == null }
            }
        expectThat(result.fold({ it }, { false })).isEqualTo(true)
        expectThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(ENDLESS_BYTES)
    }

    @Test
    fun `trailers that do not end are given up`() {
        val start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        val sent = sendWithoutEnd(start, "X-Filler: 0123456789\r\n")
        expectThat(get()).isEqualTo("ConnectionLost")
        expectThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(ENDLESS_BYTES)
    }

    // Guards against one response that keeps the thread of all connections and timers to itself (CONFIG).
    @Test
    fun `a response that comes faster than it is read leaves time for everything else`() {
        val start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        val sent = sendWithoutEnd(start, "1\r\nx\r\n")
        val longestPause =
            runBlocking(loop) {
                val reading = launch { exchangeToEnd() }
                val pauses = List(100) { measureTime { delay(10.milliseconds) } }
                reading.cancelAndJoin()
                pauses.max()
            }
        expectThat(longestPause).isLessThan(500.milliseconds)
        sent.get(5, TimeUnit.SECONDS)
    }

    private suspend fun exchangeToEnd() {
        val request = OutgoingRequest("GET", "/x", Headers.EMPTY, ByteArray(0))
        client.exchange(Endpoint(LoopbackServer.HOST, listener.localPort), request) { (_, body) ->
            val buffer = ByteArray(100)
            while (body.read(buffer) >= 0) continue
        }
    }

    private fun get(): String =
        runBlocking {
            val result: Result<String, ExchangeFailure> =
                client.exchange(
                    Endpoint(LoopbackServer.HOST, listener.localPort),
                    OutgoingRequest("GET", "/x", Headers.EMPTY, ByteArray(0)),
                ) { (head, body) -> "${head.status} ${body.readText()}" }
            result.fold({ it }, { it::class.simpleName.orEmpty() })
        }

    private suspend fun ResponseBody.readText(): String {
        val received = ByteArrayOutputStream()
        val buffer = ByteArray(100)
        while (true) {
            val n = read(buffer)
            if (n < 0) return received.toString()
            received.write(buffer, 0, n)
        }
    }

    @Test
    fun `a second exchange reuses the connection of the first`() {
        respondWith("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")
        expectThat(listOf(get(), get())).isEqualTo(listOf("200 a", "200 b"))
        expectThat(accepted.get()).isEqualTo(1)
    }

    @Test
    fun `a connection with unread bytes after the response is not reused`() {
        val surplus = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
        respondWith(surplus, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")
        expectThat(listOf(get(), get())).isEqualTo(listOf("200 a", "200 b"))
        expectThat(accepted.get()).isEqualTo(2)
    }

    @Test
    fun `a connection closed before Content-Length bytes were received is lost`() {
        respondWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", closes = true)
        expectThat(get()).isEqualTo("ConnectionLost")
    }

    @Test
    fun `a connection closed before the last chunk is lost`() {
        respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", closes = true)
        expectThat(get()).isEqualTo("ConnectionLost")
    }

    @Test
    fun `a body without a length ends when the connection closes`() {
        respondWith("HTTP/1.1 200 OK\r\n\r\nabc", closes = true)
        expectThat(get()).isEqualTo("200 abc")
    }

    @Test
    fun `bytes that are not an HTTP response are malformed`() {
        respondWith("rubbish rubbish\r\n\r\n", closes = false)
        expectThat(get()).isEqualTo("Malformed")
    }

    @Test
    fun `a reset before the response is a lost connection`() {
        respondWith(null)
        expectThat(get()).isEqualTo("ConnectionLost")
    }

    @Test
    fun `an exchange with a port that has no listener is not connected`() {
        listener.close()
        expectThat(get()).isEqualTo("NotConnected")
    }

    // Guards against a name without an address that fails the caller instead of the connection.
    @Test
    fun `an exchange with a host that can't be resolved is not connected`() {
        val request = OutgoingRequest("GET", "/x", Headers.EMPTY, ByteArray(0))
        val result = runBlocking { client.exchange(Endpoint("host.invalid", 80), request) { "" } }
        expectThat(result.fold({ null }, { it })).isEqualTo(ExchangeFailure.NotConnected)
    }

    private companion object {
        /** More than the buffers of both sides hold, and than a bounded reader takes. */
        const val ENDLESS_BYTES = 200_000_000L
    }

    @Test
    fun `a request that is no longer wanted once its connection is established is not sent`() {
        val read = CompletableFuture.supplyAsync { listener.accept().use { it.getInputStream().read() } }
        val endpoint = Endpoint(LoopbackServer.HOST, listener.localPort)
        val request = OutgoingRequest("GET", "/", Headers.EMPTY, ByteArray(0)) { false }
        val failure = runBlocking { client.exchange(endpoint, request) {} }.fold({ null }, { it })
        expectThat(failure).isEqualTo(ExchangeFailure.NotWanted)
        expectThat(read.get(2, TimeUnit.SECONDS)).isEqualTo(-1)
    }
}
