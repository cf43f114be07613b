package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime

/** Reports each peer that no longer counts as running, with the evidence for it. */
internal class LossReports(private val table: PeerTable) {
    private var live: Set<NodeKey> = emptySet()

    /**
     * Replaces the [live] peers and returns a report of each one that is no longer among them, unless it has started
     * again.
     */
    fun update(
        live: Set<NodeKey>,
        storeAnsweredAt: MonotonicTime,
        linked: Boolean,
        now: MonotonicTime,
    ): List<MembershipEffect> {
        val lost = this.live.filter { it !in live && table.isLatest(it) }
        this.live = live
        return lost.mapNotNull { table[it] }.map { entry ->
            MembershipEffect.PeerLost(
                peer = entry.key,
                zone = entry.report.zone,
                reportAge = now - entry.heardAt,
                linkAge = entry.linkedAt?.let { now - it },
                storeAge = now - storeAnsweredAt,
                linked = linked,
            )
        }
    }
}
