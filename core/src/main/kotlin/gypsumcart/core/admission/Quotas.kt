package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Quota
import gypsumcart.core.Team
import gypsumcart.core.TeamName
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Says among whom a quota is divided.
 *
 * @property demand what the other nodes that are heard of are asked for, a second and team
 * @property nodes how many nodes there are, this one too
 * @property silent how many of them are not heard of and may still serve
 * @property isolated whether this node itself is not heard of
 */
public data class QuotaPeers(
    public val demand: Map<TeamName, Double>,
    public val nodes: Int,
    public val silent: Int,
    public val isolated: Boolean,
)

/**
 * Keeps this node's part of the quotas of all teams.
 *
 * Most of a quota is divided by demand and the rest evenly, so that the parts of all nodes make up the whole and a node
 * that a team's clients just turned to has some. An even part is left to each node that fell silent, and a node that is
 * not heard of takes no more than that. What the platform tolerates beyond a quota is not given out: reports of demand
 * that come late use it up.
 */
internal class Quotas {
    private class Bucket(var quota: Quota, val demand: DemandMeter) {
        var level: Double? = null

        /** What the others were last told of this node's demand. */
        var toldDemand = 0.0
        var refilledAt = MonotonicTime(0)
    }

    private val buckets = HashMap<TeamName, Bucket>()
    private var peers = QuotaPeers(emptyMap(), UNHEARD_NODES, silent = 0, isolated = true)

    /** Adopts the quotas of [teams]; a bucket that exists keeps its level, cut to its new size. */
    fun configure(teams: List<Team>) {
        val limited = teams.mapNotNull { team -> team.quota?.let { team.name to it } }.toMap()
        buckets.keys.retainAll(limited.keys)
        for ((name, quota) in limited) buckets.getOrPut(name) { Bucket(quota, DemandMeter()) }.quota = quota
    }

    fun hearPeers(peers: QuotaPeers) {
        this.peers = peers
    }

    /** Returns what this node is asked for, a second and team. */
    fun demand(now: MonotonicTime): Map<TeamName, Double> = buckets.mapValues { it.value.demand.perSecond(now) }

    /** Notes that the others can read of [demand] on this node. */
    fun noteTold(demand: Map<TeamName, Double>) {
        for ((team, bucket) in buckets) bucket.toldDemand = demand[team] ?: 0.0
    }

    /** Charges [cost] to [team] if its bucket isn't empty; otherwise returns how long that takes. */
    fun spendOrWait(team: TeamName, cost: Double, now: MonotonicTime): Duration? {
        val bucket = buckets[team] ?: return null
        bucket.demand.add(cost, now)
        val share = shareOf(team, bucket)
        val level = refill(bucket, share, now)
        if (level <= 0) return waitOf(level, bucket.quota.perSecond * share)
        bucket.level = level - cost
        return null
    }

    /** Goes by what all nodes know of each other: if each took its own newest demand, the shares would exceed one. */
    private fun shareOf(team: TeamName, bucket: Bucket): Double {
        val even = 1.0 / peers.nodes
        val heard = peers.nodes - peers.silent
        val total = bucket.toldDemand + (peers.demand[team] ?: 0.0)
        val byDemand = if (total > 0) bucket.toldDemand / total else 1.0 / heard
        val share = heard * even * (EVEN_PART / heard + (1 - EVEN_PART) * byDemand)
        return if (peers.isolated) minOf(share, even) else share
    }

    private fun refill(bucket: Bucket, share: Double, now: MonotonicTime): Double {
        val size = bucket.quota.burst * share
        val seconds = (now - bucket.refilledAt).toDouble(DurationUnit.SECONDS)
        val refilled = bucket.quota.perSecond * share * seconds
        val level = bucket.level?.let { (it + refilled).coerceAtMost(size) } ?: size
        bucket.level = level
        bucket.refilledAt = now
        return level
    }

    private fun waitOf(level: Double, perSecond: Double): Duration =
        (-level / perSecond.coerceAtLeast(1.0)).seconds.coerceIn(SHORTEST_WAIT, LONGEST_WAIT)

    private companion object {
        /** How many nodes a quota is divided among before any was heard of; a small fleet's number. */
        const val UNHEARD_NODES = 4

        /** The part of a quota that is divided evenly. */
        const val EVEN_PART = 0.25

        /** The shortest time after which coming back is worth a client's while: some tens of requests later. */
        val SHORTEST_WAIT = 0.1.seconds

        /** By then the parts are divided anew. */
        val LONGEST_WAIT = 2.seconds
    }
}

/** Measures how much is asked for in a second, with more weight on the recent past. */
internal class DemandMeter {
    private var amount = 0.0
    private var at = MonotonicTime(0)

    fun add(cost: Double, now: MonotonicTime) {
        decay(now)
        amount += cost
    }

    fun perSecond(now: MonotonicTime): Double {
        decay(now)
        return amount / TIME_CONSTANT_SECONDS
    }

    private fun decay(now: MonotonicTime) {
        amount *= exp(-(now - at).toDouble(DurationUnit.SECONDS) / TIME_CONSTANT_SECONDS)
        at = now
    }

    private companion object {
        /** Two reports of a node; shorter, and a single long prompt would move the shares. */
        const val TIME_CONSTANT_SECONDS = 2.0
    }
}
