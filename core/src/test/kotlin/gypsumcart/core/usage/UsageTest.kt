package gypsumcart.core.usage

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.at
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.membership.StoreEra
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class UsageTest {
    private val team = TeamName("team")
    private val usage = Usage(UsageSettings(window = 5.seconds, lateAfter = 10.seconds))
    private val first = WindowNumber(20)

    /** Maps second 0 of the process to second 100 of Unix time, where window 20 begins. */
    private fun synchronizeTime() =
        usage.decide(UsageEvent.TimeSynchronized(UnixMillis(100_000), at(0.seconds)), at(0.seconds))

    private fun report(node: String, count: Int, until: Long): NodeReport =
        NodeReport(
            node = NodeId(node),
            incarnation = Incarnation(1),
            clientAddress = Address("10.0.0.1", 80),
            peerAddress = null,
            zone = ZoneName("a"),
            accepting = true,
            heartbeat = 1,
            usage = mapOf(first to mapOf(team to count)),
            usageUntil = UnixMillis(until),
            quotaUse = emptyMap(),
            load = emptyMap(),
            latency = emptyMap(),
            lease = null,
        )

    private fun acquireLease(vararg reports: NodeReport) {
        synchronizeTime()
        usage.decide(UsageEvent.HoldingChanged(true), at(1.seconds))
        usage.decide(UsageEvent.StoreHistoryRead(intactSince = null), at(1.seconds))
        usage.decide(UsageEvent.ReportsUpdated(reports.toList()), at(1.seconds))
    }

    private fun reportEffects(second: Double): List<UsageEffect> =
        usage.decide(UsageEvent.Tick, at(second.seconds)).filter { it !is UsageEffect.Publish }

    @Test
    fun `requests are counted in the window of Unix time in which they started`() {
        synchronizeTime()
        usage.decide(UsageEvent.RequestStarted(team, at(4.9.seconds)), at(5.1.seconds))
        usage.decide(UsageEvent.RequestStarted(team, at(5.1.seconds)), at(5.1.seconds))
        val publish = usage.decide(UsageEvent.Tick, at(6.seconds)).first() as UsageEffect.Publish
        expectThat(publish.usage).isEqualTo(mapOf(first to mapOf(team to 1), WindowNumber(21) to mapOf(team to 1)))
    }

    @Test
    fun `a window is reported once all nodes have counted it to its end`() {
        acquireLease(report("n1", 3, until = 106_000), report("n2", 4, until = 104_000))
        expectThat(reportEffects(7.0)).isEmpty()
        usage.decide(
            UsageEvent.ReportsUpdated(listOf(report("n1", 3, 108_000), report("n2", 5, 107_000))),
            at(8.seconds),
        )
        expectThat(reportEffects(8.0)).containsExactly(UsageEffect.StoreReport(first, mapOf(team to 8)))
    }

    @Test
    fun `a node that stopped reporting does not make the report late`() {
        acquireLease(report("n1", 3, until = 106_000), report("n2", 4, until = 104_000))
        expectThat(reportEffects(11.5)).contains(UsageEffect.StoreReport(first, mapOf(team to 7)))
    }

    @Test
    fun `the report that the store holds is sent, and sent again until it is accepted`() {
        acquireLease(report("n1", 3, until = 108_000))
        reportEffects(8.0)
        val stored = mapOf(team to 2)
        val send = UsageEffect.SendReport(FencedCommand.ReportUsage(first, stored))
        expectThat(usage.decide(UsageEvent.ReportStored(first, stored), at(8.1.seconds))).containsExactly(send)
        usage.decide(UsageEvent.SendCompleted(first, CommandResult.UNKNOWN), at(9.seconds))
        expectThat(reportEffects(9.5)).containsExactly(send)
        usage.decide(UsageEvent.SendCompleted(first, CommandResult.DONE), at(9.6.seconds))
        expectThat(reportEffects(9.9)).isEmpty()
    }

    @Test
    fun `a node that does not hold the lease reports nothing`() {
        acquireLease(report("n1", 3, until = 108_000))
        usage.decide(UsageEvent.HoldingChanged(false), at(2.seconds))
        expectThat(reportEffects(8.0)).isEmpty()
    }

    private fun takeOverAt8(intactSince: Double?) {
        synchronizeTime()
        usage.decide(UsageEvent.ReportsUpdated(listOf(report("n1", 3, until = 108_000))), at(7.seconds))
        usage.decide(UsageEvent.HoldingChanged(true), at(8.seconds))
        usage.decide(UsageEvent.StoreHistoryRead(intactSince?.let { at(it.seconds) }), at(8.seconds))
    }

    private fun report(counts: Map<TeamName, Int>) = UsageEffect.SendReport(FencedCommand.ReportUsage(first, counts))

    /** Guards against a report that a later holder sums up anew, with other counts, since the store has lost it. */
    @Test
    fun `reports that the store had acknowledged are stored again when it comes back from an older copy`() {
        acquireLease(report("n1", 3, until = 108_000))
        reportEffects(8.0)
        val counts = mapOf(team to 3)
        usage.decide(UsageEvent.ReportStored(first, counts), at(8.1.seconds))
        usage.decide(UsageEvent.SendCompleted(first, CommandResult.DONE), at(8.2.seconds))
        usage.decide(UsageEvent.HoldingChanged(false), at(8.3.seconds))
        val again = UsageEffect.StoreReport(first, counts)
        expectThat(usage.decide(UsageEvent.StoreRestored, at(9.seconds))).containsExactly(again)
        usage.decide(UsageEvent.StoreReportFailed(first), at(9.5.seconds))
        expectThat(reportEffects(10.0)).containsExactly(again)
        expectThat(usage.decide(UsageEvent.ReportStored(first, counts), at(10.1.seconds))).isEmpty()
        expectThat(reportEffects(12.0)).isEmpty()
    }

    /** Guards against two reports for one window: the store has lost the first one, which was sent. */
    @Test
    fun `a window that ended before the store came back from an older copy is not summed up by a later holder`() {
        takeOverAt8(intactSince = 7.5)
        expectThat(reportEffects(8.5)).containsExactly(UsageEffect.ReadReport(first))
        usage.decide(UsageEvent.StoreReportFailed(first), at(8.6.seconds))
        expectThat(reportEffects(9.6)).containsExactly(UsageEffect.ReadReport(first))
        val counts = mapOf(team to 2)
        expectThat(usage.decide(UsageEvent.ReportStored(first, counts), at(9.7.seconds)))
            .containsExactly(report(counts))
    }

    @Test
    fun `a window that ended after the store came back from an older copy is summed up by a later holder`() {
        takeOverAt8(intactSince = 4.5)
        expectThat(reportEffects(8.5)).containsExactly(UsageEffect.StoreReport(first, mapOf(team to 3)))
    }

    @Test
    fun `a holder sums up no window that ended before it took over until it knows what the store has lost`() {
        synchronizeTime()
        usage.decide(UsageEvent.ReportsUpdated(listOf(report("n1", 3, until = 108_000))), at(7.seconds))
        expectThat(usage.decide(UsageEvent.HoldingChanged(true), at(8.seconds)))
            .containsExactly(UsageEffect.ReadStoreHistory)
        expectThat(reportEffects(8.5)).isEmpty()
        expectThat(reportEffects(9.1)).containsExactly(UsageEffect.ReadStoreHistory)
    }

    @Test
    fun `a holder sums up what ended while it held the lease, also after the store came back from an older copy`() {
        acquireLease(report("n1", 3, until = 104_000))
        usage.decide(UsageEvent.StoreRestored, at(7.seconds))
        usage.decide(UsageEvent.StoreHistoryRead(at(7.seconds)), at(7.1.seconds))
        usage.decide(UsageEvent.HoldingChanged(true), at(7.2.seconds))
        usage.decide(UsageEvent.ReportsUpdated(listOf(report("n1", 3, until = 108_000))), at(8.seconds))
        expectThat(reportEffects(8.0)).containsExactly(UsageEffect.StoreReport(first, mapOf(team to 3)))
    }

    @Test
    fun `a report is not sent if the store holds other counts than those that it had acknowledged`() {
        acquireLease(report("n1", 3, until = 108_000))
        reportEffects(8.0)
        usage.decide(UsageEvent.ReportStored(first, mapOf(team to 3)), at(8.1.seconds))
        usage.decide(UsageEvent.SendCompleted(first, CommandResult.UNKNOWN), at(8.2.seconds))
        usage.decide(UsageEvent.StoreRestored, at(8.3.seconds))
        usage.decide(UsageEvent.StoreHistoryRead(at(8.3.seconds)), at(8.3.seconds))
        expectThat(usage.decide(UsageEvent.ReportStored(first, mapOf(team to 2)), at(8.4.seconds))).isEmpty()
        expectThat(reportEffects(12.0)).isEmpty()
    }

    /** Guards against two reports for one window: the row of the first is lost while the second is being stored. */
    @Test
    fun `a report whose write shows that the store came back from an older copy meanwhile is not sent`() {
        takeOverAt8(intactSince = null)
        expectThat(reportEffects(8.5)).containsExactly(UsageEffect.StoreReport(first, mapOf(team to 3)))
        val written = UsageEvent.ReportStored(first, mapOf(team to 3), writtenIn = StoreEra(2))
        expectThat(usage.decide(written, at(8.6.seconds))).isEmpty()
        expectThat(reportEffects(12.0)).isEmpty()
    }
}
