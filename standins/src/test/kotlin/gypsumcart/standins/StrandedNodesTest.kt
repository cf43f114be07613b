package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Cuts nodes off from all back ends, which clients, the store and the other nodes still reach. */
class StrandedNodesTest {
    private val fleet = StandInFleet()
    private val backEnds = List(3) { StandInBackEnd("i-${it + 1}") }
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
    @EnumSource(LinkMode::class, names = ["HANGS", "RESETS", "REFUSES_NEW"])
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

    private companion object {
        const val SENDERS = 64
        const val PAUSE_MILLIS = 25L
        const val GOOD_SHARE = 0.97

        /** The time after which the share of a node that is cut off counts. */
        val CONTACT = 3.seconds
    }
}
