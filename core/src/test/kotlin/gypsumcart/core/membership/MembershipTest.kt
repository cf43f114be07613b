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
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class MembershipTest {
    private val membership =
        Membership(
            MembershipSettings(
                node = NodeId("self"),
                incarnation = Incarnation(9),
                clientAddress = Address("10.0.0.9", 80),
                zone = ZoneName("a"),
                silence = 3.seconds,
                quotaWindow = 8.seconds,
            ),
        )

    private fun report(node: String, beat: Long = 1, accepting: Boolean = true, incarnation: Long = 1): NodeReport =
        NodeReport(
            node = NodeId(node),
            incarnation = Incarnation(incarnation),
            clientAddress = Address("10.0.0.1", 80),
            zone = ZoneName("b"),
            accepting = accepting,
            beat = beat,
            usage = emptyMap(),
            usageUntil = UnixMillis(0),
            quotaUse = mapOf(TeamName("team") to QuotaUse(10.0, 50.0)),
            load = emptyMap(),
        )

    private fun see(second: Double, vararg reports: NodeReport): List<MembershipEffect> =
        membership.decide(MembershipEvent.Reported(reports.toList(), emptyList()), at(second.seconds))

    private fun members(effects: List<MembershipEffect>): List<String> =
        effects
            .filterIsInstance<MembershipEffect.Direct>()
            .single()
            .members
            .map { it.node.text }

    private fun peers(effects: List<MembershipEffect>): QuotaPeers =
        effects.filterIsInstance<MembershipEffect.ShareQuotas>().single().peers

    private fun spent(effects: List<MembershipEffect>): Double? = peers(effects).use[TeamName("team")]?.spent

    private fun peerDemand(effects: List<MembershipEffect>): Double? =
        peers(effects).use[TeamName("team")]?.demandPerSecond

    private fun answered(second: Double) =
        membership.decide(MembershipEvent.StoreAnswered, at(second.seconds))

    private fun due(second: Double) = membership.decide(MembershipEvent.ReportDue, at(second.seconds))

    @Test
    fun `clients are sent to the nodes that accept them`() {
        membership.decide(MembershipEvent.AcceptingChanged(true), MonotonicTime(0))
        val effects = see(1.0, report("n1"), report("n2", accepting = false))
        expectThat(members(effects)).containsExactlyInAnyOrder("self", "n1")
    }

    @Test
    fun `a node that is silent while the store answers is gone`() {
        see(1.0, report("n1"), report("n2"))
        see(4.0, report("n2", beat = 2))
        answered(4.5)
        expectThat(members(due(4.5))).containsExactly("n2")
    }

    @Test
    fun `no node is gone while the store itself is silent`() {
        see(1.0, report("n1"), report("n2"))
        expectThat(members(due(30.0))).containsExactly("n1", "n2")
    }

    @Test
    fun `a node that fell silent has a part of the quotas for a while`() {
        see(1.0, report("n1"))
        answered(6.0)
        val soon = peers(due(6.0))
        expectThat(soon.nodeCount to soon.unreachable.size).isEqualTo(2 to 1)
        answered(20.0)
        val later = peers(due(20.0))
        expectThat(later.nodeCount to later.unreachable.size).isEqualTo(1 to 0)
    }

    @Test
    fun `a node whose store is silent knows that it is not heard of`() {
        see(1.0, report("n1"))
        expectThat(peers(due(2.0)).isolated).isEqualTo(false)
        expectThat(peers(due(6.0)).isolated).isEqualTo(true)
    }

    @Test
    fun `a node that started again counts once`() {
        see(1.0, report("n1", incarnation = 1))
        expectThat(peerDemand(see(2.0, report("n1", incarnation = 2)))).isEqualTo(10.0)
    }

    @Test
    fun `a node that leaves tells the others at once`() {
        membership.decide(MembershipEvent.AcceptingChanged(true), MonotonicTime(0))
        val effects = membership.decide(MembershipEvent.AcceptingChanged(false), at(1.seconds))
        val published = effects.filterIsInstance<MembershipEffect.Publish>().single().report
        expectThat(published.accepting).isEqualTo(false)
        expectThat(members(effects)).isEqualTo(emptyList())
    }

    @Test
    fun `what a node admitted before it started again counts less and less`() {
        see(0.0, report("n1", incarnation = 1))
        expectThat(spent(see(4.0, report("n1", incarnation = 2)))).isEqualTo(50.0 + 50.0 / 2)
        expectThat(spent(see(8.0, report("n1", incarnation = 2, beat = 2)))).isEqualTo(50.0)
    }
}
