package gypsumcart.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

class HttpClientTest {
    private val selector = SelectorManager(Dispatchers.IO)
    private val client = HttpClient(selector, 1.seconds)
    private val listener = ServerSocket(0, 50, InetAddress.getByName(Loopback.HOST))
    private val accepted = AtomicInteger()

    @AfterEach
    fun close() {
        listener.close()
        selector.close()
    }

    /** Answers each request on each connection with the next of [answers]; null resets the connection. */
    private fun answer(vararg answers: String?, closes: Boolean = false) {
        val next = AtomicInteger()
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: return@thread
                accepted.incrementAndGet()
                thread(isDaemon = true) { runCatching { socket.serve(answers, next, closes) } }
            }
        }
    }

    private fun Socket.serve(answers: Array<out String?>, next: AtomicInteger, closes: Boolean) {
        val lines = getInputStream().bufferedReader()
        while (true) {
            do {
                val line = lines.readLine()
            } while (line.isNotEmpty())
            val text = answers[next.getAndIncrement()]
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

    private fun get(): String =
        runBlocking {
            val result: Result<String, ExchangeFailure> =
                client.exchange(
                    Endpoint(Loopback.HOST, listener.localPort),
                    OutgoingRequest("GET", "/x", Headers.EMPTY, ByteArray(0)),
                ) { head, body -> "${head.status} ${body.readText()}" }
            result.fold({ it }, { it::class.simpleName.orEmpty() })
        }

    private suspend fun Body.readText(): String {
        val whole = ByteArrayOutputStream()
        val buffer = ByteArray(100)
        while (true) {
            val n = read(buffer)
            if (n < 0) return whole.toString()
            whole.write(buffer, 0, n)
        }
    }

    @Test
    fun `a connection is kept for the next exchange`() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")
        expectThat(listOf(get(), get())).isEqualTo(listOf("200 a", "200 b"))
        expectThat(accepted.get()).isEqualTo(1)
    }

    @Test
    fun `a connection with surplus bytes carries nothing more`() {
        val surplus = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
        answer(surplus, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")
        expectThat(listOf(get(), get())).isEqualTo(listOf("200 a", "200 b"))
        expectThat(accepted.get()).isEqualTo(2)
    }

    @Test
    fun `an answer that ends before its length is not whole`() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", closes = true)
        expectThat(get()).isEqualTo("Cut")
    }

    @Test
    fun `an answer whose chunks end early is not whole`() {
        answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", closes = true)
        expectThat(get()).isEqualTo("Cut")
    }

    @Test
    fun `an answer without a length ends with its connection`() {
        answer("HTTP/1.1 200 OK\r\n\r\nabc", closes = true)
        expectThat(get()).isEqualTo("200 abc")
    }

    @Test
    fun `bytes that are no answer are told so`() {
        answer("rubbish rubbish\r\n\r\n", closes = false)
        expectThat(get()).isEqualTo("Malformed")
    }

    @Test
    fun `a reset instead of an answer is a cut`() {
        answer(null)
        expectThat(get()).isEqualTo("Cut")
    }

    @Test
    fun `nothing was sent where nobody listens`() {
        listener.close()
        expectThat(get()).isEqualTo("NotConnected")
    }
}
