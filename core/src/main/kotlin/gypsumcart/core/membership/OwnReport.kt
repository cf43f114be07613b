package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.routing.RoutingFindings

/** Collects what this node reports to the others, and records it in [table] with each renewal. */
internal class OwnReport(settings: MembershipSettings, private val table: PeerTable) {
    private var findings = RoutingFindings.NONE
    private var findingsAt = MonotonicTime(0)

    var report =
        NodeReport(
            node = settings.node,
            incarnation = settings.incarnation,
            clientAddress = settings.clientAddress,
            peerAddress = settings.peerAddress,
            zone = settings.zone,
            accepting = false,
            heartbeat = 0,
            usage = emptyMap(),
            usageUntil = UnixMillis(0),
            quotaUse = emptyMap(),
            load = emptyMap(),
            latency = emptyMap(),
            lease = null,
            relayRank = settings.relayRank,
            keepsStreamRecords = settings.peerAddress != null,
        )
        private set

    /** Changes what the next renewal reports. */
    fun update(change: (NodeReport) -> NodeReport) {
        report = change(report)
    }

    fun updateUsage(usage: Map<WindowNumber, Map<TeamName, Int>>, until: UnixMillis) {
        report = report.copy(usage = usage, usageUntil = until)
    }

    /** Replaces the findings; returns whether they say something else than before. */
    fun updateFindings(findings: RoutingFindings, now: MonotonicTime): Boolean {
        val changed = !findings.hasContentOf(this.findings)
        this.findings = findings
        findingsAt = now
        return changed
    }

    /** Replaces what is reported of roll-outs, at once if it is urgent. */
    fun updateRollouts(event: MembershipEvent.RolloutsUpdated, now: MonotonicTime) {
        report = report.copy(rollouts = event.reports)
        if (event.isUrgent) renew(now)
    }

    /** Numbers the report anew and records it. */
    fun renew(now: MonotonicTime) {
        report =
            report.copy(
                heartbeat = report.heartbeat + 1,
                findings = findings.olderBy(now - findingsAt),
            )
        table.putOwn(report, now)
    }
}
