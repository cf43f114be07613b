package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList

/** Plays back ends that repeat an earlier response where the answer to the next request on the connection is due. */
class LateResponseTest {
    private val fleet = StandInFleet()
    private val backEnds = ArrayList<ScriptedBackEnd>()
    private val executed = CopyOnWriteArrayList<String>()
    private lateinit var node: RunningNode

    @AfterEach
    fun close(): Unit = backEnds.forEach { it.close() }

    private fun startWith(answer: (ScriptedRequest, OutputStream) -> Boolean) {
        fleet.configure(1, listOf(ConfiguredRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 1)))
        repeat(2) {
            val backEnd = ScriptedBackEnd(answer)
            backEnds += backEnd
            fleet.register("bookings", "i-$it", backEnd)
        }
        node = fleet.startNode("node-1")
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun OutputStream.reject(idHeader: String, extraHeader: String = ""): Unit =
        send("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n$idHeader${extraHeader}Content-Length: 0\r\n\r\n")

    private fun OutputStream.execute(request: ScriptedRequest) {
        executed += request.id
        val head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Signature: s\r\nContent-Length: 2"
        send("$head\r\n\r\nok")
    }

    private fun statusOf(requestId: String): String = node.send("/confirms/1", requestId).substring(9, 12)

    // Guards against a request that runs on two back ends, or is refused although it runs (TWICE, REFUSED).
    @Test
    fun `a late copy of a rejection is not the answer to the next request on the connection`() {
        startWith { request, output ->
            if (request.previousId == null) {
                output.reject("X-Attempt-Id: ${request.id}\r\n")
            } else {
                output.reject("X-Attempt-Id: ${request.previousId}\r\n")
                output.execute(request)
            }
            true
        }
        val statuses = List(12) { "r-$it" }.associateWith(::statusOf)
        expectThat(executed.filter { statuses[it] == "503" }).isEmpty()
        expectThat(executed.toList()).isEqualTo(executed.distinct())
        expectThat(executed.size > 2).isEqualTo(true)
    }

    // Guards against the same fault where the rejection bears no id, so that its copy can't be recognized.
    @Test
    fun `a connection is not used again after a rejection that names no request`() {
        startWith { request, output ->
            if (request.previousId == null && "again" !in request.id) {
                output.reject("")
            } else {
                if (request.previousId == "r-1") output.reject("")
                output.execute(request)
            }
            true
        }
        expectThat(statusOf("r-1")).isEqualTo("503")
        val statuses = List(6) { "again-$it" }.associateWith(::statusOf)
        expectThat(statuses["again-0"]).isEqualTo("200")
        expectThat(executed.filter { statuses[it] == "503" }).isEmpty()
        expectThat(executed.toList()).isEqualTo(executed.distinct())
    }

    @Test
    fun `a limit in a response to another request is not that of the back end`() {
        startWith { request, output ->
            output.reject("X-Attempt-Id: other\r\n", "Server-Limit: 1\r\n")
            executed += request.id
            true
        }
        expectThat(node.send("/confirms/1")).startsWith("HTTP/1.1 502")
        expectThat(get(node.settings.metrics, "/metrics")).contains("gypsumcart_limited_back_ends 0.0")
    }
}
