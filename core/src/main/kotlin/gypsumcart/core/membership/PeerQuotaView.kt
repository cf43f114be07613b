package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import gypsumcart.core.TeamName
import gypsumcart.core.admission.Lender
import gypsumcart.core.admission.LendingNodes
import gypsumcart.core.admission.QuotaPeers
import gypsumcart.core.admission.QuotaUse

/** Sums up what the reports of the other nodes say about the use of quotas. */
internal class PeerQuotaView(private val settings: MembershipSettings, private val table: PeerTable) {
    /**
     * Returns the nodes among which quotas are divided.
     *
     * A node whose reports stopped may only have lost its contact and still serve clients, so it keeps a share of the
     * quotas. What a node admitted before a restart counts as far as it still lies in the quota window.
     *
     * @param contactAt when the store last answered; reports do not age without it
     * @param startedAt when this process first knew of the other nodes
     * @param isCurrent whether the quota use in an entry is what the node uses now
     */
    fun peers(
        now: MonotonicTime,
        contactAt: MonotonicTime,
        startedAt: MonotonicTime,
        isIsolated: Boolean,
        isCurrent: (PeerTable.Entry) -> Boolean,
    ): QuotaPeers {
        val recent =
            table.peers
                .filter { contactAt - it.heardAt <= settings.heartbeatTimeout * RESERVE_TIMEOUTS }
                .toList()
        val (latest, former) = recent.partition { table.isLatest(it.key) }
        val (live, silent) = latest.partition(isCurrent)
        val use = HashMap<TeamName, QuotaUse>()
        val counted = live.map { it.report.quotaUse } + former.map { it.remainingUse(now) }
        for (useByTeam in counted) useByTeam.forEach { (team, used) -> use.merge(team, used, QuotaUse::plus) }
        return QuotaPeers(
            use = use,
            unreachable = silent.map { it.remainingUse(now) },
            nodeCount = latest.size + 1,
            isolated = isIsolated,
            isolatedFraction = isolatedFraction(now, startedAt),
            lending = lendingNodes(live),
        )
    }

    /** A node that does not accept clients starts or stops, and lends nothing. */
    private fun lendingNodes(live: List<PeerTable.Entry>): LendingNodes? {
        if (settings.peerAddress == null) return null
        val own = table[NodeKey(settings.node, settings.incarnation)]?.report
        val accepting = (live.map { it.report } + listOfNotNull(own)).filter { it.accepting }
        val lenders =
            accepting.mapNotNull { report ->
                report.peerAddress?.let { Lender(report.node, it, report.zone) }
            }
        return LendingNodes(settings.node, lenders.sortedBy { it.node })
    }

    /**
     * Returns the part of the last reported use that still lies in the quota window, assuming no use since then.
     *
     * A report that came through the store is older than it looks, because linked nodes write there seldom. The node
     * is assumed to have gone on as before until the next write was due.
     */
    private fun PeerTable.Entry.remainingUse(now: MonotonicTime): Map<TeamName, QuotaUse> {
        val fraction = (1 - (now - heardAt) / settings.quotaWindow).coerceAtLeast(0.0)
        val isWrittenSeldom = source == null && report.peerAddress != null
        val unreported = if (isWrittenSeldom) LINKED_PUBLISH_PERIOD / settings.quotaWindow else 0.0
        return report.quotaUse.mapValues { (_, used) ->
            QuotaUse(demandPerSecond = 0.0, spent = used.spent * fraction * (1 + unreported))
        }
    }

    /** Returns the part of its even share that this node may use while isolated, given its use before a restart. */
    private fun isolatedFraction(now: MonotonicTime, startedAt: MonotonicTime): Double {
        val restarted = table.peers.any { it.report.node == settings.node }
        return if (restarted) ((now - startedAt) / settings.quotaWindow).coerceIn(0.0, 1.0) else 1.0
    }

    private companion object {
        /**
         * The age of the last report, in heartbeat timeouts, up to which a node keeps a share of the quotas: longer
         * than most losses of contact and than a quota window.
         */
        const val RESERVE_TIMEOUTS = 4
    }
}
