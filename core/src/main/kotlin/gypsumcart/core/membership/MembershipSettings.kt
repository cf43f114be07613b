package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.ZoneName
import kotlin.time.Duration

/**
 * Specifies the identity of this node and the periods used by [Membership].
 *
 * @property peerAddress the address at which this node receives messages of others, or null to use the store alone
 * @property heartbeatTimeout how long a node may go without a new report, while the store or the link answers, before
 * it counts as gone
 * @property quotaWindow the window over which quotas are counted
 * @property relayRank what the node's host can carry as the relay of its zone; if it is the same on all nodes, the
 * oldest one of a zone is its relay
 */
public data class MembershipSettings(
    public val node: NodeId,
    public val incarnation: Incarnation,
    public val clientAddress: Address,
    public val peerAddress: Address?,
    public val zone: ZoneName,
    public val heartbeatTimeout: Duration,
    public val quotaWindow: Duration,
    public val relayRank: RelayRank = RelayRank.LOWEST,
)
