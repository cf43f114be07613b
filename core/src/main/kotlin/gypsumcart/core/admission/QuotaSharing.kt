package gypsumcart.core.admission

import gypsumcart.core.Address
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.TeamName
import gypsumcart.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Determines what nodes do for each other within the quotas of teams. */
public sealed class QuotaSharing {
    /** Each node spends its own share, and what was charged stays charged. */
    public data object Separate : QuotaSharing()

    /** Two nodes lend the others most of each quota, and the charge of a request that did not run is returned. */
    public data object Lending : QuotaSharing()
}

/** Describes a node that lends quota; it receives messages of other nodes at [address]. */
public data class Lender(public val node: NodeId, public val address: Address, public val zone: ZoneName)

/**
 * Describes which nodes may lend quota.
 *
 * @property self the id of this node
 * @property nodes the live nodes that accept clients, this one included if it does
 */
public data class LendingNodes(public val self: NodeId, public val nodes: List<Lender>) {
    /** Returns the [LENDER_COUNT] nodes that hold the quota of [team] for the others, if possible in two zones. */
    internal fun lendersOf(team: TeamName): List<Lender> {
        val order = compareBy<Lender> { weight(team.text, it.node) }.thenBy { it.node }
        val first = nodes.maxWithOrNull(order) ?: return emptyList()
        val others = nodes.filter { it.node != first.node }
        val second = others.filter { it.zone != first.zone }.ifEmpty { others }.maxWithOrNull(order)
        return listOfNotNull(first, second)
    }

    /** Returns [lenders] without this node, in an order that half of the nodes share. */
    internal fun orderToAsk(team: TeamName, lenders: List<Lender>): List<Lender> {
        val isReversed = weight(team.text, self) < 0
        return lenders.filter { it.node != self }.let { if (isReversed) it.reversed() else it }
    }
}

/** The number of nodes that lend from one quota, so that the loss of one leaves half of it in use. */
internal const val LENDER_COUNT: Int = 2

/** Describes the answer to a request for a loan. */
public sealed class LoanAnswer {
    /** The borrower may spend [amount] for a short time, in the unit of the quota. */
    public data class Granted(public val amount: Double) : LoanAnswer()

    /** The lender has nothing left; a client may return after [retryAfter]. */
    public data class Refused(public val retryAfter: Duration) : LoanAnswer()

    /** No valid answer arrived. */
    public data object NoAnswer : LoanAnswer()
}

/**
 * The time from the request for a loan in which the borrower may spend it; unspent amounts expire with it.
 *
 * Long enough for the answer and for a few more requests, short against the window of a quota, by which it lengthens
 * the time for which the lender is charged.
 */
public val LOAN_LIFE: Duration = 400.milliseconds

/** Holds what a node has borrowed and not spent. */
internal class LoanCredit {
    private class Loan(var amount: Double, val until: MonotonicTime)

    private val loans = ArrayDeque<Loan>()

    fun add(amount: Double, until: MonotonicTime) {
        loans.addLast(Loan(amount, until))
    }

    /** Returns what may still be spent. */
    fun available(now: MonotonicTime): Double {
        loans.removeAll { it.until <= now || it.amount <= 0 }
        return loans.sumOf { it.amount }
    }

    /** Spends [amount], which must be available, from the loans that expire first; returns when the first one does. */
    fun spend(amount: Double, now: MonotonicTime): MonotonicTime {
        var rest = amount
        var until = now + LOAN_LIFE
        for (loan in loans) {
            val part = minOf(rest, loan.amount)
            if (part > 0) until = minOf(until, loan.until)
            loan.amount -= part
            rest -= part
        }
        return until
    }
}

/** Returns a weight of [node] for [name] that is equal on all nodes and independent between nodes. */
private fun weight(name: String, node: NodeId): Int {
    var hash = name.hashCode() * HASH_MULTIPLIER + node.text.hashCode()
    hash = (hash xor (hash ushr HASH_SHIFT)) * HASH_MULTIPLIER
    hash = (hash xor (hash ushr HASH_SHIFT)) * HASH_MULTIPLIER
    return hash xor (hash ushr HASH_SHIFT)
}

/** The multiplier (0x85ebca6b) and shift of a 32-bit hash finalizer in the style of MurmurHash3. */
private const val HASH_MULTIPLIER = -0x7a143595
private const val HASH_SHIFT = 15
