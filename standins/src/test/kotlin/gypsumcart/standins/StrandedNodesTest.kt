package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Cuts nodes off from all back ends, which clients, the store and the other nodes still reach. */
class StrandedNodesTest {
    private val fleet = StandInFleet()
    private val backEnds =
        List(3) { StandInBackEnd("i-${it + 1}", eventCount = EVENTS, eventInterval = 10.milliseconds) }
    private val nodes = ArrayList<LinkedNode>()
    private val senders = Executors.newFixedThreadPool(SENDERS) { Thread(it).apply { isDaemon = true } }
    private val ids = AtomicInteger()

    @AfterEach
    fun close() {
        senders.shutdownNow()
        nodes.forEach { it.close() }
    }

    private fun start(nodeCount: Int) {
        fleet.configure(
            version = 1,
            listOf(
                ConfiguredRoute("/checks/", "idempotent", "bookings"),
                ConfiguredRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 1),
                ConfiguredRoute("/stream/", "streaming", "bookings", resumable = true, timeoutMillis = 9_000),
            ),
        )
        backEnds.forEach { fleet.startBackEnd("bookings", it) }
        repeat(nodeCount) { nodes += LinkedNode("node-${it + 1}", fleet, backEnds) }
        StandInClient(nodes[0].running.settings.directory).awaitNodes(nodeCount)
        nodes.forEach { node ->
            awaitCondition { get(node.running.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
        }
    }

    /** Sends requests to [targets] for [span] and returns the statuses of the responses by node. */
    private fun load(targets: List<LinkedNode>, span: Duration): Map<LinkedNode, List<String>> {
        val start = TimeSource.Monotonic.markNow()
        val pending = targets.associateWith { ArrayList<Future<String>>() }
        while (start.elapsedNow() < span) {
            for ((node, responses) in pending) {
                val id = ids.incrementAndGet()
                val path = if (id % 2 == 0) "/checks/1" else "/confirms/1"
                responses += senders.submit<String> { node.running.send(path, "r-$id").substringBefore("\r\n") }
            }
            Thread.sleep(PAUSE_MILLIS)
        }
        return pending.mapValues { (_, responses) -> responses.map { it.get(10, TimeUnit.SECONDS) } }
    }

    private fun List<String>.servedShare(): Double = count { it.startsWith("HTTP/1.1 200") }.toDouble() / size

    private fun List<String>.summary(): String = groupingBy { it }.eachCount().toString()

    private fun expectNoneRunTwice() {
        val runs = backEnds.flatMap { it.executedRequests }.filter { it.target.startsWith("/confirms/") }
        expectThat(runs.groupBy { it.requestId }.filterValues { it.size > 1 }.keys).isEqualTo(emptySet())
    }

    // Guards against nodes whose clients are not served though other nodes reach the back ends (RECOVER).
    @ParameterizedTest
    @EnumSource(LinkMode::class, names = ["HANGS", "RESETS", "RESETS_ON_USE", "REFUSES_NEW"])
    fun `a node that lost its links to the back ends serves its clients through another node`(mode: LinkMode) {
        start(nodeCount = 3)
        load(nodes, 1.seconds)
        nodes[0].cut(mode)
        load(nodes, CONTACT)
        val served = load(nodes, 2.seconds)
        println("$mode: ${served.values.map { it.summary() }}")
        expectThat(served.getValue(nodes[0]).servedShare()).isGreaterThan(GOOD_SHARE)
        expectThat(served.getValue(nodes[1]).servedShare()).isGreaterThan(GOOD_SHARE)
        expectNoneRunTwice()
    }

    private fun send(node: LinkedNode, path: String = "/confirms/1"): String =
        node.running.send(path, "r-${ids.incrementAndGet()}").substringBefore("\r\n")

    private fun metric(node: LinkedNode, name: String): Double =
        get(node.running.settings.metrics, "/metrics")
            .lineSequence()
            .filter { it.startsWith(name) }
            .sumOf { it.substringAfterLast(' ').toDouble() }

    // Guards against requests that did not run and whose clients are told that they may have.
    @Test
    fun `a request whose time runs out while its connection is being opened is refused as not run`() {
        start(nodeCount = 1)
        nodes[0].cut(LinkMode.HANGS)
        expectThat(send(nodes[0])).startsWith("HTTP/1.1 503")
    }

    // Guards against requests that are lost one by one on idle connections that a cut has ended.
    @Test
    fun `a cut that shows only when a connection is used costs few requests that may run once`() {
        start(nodeCount = 2)
        val streams = List(IDLE_CONNECTIONS) { senders.submit<String> { send(nodes[0], "/stream/1") } }
        streams.forEach { it.get(10, TimeUnit.SECONDS) }
        nodes[0].cut(LinkMode.RESETS_ON_USE)
        val responses = List(IDLE_CONNECTIONS) { send(nodes[0]) }
        println("on use: ${responses.summary()}")
        expectThat(responses.count { it.startsWith("HTTP/1.1 502") }).isLessThan(MAX_LOST)
        expectNoneRunTwice()
    }

    // Guards against a zone of nodes that are cut off together and ask each other (RECOVER).
    @Test
    fun `most nodes are cut off and serve through the one that is left`() {
        start(nodeCount = 3)
        load(nodes, 1.seconds)
        nodes.take(2).forEach { it.cut(LinkMode.HANGS) }
        load(nodes, CONTACT)
        val served = load(nodes, 2.seconds)
        println("most: ${served.values.map { it.summary() }}")
        served.values.forEach { expectThat(it.servedShare()).isGreaterThan(GOOD_SHARE) }
        expectNoneRunTwice()
    }

    // Guards against clients that are held where no node can serve them, and against nodes that do not return.
    @Test
    fun `all nodes are cut off, refuse at once and serve directly after the cut`() {
        start(nodeCount = 3)
        load(nodes, 1.seconds)
        nodes.forEach { it.cut(LinkMode.HANGS) }
        load(nodes, CONTACT)
        val start = TimeSource.Monotonic.markNow()
        val refused = List(9) { send(nodes[it % 3]) }
        val elapsed = start.elapsedNow()
        nodes.forEach { it.mend() }
        Thread.sleep(RETURN_MILLIS)
        val served = load(nodes, 1.seconds)
        println("all: $refused in $elapsed, then ${served.values.map { it.summary() }}")
        expectThat(refused.toSet()).isEqualTo(setOf("HTTP/1.1 503 Service Unavailable"))
        expectThat(elapsed).isLessThan(2.seconds)
        served.values.forEach { expectThat(it.servedShare()).isGreaterThan(GOOD_SHARE) }
        expectThat(nodes.sumOf { metric(it, "gypsumcart_cut_off") }).isEqualTo(0.0)
        expectNoneRunTwice()
    }

    @Test
    fun `a node whose links are mended uses them again`() {
        start(nodeCount = 2)
        nodes[0].cut(LinkMode.RESETS)
        load(nodes, 2.seconds)
        expectThat(metric(nodes[0], "gypsumcart_cut_off")).isEqualTo(1.0)
        nodes[0].mend()
        Thread.sleep(RETURN_MILLIS)
        load(nodes, RETURN_MILLIS.milliseconds)
        val carried = metric(nodes[0], "gypsumcart_carried_calls_total")
        val served = load(nodes, 1.seconds)
        expectThat(served.getValue(nodes[0]).servedShare()).isEqualTo(1.0)
        expectThat(metric(nodes[0], "gypsumcart_carried_calls_total")).isEqualTo(carried)
        expectThat(metric(nodes[0], "gypsumcart_cut_off")).isEqualTo(0.0)
    }

    // Guards against a back end that is down and is taken for a cut of the node.
    @Test
    fun `a back end that no node reaches does not cut the node off`() {
        start(nodeCount = 2)
        nodes.forEach { it.links.getValue("i-1").switchTo(LinkMode.RESETS) }
        load(nodes, 1.seconds)
        val served = load(nodes, 1.seconds)
        served.values.forEach { expectThat(it.servedShare()).isGreaterThan(GOOD_SHARE) }
        expectThat(nodes.sumOf { metric(it, "gypsumcart_cut_off") }).isEqualTo(0.0)
    }

    // Guards against streams that stop with the links although they can go on elsewhere.
    @Test
    fun `a stream that can be resumed goes on through another node`() {
        start(nodeCount = 2)
        val stream =
            senders.submit<String> {
                val request =
                    "POST /stream/1 HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: s-1\r\n" +
                        "X-Deadline-Ms: 9000\r\nApi-Key: key-1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
                exchange(nodes[0].running.settings.clients, request)
            }
        awaitCondition { backEnds.any { it.runningRequests > 0 } }
        Thread.sleep(STREAM_START_MILLIS)
        nodes[0].cut(LinkMode.HANGS)
        val events =
            EVENT_ID
                .findAll(stream.get(10, TimeUnit.SECONDS))
                .map { it.groupValues[1].toInt() }
                .toList()
        expectThat(events).isEqualTo((1..EVENTS).toList())
    }

    @Test
    fun `a large upload passes through another node and runs once`() {
        start(nodeCount = 2)
        nodes[0].cut(LinkMode.RESETS)
        load(nodes, 1.seconds)
        val body = "u".repeat(UPLOAD_BYTES)
        val response =
            exchange(
                nodes[0].running.settings.clients,
                "POST /confirms/up HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: up-1\r\n" +
                    "X-Deadline-Ms: 3000\r\nApi-Key: key-1\r\nContent-Length: $UPLOAD_BYTES\r\n" +
                    "Connection: close\r\n\r\n$body",
            )
        expectThat(response).startsWith("HTTP/1.1 200").endsWith(":$body")
        val runs = backEnds.flatMap { it.executedRequests }.filter { it.requestId == "up-1" }
        expectThat(runs.map { it.body.length }).isEqualTo(listOf(UPLOAD_BYTES))
    }

    // Guards against back ends that go on working for a client that has left (GONE).
    @Test
    fun `a back end learns through another node that the client has left`() {
        start(nodeCount = 2)
        nodes[0].cut(LinkMode.RESETS)
        load(nodes, 1.seconds)
        backEnds.forEach { it.injectFaults(BackEndFault.Hang) }
        val (host, port) =
            nodes[0]
                .running.settings.clients
                .split(':')
        Socket(host, port.toInt()).use { client ->
            val request =
                "POST /confirms/1 HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: gone-1\r\n" +
                    "X-Deadline-Ms: 9000\r\nApi-Key: key-1\r\nContent-Length: 2\r\n\r\nhi"
            client.getOutputStream().write(request.toByteArray())
            awaitCondition { backEnds.any { it.runningRequests > 0 } }
        }
        val start = TimeSource.Monotonic.markNow()
        awaitCondition { backEnds.any { "gone-1" in it.cancelledRequestIds } }
        expectThat(start.elapsedNow()).isLessThan(500.milliseconds)
    }

    // Guards against a node that waits again and again for one that has died.
    @Test
    fun `a node that is cut off goes on when one that carries its calls dies`() {
        start(nodeCount = 3)
        nodes[0].cut(LinkMode.HANGS)
        load(nodes, 2.seconds)
        nodes[1].running.kill()
        val served = load(listOf(nodes[0], nodes[2]), 3.seconds)
        println("killed: ${served.values.map { it.summary() }}")
        expectThat(served.getValue(nodes[0]).servedShare()).isGreaterThan(SHARE_WITHOUT_CARRIER)
        expectNoneRunTwice()
    }

    // Guards against calls of other nodes that are cut in the middle by a planned stop (LOST).
    @Test
    fun `a node that stops lets the calls end that it carries`() {
        start(nodeCount = 3)
        nodes[0].cut(LinkMode.RESETS)
        load(listOf(nodes[0]), 1.seconds)
        nodes[1].running.node.stop()
        val served = load(listOf(nodes[0]), 4.seconds)
        println("stopped: ${served.values.map { it.summary() }}")
        expectThat(served.getValue(nodes[0]).servedShare()).isEqualTo(1.0)
        expectNoneRunTwice()
    }

    private companion object {
        const val EVENTS = 100
        const val IDLE_CONNECTIONS = 15

        /** One for each of two back ends. */
        const val MAX_LOST = 3
        const val STREAM_START_MILLIS = 300L
        const val UPLOAD_BYTES = 900_000

        /** Several times the pause between two tries to connect directly. */
        const val RETURN_MILLIS = 2_500L

        /** Half of the requests may be asked of the dead node once, and wait for that. */
        const val SHARE_WITHOUT_CARRIER = 0.9
        val EVENT_ID = Regex("id: ([0-9]+)\n")

        const val SENDERS = 64
        const val PAUSE_MILLIS = 25L
        const val GOOD_SHARE = 0.97

        /** The time after which the share of a node that is cut off counts. */
        val CONTACT = 3.seconds
    }
}
