package gypsumcart.core.membership

import gypsumcart.core.NodeId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.seconds

/** Guards against what nodes miss that read the fleet's table seldom, because a relay follows the tables for them. */
class RelayedFleetTest {
    private val lossAt = 20.seconds

    private fun startedFleet(): SimulatedFleet =
        SimulatedFleet(listOf(9, 9, 8), relaysTables = true).apply {
            start()
            runUntil(lossAt)
        }

    private val SimulatedFleet.running get() = nodes.filter { it.running }

    private fun SimulatedFleet.stop(isLost: (NodeId) -> Boolean): List<NodeId> {
        val lost = nodes.filter { isLost(it.id) }
        lost.forEach { it.running = false }
        return lost.map { it.id }
    }

    @ParameterizedTest
    @ValueSource(strings = ["z0-1", "z0-5", "z1", "z2-", "z0-2", "z"])
    fun `no node names lost hosts four seconds after the loss of relays, other hosts or whole zones`(lost: String) {
        val fleet = startedFleet()
        val ids = fleet.stop { it.text.startsWith(lost) && it.text != "z0-9" }
        fleet.runUntil(lossAt + 4.seconds)
        for (id in ids) expectThat(fleet.running).all { get { members }.doesNotContain(id) }
        expectThat(fleet.running).all { get { members }.hasSize(26 - ids.size) }
    }

    @ParameterizedTest
    @ValueSource(strings = ["z0-1", "z0-5", "z2-8"])
    fun `a host is named within two seconds after its process has started again`(id: String) {
        val fleet = startedFleet()
        fleet.stop { it.text == id }
        fleet.runUntil(lossAt + 10.seconds)
        fleet.restart(NodeId(id))
        fleet.runUntil(lossAt + 12.seconds)
        expectThat(fleet.running).all { get { members }.contains(NodeId(id)) }
    }

    @Test
    fun `a node that only reaches the store stays a member`() {
        val fleet = startedFleet()
        fleet.isolate(NodeId("z1-4"))
        for (second in 21..50) {
            fleet.runUntil(second.seconds)
            expectThat(fleet.running).all { get { members }.hasSize(26) }
        }
    }

    @Test
    fun `zones that were cut from each other keep all members through the store`() {
        val fleet = startedFleet()
        for (from in fleet.nodes) {
            for (to in fleet.nodes) if (from.target.zone != to.target.zone) fleet.cuts += from.id to to.id
        }
        for (second in 21..40) {
            fleet.runUntil(second.seconds)
            expectThat(fleet.running).all { get { members }.hasSize(26) }
        }
        fleet.cuts.clear()
        fleet.runUntil(45.seconds)
        expectThat(fleet.running).all { get { members }.hasSize(26) }
    }

    @Test
    fun `a linked node makes one call to the store in three seconds`() {
        val fleet = startedFleet()
        val before = fleet.nodes.sumOf { it.storeReads + it.storeWrites }
        fleet.runUntil(lossAt + 60.seconds)
        val calls = fleet.nodes.sumOf { it.storeReads + it.storeWrites } - before
        expectThat(calls / 26.0 / 60.0).isLessThan(0.35)
    }
}
