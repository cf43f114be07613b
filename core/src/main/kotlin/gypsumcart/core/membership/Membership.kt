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
 * Describes the state that one node publishes to the others, about once a second.
 *
 * @property clientAddress the address to which clients connect
 * @property accepting whether clients should choose the node for new connections
 * @property heartbeat the sequence number of the report within the incarnation; a higher one replaces a lower one
 * @property usage the number of requests that started to run through the node, by window and team
 * @property usageUntil the Unix time, as agreed among the nodes, up to which [usage] is complete
 * @property quotaUse the use of each team's quota through the node
 * @property load the load of the requests waiting or in progress at the node, by service
 */
public data class NodeReport(
    public val node: NodeId,
    public val incarnation: Incarnation,
    public val clientAddress: Address,
    public val zone: ZoneName,
    public val accepting: Boolean,
    public val heartbeat: Long,
    public val usage: Map<WindowNumber, Map<TeamName, Int>>,
    public val usageUntil: UnixMillis,
    public val quotaUse: Map<TeamName, QuotaUse>,
    public val load: Map<ServiceName, Double>,
)

/** Identifies one incarnation of a node. */
public data class NodeKey(public val node: NodeId, public val incarnation: Incarnation)

/** The key of the node incarnation that published the report. */
public val NodeReport.key: NodeKey get() = NodeKey(node, incarnation)

/** Represents an input of the [Membership] decider. */
public sealed class MembershipEvent {
    /** The store returned new reports of nodes, possibly including this one, and the keys of removed reports. */
    public data class ReportsReceived(
        public val reports: List<NodeReport>,
        public val removed: List<NodeKey>,
    ) : MembershipEvent()

    /** The store answered that no report had changed. */
    public data object StoreAnswered : MembershipEvent()

    /** This node started or stopped accepting new connections. */
    public data class AcceptingChanged(public val accepting: Boolean) : MembershipEvent()

    /** The use of each team's quota through this node was measured. */
    public data class QuotaUseMeasured(public val use: Map<TeamName, QuotaUse>) : MembershipEvent()

    /** The load of each service on this node was measured. */
    public data class LoadMeasured(public val load: Map<ServiceName, Double>) : MembershipEvent()

    /** The requests that started to run through this node were counted; the counts are complete up to [until]. */
    public data class UsageCounted(
        public val usage: Map<WindowNumber, Map<TeamName, Int>>,
        public val until: UnixMillis,
    ) : MembershipEvent()

    /** A timer tick, on which this node publishes its report. */
    public data object ReportDue : MembershipEvent()
}

/** Represents an output of the [Membership] decider. */
public sealed class MembershipEffect {
    /** Writes this node's report to the store. */
    public data class Publish(public val report: NodeReport) : MembershipEffect()

    /** Removes the expired reports of [nodes] from the store. */
    public data class RemoveReports(public val nodes: List<NodeKey>) : MembershipEffect()

    /** Replaces the nodes from which clients choose one to connect to. */
    public data class UpdateMembers(public val members: List<Member>) : MembershipEffect()

    /** Updates the number of live nodes, this one included. */
    public data class UpdateNodeCount(public val nodeCount: Int) : MembershipEffect()

    /** Updates the nodes among which the admission filter divides quotas. */
    public data class UpdateQuotaPeers(public val peers: QuotaPeers) : MembershipEffect()

    /** Distributes the latest reports of all nodes, this one included, to the other duties. */
    public data class DistributeReports(public val reports: List<NodeReport>) : MembershipEffect()
}

/** Describes a node that clients can connect to. */
public data class Member(public val node: NodeId, public val clientAddress: Address, public val zone: ZoneName)

/**
 * Specifies the identity of this node and the periods used by [Membership].
 *
 * @property heartbeatTimeout how long a node may go without a new report, while the store answers, before it counts as
 * gone
 * @property quotaWindow the window over which quotas are counted
 */
public data class MembershipSettings(
    public val node: NodeId,
    public val incarnation: Incarnation,
    public val clientAddress: Address,
    public val zone: ZoneName,
    public val heartbeatTimeout: Duration,
    public val quotaWindow: Duration,
)

/** Detects which nodes are live from their reports, and provides this node with the state of the others. */
public class Membership(private val settings: MembershipSettings) : Decider<MembershipEvent, MembershipEffect> {
    private class Peer(var report: NodeReport, var receivedAt: MonotonicTime)

    private val peers = HashMap<NodeKey, Peer>()
    private val self = NodeKey(settings.node, settings.incarnation)
    private var storeAnsweredAt = MonotonicTime(0)
    private var ownReport =
        NodeReport(
            node = settings.node,
            incarnation = settings.incarnation,
            clientAddress = settings.clientAddress,
            zone = settings.zone,
            accepting = false,
            heartbeat = 0,
            usage = emptyMap(),
            usageUntil = UnixMillis(0),
            quotaUse = emptyMap(),
            load = emptyMap(),
        )

    override fun decide(event: MembershipEvent, now: MonotonicTime): List<MembershipEffect> =
        when (event) {
            is MembershipEvent.ReportsReceived -> receiveReports(event, now)
            MembershipEvent.StoreAnswered -> noEffects { storeAnsweredAt = now }
            is MembershipEvent.AcceptingChanged -> changeAccepting(event.accepting, now)
            is MembershipEvent.QuotaUseMeasured -> noEffects { ownReport = ownReport.copy(quotaUse = event.use) }
            is MembershipEvent.LoadMeasured -> noEffects { ownReport = ownReport.copy(load = event.load) }
            is MembershipEvent.UsageCounted ->
                noEffects { ownReport = ownReport.copy(usage = event.usage, usageUntil = event.until) }
            MembershipEvent.ReportDue -> listOf(publish()) + distribute(now) + removeExpired(now)
        }

    private inline fun noEffects(change: () -> Unit): List<MembershipEffect> {
        change()
        return emptyList()
    }

    private fun changeAccepting(accepting: Boolean, now: MonotonicTime): List<MembershipEffect> {
        ownReport = ownReport.copy(accepting = accepting)
        return listOf(publish()) + distribute(now)
    }

    private fun publish(): MembershipEffect {
        ownReport = ownReport.copy(heartbeat = ownReport.heartbeat + 1)
        return MembershipEffect.Publish(ownReport)
    }

    private fun receiveReports(event: MembershipEvent.ReportsReceived, now: MonotonicTime): List<MembershipEffect> {
        storeAnsweredAt = now
        peers.keys.removeAll(event.removed.toSet())
        for (report in event.reports) {
            if (report.key == self) continue
            val peer = peers[report.key]
            if (peer != null && report.heartbeat <= peer.report.heartbeat) continue
            peers[report.key] = Peer(report, now)
        }
        return distribute(now)
    }

    /**
     * Sums the quota use of other nodes.
     *
     * A node whose reports stopped may only have lost its connection to the store and still serve clients, so it keeps
     * a share of the quotas. What a node admitted before a restart counts as far as it still lies in the quota window.
     */
    private fun quotaPeers(now: MonotonicTime): MembershipEffect {
        val recent = peers.values.filter { now - it.receivedAt <= settings.heartbeatTimeout * QUOTA_RESERVE_TIMEOUTS }
        val (current, former) = recent.partition { it.report.key == latestIncarnation(it.report.node) }
        val (live, silent) = current.partition { isLive(it, now) }
        val use = HashMap<TeamName, QuotaUse>()
        val counted = live.map { it.report.quotaUse } + former.map { it.remainingUse(now) }
        for (useByTeam in counted) useByTeam.forEach { (team, used) -> use.merge(team, used, QuotaUse::plus) }
        val isolated = now - storeAnsweredAt > settings.heartbeatTimeout
        return MembershipEffect.UpdateQuotaPeers(
            QuotaPeers(use, silent.map { it.remainingUse(now) }, current.size + 1, isolated),
        )
    }

    /** Returns the part of the last reported use that still lies in the quota window, assuming no use since then. */
    private fun Peer.remainingUse(now: MonotonicTime): Map<TeamName, QuotaUse> {
        val fraction = (1 - (now - receivedAt) / settings.quotaWindow).coerceAtLeast(0.0)
        return report.quotaUse.mapValues { (_, used) -> QuotaUse(demandPerSecond = 0.0, spent = used.spent * fraction) }
    }

    private fun latestIncarnation(node: NodeId): NodeKey? =
        if (node == settings.node) {
            self
        } else {
            peers.keys.filter { it.node == node }.maxByOrNull { it.incarnation }
        }

    private fun distribute(now: MonotonicTime): List<MembershipEffect> {
        val live = peers.values.filter { isLive(it, now) }.map { it.report }
        val members = (live + ownReport).filter { it.accepting }.distinctBy { it.node }.map(NodeReport::toMember)
        val peerReports = peers.values.map { if (isLive(it, now)) it.report else it.report.copy(load = emptyMap()) }
        return listOf(
            MembershipEffect.UpdateMembers(members.sortedBy { it.node }),
            MembershipEffect.UpdateNodeCount(
                live
                    .map { it.node }
                    .toSet()
                    .minus(settings.node)
                    .size + 1,
            ),
            MembershipEffect.DistributeReports(peerReports + ownReport),
            quotaPeers(now),
        )
    }

    /** A report ages only while the store answers, so that an outage of the store removes no node. */
    private fun isLive(peer: Peer, now: MonotonicTime): Boolean =
        peer.report.node != settings.node && minOf(storeAnsweredAt, now) - peer.receivedAt <= settings.heartbeatTimeout

    private fun removeExpired(now: MonotonicTime): List<MembershipEffect> {
        val expired = peers.filterValues { now - it.receivedAt > settings.heartbeatTimeout * REMOVAL_TIMEOUTS }.keys
        if (expired.isEmpty()) return emptyList()
        peers.keys.removeAll(expired)
        return listOf(MembershipEffect.RemoveReports(expired.toList()))
    }

    private companion object {
        /**
         * The age, in heartbeat timeouts, at which a report is removed; by then no usage window that it covers is still
         * to be reported.
         */
        const val REMOVAL_TIMEOUTS = 15

        /**
         * The age of the last report, in heartbeat timeouts, up to which a node keeps a share of the quotas: longer
         * than most losses of the connection to the store and than a quota window.
         */
        const val QUOTA_RESERVE_TIMEOUTS = 4
    }
}

private fun NodeReport.toMember(): Member = Member(node, clientAddress, zone)

/** Returns the members with those in [zone] first, otherwise in their original order. */
public fun List<Member>.nearestFirst(zone: ZoneName?): List<Member> = sortedBy { if (it.zone == zone) 0 else 1 }
