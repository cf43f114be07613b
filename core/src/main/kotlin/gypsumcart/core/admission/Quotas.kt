package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Quota
import gypsumcart.core.Team
import gypsumcart.core.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Says how quotas are counted.
 *
 * @property window over which they are
 * @property overshoot the part of a quota that may be admitted beyond it
 * @property slack what may be admitted beyond that in a window, in what quotas count
 */
public data class QuotaBounds(public val window: Duration, public val overshoot: Double, public val slack: Double)

/**
 * Says how much a team uses through one or more nodes, in what its quota counts.
 *
 * @property asked what it asks for in a second
 * @property spent what was admitted in the last window
 */
public data class QuotaUse(public val asked: Double, public val spent: Double) {
    /** Returns both uses together. */
    public operator fun plus(other: QuotaUse): QuotaUse = QuotaUse(asked + other.asked, spent + other.spent)
}

/**
 * Says among whom a quota is divided.
 *
 * @property use what teams use through the other nodes that are heard of
 * @property silent what teams used through each node that is not heard of and may still serve, when it last told
 * @property nodes how many nodes there are, this one and the silent ones too
 * @property isolated whether this node itself is not heard of
 */
public data class QuotaPeers(
    public val use: Map<TeamName, QuotaUse>,
    public val silent: List<Map<TeamName, QuotaUse>>,
    public val nodes: Int,
    public val isolated: Boolean,
)

/**
 * Keeps this node's part of the quotas of all teams.
 *
 * In any window, all nodes together admit the quota's rate times the window and its burst, and most of what is
 * tolerated beyond that. What others admitted is known up to some age; what is left then is divided by demand and in
 * part evenly, and each node spends its share of it until that age has passed. Shares of the same age make up the
 * whole, so the sum over the nodes keeps to the quota, and what one node leaves is there for all soon after. A node
 * that is not heard of takes an even part, which the others leave to it.
 */
internal class Quotas(private val bounds: QuotaBounds) {
    private val window: Duration get() = bounds.window

    private inner class Account(quota: Quota) {
        val demand = DemandMeter()
        val spent = SpendMeter(window)
        val share = ShareMeter(AGE)
        var told = QuotaUse(0.0, 0.0)
        var quota = quota
            private set
        private var higherLimit = 0.0
        private var loweredAt = MonotonicTime(0)

        /** Adopts [quota]; a lower one takes effect over a window, as much of the higher one has been used by then. */
        fun adopt(quota: Quota, now: MonotonicTime) {
            if (quota == this.quota) return
            higherLimit = limitAt(now)
            loweredAt = now
            this.quota = quota
        }

        /** Returns how much all nodes may admit in a window. */
        fun limitAt(now: MonotonicTime): Double {
            val limit = allowedIn(window, quota)
            val left = 1 - (now - loweredAt) / window
            return limit + (higherLimit - limit).coerceAtLeast(0.0) * left.coerceAtLeast(0.0)
        }
    }

    private val accounts = HashMap<TeamName, Account>()
    private var peers = QuotaPeers(emptyMap(), emptyList(), UNHEARD_NODES, isolated = true)

    /** Adopts the quotas of [teams]. */
    fun configure(teams: List<Team>, now: MonotonicTime) {
        val limited = teams.mapNotNull { team -> team.quota?.let { team.name to it } }.toMap()
        accounts.keys.retainAll(limited.keys)
        for ((name, quota) in limited) accounts.getOrPut(name) { Account(quota) }.adopt(quota, now)
    }

    fun hearPeers(peers: QuotaPeers, now: MonotonicTime) {
        this.peers = peers
        for ((team, account) in accounts) account.share.add(shareOf(team, account), now)
    }

    /** Returns what teams use through this node. */
    fun use(now: MonotonicTime): Map<TeamName, QuotaUse> =
        accounts.mapValues { (_, account) ->
            QuotaUse(account.demand.perSecond(now), account.spent.within(window, now))
        }

    /** Notes that the others can read of [use] on this node. */
    fun noteTold(use: Map<TeamName, QuotaUse>) {
        for ((team, account) in accounts) use[team]?.let { account.told = it }
    }

    /** Charges [cost] to [team] if there is room for it; otherwise returns how long that takes. */
    fun spendOrWait(team: TeamName, cost: Double, now: MonotonicTime): Duration? {
        val account = accounts[team] ?: return null
        account.demand.add(cost, now)
        val room = roomFor(team, account, now)
        if (room <= 0) return account.spent.timeUntilFreed(-room, now).coerceIn(SHORTEST_WAIT, LONGEST_WAIT)
        account.spent.add(cost, now)
        return null
    }

    private fun roomFor(team: TeamName, account: Account, now: MonotonicTime): Double {
        val limit = account.limitAt(now)
        val even = limit / peers.nodes
        val spent = account.spent.within(window, now)
        if (peers.isolated) return even - spent
        val recent = account.spent.within(AGE, now)
        val others = peers.use[team]?.spent ?: 0.0
        val silent = peers.silent.sumOf { maxOf(it[team]?.spent ?: 0.0, even) }
        val left = minOf(limit - others - silent - (spent - recent), allowedIn(AGE, account.quota))
        val share = account.share.leastOrNull ?: (1.0 / peers.nodes)
        return share * left - recent
    }

    /** Goes by what all nodes know of each other: if each took its own newest demand, the shares would exceed one. */
    private fun shareOf(team: TeamName, account: Account): Double {
        val heard = peers.nodes - peers.silent.size
        val total = account.told.asked + (peers.use[team]?.asked ?: 0.0)
        val byDemand = if (total > 0) account.told.asked / total else 1.0 / heard
        return EVEN_PART / heard + (1 - EVEN_PART) * byDemand
    }

    private fun allowedIn(span: Duration, quota: Quota): Double {
        val allowed = quota.perSecond * span.toDouble(DurationUnit.SECONDS) + quota.burst
        val tolerated = allowed * (1 + bounds.overshoot) + bounds.slack
        return maxOf(allowed, tolerated * USED_PART)
    }

    private companion object {
        /** The part of what is tolerated that is given out; the rest is for requests that overtake the reports. */
        const val USED_PART = 0.85

        /** How many nodes a quota is divided among before any was heard of; a small fleet's number. */
        const val UNHEARD_NODES = 4

        /** The part of what is left that is divided evenly. */
        const val EVEN_PART = 0.5

        /** How old what nodes know of each other may be: two reports, and the time to write and read one. */
        val AGE: Duration = 2.5.seconds

        /** The shortest time after which coming back is worth a client's while: some tens of requests later. */
        val SHORTEST_WAIT = 0.1.seconds

        /** By then what is left is divided anew. */
        val LONGEST_WAIT = 2.seconds
    }
}
