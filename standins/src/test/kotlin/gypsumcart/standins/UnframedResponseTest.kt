package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.startsWith
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList

/** Lets back ends send responses that end with their connection, or before the end that their framing defines. */
class UnframedResponseTest {
    private val fleet = StandInFleet()
    private val backEnds = ArrayList<ScriptedBackEnd>()
    private val received = CopyOnWriteArrayList<ScriptedRequest>()
    private lateinit var node: RunningNode

    @AfterEach
    fun close(): Unit = backEnds.forEach { it.close() }

    private fun startWith(answer: OutputStream.(ScriptedRequest) -> Boolean) {
        fleet.configure(
            version = 1,
            listOf(
                ConfiguredRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 2),
                ConfiguredRoute("/once/", "streaming", "bookings", maxAttempts = 2),
                ConfiguredRoute("/resumable/", "streaming", "bookings", maxAttempts = 2, resumable = true),
            ),
        )
        repeat(3) {
            val backEnd =
                ScriptedBackEnd { request, output ->
                    received += request
                    output.answer(request)
                }
            backEnds += backEnd
            fleet.register("bookings", "i-$it", backEnd)
        }
        node = fleet.startNode("node-1")
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun OutputStream.sendHead(request: ScriptedRequest, framing: String = ""): Unit =
        send("HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Signature: s\r\n$framing\r\n")

    private fun event(id: Int): String = "id: $id\ndata: $id\n\n"

    private fun eventIdsIn(response: String): List<Int> =
        Regex("id: (\\d+)\ndata: \\d+\n\n").findAll(response).map { it.groupValues[1].toInt() }.toList()

    @Test
    fun `a body without framing is served whole, and its connection is not used again`() {
        startWith { request ->
            sendHead(request)
            send("first ")
            Thread.sleep(PAUSE_MILLIS)
            send("last")
            false
        }
        repeat(4) {
            expectThat(node.send("/confirms/1", "r-$it")).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nfirst last")
        }
        expectThat(received.mapNotNull { it.previousId }).isEmpty()
    }

    // Guards against a crash in a body without framing that is taken for the end of the body (MIXED).
    @Test
    fun `a body without framing that ends with a reset has failed`() {
        startWith { request ->
            sendHead(request)
            send("first ")
            Thread.sleep(PAUSE_MILLIS)
            throw ResetException()
        }
        expectThat(node.send("/confirms/1")).startsWith("HTTP/1.1 502")
        expectThat(received.size).isEqualTo(1)
    }

    @ParameterizedTest
    @ValueSource(strings = ["Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n"])
    fun `a body that is shorter than its framing says has failed`(framing: String) {
        startWith { request ->
            sendHead(request, framing)
            send("4\r\nabcd\r\n")
            false
        }
        expectThat(node.send("/confirms/1")).startsWith("HTTP/1.1 502")
        expectThat(received.size).isEqualTo(1)
    }

    // Guards against a stream that is passed on as complete before its last event (ORDER).
    @ParameterizedTest
    @ValueSource(strings = ["", "id: 3\ndata: 3\n"])
    fun `a stream without framing that is reset is broken off`(rest: String) {
        startWith { request ->
            sendHead(request)
            send(event(1) + event(2) + rest)
            Thread.sleep(PAUSE_MILLIS)
            throw ResetException()
        }
        expectBrokenOffAfterTwoEvents()
    }

    @Test
    fun `a stream that is shorter than its length is broken off`() {
        startWith { request ->
            sendHead(request, "Content-Length: ${event(1).length * 3}\r\n")
            send(event(1) + event(2))
            false
        }
        expectBrokenOffAfterTwoEvents()
    }

    @Test
    fun `a stream whose framing ends inside an event is broken off`() {
        startWith { request ->
            val events = event(1) + event(2) + "id: 3\ndata: 3\n"
            sendHead(request, "Content-Length: ${events.length}\r\n")
            send(events)
            true
        }
        expectBrokenOffAfterTwoEvents()
    }

    private fun expectBrokenOffAfterTwoEvents() {
        val response = node.send("/once/1")
        expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2))
        expectThat(response).startsWith("HTTP/1.1 200")
        expectThat("id: 3" in response).isEqualTo(false)
        expectThat(response.endsWith(LAST_CHUNK)).isEqualTo(false)
        expectThat(received.size).isEqualTo(1)
    }

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a stream without framing that ends inside an event is resumed after the last whole one`(resets: Boolean) {
        startWith { request ->
            sendHead(request)
            if (request.lastEventId == null) {
                send(event(1) + event(2) + "id: 3\nda")
                Thread.sleep(PAUSE_MILLIS)
                if (resets) throw ResetException()
            } else {
                send(event(3) + event(4))
            }
            false
        }
        val response = node.send("/resumable/1")
        expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2, 3, 4))
        expectThat(response).endsWith(LAST_CHUNK)
        expectThat(received.map { it.lastEventId }).isEqualTo(listOf(null, "2"))
    }

    @Test
    fun `a stream without framing is served whole, and its connection is not used again`() {
        startWith { request ->
            sendHead(request)
            (1..3).forEach {
                send(event(it))
                Thread.sleep(PAUSE_MILLIS)
            }
            false
        }
        repeat(4) {
            val response = node.send("/once/1", "r-$it")
            expectThat(response).contains("HTTP/1.1 200").endsWith(LAST_CHUNK)
            expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2, 3))
        }
        expectThat(received.firstOrNull { it.previousId != null }).isNull()
    }

    private companion object {
        /** Lets the node read what was sent before, as a reset may discard it. */
        const val PAUSE_MILLIS = 50L
        const val LAST_CHUNK = "0\r\n\r\n"
    }
}
