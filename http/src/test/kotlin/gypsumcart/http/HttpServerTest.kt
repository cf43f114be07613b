package gypsumcart.http

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.ConnectException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.coroutines.cancellation.CancellationException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HttpServerTest {
    private class Echo(private val received: MutableList<String>) : RequestHandler {
        override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
            received += "${request.method} ${request.target} ${request.body.decodeToString()}"
            response.send(ResponseHead(200, Headers.EMPTY), request.body)
        }
    }

    private val received = CopyOnWriteArrayList<String>()
    private val loopback = LoopbackServer(Echo(received))

    @AfterEach
    fun close(): Unit = loopback.close()

    @Test
    fun `the handler receives the same body whether it is sent with a length or in chunks`() {
        loopback.sendRaw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
        loopback.sendRaw(
            "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        )
        expectThat(received.toList()).isEqualTo(listOf("POST /a hello", "POST /b hello"))
    }

    // Guards against the head of an error in the middle of a stream (MIXED).
    @Test
    fun `a response that has been started can't be replaced by another one`() {
        val handler =
            RequestHandler { _, response ->
                response.startChunked(ResponseHead(200, Headers.EMPTY))
                response.writeChunk("event".toByteArray())
                response.send(ResponseHead(404, Headers.EMPTY), "error".toByteArray())
            }
        LoopbackServer(handler).use { server ->
            val response = server.sendRaw("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(response).startsWith("HTTP/1.1 200").endsWith("5\r\nevent\r\n")
        }
    }

    @Test
    fun `a request that arrives byte by byte is handled`() {
        val text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
        val response = loopback.sendRaw(*text.map { it.toString() }.toTypedArray(), pauseMillis = 1)
        expectThat(response).endsWith("ok")
    }

    @Test
    fun `pipelined requests are handled in their order`() {
        val response =
            loopback.sendRaw(
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1" +
                    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2",
            )
        expectThat(received.toList()).isEqualTo(listOf("POST /a 1", "POST /b 2"))
        expectThat(response.split("HTTP/1.1 200").size).isEqualTo(3)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "Content-Length: 5\r\nContent-Length: 5\r\n",
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: +5\r\n",
            "Content-Length: 5, 5\r\n",
            "Content-Length:\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            "Host: other\r\n",
            "Content-Length : 5\r\n",
            " Content-Length: 5\r\n",
        ],
    )
    fun `a request with ambiguous framing or host gets status 400 and no request is handled`(fields: String) {
        val response =
            loopback.sendRaw(
                "POST /a HTTP/1.1\r\nHost: h\r\n${fields}\r\nhelloPOST /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
            )
        expectThat(response).startsWith("HTTP/1.1 400")
        expectThat(received.size).isEqualTo(0)
    }

    @Test
    fun `a request whose client stops sending before the last chunk is not handled`() {
        Socket(LoopbackServer.HOST, loopback.port).use {
            val text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n"
            it.getOutputStream().write(text.toByteArray())
            it.shutdownOutput()
            it.soTimeout = 1_000
            expectThat(it.readAll()).isEqualTo("")
        }
        expectThat(received.size).isEqualTo(0)
    }

    @Test
    fun `a header that is too long gets status 431 and a body that is too long 413`() {
        val oversizedField = "X: ${"a".repeat(3_000)}\r\n"
        expectThat(loopback.sendRaw("GET /a HTTP/1.1\r\nHost: h\r\n$oversizedField\r\n")).startsWith("HTTP/1.1 431")
        val oversizedBody = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"
        expectThat(loopback.sendRaw(oversizedBody)).startsWith("HTTP/1.1 413")
    }

    // Guards against many requests, each within its bound, that together take all memory of the process (LOST).
    @Test
    fun `a request that does not fit in memory gets status 503 and is not handled`() {
        val body = "x".repeat(9_000)
        val memory = MemoryBudget(12_000)
        LoopbackServer(memory, Echo(received)).use { server ->
            val withLength = server.sendRaw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n$body")
            val chunks = "2328\r\n$body\r\n0\r\n\r\n"
            val inChunks = server.sendRaw("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n$chunks")
            expectThat(withLength)
                .startsWith("HTTP/1.1 503")
                .contains("Connection: close")
                .not()
                .contains(RESET)
            expectThat(inChunks)
                .startsWith("HTTP/1.1 503")
                .contains("Connection: close")
                .not()
                .contains(RESET)
            expectThat(received.size).isEqualTo(0)
            val small = server.sendRaw("POST /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            expectThat(small).startsWith("HTTP/1.1 200")
            expectThat(memory.heldBytes).isEqualTo(0)
        }
    }

    @Test
    fun `a header that is incomplete after the timeout gets status 408`() {
        expectThat(loopback.sendRaw("GET /a HTTP/1.1\r\nHo")).startsWith("HTTP/1.1 408")
    }

    @Test
    fun `a draining server closes a connection after its response`() {
        loopback.server.drain()
        val response = loopback.sendRaw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1")
        expectThat(response).contains("Connection: close").endsWith("1")
    }

    // Guards against pipelined requests that a stopping server has read and does not answer (LOST).
    @Test
    fun `a draining server answers pipelined requests before it closes their connection`() {
        loopback.server.drain()
        val response =
            loopback.sendRaw(
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1" +
                    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n2",
            )
        expectThat(response.split("HTTP/1.1 200").size).isEqualTo(3)
        expectThat(response).endsWith("Connection: close\r\n\r\n2")
    }

    /** Opens a connection, sends [text], and returns what is received from then on until it closes. */
    private fun openConnection(text: String): CompletableFuture<String> {
        val socket = Socket(LoopbackServer.HOST, loopback.port)
        socket.soTimeout = 3_000
        socket.getOutputStream().write(text.toByteArray())
        return CompletableFuture.supplyAsync { socket.use { it.readAll() } }
    }

    // Guards against connections that are accepted and closed without an answer when a process ends (LOST).
    @Test
    fun `a server that finishes refuses incomplete requests, closes idle connections and accepts no others`() {
        val idle = openConnection("")
        val partial = openConnection("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhe")
        Thread.sleep(100)
        runBlocking { loopback.server.finish(200.milliseconds, ResponseHead(503, Headers.EMPTY)) }
        expectThat(idle.get()).isEqualTo("")
        expectThat(partial.get()).startsWith("HTTP/1.1 503").contains("Connection: close")
        expectThat(received.toList()).isEmpty()
        expectThrows<ConnectException> { Socket(LoopbackServer.HOST, loopback.port).close() }
    }

    @Test
    fun `a server that finishes answers a request that arrives before its idle connections are closed`() {
        val socket = Socket(LoopbackServer.HOST, loopback.port)
        val finished = thread { runBlocking { loopback.server.finish(1.seconds, ResponseHead(503, Headers.EMPTY)) } }
        Thread.sleep(200)
        socket.getOutputStream().write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1".toByteArray())
        expectThat(socket.readAll()).startsWith("HTTP/1.1 200").endsWith("Connection: close\r\n\r\n1")
        finished.join()
    }

    @Test
    fun `the handler is cancelled when its client closes the connection`() {
        val started = CountDownLatch(1)
        val cancelled = CountDownLatch(1)
        val waitingServer =
            LoopbackServer { _, _ ->
                started.countDown()
                try {
                    awaitCancellation()
                } catch (e: CancellationException) {
                    cancelled.countDown()
                    throw e
                }
            }
        waitingServer.use {
            val socket = Socket(LoopbackServer.HOST, it.port)
            socket.getOutputStream().write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            started.await(5, TimeUnit.SECONDS)
            socket.close()
            expectThat(cancelled.await(500, TimeUnit.MILLISECONDS)).isTrue()
        }
    }
}
