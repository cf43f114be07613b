package gypsumcart.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Sends requests through a server that carries connections to another one. */
class TunnelTest {
    private val far = ServerSocket(0, 50, InetAddress.getByName(LoopbackServer.HOST))
    private val accepted = LinkedBlockingQueue<Socket>()
    private val heads = CopyOnWriteArrayList<Int>()
    private val closedTunnels = AtomicInteger()
    private val carrier: LoopbackServer =
        LoopbackServer { request, response ->
            when (request.target) {
                "/far" -> carry(response)
                else -> response.send(ResponseHead(404, Headers.EMPTY), ByteArray(0))
            }
        }
    private val farEndpoint = Endpoint(LoopbackServer.HOST, far.localPort)
    private val carrierEndpoint = Endpoint(LoopbackServer.HOST, carrier.port)
    private val loop = SocketLoop("client")
    private val client = HttpClient(loop, 1.seconds)

    init {
        thread(isDaemon = true) {
            while (!far.isClosed) accepted += runCatching { far.accept() }.getOrNull() ?: break
        }
    }

    @AfterEach
    fun close() {
        far.close()
        carrier.close()
        loop.close()
    }

    private suspend fun carry(response: ResponseWriter): Unit =
        withContext(carrier.loop) {
            val connection = carrier.client.connect(farEndpoint).getOrElse { error("the far server is up") }
            response.openTunnel(Tunnel(connection, { heads += it.status }) { closedTunnels.incrementAndGet() })
        }

    private suspend fun exchange(
        body: ByteArray = ByteArray(0),
        target: String = "/far",
    ): Result<String?, String> {
        val request = OutgoingRequest("POST", "/x", Headers.EMPTY, body)
        val connector =
            Connector {
                client.connectThrough(carrierEndpoint, target, 1.seconds).mapError { ExchangeFailure.NotConnected }
            }
        return client
            .exchange(farEndpoint, request, connector) { (_, received) ->
                received.readAtMost(MAX_BYTES)?.decodeToString()
            }.mapError { it.toString() }
    }

    private fun next(): Socket = checkNotNull(accepted.poll(5, TimeUnit.SECONDS)) { "no connection" }

    private fun Socket.readHead(): String {
        val text = StringBuilder()
        while (!text.endsWith("\r\n\r\n")) text.append(getInputStream().read().toChar())
        return text.toString()
    }

    private fun Socket.send(text: String) {
        getOutputStream().write(text.toByteArray())
        getOutputStream().flush()
    }

    private fun answerWith(answer: Socket.() -> Unit): Result<String?, String> =
        runBlocking {
            val response = async(loop) { exchange() }
            thread(isDaemon = true) { next().use { it.apply { readHead() }.answer() } }
            response.await()
        }

    private fun awaitClosed() {
        val deadline = System.nanoTime() + 3_000_000_000
        while (closedTunnels.get() == 0) {
            check(System.nanoTime() < deadline) { "the tunnel is open" }
            Thread.sleep(10)
        }
    }

    @Test
    fun `a response that the connection ends is whole if the server ended it in order`() {
        val response = answerWith { send("HTTP/1.1 200 OK\r\n\r\nall of it") }
        expectThat(response.getOrElse { it }).isEqualTo("all of it")
        awaitClosed()
        expectThat(heads.toList()).isEqualTo(listOf(200))
    }

    // Guards against a reset behind the tunnel that looks like the end of a body without a length (MIXED).
    @Test
    fun `a response that the connection ends is cut if the server reset it`() {
        val response =
            answerWith {
                send("HTTP/1.1 200 OK\r\n\r\na part")
                Thread.sleep(100)
                setSoLinger(true, 0)
            }
        expectThat(response.getOrElse { it }).isEqualTo("ConnectionLost")
    }

    // Guards against a carrier that ends in the middle and whose close looks like the end of a body (MIXED).
    @Test
    fun `a response that the connection ends is cut if the carrier closes`() {
        val response =
            answerWith {
                send("HTTP/1.1 200 OK\r\n\r\na part")
                Thread.sleep(100)
                runBlocking { carrier.server.finish(0.seconds, ResponseHead(503, Headers.EMPTY)) }
                Thread.sleep(100)
            }
        expectThat(response.getOrElse { it }).isEqualTo("ConnectionLost")
    }

    @Test
    fun `large bodies pass both ways`() {
        val sent = ByteArray(MAX_BYTES) { 'u'.code.toByte() }
        val received =
            runBlocking {
                val response = async(loop) { exchange(sent) }
                thread(isDaemon = true) {
                    val socket = next()
                    expectThat(socket.readHead()).contains("Content-Length: $MAX_BYTES")
                    var count = 0
                    val buffer = ByteArray(10_000)
                    while (count < MAX_BYTES) count += socket.getInputStream().read(buffer)
                    socket.send("HTTP/1.1 200 OK\r\nContent-Length: $MAX_BYTES\r\n\r\n" + "d".repeat(MAX_BYTES))
                }
                response.await()
            }
        expectThat(received.getOrElse { it }?.length).isEqualTo(MAX_BYTES)
    }

    // Guards against back ends that go on working for a client that has left (GONE).
    @Test
    fun `the connection behind the tunnel closes with the call`() {
        val end =
            runBlocking {
                val call = launch(loop) { exchange() }
                val socket = next()
                socket.readHead()
                delay(50)
                call.cancelAndJoin()
                socket.soTimeout = 2_000
                socket.getInputStream().read()
            }
        expectThat(end).isEqualTo(-1)
        awaitClosed()
    }

    @Test
    fun `nothing is sent if the carrier refuses`() {
        val response = runBlocking { exchange(target = "/other") }
        expectThat(response.getOrElse { it }).isEqualTo("NotConnected")
        expectThat(accepted.poll()).isNull()
    }

    private companion object {
        const val MAX_BYTES = 3_000_000
    }
}
