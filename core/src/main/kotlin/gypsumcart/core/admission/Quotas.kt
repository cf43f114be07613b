package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Quota
import gypsumcart.core.Team
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Configures how quotas are counted and by how much they may be exceeded.
 *
 * @property window the length of the sliding window over which quotas are counted
 * @property overshoot the fraction of a quota that may be admitted beyond it
 * @property slack the amount that may be admitted in a window beyond quota and overshoot, in the unit of the quota
 */
public data class QuotaBounds(public val window: Duration, public val overshoot: Double, public val slack: Double)

/**
 * Describes how much of its quota a team uses through one or more nodes, in the unit of the quota.
 *
 * @property demandPerSecond the amount per second that the team requests, admitted or not
 * @property spent the amount that was admitted in the last window
 */
public data class QuotaUse(public val demandPerSecond: Double, public val spent: Double) {
    /** Returns the sum of both uses. */
    public operator fun plus(other: QuotaUse): QuotaUse =
        QuotaUse(demandPerSecond + other.demandPerSecond, spent + other.spent)
}

/**
 * Describes the other nodes among which quotas are divided.
 *
 * @property use what teams use through the other live nodes
 * @property unreachable for each node that no longer reports but may still serve requests, what teams used through it
 * according to its last report
 * @property nodeCount the number of nodes, including this one and the unreachable ones
 * @property isolated whether this node itself has no contact with the others, so that they count it as unreachable
 * @property isolatedFraction the part of its even share that this node may use while it is isolated; less than 1 after
 * a restart, as long as what the previous process admitted may still lie in the window
 * @property lending which nodes may lend quota, or null if this node has no address at which others can ask it
 */
public data class QuotaPeers(
    public val use: Map<TeamName, QuotaUse>,
    public val unreachable: List<Map<TeamName, QuotaUse>>,
    public val nodeCount: Int,
    public val isolated: Boolean,
    public val isolatedFraction: Double = 1.0,
    public val lending: LendingNodes? = null,
)

/**
 * Enforces this node's share of the quotas of all teams.
 *
 * In any window, all nodes together admit at most the quota's rate times the window, plus its burst, plus most of the
 * tolerated excess. What the other nodes admitted is known with a delay of up to [MAX_REPORT_AGE]. The quota that
 * remained at that time is divided among the nodes, in part evenly or to a lender, and in part by demand, and each node
 * spends its share of it over that delay. The shares that are in force at the same time add up to the whole, so that
 * the nodes together stay within the quota; what one node does not spend soon becomes available to all. An isolated
 * node uses an even share of the limit, which the other nodes reserve for it.
 */
internal class Quotas(private val bounds: QuotaBounds, private val sharing: QuotaSharing) {
    private val window: Duration get() = bounds.window
    private val openCharges = OpenCharges(window)
    private val accounts = HashMap<TeamName, QuotaAccount>()
    private var peers = QuotaPeers(emptyMap(), emptyList(), INITIAL_NODE_COUNT, isolated = true)

    /** Adopts the quotas of [teams] and drops the accounts of teams that no longer have one. */
    fun configure(teams: List<Team>, now: MonotonicTime) {
        val limited = teams.mapNotNull { team -> team.quota?.let { team.name to it } }.toMap()
        accounts.keys.retainAll(limited.keys)
        for ((name, quota) in limited) {
            accounts.getOrPut(name) { newAccount(name, quota) }.adopt(quota, now)
        }
    }

    private fun newAccount(team: TeamName, quota: Quota): QuotaAccount =
        QuotaAccount(bounds, quota).also {
            it.unreachable = spentByUnreachable(team)
            it.adopt(team, lendingNodes())
        }

    fun updatePeers(peers: QuotaPeers, now: MonotonicTime) {
        val lendersChanged = peers.lending != this.peers.lending
        this.peers = peers
        for ((team, account) in accounts) {
            account.unreachable = spentByUnreachable(team)
            if (lendersChanged) account.adopt(team, lendingNodes())
            account.share.add(shareOf(team, account), now)
        }
    }

    private fun lendingNodes(): LendingNodes? =
        when (sharing) {
            QuotaSharing.Separate -> null
            QuotaSharing.Lending -> peers.lending
        }

    private fun spentByUnreachable(team: TeamName): List<Double> = peers.unreachable.map { it[team]?.spent ?: 0.0 }

    /** Returns the use of quotas through this node, by team. */
    fun use(now: MonotonicTime): Map<TeamName, QuotaUse> =
        accounts.mapValues { (_, account) ->
            QuotaUse(account.demand.perSecond(now), account.spentWithin(window, now))
        }

    /** Records [use] as the use of quotas through this node that the other nodes can read. */
    fun markPublished(use: Map<TeamName, QuotaUse>) {
        for ((team, account) in accounts) use[team]?.let { account.published = it }
    }

    /**
     * Charges [cost] to [team] and returns null.
     *
     * If the quota of the team is exhausted, charges nothing and returns the time after which to retry.
     */
    fun chargeOrRetryAfter(team: TeamName, cost: Double, now: MonotonicTime): Duration? {
        val account = accounts[team] ?: return null
        account.demand.add(cost, now)
        val available = availableTo(team, account, now)
        if (available <= 0) {
            return account.timeUntilFreed(-available, now).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        }
        account.spend(cost, now)
        return null
    }

    /** Records that [team] requests [cost]. */
    fun recordDemand(team: TeamName, cost: Double, now: MonotonicTime) {
        accounts[team]?.demand?.add(cost, now)
    }

    /** Returns the amount per second that [team] requests of this node. */
    fun demandPerSecond(team: TeamName, now: MonotonicTime): Double = accounts[team]?.demand?.perSecond(now) ?: 0.0

    /**
     * Charges [cost] to [team] for the request with [ticket], first to what was borrowed, then to this node's share.
     *
     * Returns false and charges nothing if they don't suffice.
     */
    fun charge(team: TeamName, cost: Double, ticket: Ticket, now: MonotonicTime): Boolean {
        val account = accounts[team] ?: return true
        val borrowed = minOf(account.credit.available(now), cost)
        val own = cost - borrowed
        if (own > 0 && !allows(availableTo(team, account, now), own, overdraftOf(account))) return false
        val borrowedUntil = if (borrowed > 0) account.credit.spend(borrowed, now) else now
        val charge = if (own > 0) account.spend(own, now) else null
        openCharges.add(ticket, OpenCharge(account, charge, own, borrowed, borrowedUntil, now))
        return true
    }

    /** Returns the nodes to ask for a loan, in the order in which to ask them; none if this node is isolated. */
    fun lendersFor(team: TeamName): List<Lender> = if (peers.isolated) emptyList() else accounts[team]?.toAsk.orEmpty()

    /** Lends up to [wanted] and at least [needed] to another node, or says when to return. */
    fun lend(team: TeamName, needed: Double, wanted: Double, now: MonotonicTime): LoanAnswer {
        val account = accounts[team]
        if (account == null || peers.isolated) return LoanAnswer.Refused(MIN_RETRY_AFTER)
        val available = availableTo(team, account, now)
        if (!allows(available, needed, overdraftOf(account))) {
            return LoanAnswer.Refused(retryAfter(team, needed, now))
        }
        val amount = maxOf(needed, minOf(wanted, available))
        account.lend(amount, now)
        return LoanAnswer.Granted(amount)
    }

    /** Makes [amount], which another node has lent, available for requests of [team] until [until]. */
    fun borrow(team: TeamName, amount: Double, until: MonotonicTime) {
        accounts[team]?.credit?.add(amount, until)
    }

    /** Records that the lender told a client of [team] to return after [retryAfter]. */
    fun recordRefusal(team: TeamName, retryAfter: Duration, now: MonotonicTime) {
        accounts[team]?.returns?.record(retryAfter, now)
    }

    /** Returns when the next refused client of [team] is to return, whose request costs [cost]. */
    fun retryAfter(team: TeamName, cost: Double, now: MonotonicTime): Duration {
        val account = accounts[team] ?: return MIN_RETRY_AFTER
        val share = account.share.minimumOrNull ?: (1.0 / peers.nodeCount)
        val lacking = cost - availableTo(team, account, now)
        // A node that knows what the lenders tell others goes by the whole rate, another one by its even part.
        val nodes = if (account.lenders.isEmpty() || peers.isolated) peers.nodeCount else 1
        val perSecond = (account.quota.ratePerSecond / nodes).coerceAtLeast(MIN_RATE)
        val spacing = (cost / perSecond).seconds
        return account.returns.next(account.timeUntilAvailable(lacking, share, now), spacing, now)
    }

    /** Returns what the request with [ticket] was charged; has no effect if nothing is known of such a charge. */
    fun settle(ticket: Ticket, now: MonotonicTime): Unit = openCharges.refund(ticket, now)

    private fun allows(available: Double, amount: Double, overdraft: Double): Boolean =
        amount <= available || available > 0 && amount - available <= overdraft

    /**
     * Returns by how much this node may exceed its share, so that the largest requests are not refused for ever.
     *
     * Only the lenders may, or by its part each node that has no contact with one.
     */
    private fun overdraftOf(account: QuotaAccount): Double =
        when {
            peers.isolated || account.lenders.isEmpty() -> account.overdraft() / peers.nodeCount
            isLender(account) -> account.overdraft() / LENDER_COUNT
            else -> 0.0
        }

    private fun isLender(account: QuotaAccount): Boolean =
        !peers.isolated && account.lenders.any { it.node == peers.lending?.self }

    /** Returns how much this node may still admit for [team]; negative if it has exceeded its share. */
    private fun availableTo(team: TeamName, account: QuotaAccount, now: MonotonicTime): Double {
        val limit = account.limitAt(now)
        val evenShare = limit / peers.nodeCount
        val spent = account.spentWithin(window, now)
        if (peers.isolated) return evenShare * peers.isolatedFraction - spent
        val recent = account.spentWithin(MAX_REPORT_AGE, now)
        val others = peers.use[team]?.spent ?: 0.0
        val reserved = account.reserved(evenShare)
        val remaining = minOf(limit - others - reserved - (spent - recent), account.allowedIn(MAX_REPORT_AGE))
        val share = account.share.minimumOrNull ?: (1.0 / peers.nodeCount)
        return share * remaining - recent
    }

    /**
     * Returns this node's share of the remaining quota, as a fraction.
     *
     * It is computed from the published demand, which all nodes know. If each node used its own newest demand instead,
     * the shares could add up to more than one.
     */
    private fun shareOf(team: TeamName, account: QuotaAccount): Double {
        val liveNodes = peers.nodeCount - peers.unreachable.size
        val total = account.published.demandPerSecond + (peers.use[team]?.demandPerSecond ?: 0.0)
        val byDemand = if (total > 0) account.published.demandPerSecond / total else 1.0 / liveNodes
        if (account.lenders.isEmpty()) return EVEN_FRACTION / liveNodes + (1 - EVEN_FRACTION) * byDemand
        val lent = if (isLender(account)) LENT_FRACTION / account.lenders.size else 0.0
        return lent + KEPT_FRACTION / liveNodes + DEMAND_FRACTION * byDemand
    }

    private companion object {
        /** The number of nodes in a small fleet, assumed before any other node is known. */
        const val INITIAL_NODE_COUNT = 4

        /** The fraction of the remaining quota that is divided evenly; the rest is divided by demand. */
        const val EVEN_FRACTION = 0.5

        /** The fraction of the remaining quota that the lenders hold for the others, each an equal part of it. */
        const val LENT_FRACTION = 0.9

        /** The fraction that is divided evenly beside them, so that some small requests need no loan. */
        const val KEPT_FRACTION = 0.04

        /** The fraction that is divided by demand beside them, so that nodes with much of it need fewer loans. */
        const val DEMAND_FRACTION = 0.06

        /** An earlier retry is not worthwhile for a client: some tens of requests arrive in this time. */
        val MIN_RETRY_AFTER = 0.1.seconds

        /** Guards against a division by zero, in the unit of the quota per second. */
        const val MIN_RATE = 1.0

        /** By this time the remaining quota has been divided again. */
        val MAX_RETRY_AFTER = 2.seconds
    }
}
