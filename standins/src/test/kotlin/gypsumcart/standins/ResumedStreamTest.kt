package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import java.io.OutputStream
import java.util.concurrent.atomic.AtomicInteger

/** Lets back ends break off a stream after two events and answer in various ways when they are to resume it. */
class ResumedStreamTest {
    private val fleet = StandInFleet()
    private val backEnds = ArrayList<ScriptedBackEnd>()
    private lateinit var node: RunningNode

    @AfterEach
    fun close(): Unit = backEnds.forEach { it.close() }

    /** Starts back ends that answer the n-th attempt to resume the stream as [resume] does, given n from 1. */
    private fun startWith(resume: OutputStream.(ScriptedRequest, Int) -> Boolean) {
        val attempts = AtomicInteger()
        fleet.configure(
            version = 1,
            listOf(ConfiguredRoute("/stream/", "streaming", "drafts", maxAttempts = 3, resumable = true)),
        )
        repeat(3) {
            val backEnd =
                ScriptedBackEnd { request, output ->
                    if (request.lastEventId == null) {
                        output.sendHead(request, "200 OK", CHUNKED)
                        output.sendEvents(1..2)
                        false
                    } else {
                        output.resume(request, attempts.incrementAndGet())
                    }
                }
            backEnds += backEnd
            fleet.register("drafts", "d-$it", backEnd)
        }
        node = fleet.startNode("node-1")
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun OutputStream.sendHead(request: ScriptedRequest, status: String, framing: String): Unit =
        send("HTTP/1.1 $status\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Signature: s\r\n$framing\r\n")

    private fun OutputStream.sendEvents(ids: IntRange): Unit =
        ids.forEach {
            val event = "id: $it\ndata: $it\n\n"
            send("${event.length.toString(16)}\r\n$event\r\n")
        }

    private fun eventIdsIn(response: String): List<Int> =
        Regex("id: (\\d+)\ndata").findAll(response).map { it.groupValues[1].toInt() }.toList()

    // Guards against the head and text of an error in the middle of a stream, and its end taken for that of the stream.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "404 Not Found", "429 Too Many Requests", "400 Bad Request", "409 Conflict", "302 Found",
            "500 Internal Server Error", "502 Bad Gateway", "503 Service Unavailable",
        ],
    )
    fun `an error in answer to a resumed call is not written into the stream`(status: String) {
        for (framing in listOf("Content-Length: 9\r\n", "", CHUNKED, "X-Not-Executed: 1\r\nContent-Length: 9\r\n")) {
            startWith { request, _ ->
                sendHead(request, status, framing)
                send(if (framing == CHUNKED) "9\r\nan error!\r\n0\r\n\r\n" else "an error!")
                false
            }
            val response = node.send("/stream/1")
            expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2))
            expectThat(response.lastIndexOf("HTTP/1.1")).isEqualTo(0)
            expectThat("an error!" in response).isEqualTo(false)
            expectThat(response.endsWith("0\r\n\r\n")).isEqualTo(false)
        }
    }

    @Test
    fun `a stream goes on at another back end after an error in answer to a resumed call`() {
        startWith { request, attempt ->
            if (attempt == 1) {
                sendHead(request, "404 Not Found", "Content-Length: 9\r\n")
                send("an error!")
            } else {
                sendHead(request, "200 OK", CHUNKED)
                sendEvents(3..4)
                send("0\r\n\r\n")
            }
            true
        }
        val response = node.send("/stream/1")
        expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2, 3, 4))
        expectThat(response).endsWith("0\r\n\r\n")
        expectThat("an error!" in response).isEqualTo(false)
    }

    @Test
    fun `a resumed call without an event leaves the stream incomplete`() {
        startWith { request, _ ->
            sendHead(request, "200 OK", CHUNKED)
            send("0\r\n\r\n")
            true
        }
        val response = node.send("/stream/1")
        expectThat(eventIdsIn(response)).isEqualTo(listOf(1, 2))
        expectThat(response.endsWith("0\r\n\r\n")).isEqualTo(false)
        expectThat(response).contains("HTTP/1.1 200")
    }

    private companion object {
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"
    }
}
