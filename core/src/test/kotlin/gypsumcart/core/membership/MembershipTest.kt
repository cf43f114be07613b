package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.QuotaPeers
import gypsumcart.core.admission.QuotaUse
import gypsumcart.core.at
import gypsumcart.core.streams.StreamPeer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class MembershipTest {
    private val membership =
        Membership(
            MembershipSettings(
                node = NodeId("self"),
                incarnation = Incarnation(9),
                clientAddress = Address("10.0.0.9", 80),
                peerAddress = null,
                zone = ZoneName("a"),
                heartbeatTimeout = 3.seconds,
                quotaWindow = 8.seconds,
            ),
        )

    private fun report(
        node: String,
        heartbeat: Long = 1,
        accepting: Boolean = true,
        incarnation: Long = 1,
    ): NodeReport =
        NodeReport(
            node = NodeId(node),
            incarnation = Incarnation(incarnation),
            clientAddress = Address("10.0.0.1", 80),
            peerAddress = null,
            zone = ZoneName("b"),
            accepting = accepting,
            heartbeat = heartbeat,
            usage = emptyMap(),
            usageUntil = UnixMillis(0),
            quotaUse = mapOf(TeamName("team") to QuotaUse(10.0, 50.0)),
            load = emptyMap(),
            latency = emptyMap(),
            lease = null,
        )

    private fun receive(second: Double, vararg reports: NodeReport): List<MembershipEffect> =
        membership.decide(MembershipEvent.ReportsReceived(reports.toList(), emptyList()), at(second.seconds))

    private fun members(effects: List<MembershipEffect>): List<String> =
        effects
            .filterIsInstance<MembershipEffect.UpdateMembers>()
            .single()
            .members
            .map { it.node.text }

    private fun streamPeers(effects: List<MembershipEffect>): List<StreamPeer> =
        effects.filterIsInstance<MembershipEffect.UpdateStreamPeers>().single().peers

    private fun peers(effects: List<MembershipEffect>): QuotaPeers =
        effects.filterIsInstance<MembershipEffect.UpdateQuotaPeers>().single().peers

    private fun spent(effects: List<MembershipEffect>): Double? = peers(effects).use[TeamName("team")]?.spent

    private fun peerDemand(effects: List<MembershipEffect>): Double? =
        peers(effects).use[TeamName("team")]?.demandPerSecond

    private fun answerFromStore(second: Double) =
        membership.decide(MembershipEvent.StoreAnswered, at(second.seconds))

    private fun tick(second: Double) = membership.decide(MembershipEvent.ReportDue, at(second.seconds))

    @Test
    fun `clients are directed to the nodes that accept connections`() {
        membership.decide(MembershipEvent.AcceptingChanged(true), MonotonicTime(0))
        val effects = receive(1.0, report("n1"), report("n2", accepting = false))
        expectThat(members(effects)).containsExactlyInAnyOrder("self", "n1")
    }

    // Guards against records that are sent to a node that does not take them, as those of the build before don't.
    @Test
    fun `records of streams are kept by the nodes that accept clients, keep records and have a link`() {
        membership.decide(MembershipEvent.AcceptingChanged(true), MonotonicTime(0))
        val address = Address("10.0.0.1", 81)
        val keeping = report("n3").copy(peerAddress = address, keepsStreamRecords = true)
        val effects =
            receive(
                1.0,
                report("n1").copy(peerAddress = address),
                report("n2").copy(keepsStreamRecords = true),
                keeping,
                keeping.copy(node = NodeId("n4"), accepting = false),
            )
        expectThat(streamPeers(effects)).containsExactly(StreamPeer(keeping.key, address, ZoneName("b")))
    }

    // Guards against nodes that replace each other as keepers with each report that a relay of the build before alters.
    @Test
    fun `a process that keeps records does so in all its reports, whoever passes them on`() {
        val keeping = report("n1").copy(peerAddress = Address("10.0.0.1", 81), keepsStreamRecords = true)
        val peer = StreamPeer(keeping.key, Address("10.0.0.1", 81), ZoneName("b"))
        expectThat(streamPeers(receive(1.0, keeping))).containsExactly(peer)
        val altered = keeping.copy(heartbeat = 2, keepsStreamRecords = false)
        expectThat(streamPeers(receive(1.5, altered))).containsExactly(peer)
        val restarted = altered.copy(incarnation = Incarnation(2))
        expectThat(streamPeers(receive(2.0, restarted))).isEmpty()
    }

    @Test
    fun `a node without new reports while the store answers is removed`() {
        receive(1.0, report("n1"), report("n2"))
        receive(4.0, report("n2", heartbeat = 2))
        answerFromStore(4.5)
        expectThat(members(tick(4.5))).containsExactly("n2")
    }

    @Test
    fun `a node that ended before this one started is not a member`() {
        val ended = report("n1")
        val ages = mapOf(ended.key to 20.seconds)
        val event = MembershipEvent.ReportsReceived(listOf(ended, report("n2")), emptyList(), ages)
        expectThat(members(membership.decide(event, at(30.seconds)))).containsExactly("n2")
    }

    @Test
    fun `no node is removed while the store does not answer`() {
        receive(1.0, report("n1"), report("n2"))
        expectThat(members(tick(30.0))).containsExactly("n1", "n2")
    }

    @Test
    fun `a node without new reports keeps a share of the quotas for a limited time`() {
        receive(1.0, report("n1"))
        answerFromStore(6.0)
        val soon = peers(tick(6.0))
        expectThat(soon.nodeCount to soon.unreachable.size).isEqualTo(2 to 1)
        answerFromStore(20.0)
        val later = peers(tick(20.0))
        expectThat(later.nodeCount to later.unreachable.size).isEqualTo(1 to 0)
    }

    @Test
    fun `a node is isolated when the store has not answered for longer than the heartbeat timeout`() {
        receive(1.0, report("n1"))
        expectThat(peers(tick(2.0)).isolated).isEqualTo(false)
        expectThat(peers(tick(6.0)).isolated).isEqualTo(true)
    }

    @Test
    fun `only the current demand of a restarted node counts`() {
        receive(1.0, report("n1", incarnation = 1))
        expectThat(peerDemand(receive(2.0, report("n1", incarnation = 2)))).isEqualTo(10.0)
    }

    @Test
    fun `a node that stops accepting connections publishes a report at once`() {
        membership.decide(MembershipEvent.AcceptingChanged(true), MonotonicTime(0))
        val effects = membership.decide(MembershipEvent.AcceptingChanged(false), at(1.seconds))
        val published = effects.filterIsInstance<MembershipEffect.Publish>().single().report
        expectThat(published.accepting).isEqualTo(false)
        expectThat(members(effects)).isEqualTo(emptyList())
    }

    @Test
    fun `what a node admitted before a restart counts less as the quota window passes`() {
        receive(0.0, report("n1", incarnation = 1))
        expectThat(spent(receive(4.0, report("n1", incarnation = 2)))).isEqualTo(50.0 + 50.0 / 2)
        expectThat(spent(receive(8.0, report("n1", incarnation = 2, heartbeat = 2)))).isEqualTo(50.0)
    }

    @Test
    fun `a node writes its report at once when the store has come back from an older copy`() {
        tick(1.0)
        val effects = membership.decide(MembershipEvent.StoreRestored, at(1.2.seconds))
        expectThat(effects.filterIsInstance<MembershipEffect.Publish>()).hasSize(1)
    }

    /** Guards against a node that has ended and is named to clients again because a copy shows its report. */
    @Test
    fun `a report that was removed does not count when an older copy of the store shows it`() {
        receive(1.0, report("n1", heartbeat = 5), report("n2"))
        val removed = MembershipEvent.ReportsReceived(emptyList(), listOf(report("n1").key))
        membership.decide(removed, at(1.5.seconds))
        membership.decide(MembershipEvent.StoreRestored, at(2.seconds))
        expectThat(members(receive(2.0, report("n1", heartbeat = 5), report("n2")))).containsExactly("n2")
        val alive = receive(2.5, report("n1", heartbeat = 6))
        expectThat(members(alive)).containsExactlyInAnyOrder("n1", "n2")
    }

    /** Guards against nodes that are dropped because a copy of the store lacks their reports or shows earlier ones. */
    @Test
    fun `an older copy of the store neither removes a node nor takes back what it reported`() {
        receive(1.0, report("n1", heartbeat = 5, accepting = false), report("n2"))
        membership.decide(MembershipEvent.StoreRestored, at(2.seconds))
        val copied = receive(2.0, report("n1", heartbeat = 4))
        expectThat(members(copied)).containsExactly("n2")
    }
}
