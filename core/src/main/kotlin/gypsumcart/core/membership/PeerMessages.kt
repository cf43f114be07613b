package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.ZoneName
import kotlin.time.Duration

/** Identifies an exchange of messages within one process. */
@JvmInline
public value class ExchangeId(public val number: Long) {
    override fun toString(): String = number.toString()
}

/** Numbers the changes of one process's table of reports; a peer that has seen a position lacks only later changes. */
@JvmInline
public value class TablePosition(public val number: Long) : Comparable<TablePosition> {
    override fun compareTo(other: TablePosition): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The position before the first change. */
        public val START: TablePosition = TablePosition(0)
    }
}

/**
 * Passes on the report of one node.
 *
 * @property age the time since the node itself sent the report, as far as the sender knows
 * @property hasUsage whether the report includes the usage counts of all windows; if not, it includes those of the
 * windows that changed since the recipient received them last
 */
public data class PeerItem(public val report: NodeReport, public val age: Duration, public val hasUsage: Boolean)

/**
 * Represents one direction of an exchange between two nodes.
 *
 * @property items the reports that changed in the sender's table and that the recipient may lack
 * @property position the position of the sender's table up to which [items] are complete
 * @property received the position of the recipient's table up to which the sender has received items
 * @property linked whether the sender is in contact with all zones
 * @property lacksReports whether the sender wants the reports of all zones, because it lacks those of some node
 */
public data class PeerMessage(
    public val sender: NodeKey,
    public val items: List<PeerItem>,
    public val position: TablePosition,
    public val received: TablePosition,
    public val linked: Boolean,
    public val lacksReports: Boolean = false,
)

/** Describes how an exchange ended for the node that started it. */
public sealed class ExchangeResult {
    /** The other node responded with [message]. */
    public data class Answered(public val message: PeerMessage) : ExchangeResult()

    /** The other node runs but does not know this one yet; it reads the store before it responds. */
    public data object Refused : ExchangeResult()

    /** No valid response arrived. */
    public data object Failed : ExchangeResult()
}

/** Identifies a node to which this node sends messages, and what its host can carry as a relay. */
public data class PeerTarget(
    public val key: NodeKey,
    public val address: Address,
    public val zone: ZoneName,
    public val relayRank: RelayRank = RelayRank.LOWEST,
)
