package gypsumcart.standins

import gypsumcart.core.Features
import gypsumcart.core.RolloutLimits
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Plays roll-outs on two nodes over sockets, with streams in progress all the while. */
class RolloutTest {
    private val fleet = StandInFleet()
    private val old = List(3) { StandInBackEnd("old-$it", eventCount = 16, eventInterval = 50.milliseconds) }
    private val new = List(3) { StandInBackEnd("new-$it", eventCount = 16, eventInterval = 50.milliseconds) }
    private lateinit var nodes: List<RunningNode>
    private val stopped = AtomicBoolean()
    private val failures = ConcurrentHashMap.newKeySet<String>()

    @BeforeEach
    fun start() {
        fleet.configure(
            version = 1,
            listOf(
                ConfiguredRoute("/checks/", "idempotent", "bookings"),
                ConfiguredRoute("/stream/", "streaming", "bookings"),
            ),
        )
        old.forEach { fleet.startBackEnd("bookings", it) }
        val features = Features(rollouts = RolloutLimits(0.1, 50, 5.seconds))
        nodes = List(2) { fleet.startNode("node-$it", features = features) }
        for (node in nodes) {
            awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
            awaitCondition { "gypsumcart_members 2.0" in get(node.settings.metrics, "/metrics") }
        }
        awaitCondition { holders().size == 1 }
    }

    private fun holders() =
        nodes.filter { "gypsumcart_lease_held 1.0" in get(it.settings.metrics, "/metrics") }

    /** Sends requests to the nodes in turn until [stopped], and records those that are not served in full. */
    private fun serve(path: String, clients: Int, served: () -> List<RunningNode>, isWhole: (String) -> Boolean) =
        List(clients) { i ->
            thread {
                var sent = 0
                while (!stopped.get()) {
                    val id = "r-$path-$i-${sent++}"
                    val response = served().random().send(path, id)
                    if (!isWhole(response)) failures += "$id: ${response.take(200)}"
                    Thread.sleep(20)
                }
            }
        }

    private fun serveBoth(served: () -> List<RunningNode> = { nodes }) =
        serve("/checks/1", 4, served) { it.startsWith("HTTP/1.1 200") } +
            serve("/stream/1", 4, served) { it.endsWith("0\r\n\r\n") && "id: 16" in it }

    private fun awaitEnd(seconds: Int): String? {
        val end = System.nanoTime() + seconds * 1_000_000_000L
        while (System.nanoTime() < end &&
            fleet.rolloutStateOrNull("bookings") in setOf(null, "in_progress")
        ) {
            Thread.sleep(5)
        }
        return fleet.rolloutStateOrNull("bookings")
    }

    @Test
    fun `no stream is in progress on an old back end when the roll-out is complete, and none follows`() {
        val clients = serveBoth()
        new.forEach { fleet.startBackEnd("bookings", it, version = "v2") }
        fleet.orderRollout("bookings", "v2", 10)
        expectThat(awaitEnd(14)).isEqualTo("complete")
        val running = old.sumOf { it.runningRequests }
        val received = old.sumOf { it.receivedRequests }
        Thread.sleep(1_000)
        stopped.set(true)
        clients.forEach { it.join() }
        expectThat(running).isEqualTo(0)
        expectThat(old.sumOf { it.receivedRequests }).isEqualTo(received)
        expectThat(new.sumOf { it.receivedRequests }).isGreaterThan(20)
        expectThat(failures).isEmpty()
        expectThat(get(nodes.first().settings.metrics, "/metrics"))
            .contains("gypsumcart_rollout_stages_total{stage=\"complete\"} 1.0")
    }

    @Test
    fun `a roll-out whose holder stops between two stages is completed by the other node`() {
        val holder = holders().single()
        val others = nodes - holder
        val clients = serveBoth { others }
        new.forEach { fleet.startBackEnd("bookings", it, version = "v2") }
        fleet.orderRollout("bookings", "v2", 16)
        awaitCondition { new.sumOf { it.receivedRequests } > 0 }
        holder.node.stop()
        expectThat(awaitEnd(24)).isEqualTo("complete")
        expectThat(old.sumOf { it.runningRequests }).isEqualTo(0)
        stopped.set(true)
        clients.forEach { it.join() }
        expectThat(failures).isEmpty()
    }

    @Test
    fun `a version that fails is rolled back after few requests and gets no more`() {
        val clients = serveBoth()
        new.forEach { backEnd -> backEnd.injectFaults(*Array(200) { BackEndFault.ServerError }) }
        new.forEach { fleet.startBackEnd("bookings", it, version = "v2") }
        fleet.orderRollout("bookings", "v2", 10)
        expectThat(awaitEnd(14)).isEqualTo("rolled_back")
        val received = new.sumOf { it.receivedRequests }
        Thread.sleep(1_000)
        stopped.set(true)
        clients.forEach { it.join() }
        expectThat(received).isLessThan(50)
        expectThat(new.sumOf { it.receivedRequests }).isEqualTo(received)
    }
}
