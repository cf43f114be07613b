package gypsumcart.standins

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Lets a back end cut the head of its answer at each byte, by closing or by resetting the connection. */
class TruncatedHeadTest {
    private val fleet = StandInFleet()

    /** Starts a node with a route for each of [cuts], so that the failures of one do not count for the others. */
    private fun startWith(cuts: IntRange, routeType: String, backEnd: ScriptedBackEnd): RunningNode {
        val routes = cuts.map { ConfiguredRoute("/cut-$it/", routeType, "service-$it", maxAttempts = 2) }
        fleet.configure(version = 1, routes)
        for (cut in cuts) repeat(2) { fleet.register("service-$cut", "i-$cut-$it", backEnd) }
        val node = fleet.startNode("node-1")
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
        return node
    }

    private fun expectFailures(head: String, routeType: String, resets: Boolean) {
        val backEnd =
            ScriptedBackEnd { request, output ->
                output.send(head.replace(ID, request.id).take(request.id.toInt()))
                if (resets) throw ResetException()
                false
            }
        backEnd.use {
            val node = startWith(head.indices, routeType, backEnd)
            val ids = head.indices.map { it.toString().padStart(ID.length, '0') }
            val statuses = ids.associateWith { node.send("/cut-${it.toInt()}/1", requestId = it).take(12) }
            expectThat(statuses.filterValues { it != "HTTP/1.1 502" }).isEmpty()
            expectThat(backEnd.requestIds.toList()).isEqualTo(ids)
        }
    }

    // Guards against a short head that is served as an empty success (MIXED), or believed to promise something (TWICE).
    @ParameterizedTest
    @ValueSource(strings = [PLAIN, REFUSAL, MISDIRECTED])
    fun `a request whose answer is cut within its head has failed and is not repeated`(head: String) {
        expectFailures(head, "non_idempotent", resets = false)
    }

    @ParameterizedTest
    @ValueSource(strings = [PLAIN, REFUSAL, MISDIRECTED])
    fun `a request whose answer is reset within its head has failed and is not repeated`(head: String) {
        expectFailures(head, "non_idempotent", resets = true)
    }

    @ParameterizedTest
    @ValueSource(strings = [STREAM, UNFRAMED, REFUSAL, MISDIRECTED])
    fun `a stream that is cut within its head has failed and is not repeated`(head: String) {
        expectFailures(head, "streaming", resets = false)
    }

    private companion object {
        /** Stands for the id of the request, which is the length of what is sent of the head. */
        const val ID = "###"
        const val FIELDS = "X-Attempt-Id: $ID\r\nX-Response-Signature: s\r\n"
        const val PLAIN = "HTTP/1.1 200 OK\r\n${FIELDS}Content-Length: 123\r\n\r\n"
        const val STREAM = "HTTP/1.1 200 OK\r\n${FIELDS}Transfer-Encoding: chunked\r\n\r\n"
        const val UNFRAMED = "HTTP/1.1 200 OK\r\n$FIELDS\r\n"
        const val REFUSAL = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        const val MISDIRECTED = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
    }
}
