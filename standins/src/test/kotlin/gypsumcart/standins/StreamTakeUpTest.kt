package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith

/** Lets back ends of two versions break off each stream after two events, and clients take it up at another node. */
class StreamTakeUpTest {
    private val fleet = StandInFleet()
    private val backEnds = ArrayList<ScriptedBackEnd>()
    private val nodes = ArrayList<RunningNode>()

    @AfterEach
    fun close() {
        nodes.forEach { it.kill() }
        backEnds.forEach { it.close() }
    }

    private fun startBackEnd(version: String) {
        val backEnd =
            ScriptedBackEnd { request, output ->
                output.send(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Signature: s\r\n" +
                        "Transfer-Encoding: chunked\r\n\r\n",
                )
                val id = (request.lastEventId?.toInt() ?: 0) + 1
                val event = "id: $id\ndata: $version\n\n"
                output.send("${event.length.toString(16)}\r\n$event\r\n")
                if (request.lastEventId != null) output.send("0\r\n\r\n")
                request.lastEventId != null
            }
        backEnds += backEnd
        fleet.store.put(
            "servers",
            version,
            """{"service":"drafts","address":"${backEnd.address}","zone":"a","batchSlots":6,"state":"ready",""" +
                """"born":1,"version":"$version"}""",
        )
    }

    private fun startBackEnds() {
        val route = ConfiguredRoute("/stream/", "streaming", "drafts", maxAttempts = 1, resumable = true)
        fleet.configure(version = 1, listOf(route))
        startBackEnd("v1")
        startBackEnd("v2")
    }

    private fun startNode(name: String): RunningNode =
        fleet.startNode(name).also { node ->
            nodes += node
            awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
        }

    private fun RunningNode.takeUp(requestId: String, resumes: String): String =
        send("/stream/1", requestId, "Last-Event-Id: 1\r\nResumes: $resumes\r\n")

    // Guards against a stream whose version no other node knows, so that its client can't take it up there.
    @Test
    fun `the version that began a stream is stored, and a node takes it from there`() {
        startBackEnds()
        val first = startNode("node-1")
        awaitCondition { fleet.store.getOrNull("fleet", "versions/drafts") != null }
        expectThat(fleet.store.getOrNull("fleet", "versions/drafts")).isEqualTo("""{"form":1,"versions":["v1","v2"]}""")
        val version = first.send("/stream/1", "began").substringAfter("data: ").take(2)
        awaitCondition { fleet.store.keys("streams").isNotEmpty() }
        val stored = fleet.store.getOrNull("streams", fleet.store.keys("streams").single())
        expectThat(stored).isEqualTo("""{"form":1,"request":"began","version":"$version","service":"drafts"}""")
        val second = startNode("node-2")
        expectThat(second.takeUp("again", "began")).startsWith("HTTP/1.1 200")
        val refused = second.takeUp("other", "unknown")
        expectThat(refused).startsWith("HTTP/1.1 503")
        expectThat(refused).contains("X-Attempt-Id: other")
        expectThat(refused).contains("Retry-After: 0.300\r\n")
    }

    private fun RunningNode.knows(others: List<RunningNode>): Boolean {
        val addresses = get(settings.directory, "/resolve?name=bookings.example&zone=a")
        return others.all { it.settings.clients in addresses }
    }

    /** Returns how many messages with records or questions of other nodes this node has answered. */
    private fun RunningNode.answeredMessages(): Double =
        get(settings.metrics, "/metrics")
            .lineSequence()
            .filter { it.startsWith("gypsumcart_stream_messages_total{result=\"answered\",side=\"received\"}") }
            .sumOf { it.substringAfterLast(' ').toDouble() }

    // Guards against streams that only the node knows that began them, until their records are stored (LOST).
    @Test
    fun `without the store streams go on at all nodes after the one that began them was killed`() {
        startBackEnds()
        val all = List(3) { startNode("node-$it") }
        val (first, others) = all.first() to all.drop(1)
        awaitCondition { all.all { it.knows(all) } }
        awaitCondition { fleet.store.getOrNull("fleet", "versions/drafts") != null }
        fleet.store.fault = StoreFault.Unavailable
        val versions =
            List(STREAMS) { number ->
                val answered = others.sumOf { it.answeredMessages() }
                val began = first.send("/stream/1", "began-$number")
                awaitCondition { others.sumOf { it.answeredMessages() } > answered }
                began.substringAfter("data: ").take(2)
            }
        first.kill()
        for ((number, version) in versions.withIndex()) {
            for ((node, other) in others.withIndex()) {
                val rest = other.takeUp("again-$number-$node", "began-$number")
                expectThat(rest).startsWith("HTTP/1.1 200")
                expectThat(rest).contains("id: 2\ndata: $version\n\n")
            }
        }
    }

    private companion object {
        const val STREAMS = 6
    }
}
