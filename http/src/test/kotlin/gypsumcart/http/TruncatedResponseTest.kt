package gypsumcart.http

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeByte
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Cuts responses at each byte, where the server closes or resets the connection. */
class TruncatedResponseTest {
    private val loop = SocketLoop("test")
    private val reservation = MemoryBudget.unlimited().open(Traffic.Forwarded)
    private val client = HttpClient(loop, 1.seconds)
    private val listener = ServerSocket(0, 50, InetAddress.getByName(LoopbackServer.HOST))

    @AfterEach
    fun close() {
        listener.close()
        loop.close()
    }

    /** Sends [bytes] on each of [count] connections, and then closes the connection or resets it. */
    private fun serve(count: Int, resets: Boolean, bytes: (Int) -> ByteArray) {
        thread(isDaemon = true) {
            repeat(count) {
                runCatching {
                    listener.accept().use { socket ->
                        val lines = socket.getInputStream().bufferedReader()
                        do {
                            val line = lines.readLine()
                        } while (line.isNotEmpty())
                        socket.getOutputStream().write(bytes(it))
                        if (resets) socket.setSoLinger(true, 0)
                    }
                }
            }
        }
    }

    /** Returns the status and the body, or the name of the failure. */
    private fun get(): String =
        runBlocking {
            val request = OutgoingRequest("GET", "/x", Headers.EMPTY, ByteArray(0))
            client
                .exchange(Endpoint(LoopbackServer.HOST, listener.localPort), request) { (head, body) ->
                    "${head.status} ${body.readAtMost(MAX_BODY_BYTES)?.decodeToString()}"
                }.fold({ it }, { it::class.simpleName.orEmpty() })
        }

    /** Returns what a caller received for each cut of [response] at which it was told something else than a failure. */
    private fun acceptedCuts(response: String, cuts: IntRange, resets: Boolean): Map<Int, String> {
        val bytes = response.toByteArray()
        serve(cuts.count(), resets) { bytes.copyOf(cuts.first + it) }
        return cuts.associateWith { get() }.filterValues { it !in listOf("ConnectionLost", "Malformed") }
    }

    // Guards against the rest of a head that is taken for all of it, whose framing and statements are missing (MIXED).
    @ParameterizedTest
    @ValueSource(strings = [PLAIN, CHUNKED, REFUSAL, MISDIRECTED, UNFRAMED, LINE_FEEDS])
    fun `a head that is cut at any byte is no head`(head: String) {
        val bytes = head.toByteArray()
        val accepted =
            bytes.indices.filter { cut ->
                val input = ByteReadChannel(bytes.copyOf(cut))
                runBlocking { input.readResponseHead(reservation) }.getError() !in
                    listOf(ReadFailure.Ended, ReadFailure.Truncated, ReadFailure.Malformed)
            }
        expectThat(accepted).isEmpty()
    }

    @ParameterizedTest
    @ValueSource(strings = [PLAIN, CHUNKED, REFUSAL, MISDIRECTED, UNFRAMED, LINE_FEEDS])
    fun `a whole head is read however it arrives, also at the end of a connection`(head: String) {
        val read =
            runBlocking {
                val input = ByteChannel()
                launch {
                    for (byte in head.toByteArray()) {
                        input.writeByte(byte)
                        input.flush()
                        yield()
                    }
                    input.flushAndClose()
                }
                listOf(
                    input,
                    ByteReadChannel(head.toByteArray()),
                ).map {
                    it
                        .readResponseHead(reservation)
                        .get()
                        ?.status
                        .toString()
                }
            }
        expectThat(read).isEqualTo(List(2) { head.substringAfter(' ').take(3) })
    }

    @ParameterizedTest
    @ValueSource(strings = [PLAIN, CHUNKED, REFUSAL, MISDIRECTED, UNFRAMED, LINE_FEEDS])
    fun `a connection that ends within a head is lost, whether it is closed or reset`(head: String) {
        for (resets in listOf(false, true)) {
            expectThat(acceptedCuts(head, head.indices, resets)).isEmpty()
        }
    }

    @Test
    fun `a body is incomplete at each byte before the end that its framing defines`() {
        val body = "3\r\nabc\r\n0\r\n\r\n"
        for (response in listOf(PLAIN + "a".repeat(LENGTH), CHUNKED + body)) {
            val head = response.substringBefore("\r\n\r\n").length + "\r\n\r\n".length
            for (resets in listOf(false, true)) {
                expectThat(acceptedCuts(response, head until response.length, resets)).isEmpty()
            }
        }
    }

    @Test
    fun `a body without framing is whole where the connection is closed, and lost where it is reset`() {
        val response = UNFRAMED + "abc"
        val cuts = UNFRAMED.length..response.length
        val closed = acceptedCuts(response, cuts, resets = false)
        expectThat(closed).isEqualTo(cuts.associateWith { "200 " + "abc".take(it - UNFRAMED.length) })
        expectThat(acceptedCuts(response, cuts, resets = true)).isEmpty()
    }

    private companion object {
        const val MAX_BODY_BYTES = 1_000
        const val LENGTH = 123
        const val PLAIN = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 123\r\nX-Last: a\r\n\r\n"
        const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: r-1\r\n\r\n"
        const val REFUSAL = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n"
        const val MISDIRECTED = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
        const val UNFRAMED = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\n\r\n"
        const val LINE_FEEDS = "HTTP/1.1 200 OK\nX-Id: r-1\nContent-Length: 0\n\n"
    }
}
