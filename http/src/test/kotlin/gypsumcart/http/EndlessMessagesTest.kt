package gypsumcart.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against many messages, each within its bound, that together take all memory of the process (LOST). */
class EndlessMessagesTest {
    private val loop = SocketLoop("test", MemoryBudget(CAPACITY))
    private val client = HttpClient(loop, 5.seconds)
    private val listener = ServerSocket(0, 200, InetAddress.getByName(LoopbackServer.HOST))

    @AfterEach
    fun close() {
        listener.close()
        loop.close()
    }

    /** Answers `/endless` with [start] and then [repeated] until about [bytes], and all else with a sound body. */
    private fun serve(start: String, repeated: String, bytes: Int) {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use { it.answer(start, repeated.toByteArray(), bytes) } }
            }
        }
    }

    private fun Socket.answer(start: String, repeated: ByteArray, bytes: Int) {
        val target = getInputStream().bufferedReader().readLine()
        val output = getOutputStream()
        if ("/endless" !in target) {
            output.write("HTTP/1.1 200 OK\r\nContent-Length: ${SOUND.length}\r\n\r\n$SOUND".toByteArray())
            return
        }
        try {
            output.write(start.toByteArray())
            repeat(bytes / repeated.size) {
                output.write(repeated)
                Thread.sleep(1)
            }
            getInputStream().read()
        } catch (_: IOException) {
            // The client has given the message up.
        }
    }

    private suspend fun get(target: String, traffic: Traffic): Result<String?, ExchangeFailure> =
        client.exchange(
            Endpoint(LoopbackServer.HOST, listener.localPort),
            OutgoingRequest("GET", target, Headers.EMPTY, ByteArray(0), traffic = traffic),
        ) { (_, body) -> body.readAtMost(PER_MESSAGE * 2)?.decodeToString() }

    /**
     * Receives endless messages of about [bytes] at once, beside sound ones of [traffic]; returns the bytes of those
     * that are not given up, and the distinct sound ones.
     */
    private fun receiveBesideEndless(bytes: Int, traffic: Traffic): Pair<Long, List<String?>> =
        runBlocking {
            val endless = List(MESSAGES) { async { get("/endless", Traffic.Forwarded) } }
            val sound =
                List(SOUND_MESSAGES) {
                    delay(20.milliseconds)
                    get("/sound", traffic).get()
                }
            val openBytes = { endless.count { it.isActive } * bytes.toLong() }
            withTimeoutOrNull(10.seconds) { while (openBytes() >= CAPACITY) delay(10.milliseconds) }
            openBytes().also { endless.forEach { it.cancelAndJoin() } } to sound.distinct()
        }

    private fun expectBounded(start: String, repeated: String, bytes: Int = PER_MESSAGE) {
        serve(start, repeated, bytes)
        for (traffic in listOf(Traffic.Forwarded, Traffic.Control)) {
            val (openBytes, sound) = receiveBesideEndless(bytes, traffic)
            expectThat(sound).isEqualTo(listOf(SOUND))
            expectThat(openBytes).isLessThan(CAPACITY)
        }
        expectThat(runBlocking { withTimeoutOrNull(5.seconds) { awaitNothingHeld() } }).isEqualTo(Unit)
    }

    private suspend fun awaitNothingHeld() {
        while (loop.memory.heldBytes > 0) delay(10.milliseconds)
    }

    @Test
    fun `bodies in chunks that do not end are given up together`() {
        val chunk = "x".repeat(8_000)
        expectBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1f40\r\n$chunk\r\n")
    }

    @Test
    fun `bodies that only the end of the connection ends are given up together`() {
        expectBounded("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(8_000))
    }

    @Test
    fun `bodies that stay below a great length are given up together`() {
        expectBounded("HTTP/1.1 200 OK\r\nContent-Length: ${PER_MESSAGE * 2}\r\n\r\n", "x".repeat(8_000))
    }

    @Test
    fun `heads that do not end are given up together`() {
        expectBounded("HTTP/1.1 200 OK\r\nX-Filler: ", "x".repeat(1_000), PER_HEAD)
    }

    private companion object {
        const val CAPACITY = 2_000_000L
        const val MESSAGES = 60
        const val SOUND_MESSAGES = 20

        /** Within the bound of one message; all together are fifteen times the capacity. */
        const val PER_MESSAGE = 500_000

        /** Within the bound of a head; all together are 1.5 times the capacity. */
        const val PER_HEAD = 50_000
        val SOUND = "y".repeat(2_000)
    }
}
