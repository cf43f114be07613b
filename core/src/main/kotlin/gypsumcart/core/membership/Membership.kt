package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.Decider
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.QuotaPeers
import gypsumcart.core.admission.QuotaUse
import kotlin.time.Duration

/**
 * Holds what one node tells the others, about once a second.
 *
 * @property clientAddress where clients connect to it
 * @property accepting whether clients should choose it for new connections
 * @property beat rises with each report
 * @property usage the requests that began to run through it, by window and team
 * @property usageUntil the true time up to which [usage] is complete
 * @property quotaUse what teams use of their quotas through it
 * @property load what it has in progress, by service
 */
public data class NodeReport(
    public val node: NodeId,
    public val incarnation: Incarnation,
    public val clientAddress: Address,
    public val zone: ZoneName,
    public val accepting: Boolean,
    public val beat: Long,
    public val usage: Map<WindowNumber, Map<TeamName, Int>>,
    public val usageUntil: UnixMillis,
    public val quotaUse: Map<TeamName, QuotaUse>,
    public val load: Map<ServiceName, Double>,
)

/** Names one start of a node. */
public data class NodeKey(public val node: NodeId, public val incarnation: Incarnation)

/** Names the start of the node that made the report. */
public val NodeReport.key: NodeKey get() = NodeKey(node, incarnation)

/** Tells the membership duty what happened. */
public sealed class MembershipEvent {
    /** The store showed reports of nodes, this one's perhaps among them, and reports that were removed. */
    public data class Reported(
        public val reports: List<NodeReport>,
        public val removed: List<NodeKey>,
    ) : MembershipEvent()

    /** The store answered and had nothing new. */
    public data object StoreAnswered : MembershipEvent()

    /** This node accepts new connections, or does not any more. */
    public data class AcceptingChanged(public val accepting: Boolean) : MembershipEvent()

    /** Teams use so much of their quotas through this node. */
    public data class QuotaUsed(public val use: Map<TeamName, QuotaUse>) : MembershipEvent()

    /** This node has so much in progress, by service. */
    public data class Loaded(public val load: Map<ServiceName, Double>) : MembershipEvent()

    /** So many requests began to run through this node; the counts are complete up to [until]. */
    public data class UsageCounted(
        public val usage: Map<WindowNumber, Map<TeamName, Int>>,
        public val until: UnixMillis,
    ) : MembershipEvent()

    /** The time came to report. */
    public data object ReportDue : MembershipEvent()
}

/** Says what the membership duty wants done. */
public sealed class MembershipEffect {
    /** Writes this node's report to the store. */
    public data class Publish(public val report: NodeReport) : MembershipEffect()

    /** Removes from the store what nodes left there that are long gone. */
    public data class Forget(public val nodes: List<NodeKey>) : MembershipEffect()

    /** Tells clients that ask from now on to choose among [members]. */
    public data class Direct(public val members: List<Member>) : MembershipEffect()

    /** Tells the filters how many nodes there are. */
    public data class CountNodes(public val nodes: Int) : MembershipEffect()

    /** Tells the admission filter among whom quotas are divided. */
    public data class ShareQuotas(public val peers: QuotaPeers) : MembershipEffect()

    /** Tells the duties what all nodes, this one too, report. */
    public data class ShareReports(public val reports: List<NodeReport>) : MembershipEffect()
}

/** Describes a node that clients can connect to. */
public data class Member(public val node: NodeId, public val clientAddress: Address, public val zone: ZoneName)

/**
 * Describes this node to others.
 *
 * @property silence how long a node may be silent, while the store answers, before it counts as gone
 * @property quotaWindow over which quotas are counted
 */
public data class MembershipSettings(
    public val node: NodeId,
    public val incarnation: Incarnation,
    public val clientAddress: Address,
    public val zone: ZoneName,
    public val silence: Duration,
    public val quotaWindow: Duration,
)

/** Decides which nodes are live and tells each what it needs of the others. */
public class Membership(private val settings: MembershipSettings) : Decider<MembershipEvent, MembershipEffect> {
    private class Peer(var report: NodeReport, var seenAt: MonotonicTime)

    private val peers = HashMap<NodeKey, Peer>()
    private val self = NodeKey(settings.node, settings.incarnation)
    private var storeAnsweredAt = MonotonicTime(0)
    private var own =
        NodeReport(
            node = settings.node,
            incarnation = settings.incarnation,
            clientAddress = settings.clientAddress,
            zone = settings.zone,
            accepting = false,
            beat = 0,
            usage = emptyMap(),
            usageUntil = UnixMillis(0),
            quotaUse = emptyMap(),
            load = emptyMap(),
        )

    override fun decide(event: MembershipEvent, now: MonotonicTime): List<MembershipEffect> =
        when (event) {
            is MembershipEvent.Reported -> takeReports(event, now)
            MembershipEvent.StoreAnswered -> update { storeAnsweredAt = now }
            is MembershipEvent.AcceptingChanged -> changeAccepting(event.accepting, now)
            is MembershipEvent.QuotaUsed -> update { own = own.copy(quotaUse = event.use) }
            is MembershipEvent.Loaded -> update { own = own.copy(load = event.load) }
            is MembershipEvent.UsageCounted -> update { own = own.copy(usage = event.usage, usageUntil = event.until) }
            MembershipEvent.ReportDue -> listOf(publish()) + share(now) + forget(now)
        }

    private inline fun update(change: () -> Unit): List<MembershipEffect> {
        change()
        return emptyList()
    }

    private fun changeAccepting(accepting: Boolean, now: MonotonicTime): List<MembershipEffect> {
        own = own.copy(accepting = accepting)
        return listOf(publish()) + share(now)
    }

    private fun publish(): MembershipEffect {
        own = own.copy(beat = own.beat + 1)
        return MembershipEffect.Publish(own)
    }

    private fun takeReports(event: MembershipEvent.Reported, now: MonotonicTime): List<MembershipEffect> {
        storeAnsweredAt = now
        peers.keys.removeAll(event.removed.toSet())
        for (report in event.reports) {
            if (report.key == self) continue
            val peer = peers[report.key]
            if (peer != null && report.beat <= peer.report.beat) continue
            peers[report.key] = Peer(report, now)
        }
        return share(now)
    }

    /**
     * Sums what teams use through other nodes.
     *
     * A node that fell silent may be cut off from the store and still serve. What a node admitted before it started
     * again counts as far as it still lies in the window.
     */
    private fun quotaPeers(now: MonotonicTime): MembershipEffect {
        val recent = peers.values.filter { now - it.seenAt <= settings.silence * RESERVE_AFTER }
        val (newest, former) = recent.partition { it.report.key == newestStart(it.report.node) }
        val (heard, silent) = newest.partition { isLive(it, now) }
        val use = HashMap<TeamName, QuotaUse>()
        val counted = heard.map { it.report.quotaUse } + former.map { it.remainingUse(now) }
        for (one in counted) one.forEach { (team, used) -> use.merge(team, used, QuotaUse::plus) }
        val isolated = now - storeAnsweredAt > settings.silence
        return MembershipEffect.ShareQuotas(
            QuotaPeers(use, silent.map { it.remainingUse(now) }, newest.size + 1, isolated),
        )
    }

    /** Returns the use that still lies in the window, when nothing was heard since. */
    private fun Peer.remainingUse(now: MonotonicTime): Map<TeamName, QuotaUse> {
        val left = (1 - (now - seenAt) / settings.quotaWindow).coerceAtLeast(0.0)
        return report.quotaUse.mapValues { (_, used) -> QuotaUse(demandPerSecond = 0.0, spent = used.spent * left) }
    }

    private fun newestStart(node: NodeId): NodeKey? =
        if (node == settings.node) {
            self
        } else {
            peers.keys.filter { it.node == node }.maxByOrNull { it.incarnation }
        }

    private fun share(now: MonotonicTime): List<MembershipEffect> {
        val live = peers.values.filter { isLive(it, now) }.map { it.report }
        val members = (live + own).filter { it.accepting }.distinctBy { it.node }.map(NodeReport::toMember)
        val reports = peers.values.map { if (isLive(it, now)) it.report else it.report.copy(load = emptyMap()) } + own
        return listOf(
            MembershipEffect.Direct(members.sortedBy { it.node }),
            MembershipEffect.CountNodes(
                live
                    .map { it.node }
                    .toSet()
                    .minus(settings.node)
                    .size + 1,
            ),
            MembershipEffect.ShareReports(reports),
            quotaPeers(now),
        )
    }

    /** A report ages only while the store answers, so that an outage of the store removes nobody. */
    private fun isLive(peer: Peer, now: MonotonicTime): Boolean =
        peer.report.node != settings.node && minOf(storeAnsweredAt, now) - peer.seenAt <= settings.silence

    private fun forget(now: MonotonicTime): List<MembershipEffect> {
        val old = peers.filterValues { now - it.seenAt > settings.silence * FORGET_AFTER }.keys
        if (old.isEmpty()) return emptyList()
        peers.keys.removeAll(old)
        return listOf(MembershipEffect.Forget(old.toList()))
    }

    private companion object {
        /** Silences after which a report serves no usage window any more that is still to be reported. */
        const val FORGET_AFTER = 15

        /** Silences for which a node's part of the quotas is kept: longer than most cuts and a quota's window. */
        const val RESERVE_AFTER = 4
    }
}

private fun NodeReport.toMember(): Member = Member(node, clientAddress, zone)

/** Returns the members in the order in which a client of [zone] should see them, its own zone first. */
public fun List<Member>.nearestFirst(zone: ZoneName?): List<Member> = sortedBy { if (it.zone == zone) 0 else 1 }
