package gypsumcart.http

import kotlinx.coroutines.awaitCancellation
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.coroutines.cancellation.CancellationException

class HttpServerTest {
    private val seen = CopyOnWriteArrayList<String>()
    private val loopback =
        Loopback { request, reply ->
            seen += "${request.method} ${request.target} ${request.body.decodeToString()}"
            reply.whole(ResponseHead(200, Headers.EMPTY), request.body)
        }

    @AfterEach
    fun close(): Unit = loopback.close()

    @Test
    fun `a body with a length and one in chunks arrive alike`() {
        loopback.raw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
        loopback.raw(
            "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        )
        expectThat(seen.toList()).isEqualTo(listOf("POST /a hello", "POST /b hello"))
    }

    @Test
    fun `bytes that arrive one by one make the same request`() {
        val text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
        val answer = loopback.raw(*text.map { it.toString() }.toTypedArray(), pauseMillis = 1)
        expectThat(answer).endsWith("ok")
    }

    @Test
    fun `requests that follow each other at once are answered in their order`() {
        val answer =
            loopback.raw(
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1" +
                    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2",
            )
        expectThat(seen.toList()).isEqualTo(listOf("POST /a 1", "POST /b 2"))
        expectThat(answer.split("HTTP/1.1 200").size).isEqualTo(3)
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
    fun `a request whose end is in doubt is refused and its connection closed`(fields: String) {
        val answer =
            loopback.raw(
                "POST /a HTTP/1.1\r\nHost: h\r\n${fields}\r\nhelloPOST /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
            )
        expectThat(answer).startsWith("HTTP/1.1 400")
        expectThat(seen.size).isEqualTo(0)
    }

    @Test
    fun `a body in chunks that ends early is no request`() {
        Socket(Loopback.HOST, loopback.port).use {
            val text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n"
            it.getOutputStream().write(text.toByteArray())
            it.shutdownOutput()
            it.soTimeout = 1_000
            expectThat(it.readAll()).isEqualTo("")
        }
        expectThat(seen.size).isEqualTo(0)
    }

    @Test
    fun `a header and a body that are too long are told so`() {
        val longField = "X: ${"a".repeat(3_000)}\r\n"
        expectThat(loopback.raw("GET /a HTTP/1.1\r\nHost: h\r\n$longField\r\n")).startsWith("HTTP/1.1 431")
        val long = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"
        expectThat(loopback.raw(long)).startsWith("HTTP/1.1 413")
    }

    @Test
    fun `a header that does not come in time is told so`() {
        expectThat(loopback.raw("GET /a HTTP/1.1\r\nHo")).startsWith("HTTP/1.1 408")
    }

    @Test
    fun `a server that drains closes a connection after its answer`() {
        loopback.server.drain()
        val answer = loopback.raw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1")
        expectThat(answer).contains("Connection: close").endsWith("1")
    }

    @Test
    fun `the handling of a request ends when its client leaves`() {
        val begun = CountDownLatch(1)
        val cancelled = CountDownLatch(1)
        val waiting =
            Loopback { _, _ ->
                begun.countDown()
                try {
                    awaitCancellation()
                } catch (e: CancellationException) {
                    cancelled.countDown()
                    throw e
                }
            }
        waiting.use {
            val socket = Socket(Loopback.HOST, it.port)
            socket.getOutputStream().write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            begun.await(5, TimeUnit.SECONDS)
            socket.close()
            expectThat(cancelled.await(500, TimeUnit.MILLISECONDS)).isTrue()
        }
    }
}
