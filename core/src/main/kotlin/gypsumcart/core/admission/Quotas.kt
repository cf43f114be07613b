package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Quota
import gypsumcart.core.Team
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

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
 */
public data class QuotaPeers(
    public val use: Map<TeamName, QuotaUse>,
    public val unreachable: List<Map<TeamName, QuotaUse>>,
    public val nodeCount: Int,
    public val isolated: Boolean,
    public val isolatedFraction: Double = 1.0,
)

/**
 * Enforces this node's share of the quotas of all teams.
 *
 * In any window, all nodes together admit at most the quota's rate times the window, plus its burst, plus most of the
 * tolerated excess. What the other nodes admitted is known with a delay of up to [MAX_REPORT_AGE]. The quota that
 * remained at that time is divided among the nodes, in part evenly and in part by demand, and each node spends its
 * share of it over that delay. The shares that are in force at the same time add up to the whole, so that the nodes
 * together stay within the quota; what one node does not spend soon becomes available to all. An isolated node uses an
 * even share of the limit, which the other nodes reserve for it.
 */
internal class Quotas(private val bounds: QuotaBounds, private val sharing: QuotaSharing) {
    private val window: Duration get() = bounds.window

    private inner class Account(quota: Quota) {
        val demand = DemandMeter()
        val spent = SpendMeter(window)
        val share = MinimumShareMeter(MAX_REPORT_AGE)
        var published = QuotaUse(0.0, 0.0)
        var quota = quota
            private set
        private var previousLimit = 0.0
        private var changedAt = MonotonicTime(0)

        /**
         * Adopts [quota].
         *
         * A lower limit is phased in linearly over one window, because the previous, higher one may already have been
         * spent in the current window.
         */
        fun adopt(quota: Quota, now: MonotonicTime) {
            if (quota == this.quota) return
            previousLimit = limitAt(now)
            changedAt = now
            this.quota = quota
        }

        /** Returns how much all nodes together may admit in a window. */
        fun limitAt(now: MonotonicTime): Double {
            val limit = allowedIn(window, quota)
            val phaseInRemaining = 1 - (now - changedAt) / window
            return limit + (previousLimit - limit).coerceAtLeast(0.0) * phaseInRemaining.coerceAtLeast(0.0)
        }
    }

    private val openCharges = OpenCharges(window)
    private val accounts = HashMap<TeamName, Account>()
    private var peers = QuotaPeers(emptyMap(), emptyList(), INITIAL_NODE_COUNT, isolated = true)

    /** Adopts the quotas of [teams] and drops the accounts of teams that no longer have one. */
    fun configure(teams: List<Team>, now: MonotonicTime) {
        val limited = teams.mapNotNull { team -> team.quota?.let { team.name to it } }.toMap()
        accounts.keys.retainAll(limited.keys)
        for ((name, quota) in limited) accounts.getOrPut(name) { Account(quota) }.adopt(quota, now)
    }

    fun updatePeers(peers: QuotaPeers, now: MonotonicTime) {
        this.peers = peers
        for ((team, account) in accounts) account.share.add(shareOf(team, account), now)
    }

    /** Returns the use of quotas through this node, by team. */
    fun use(now: MonotonicTime): Map<TeamName, QuotaUse> =
        accounts.mapValues { (_, account) ->
            QuotaUse(account.demand.perSecond(now), account.spent.spentWithin(window, now))
        }

    /** Records [use] as the use of quotas through this node that the other nodes can read. */
    fun markPublished(use: Map<TeamName, QuotaUse>) {
        for ((team, account) in accounts) use[team]?.let { account.published = it }
    }

    /**
     * Charges [cost] to [team] for the request with [ticket] and returns null.
     *
     * If the quota of the team is exhausted, charges nothing and returns the time after which to retry.
     */
    fun chargeOrRetryAfter(team: TeamName, cost: Double, ticket: Ticket, now: MonotonicTime): Duration? {
        val account = accounts[team] ?: return null
        account.demand.add(cost, now)
        val available = availableTo(team, account, now)
        if (available <= 0) {
            return account.spent.timeUntilFreed(-available, now).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        }
        val charge = account.spent.add(cost, now)
        when (sharing) {
            QuotaSharing.Separate -> Unit
            QuotaSharing.Lending -> openCharges.add(ticket, charge, cost, now)
        }
        return null
    }

    /** Returns what the request with [ticket] was charged; has no effect if nothing is known of such a charge. */
    fun settle(ticket: Ticket, now: MonotonicTime): Unit = openCharges.refund(ticket, now)

    /** Returns how much this node may still admit for [team]; negative if it has exceeded its share. */
    private fun availableTo(team: TeamName, account: Account, now: MonotonicTime): Double {
        val limit = account.limitAt(now)
        val evenShare = limit / peers.nodeCount
        val spent = account.spent.spentWithin(window, now)
        if (peers.isolated) return evenShare * peers.isolatedFraction - spent
        val recent = account.spent.spentWithin(MAX_REPORT_AGE, now)
        val others = peers.use[team]?.spent ?: 0.0
        val reserved = peers.unreachable.sumOf { maxOf(it[team]?.spent ?: 0.0, evenShare) }
        val remaining = minOf(limit - others - reserved - (spent - recent), allowedIn(MAX_REPORT_AGE, account.quota))
        val share = account.share.minimumOrNull ?: (1.0 / peers.nodeCount)
        return share * remaining - recent
    }

    /**
     * Returns this node's share of the remaining quota, as a fraction.
     *
     * It is computed from the published demand, which all nodes know. If each node used its own newest demand instead,
     * the shares could add up to more than one.
     */
    private fun shareOf(team: TeamName, account: Account): Double {
        val liveNodes = peers.nodeCount - peers.unreachable.size
        val total = account.published.demandPerSecond + (peers.use[team]?.demandPerSecond ?: 0.0)
        val byDemand = if (total > 0) account.published.demandPerSecond / total else 1.0 / liveNodes
        return EVEN_FRACTION / liveNodes + (1 - EVEN_FRACTION) * byDemand
    }

    private fun allowedIn(span: Duration, quota: Quota): Double {
        val allowed = quota.ratePerSecond * span.toDouble(DurationUnit.SECONDS) + quota.burst
        val tolerated = allowed * (1 + bounds.overshoot) + bounds.slack
        return maxOf(allowed, tolerated * USED_FRACTION)
    }

    private companion object {
        /**
         * The fraction of the tolerated amount that is given out.
         *
         * The rest covers requests that are admitted before the reports of earlier ones reach the other nodes.
         */
        const val USED_FRACTION = 0.85

        /** The number of nodes in a small fleet, assumed before any other node is known. */
        const val INITIAL_NODE_COUNT = 4

        /** The fraction of the remaining quota that is divided evenly; the rest is divided by demand. */
        const val EVEN_FRACTION = 0.5

        /** The maximum age of another node's report: two report periods and the time to write and read a report. */
        val MAX_REPORT_AGE: Duration = 2.5.seconds

        /** An earlier retry is not worthwhile for a client: some tens of requests arrive in this time. */
        val MIN_RETRY_AFTER = 0.1.seconds

        /** By this time the remaining quota has been divided again. */
        val MAX_RETRY_AFTER = 2.seconds
    }
}
