package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList

/** Lets back ends write a response and, after some milliseconds, a copy of it or of an earlier one behind it. */
class RepeatedResponseTest {
    private val fleet = StandInFleet()
    private val backEnds = ArrayList<ScriptedBackEnd>()
    private lateinit var node: RunningNode

    @AfterEach
    fun close(): Unit = backEnds.forEach { it.close() }

    private fun startWith(answer: OutputStream.(ScriptedRequest) -> Boolean) {
        fleet.configure(
            version = 1,
            listOf(
                ConfiguredRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 1),
                ConfiguredRoute("/once/", "streaming", "bookings", maxAttempts = 1),
                ConfiguredRoute("/resumable/", "streaming", "bookings", maxAttempts = 2, resumable = true),
            ),
        )
        repeat(3) {
            val backEnd = ScriptedBackEnd { request, output -> output.answer(request) }
            backEnds += backEnd
            fleet.register("bookings", "i-$it", backEnd)
        }
        node = fleet.startNode("node-1")
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun head(id: String, fields: String = ""): String =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: $id\r\nX-Response-Signature: s\r\n$fields\r\n"

    private fun event(id: Int): String = "id: $id\ndata: $id\n\n"

    private fun eventIdsIn(response: String): List<Int> =
        Regex("id: (\\d+)\ndata: \\d+\n\n").findAll(response).map { it.groupValues[1].toInt() }.toList()

    private fun OutputStream.sendLate(copy: String) {
        Thread.sleep(PAUSE_MILLIS)
        send(copy)
    }

    private fun bodyOf(response: String): String = response.substringAfter("\r\n\r\n")

    // Guards against a response and its late copy that are passed on as one body (MIXED).
    @ParameterizedTest
    @ValueSource(ints = [5, 8, 10, 12, 40, 1_000])
    fun `a body that ends with its connection and holds a copy of its head, or of a part of it, is not passed on`(
        copiedBytes: Int,
    ) {
        startWith { request ->
            val response = head(request.id) + "{\"answer\": 1}"
            send(response)
            sendLate(response.take(copiedBytes))
            false
        }
        expectThat(node.send("/confirms/1")).startsWith("HTTP/1.1 502")
    }

    @Test
    fun `a body that ends with its connection and holds an earlier response is not passed on`() {
        startWith { request ->
            if (request.previousId == null) {
                send(head(request.id, "Content-Length: 5\r\n") + "first")
                true
            } else {
                send(head(request.id) + "second")
                sendLate(head(request.previousId, "Content-Length: 5\r\n") + "first")
                false
            }
        }
        val bodies = List(12) { bodyOf(node.send("/confirms/1", "r-$it")) }
        expectThat(bodies.filter { "HTTP" in it || "second" in it }).isEqualTo(emptyList())
    }

    @ParameterizedTest
    @ValueSource(strings = ["Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"])
    fun `a copy behind a body with framing does not reach a client`(framing: String) {
        startWith { request ->
            val body = if ("chunked" in framing) "5\r\nwhole\r\n0\r\n\r\n" else "whole"
            val response = head(request.id, framing) + body
            send(response)
            sendLate(response)
            true
        }
        val responses = List(8) { node.send("/confirms/1", "r-$it") }
        expectThat(responses.map(::bodyOf).filter { it != "whole" && it.isNotEmpty() }).isEqualTo(emptyList())
    }

    // Guards against a body whose end is not known, as its head says that the connection persists (MIXED).
    @ParameterizedTest
    @ValueSource(strings = ["Connection: keep-alive\r\n", "Keep-Alive: timeout=5\r\n"])
    fun `a response without framing whose connection persists is not passed on`(fields: String) {
        startWith { request ->
            send(head(request.id, fields) + "perhaps whole")
            false
        }
        expectThat(node.send("/confirms/1")).startsWith("HTTP/1.1 502")
    }

    @ParameterizedTest
    @ValueSource(strings = ["Connection: close\r\n", "Connection: close\r\nKeep-Alive: timeout=5\r\n", ""])
    fun `a response without framing whose connection ends is passed on`(fields: String) {
        startWith { request ->
            send(head(request.id, fields) + "whole, over HTTP")
            false
        }
        expectThat(node.send("/confirms/1")).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nwhole, over HTTP")
    }

    // Guards against a stream that goes on with a copy of itself (MIXED).
    @ParameterizedTest
    @ValueSource(ints = [5, 12, 40, 1_000])
    fun `a stream that ends with its connection is broken off at a copy of its head`(copiedBytes: Int) {
        startWith { request ->
            val response = head(request.id) + event(1) + event(2)
            send(response)
            sendLate(response.take(copiedBytes))
            false
        }
        val response = node.send("/once/1")
        expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2))
        expectThat(response.lastIndexOf("HTTP/1.1")).isEqualTo(0)
        expectThat(response.endsWith(LAST_CHUNK)).isEqualTo(false)
    }

    // Guards against events that a client gets twice, from a copy or from a stream that starts again (MIXED).
    @ParameterizedTest
    @ValueSource(strings = ["", "Content-Length: 66\r\n", "Transfer-Encoding: chunked\r\n"])
    fun `a stream is broken off at an event whose id does not increase`(framing: String) {
        startWith { request ->
            val events = listOf(event(9), event(10), event(10), event(11))
            val isChunked = "chunked" in framing
            send(head(request.id, framing))
            events.forEach { sendLate(if (isChunked) "${it.length.toString(16)}\r\n$it\r\n" else it) }
            if (isChunked) send(LAST_CHUNK)
            false
        }
        val response = node.send("/once/1")
        expectThat(eventIdsIn(response)).isEqualTo(listOf(9, 10))
        expectThat(response.endsWith(LAST_CHUNK)).isEqualTo(false)
    }

    @Test
    fun `events that come in one piece are passed on up to the one whose id does not increase`() {
        startWith { request ->
            send(head(request.id) + event(1) + event(2) + event(1) + event(2) + event(3))
            false
        }
        val response = node.send("/once/1")
        expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2))
        expectThat(response.endsWith(LAST_CHUNK)).isEqualTo(false)
    }

    @Test
    fun `a resumed stream that starts again is broken off`() {
        startWith { request ->
            send(head(request.id, "Transfer-Encoding: chunked\r\n"))
            (1..2).forEach { send("${event(it).length.toString(16)}\r\n${event(it)}\r\n") }
            if (request.lastEventId != null) send(LAST_CHUNK)
            false
        }
        val response = node.send("/resumable/1")
        expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2))
        expectThat(response.endsWith(LAST_CHUNK)).isEqualTo(false)
    }

    // Guards against a stream that a client takes up and gets from its first event again (ORDER).
    @Test
    fun `a stream that starts again where its client takes it up is broken off`() {
        val resumedAfter = CopyOnWriteArrayList<String?>()
        startWith { request ->
            resumedAfter += request.lastEventId
            send(head(request.id) + (1..9).joinToString("", transform = ::event))
            false
        }
        val response = node.send("/resumable/1", extraHeaders = "Last-Event-Id: 7\r\n")
        expectThat(resumedAfter.toSet()).isEqualTo(setOf("7"))
        expectThat(eventIdsIn(response)).isEqualTo(emptyList())
        expectThat(response.endsWith(LAST_CHUNK)).isEqualTo(false)
    }

    private companion object {
        /** Lets the node read what was sent before. */
        const val PAUSE_MILLIS = 20L
        const val LAST_CHUNK = "0\r\n\r\n"
    }
}
