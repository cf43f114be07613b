package gypsumcart.core.membership

import gypsumcart.core.NodeId
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against usage counts that get lost because messages carry only what changed. */
class SharedUsageTest {
    private val team = TeamName("team")

    private fun SimulatedFleet.SimulatedNode.count(counts: Map<Long, Int>) {
        val usage = counts.entries.associate { (window, count) -> WindowNumber(window) to mapOf(team to count) }
        decide(MembershipEvent.UsageCounted(usage, UnixMillis(1)))
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `all nodes know all counts five seconds after the last of them, whatever is lost, repeated or late`(
        seed: Long,
    ) {
        val network = SimulatedNetwork(maxDelay = 150.milliseconds, lossRate = 0.2, repeatRate = 0.2)
        val fleet = SimulatedFleet(listOf(3, 3, 3), network, seed)
        fleet.start()
        fleet.runUntil(6.seconds)
        val random = Random(seed)
        val counts = fleet.nodes.associate { it.id to HashMap<Long, Int>() }
        repeat(40) {
            for (node in fleet.nodes) {
                val own = counts.getValue(node.id)
                own.merge(1 + it / 8L, random.nextInt(5), Int::plus)
                node.count(own)
            }
            val cut = fleet.nodes.random(random).id
            fleet.isolate(cut)
            fleet.runUntil(fleet.now + 500.milliseconds)
            fleet.cuts.clear()
        }
        fleet.runUntil(fleet.now + 5.seconds)
        val expected = counts.entries.associate { (id, own) -> id to own.mapValues { mapOf(team to it.value) } }
        for (observer in fleet.nodes) {
            val known =
                observer.reports.values.associate { report ->
                    report.node to
                        report.usage.mapKeys { it.key.number }
                }
            expectThat(known).isEqualTo(expected)
        }
    }

    @Test
    fun `a message carries the counts of changed windows alone`() {
        val fleet = SimulatedFleet(listOf(2, 1))
        fleet.start()
        fleet.runUntil(6.seconds)
        val node = fleet.node("z0-2")
        val sent = ArrayList<PeerItem>()
        node.count(mapOf(1L to 5, 2L to 7))
        fleet.runUntil(fleet.now + 1.seconds)
        node.onEffect = { effect ->
            if (effect is MembershipEffect.Send) sent += effect.message.items.filter { it.report.node == node.id }
        }
        repeat(8) { round ->
            node.count(mapOf(1L to 5, 2L to 9 + round))
            fleet.runUntil(fleet.now + 500.milliseconds)
        }
        val windows = sent.filterNot { it.hasUsage }.map { it.report.usage.keys }.filter { it.isNotEmpty() }
        expectThat(windows.toSet()).isEqualTo(setOf(setOf(WindowNumber(2))))
        fleet.runUntil(fleet.now + 2.seconds)
        val known =
            fleet
                .node("z1-1")
                .reports
                .getValue(node.key)
                .usage
        expectThat(known.mapKeys { it.key.number }).isEqualTo(mapOf(1L to mapOf(team to 5), 2L to mapOf(team to 16)))
    }

    @Test
    fun `a node that starts later gets the counts of all windows`() {
        val fleet = SimulatedFleet(listOf(2, 2))
        fleet.start()
        fleet.runUntil(6.seconds)
        fleet.node("z0-1").count(mapOf(1L to 5, 2L to 7))
        fleet.runUntil(9.seconds)
        fleet.restart(NodeId("z1-2"))
        fleet.runUntil(12.seconds)
        val known =
            fleet
                .node("z1-2")
                .reports
                .getValue(fleet.node("z0-1").key)
                .usage
        expectThat(known.mapKeys { it.key.number }).isEqualTo(mapOf(1L to mapOf(team to 5), 2L to mapOf(team to 7)))
    }
}
