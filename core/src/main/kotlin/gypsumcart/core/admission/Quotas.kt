package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Quota
import gypsumcart.core.Team
import gypsumcart.core.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Keeps the quotas of all teams over all nodes.
 *
 * Each node charges what it admits to its own copy of a team's bucket, and what the other nodes say they admitted. The
 * copies differ by what was admitted within the delay of those reports.
 */
internal class Quotas {
    private class Bucket(var quota: Quota, var level: Double, var refilledAt: MonotonicTime)

    private val buckets = HashMap<TeamName, Bucket>()
    private val spent = HashMap<TeamName, Double>()

    /** What this node has admitted since its start, by team. */
    val totals: Map<TeamName, Double> get() = spent.toMap()

    /** Adopts the quotas of [teams]; a bucket that exists keeps its level, cut to the new burst. */
    fun configure(teams: List<Team>, now: MonotonicTime) {
        val limited = teams.mapNotNull { team -> team.quota?.let { team.name to it } }.toMap()
        buckets.keys.retainAll(limited.keys)
        for ((name, quota) in limited) {
            val bucket = buckets.getOrPut(name) { Bucket(quota, quota.burst, now) }
            refill(bucket, now)
            bucket.quota = quota
            bucket.level = bucket.level.coerceAtMost(quota.burst)
        }
    }

    /** Charges [cost] to [team] if its bucket isn't empty; otherwise returns how long that takes. */
    fun spendOrWait(team: TeamName, cost: Double, now: MonotonicTime): Duration? {
        val bucket = buckets[team]
        if (bucket != null) {
            refill(bucket, now)
            if (bucket.level <= 0) return waitOf(bucket)
            bucket.level -= cost
        }
        spent.merge(team, cost, Double::plus)
        return null
    }

    /** Charges what other nodes admitted. */
    fun chargePeers(costs: Map<TeamName, Double>, now: MonotonicTime) {
        for ((team, cost) in costs) {
            val bucket = buckets[team] ?: continue
            refill(bucket, now)
            bucket.level = (bucket.level - cost).coerceAtLeast(-bucket.quota.perSecond * MAX_DEBT_SECONDS)
        }
    }

    private fun refill(bucket: Bucket, now: MonotonicTime) {
        val seconds = (now - bucket.refilledAt).toDouble(DurationUnit.SECONDS)
        bucket.level = (bucket.level + bucket.quota.perSecond * seconds).coerceAtMost(bucket.quota.burst)
        bucket.refilledAt = now
    }

    private fun waitOf(bucket: Bucket): Duration =
        (-bucket.level / bucket.quota.perSecond).seconds.coerceAtLeast(SHORTEST_WAIT)

    private companion object {
        /** The most seconds of quota that a bucket may owe, so that a late report can't shut a team out for long. */
        const val MAX_DEBT_SECONDS = 2.0

        /** The shortest time after which coming back is worth a client's while: some tens of requests later. */
        val SHORTEST_WAIT = 0.1.seconds
    }
}
