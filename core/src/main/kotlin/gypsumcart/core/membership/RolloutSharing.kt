package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import gypsumcart.core.rollout.NodeRollouts

/** Passes on what the nodes report of roll-outs, and nothing while none of them knows of any. */
internal class RolloutSharing(private val table: PeerTable, private val liveness: Liveness) {
    private var passedOn = TablePosition.START

    /** Returns what the other nodes report, if a report has changed since the last call. */
    fun changes(own: NodeReport, now: MonotonicTime): List<MembershipEffect> {
        if (table.position == passedOn) return emptyList()
        passedOn = table.position
        val isUsed = own.rollouts.isNotEmpty() || table.peers.any { it.report.rollouts.isNotEmpty() }
        if (!isUsed) return emptyList()
        val reports = table.peers.map { NodeRollouts(it.key, it.report.heartbeat, it.heardAt, it.report.rollouts) }
        val live = liveness.livePeers(now).mapTo(HashSet()) { it.key }
        return listOf(MembershipEffect.ObserveRollouts(reports.toList(), live + own.key))
    }
}
