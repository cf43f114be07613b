package gypsumcart.core.membership

import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.leases.LeaseRow
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers the peer link between the nodes of a fleet: relays, their loss and return, and the store as second path. */
class PeerLinkTest {
    private fun startedFleet(
        vararg zoneSizes: Int,
        network: SimulatedNetwork = SimulatedNetwork(),
    ): SimulatedFleet =
        SimulatedFleet(zoneSizes.toList(), network).apply {
            start()
            runUntil(6.seconds)
        }

    private fun SimulatedFleet.heartbeatsSeenBy(observer: String): Map<NodeKey, Long> =
        node(observer).reports.mapValues { it.value.heartbeat }

    @Test
    fun `all nodes are linked soon after a common start`() {
        val fleet = startedFleet(8, 8, 7, 7, 8)
        expectThat(fleet.nodes).all { get { linked }.isTrue() }
        expectThat(fleet.nodes).all { get { members }.hasSize(38) }
    }

    // Guards against records that nobody keeps because the nodes don't know which of them do.
    @Test
    fun `all nodes agree which ones keep records of streams, and leave out one that is lost or stops`() {
        val fleet = startedFleet(3, 3)
        val keys = fleet.nodes.map { it.key }
        expectThat(fleet.nodes).all { get { streamPeers.map { it.key } }.isEqualTo(keys) }
        fleet.node("z0-2").running = false
        fleet.node("z1-3").decide(MembershipEvent.AcceptingChanged(false))
        fleet.runUntil(16.seconds)
        val left = listOf("z0-1", "z0-3", "z1-1", "z1-2").map { fleet.node(it).key }
        expectThat(fleet.nodes.filter { it.running }).all { get { streamPeers.map { it.key } }.isEqualTo(left) }
    }

    @Test
    fun `reports reach all nodes within one and a half seconds without the store`() {
        val fleet = startedFleet(8, 8, 7, 7, 8)
        fleet.storeAnswers = false
        fleet.runUntil(20.seconds)
        val sent = fleet.nodes.associate { it.key to it.reports.getValue(it.key).heartbeat }
        fleet.runUntil(21.5.seconds)
        for (observer in fleet.nodes) {
            val seen = fleet.heartbeatsSeenBy(observer.id.text)
            expectThat(sent.filter { (key, heartbeat) -> seen.getValue(key) < heartbeat }).isEmpty()
        }
        expectThat(fleet.nodes).all { get { linked }.isTrue() }
    }

    @Test
    fun `reports reach all nodes although a fifth of the messages are lost and others arrive twice`() {
        val fleet = startedFleet(4, 4, 4, network = SimulatedNetwork(lossRate = 0.2, repeatRate = 0.2))
        fleet.storeAnswers = false
        fleet.runUntil(30.seconds)
        val sent = fleet.nodes.associate { it.key to it.reports.getValue(it.key).heartbeat }
        fleet.runUntil(36.seconds)
        for (observer in fleet.nodes) {
            val seen = fleet.heartbeatsSeenBy(observer.id.text)
            expectThat(sent.filter { (key, heartbeat) -> seen.getValue(key) < heartbeat }).isEmpty()
        }
    }

    @Test
    fun `a linked node makes one call to the store in two seconds`() {
        val fleet = startedFleet(8, 8, 7, 7, 8)
        val before = fleet.nodes.sumOf { it.storeReads + it.storeWrites }
        fleet.runUntil(66.seconds)
        val calls = fleet.nodes.sumOf { it.storeReads + it.storeWrites } - before
        expectThat(calls / 38.0 / 60.0).isLessThan(0.5)
    }

    @Test
    fun `the nodes of a zone are linked again within three seconds after the loss of their relay`() {
        val fleet = startedFleet(4, 4, 4)
        fleet.node("z0-1").running = false
        fleet.runUntil(9.seconds)
        expectThat(fleet.nodes.filter { it.running }).all { get { linked }.isTrue() }
        val before = fleet.heartbeatsSeenBy("z1-3")
        fleet.runUntil(10.5.seconds)
        val after = fleet.heartbeatsSeenBy("z1-3")
        val key = fleet.node("z0-3").key
        expectThat(after.getValue(key)).isGreaterThan(before.getValue(key))
    }

    @Test
    fun `a lost node is no longer a member after five seconds`() {
        val fleet = startedFleet(4, 4, 4)
        fleet.node("z0-1").running = false
        fleet.runUntil(11.seconds)
        expectThat(fleet.nodes.filter { it.running }).all {
            get { members }.doesNotContain(NodeId("z0-1"))
        }
    }

    @Test
    fun `a relay that returns after a freeze serves its zone again and no node is lost`() {
        val fleet = startedFleet(4, 4, 4)
        fleet.node("z0-1").running = false
        fleet.runUntil(12.seconds)
        fleet.node("z0-1").running = true
        fleet.runUntil(20.seconds)
        expectThat(fleet.nodes).all {
            get { linked }.isTrue()
            get { members }.hasSize(12)
        }
    }

    @Test
    fun `a node that only reaches the store stays a member through the store`() {
        val fleet = startedFleet(4, 4, 4)
        fleet.isolate(NodeId("z1-2"))
        for (second in 7..30) {
            fleet.runUntil(second.seconds)
            expectThat(fleet.node("z2-1").members).contains(NodeId("z1-2"))
        }
        expectThat(fleet.node("z1-2").linked).isFalse()
        expectThat(fleet.node("z1-2").members).hasSize(12)
    }

    @Test
    fun `a link that is cut one way between two relays makes both zones use the store more often`() {
        val fleet = startedFleet(3, 3, 3)
        for (from in 1..3) for (to in 1..3) fleet.cuts += NodeId("z0-$from") to NodeId("z1-$to")
        fleet.runUntil(12.seconds)
        expectThat(fleet.node("z0-2").linked).isFalse()
        expectThat(fleet.node("z1-2").linked).isFalse()
        expectThat(fleet.node("z2-2").linked).isTrue()
        for (second in 13..30) {
            fleet.runUntil(second.seconds)
            expectThat(fleet.nodes).all { get { members }.hasSize(9) }
        }
        fleet.cuts.clear()
        fleet.runUntil(36.seconds)
        expectThat(fleet.nodes).all { get { linked }.isTrue() }
    }

    @Test
    fun `a process that starts again at the same address replaces the earlier one`() {
        val fleet = startedFleet(4, 4, 4)
        fleet.restart(NodeId("z0-1"))
        fleet.runUntil(12.seconds)
        expectThat(fleet.nodes).all {
            get { linked }.isTrue()
            get { members }.hasSize(12)
        }
        val seen = fleet.node("z2-3").reports.getValue(NodeKey(NodeId("z0-1"), Incarnation(2)))
        fleet.runUntil(14.seconds)
        expectThat(fleet.heartbeatsSeenBy("z2-3").getValue(seen.key)).isGreaterThan(seen.heartbeat)
    }

    @Test
    fun `a message of an unknown node is refused and makes its recipient read the store`() {
        val fleet = startedFleet(2, 2)
        val node = fleet.node("z0-1")
        val stranger = NodeKey(NodeId("stranger"), Incarnation(1))
        val message = PeerMessage(stranger, emptyList(), TablePosition(1), TablePosition.START, linked = true)
        val effects = node.membership.decide(MembershipEvent.MessageReceived(ExchangeId(1), message), node.time())
        expectThat(effects).contains(MembershipEffect.Refuse(ExchangeId(1), stranger))
        expectThat(effects).contains(MembershipEffect.ReadStore)
    }

    @Test
    fun `an old report that another node still passes on does not bring back an ended process`() {
        val fleet = startedFleet(2, 2)
        val old = fleet.node("z1-2").reports.getValue(fleet.node("z1-2").key)
        fleet.restart(NodeId("z1-2"))
        fleet.runUntil(10.seconds)
        val observer = fleet.node("z0-1")
        val late = PeerItem(old.copy(heartbeat = 1_000), 10.milliseconds, hasUsage = true)
        val message =
            PeerMessage(fleet.node("z1-1").key, listOf(late), TablePosition(1_000), TablePosition.START, linked = true)
        observer.decide(MembershipEvent.MessageReceived(ExchangeId(7), message))
        fleet.runUntil(11.seconds)
        expectThat(fleet.heartbeatsSeenBy("z0-1")[old.key]).isEqualTo(
            fleet.heartbeatsSeenBy("z0-1")[old.key]?.coerceAtMost(999),
        )
    }

    @Test
    fun `the holder's writes of the lease row reach the other nodes over the link`() {
        val fleet = startedFleet(2, 2)
        val seen = ArrayList<LeaseRow>()
        fleet.node("z1-2").onEffect = { if (it is MembershipEffect.ObserveLease) seen += it.row }
        val holder = fleet.node("z0-2")
        holder.decide(MembershipEvent.LeaseWritten(LeaseRow(holder.id, holder.key.incarnation, 42, null)))
        fleet.runUntil(8.seconds)
        expectThat(seen.map { it.version }.distinct()).isEqualTo(listOf(42L))
    }
}
