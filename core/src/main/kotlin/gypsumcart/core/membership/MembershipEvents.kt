package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.QuotaPeers
import gypsumcart.core.admission.QuotaUse
import gypsumcart.core.capacity.CapacityReport
import gypsumcart.core.leases.LeaseRow
import gypsumcart.core.replicas.Arrivals
import gypsumcart.core.rollout.NodeRollouts
import gypsumcart.core.rollout.RolloutReport
import gypsumcart.core.routing.RoutingFindings
import gypsumcart.core.streams.StreamPeer
import kotlin.time.Duration

/** Represents an input of the [Membership] decider. */
public sealed class MembershipEvent {
    /**
     * The store returned new reports of nodes, possibly including this one, and the keys of removed reports.
     *
     * @property ages the time since each report was written, if known
     * @property heard the time since each node was last heard over the link by another one, where a report says so
     */
    public data class ReportsReceived(
        public val reports: List<NodeReport>,
        public val removed: List<NodeKey>,
        public val ages: Map<NodeKey, Duration> = emptyMap(),
        public val heard: Map<NodeKey, Duration> = emptyMap(),
    ) : MembershipEvent()

    /** The store came back from an older copy, which may lack reports and show those of nodes that have ended. */
    public data object StoreRestored : MembershipEvent()

    /** The store responded without any new report. */
    public data object StoreAnswered : MembershipEvent()

    /** This node starts or stops accepting connections from clients. */
    public data class AcceptingChanged(public val accepting: Boolean) : MembershipEvent()

    /** This node lost its connections to all back ends, or reaches them again. */
    public data class BackEndsReachedChanged(public val reachesBackEnds: Boolean) : MembershipEvent()

    /** The use of each team's quota through this node was measured. */
    public data class QuotaUseMeasured(public val use: Map<TeamName, QuotaUse>) : MembershipEvent()

    /**
     * The load of each service on this node, the latency of its requests and the capacity it lost were measured.
     *
     * @property capacity what this node tells the others of its recent calls to each back end
     */
    public data class LoadMeasured(
        public val load: Map<ServiceName, Double>,
        public val latency: Map<ServiceName, Double>,
        public val lostCapacity: Map<ServiceName, Double> = emptyMap(),
        public val capacity: CapacityReport = CapacityReport.NONE,
    ) : MembershipEvent()

    /** What clients ask of each service through this node within the quotas was measured. */
    public data class ArrivalsMeasured(public val arrivals: Map<ServiceName, Arrivals>) : MembershipEvent()

    /** What this node has found out about back ends was updated; the ages in [findings] count from now. */
    public data class FindingsUpdated(public val findings: RoutingFindings) : MembershipEvent()

    /**
     * What this node knows of roll-outs and has seen of them was updated.
     *
     * @property isUrgent whether the others should hear it before the next report is due
     */
    public data class RolloutsUpdated(
        public val reports: List<RolloutReport>,
        public val isUrgent: Boolean,
    ) : MembershipEvent()

    /** The requests that started to run through this node were counted; the counts are complete up to [until]. */
    public data class UsageCounted(
        public val usage: Map<WindowNumber, Map<TeamName, Int>>,
        public val until: UnixMillis,
    ) : MembershipEvent()

    /** This node wrote the lease row, which is now [row]. */
    public data class LeaseWritten(public val row: LeaseRow) : MembershipEvent()

    /** Another node sent [message], to which it waits for the response to [exchange]. */
    public data class MessageReceived(
        public val exchange: ExchangeId,
        public val message: PeerMessage,
    ) : MembershipEvent()

    /** The [exchange] that this node started ended with [result]. */
    public data class ExchangeEnded(
        public val exchange: ExchangeId,
        public val result: ExchangeResult,
    ) : MembershipEvent()

    /** A timer tick, on which messages are exchanged with other nodes and changes are passed on to the other duties. */
    public data object ExchangeDue : MembershipEvent()

    /** A timer tick, on which this node renews its report. */
    public data object ReportDue : MembershipEvent()
}

/** Represents an output of the [Membership] decider. */
public sealed class MembershipEffect {
    /**
     * Writes this node's report to the store.
     *
     * @property heard the time since each node of this zone last sent a report over the link, for nodes that only reach
     * the store; empty if there are none
     */
    public data class Publish(
        public val report: NodeReport,
        public val heard: Map<NodeKey, Duration> = emptyMap(),
    ) : MembershipEffect()

    /** Removes the expired reports of [nodes] from the store. */
    public data class RemoveReports(public val nodes: List<NodeKey>) : MembershipEffect()

    /** Replaces the nodes from which clients choose one to connect to. */
    public data class UpdateMembers(public val members: List<Member>) : MembershipEffect()

    /** Replaces the nodes that keep records of streams, this one included if it does. */
    public data class UpdateStreamPeers(public val peers: List<StreamPeer>) : MembershipEffect()

    /** Updates the number of live nodes, this one included; [rank] of them have a lower id than this one. */
    public data class UpdateNodeCount(public val nodeCount: Int, public val rank: Int) : MembershipEffect()

    /** Passes on another node's [findings], whose ages count from [asOf]. */
    public data class ObserveFindings(
        public val findings: RoutingFindings,
        public val asOf: MonotonicTime,
    ) : MembershipEffect()

    /** Passes on that another [node] counted its calls up to [asOf] as [report] says. */
    public data class ObserveCapacity(
        public val node: NodeId,
        public val report: CapacityReport,
        public val asOf: MonotonicTime,
    ) : MembershipEffect()

    /** Passes on what the other nodes report of roll-outs; the nodes that run, this one included, are in [live]. */
    public data class ObserveRollouts(
        public val reports: List<NodeRollouts>,
        public val live: Set<NodeKey>,
    ) : MembershipEffect()

    /** Updates the nodes among which the admission filter divides quotas. */
    public data class UpdateQuotaPeers(public val peers: QuotaPeers) : MembershipEffect()

    /** Reports that [use], the use of quotas through this node, is sent to the other nodes. */
    public data class ShareQuotaUse(public val use: Map<TeamName, QuotaUse>) : MembershipEffect()

    /** Distributes the latest reports of all nodes, this one included, to the other duties. */
    public data class DistributeReports(public val reports: List<NodeReport>) : MembershipEffect()

    /** Passes on the lease row as its holder reports to have written it. */
    public data class ObserveLease(public val row: LeaseRow) : MembershipEffect()

    /** Sends [message] to [target] and waits for its response to [exchange]. */
    public data class Send(
        public val exchange: ExchangeId,
        public val target: PeerTarget,
        public val message: PeerMessage,
    ) : MembershipEffect()

    /** Responds to the message that came with [exchange]. */
    public data class Respond(public val exchange: ExchangeId, public val message: PeerMessage) : MembershipEffect()

    /** Refuses the message that came with [exchange], because its [sender] is not known. */
    public data class Refuse(public val exchange: ExchangeId, public val sender: NodeKey) : MembershipEffect()

    /** Reads the reports in the store at once instead of at the next due time. */
    public data object ReadStore : MembershipEffect()

    /**
     * Reports that this node is now in contact with all zones over the peer link, or no longer is.
     *
     * @property silentZones the zones of live nodes with which this node itself has no contact; other than these, its
     * relay may have lost contact
     */
    public data class LinkChanged(
        public val linked: Boolean,
        public val silentZones: List<ZoneName> = emptyList(),
    ) : MembershipEffect()

    /**
     * Names the nodes through which this one follows the tables of the store.
     *
     * @property relay the relay of this node's zone, or null if it is this node
     * @property others the nodes to turn to if neither [relay] nor the store responds, in the order of preference
     */
    public data class RelaysChosen(
        public val relay: PeerTarget?,
        public val others: List<PeerTarget>,
    ) : MembershipEffect()

    /**
     * Reports that the node [peer] no longer counts as running, and on what evidence.
     *
     * @property reportAge the time since it sent its last known report
     * @property linkAge the time since it sent the last report that came over the link, or null if none did
     * @property storeAge the time since the store last answered
     */
    public data class PeerLost(
        public val peer: NodeKey,
        public val zone: ZoneName,
        public val reportAge: Duration,
        public val linkAge: Duration?,
        public val storeAge: Duration,
        public val linked: Boolean,
    ) : MembershipEffect()
}
