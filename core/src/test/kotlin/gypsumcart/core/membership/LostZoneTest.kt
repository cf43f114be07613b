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
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against naming hosts to clients that have been off for long, above all if a whole zone went off. */
class LostZoneTest {
    private val lossAt = 10.seconds

    private fun startedFleet(vararg zoneSizes: Int): SimulatedFleet =
        SimulatedFleet(zoneSizes.toList()).apply {
            start()
            runUntil(lossAt)
        }

    private fun SimulatedFleet.stopZone(zone: String): List<NodeId> {
        val lost = nodes.filter { it.target.zone.text == zone }
        lost.forEach { it.running = false }
        return lost.map { it.id }
    }

    private val SimulatedFleet.running get() = nodes.filter { it.running }

    private fun SimulatedFleet.expectGone(lost: List<NodeId>) {
        for (node in lost) expectThat(running).all { get { members }.doesNotContain(node) }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 9])
    fun `no node names the hosts of a zone four seconds after the zone has lost power`(size: Int) {
        val fleet = startedFleet(2, size, 1)
        val lost = fleet.stopZone("z1")
        fleet.runUntil(lossAt + 4.seconds)
        fleet.expectGone(lost)
        expectThat(fleet.running).all { get { members }.hasSize(3) }
    }

    @Test
    fun `no node names the hosts of a zone that loses power while the store is away`() {
        val fleet = startedFleet(2, 3, 1)
        fleet.runUntil(lossAt - 1.seconds)
        fleet.storeAnswers = false
        fleet.runUntil(lossAt)
        val lost = fleet.stopZone("z1")
        fleet.runUntil(lossAt + 4.seconds)
        fleet.expectGone(lost)
        expectThat(fleet.running).all { get { members }.hasSize(3) }
    }

    @Test
    fun `the last node of a fleet names itself alone four seconds after all others have lost power`() {
        val fleet = startedFleet(1, 3, 2)
        val lost = fleet.stopZone("z1") + fleet.stopZone("z2")
        fleet.runUntil(lossAt + 4.seconds)
        fleet.expectGone(lost)
    }

    @Test
    fun `a node that reaches the store alone does not name a host that has lost power, and names all others`() {
        val fleet = startedFleet(3, 3, 1)
        fleet.isolate(NodeId("z0-2"))
        fleet.runUntil(lossAt + 6.seconds)
        val lost = fleet.stopZone("z2")
        fleet.runUntil(lossAt + 10.seconds)
        fleet.expectGone(lost)
        repeat(50) {
            fleet.runUntil(fleet.now + 200.milliseconds)
            expectThat(fleet.running).all { get { members }.hasSize(6) }
        }
    }

    @Test
    fun `a node that reaches neither the store nor a peer keeps all hosts`() {
        val fleet = startedFleet(2, 2)
        fleet.isolate(NodeId("z0-1"))
        fleet.storeCuts += NodeId("z0-1")
        fleet.runUntil(lossAt + 20.seconds)
        expectThat(fleet.node("z0-1").members).hasSize(4)
    }

    @Test
    fun `a node that was frozen names all hosts at once when it runs again`() {
        for (frozen in listOf("z0-1", "z0-2", "z1-1")) {
            val fleet = startedFleet(2, 1, 2)
            fleet.node(frozen).running = false
            fleet.runUntil(lossAt + 15.seconds)
            fleet.node(frozen).running = true
            repeat(40) {
                fleet.runUntil(fleet.now + 100.milliseconds)
                expectThat(fleet.node(frozen).members).hasSize(5)
            }
            expectThat(fleet.running).all { get { members }.hasSize(5) }
        }
    }

    @Test
    fun `a host is named within two seconds after its process has started again`() {
        val fleet = startedFleet(2, 1, 2)
        fleet.stopZone("z1")
        fleet.runUntil(lossAt + 14.seconds)
        fleet.restart(NodeId("z1-1"))
        fleet.runUntil(lossAt + 16.seconds)
        expectThat(fleet.running).all { get { members }.contains(NodeId("z1-1")) }
    }

    @Test
    fun `the return of a zone does not unlink the other nodes`() {
        val fleet = startedFleet(2, 1, 2)
        fleet.stopZone("z1")
        fleet.runUntil(lossAt + 14.seconds)
        val changes = ArrayList<MembershipEffect>()
        fleet.running.forEach { node -> node.onEffect = { if (it is MembershipEffect.LinkChanged) changes += it } }
        fleet.restart(NodeId("z1-1"))
        fleet.runUntil(lossAt + 20.seconds)
        expectThat(changes).hasSize(0)
    }

    @Test
    fun `zones that were cut from each other while the store was away name each other again`() {
        val fleet = startedFleet(2, 2)
        fleet.storeAnswers = false
        for (from in listOf("z0-1", "z0-2")) {
            for (to in listOf("z1-1", "z1-2")) {
                fleet.cuts += NodeId(from) to NodeId(to)
                fleet.cuts += NodeId(to) to NodeId(from)
            }
        }
        fleet.runUntil(lossAt + 12.seconds)
        fleet.cuts.clear()
        fleet.runUntil(lossAt + 14.seconds)
        expectThat(fleet.running).all { get { members }.hasSize(4) }
    }

    @Test
    fun `the loss of a zone isolates no other node, and a node that reaches no peer is isolated`() {
        val fleet = startedFleet(2, 3, 1)
        val isolated = ArrayList<Duration>()
        for (node in fleet.nodes.filter { it.target.zone.text != "z1" }) {
            node.onEffect = { if (it is MembershipEffect.UpdateQuotaPeers && it.peers.isolated) isolated += fleet.now }
        }
        fleet.stopZone("z1")
        fleet.runUntil(lossAt + 10.seconds)
        expectThat(isolated).hasSize(0)
        fleet.node("z0-2").onEffect = {}
        fleet.isolate(NodeId("z0-2"))
        fleet.runUntil(lossAt + 14.seconds)
        expectThat(fleet.node("z0-2").quotaPeers?.isolated).isEqualTo(true)
        expectThat(fleet.node("z0-1").quotaPeers?.isolated).isEqualTo(false)
    }

    @Test
    fun `zones that are cut from each other while the store is away keep the shares of the quotas apart`() {
        val fleet = startedFleet(2, 2)
        fleet.storeAnswers = false
        for (id in listOf("z0-1", "z0-2")) fleet.isolate(NodeId(id))
        for ((one, other) in listOf("z0-1" to "z0-2", "z0-2" to "z0-1")) fleet.cuts -= NodeId(one) to NodeId(other)
        fleet.runUntil(lossAt + 80.seconds)
        expectThat(fleet.running).all {
            get { quotaPeers?.nodeCount }.isEqualTo(4)
            get { quotaPeers?.unreachable?.size }.isEqualTo(2)
        }
    }

    @Test
    fun `the loss of a zone costs each node at most the calls to the store of four seconds without a link`() {
        val fleet = startedFleet(4, 1, 4)
        val before = fleet.calls()
        fleet.runUntil(lossAt + 20.seconds)
        val calm = fleet.calls() - before
        fleet.stopZone("z1")
        val atLoss = fleet.calls()
        fleet.runUntil(fleet.now + 20.seconds)
        expectThat((fleet.calls() - atLoss - calm) / fleet.running.size).isLessThanOrEqualTo(10)
    }

    private fun SimulatedFleet.calls(): Int = nodes.sumOf { it.storeReads + it.storeWrites }
}
