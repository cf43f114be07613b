package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Lets the store of three nodes come back from a copy and assign the versions again that the nodes have seen. */
class StoreReturnTest {
    private val fleet = StandInFleet()
    private var nodes = emptyList<RunningNode>()

    @AfterEach
    fun close(): Unit = nodes.forEach { it.kill() }

    private fun configure(version: Long): Unit =
        fleet.configure(version, List(version.toInt()) { ConfiguredRoute("/r$it/", "idempotent", SERVICE) })

    /** Writes the entries of [LISTED] other back ends, as their heartbeats do. */
    private fun listOthers(): Unit =
        repeat(LISTED) {
            fleet.store.put(
                "servers",
                "other-$it",
                """{"service":"other","address":"10.0.0.1:80","zone":"a","batchSlots":6,"state":"ready","born":1}""",
            )
        }

    private fun start() {
        configure(version = 1)
        fleet.startBackEnd(SERVICE, StandInBackEnd("back-end"))
        nodes = List(3) { fleet.startNode("node-$it") }
        for (node in nodes) awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun RunningNode.statusOf(route: Int): String = send("/r$route/x").split(' ', limit = 3)[1]

    private fun RunningNode.serves(route: Int): Boolean = statusOf(route) == "200"

    /**
     * Loses a configuration and entries of back ends, and writes them again with another configuration in front.
     *
     * @return the number of the route that the other configuration adds
     */
    private fun loseAndAdd(version: Long, away: Duration): Int {
        val copy = fleet.store.copy()
        configure(version)
        listOthers()
        for (node in nodes) awaitCondition { node.serves(version.toInt() - 1) }
        Thread.sleep(SETTLING_TIME.inWholeMilliseconds)
        if (away > Duration.ZERO) fleet.store.fault = StoreFault.Unavailable
        Thread.sleep(away.inWholeMilliseconds)
        fleet.store.restore(copy)
        configure(version)
        configure(version + 1)
        listOthers()
        fleet.store.fault = StoreFault.None
        return version.toInt()
    }

    private data class Miss(val node: Int, val after: Duration, val status: String)

    /** Returns the last request for [route] that each node did not serve, of those sent from now on for [WATCHED]. */
    private fun lastMisses(route: Int): List<Miss> {
        val start = TimeSource.Monotonic.markNow()
        val misses = nodes.indices.map { Miss(it, Duration.ZERO, "") }.toMutableList()
        while (start.elapsedNow() < WATCHED) {
            for ((i, node) in nodes.withIndex()) {
                val sent = start.elapsedNow()
                val status = node.statusOf(route)
                if (status != "200") misses[i] = Miss(i, sent, status)
            }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
        return misses
    }

    private fun expectServedInTime(away: Duration) {
        start()
        for (version in listOf(2L, 4L, 6L)) {
            val misses = lastMisses(loseAndAdd(version, away))
            println("route added after a return, away $away: last missed after $misses")
            expectThat(misses).all { get { after }.isLessThan(APPLY_TIME) }
        }
    }

    // Guards against a route that is never served, as the feed went on after versions of an earlier era (CONFIG).
    @Test
    fun `a route that is added right after the store came back from a copy is served in time`(): Unit =
        expectServedInTime(away = Duration.ZERO)

    // Guards against the same where the store was away before, so that no feed waited at it.
    @Test
    fun `a route that is added right after the store was away and came back from a copy is served in time`(): Unit =
        expectServedInTime(away = 1_500.milliseconds)

    // Guards against a node that takes the older copy for current: a route that was served must stay.
    @Test
    fun `no configuration goes back when the store comes back from a copy`() {
        start()
        val copy = fleet.store.copy()
        configure(version = 2)
        for (node in nodes) awaitCondition { node.serves(1) }
        fleet.store.restore(copy)
        val failures = ArrayList<Int>()
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < WATCHED) {
            nodes.forEachIndexed { i, node -> if (!node.serves(1)) failures += i }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
        expectThat(failures).isEmpty()
    }

    private companion object {
        const val SERVICE = "bookings"

        /** More than the nodes write while the store comes back, so that its counter passes their versions again. */
        const val LISTED = 60

        /** Lets all feeds reach the last version. */
        val SETTLING_TIME = 400.milliseconds
        val POLL_INTERVAL = 50.milliseconds

        /** The time within which a configuration that the store has acknowledged must be in force. */
        val APPLY_TIME = 2.seconds
        val WATCHED = 4.seconds
    }
}
