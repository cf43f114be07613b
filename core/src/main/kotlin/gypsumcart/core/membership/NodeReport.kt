package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.QuotaUse
import gypsumcart.core.capacity.CapacityReport
import gypsumcart.core.leases.LeaseRow
import gypsumcart.core.replicas.Arrivals
import gypsumcart.core.rollout.RolloutReport
import gypsumcart.core.routing.Carrier
import gypsumcart.core.routing.RoutingFindings
import gypsumcart.core.streams.StreamPeer

/**
 * Describes the state that one node shares with the others, through the peer link and, less often, the store.
 *
 * @property clientAddress the address to which clients connect
 * @property peerAddress the address at which the node receives the messages of other nodes, or null if it has no link
 * @property accepting whether clients should choose the node for new connections
 * @property heartbeat the sequence number of the report within the incarnation; a higher one replaces a lower one
 * @property usage the number of requests that started to run through the node, by window and team
 * @property usageUntil the Unix time, as agreed among the nodes, up to which [usage] is complete
 * @property quotaUse the use of each team's quota through the node
 * @property load the load of the requests waiting or in progress at the node, by service
 * @property latency the time to the first piece of the slowest tenth of requests through the node, as a fraction of
 * their latency target, by service
 * @property findings what the node has found out about back ends; the ages count from the time of the report
 * @property lostCapacity the capacity that limits of back ends take away as the node sees it, as a number of back ends
 * by service
 * @property capacity what the node tells of its recent calls to each back end
 * @property arrivals what clients ask of each service through the node within the quotas
 * @property rollouts what the node knows and has seen of the roll-outs that run; none otherwise
 * @property lease the lease row as last written by the node, or null if it has not written one
 * @property relayRank what the node's host can carry as the relay of its zone
 * @property reachesBackEnds whether the node reaches back ends by itself, and so can carry the connections of others
 * @property keepsStreamRecords whether the process keeps records of streams for others; it never changes, and programs
 * that don't know it leave it out of the reports that they pass on
 */
public data class NodeReport(
    public val node: NodeId,
    public val incarnation: Incarnation,
    public val clientAddress: Address,
    public val peerAddress: Address?,
    public val zone: ZoneName,
    public val accepting: Boolean,
    public val heartbeat: Long,
    public val usage: Map<WindowNumber, Map<TeamName, Int>>,
    public val usageUntil: UnixMillis,
    public val quotaUse: Map<TeamName, QuotaUse>,
    public val load: Map<ServiceName, Double>,
    public val latency: Map<ServiceName, Double>,
    public val lease: LeaseRow?,
    public val lostCapacity: Map<ServiceName, Double> = emptyMap(),
    public val findings: RoutingFindings = RoutingFindings.NONE,
    public val relayRank: RelayRank = RelayRank.LOWEST,
    public val capacity: CapacityReport = CapacityReport.NONE,
    public val arrivals: Map<ServiceName, Arrivals> = emptyMap(),
    public val rollouts: List<RolloutReport> = emptyList(),
    public val reachesBackEnds: Boolean = true,
    public val keepsStreamRecords: Boolean = false,
)

/** Identifies one incarnation of a node. */
public data class NodeKey(public val node: NodeId, public val incarnation: Incarnation) : Comparable<NodeKey> {
    /** Orders keys by age, the process that started first before the others. */
    override fun compareTo(other: NodeKey): Int = compareValuesBy(this, other, { it.incarnation }, { it.node })
}

/** The key of the node incarnation that published the report. */
public val NodeReport.key: NodeKey get() = NodeKey(node, incarnation)

/**
 * Describes a node that clients can connect to.
 *
 * @property peerAddress the address at which other nodes connect to it, or null if there is none
 * @property reachesBackEnds whether the node reaches back ends by itself
 */
public data class Member(
    public val node: NodeId,
    public val clientAddress: Address,
    public val zone: ZoneName,
    public val peerAddress: Address? = null,
    public val reachesBackEnds: Boolean = true,
)

internal fun NodeReport.toMember(): Member = Member(node, clientAddress, zone, peerAddress, reachesBackEnds)

/** Returns how other nodes reach this one to have records of streams kept, or null if it keeps none. */
internal fun NodeReport.toStreamPeerOrNull(): StreamPeer? =
    peerAddress?.takeIf { keepsStreamRecords }?.let { StreamPeer(key, it, zone) }

/** Returns the members with those in [zone] first, otherwise in their original order. */
public fun List<Member>.nearestFirst(zone: ZoneName?): List<Member> = sortedBy { if (it.zone == zone) 0 else 1 }

/** Returns the nodes other than [self] that accept connections of other nodes. */
public fun List<Member>.carriers(self: NodeId): List<Carrier> =
    mapNotNull { member ->
        val address = member.peerAddress?.takeIf { member.node != self }
        address?.let { Carrier(member.node, it, member.zone, member.reachesBackEnds) }
    }
