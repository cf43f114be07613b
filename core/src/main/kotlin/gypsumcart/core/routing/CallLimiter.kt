package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Represents the place of this node among those that share the limits of back ends.
 *
 * @property rank the number of live nodes whose id is lower than that of this one
 */
internal data class NodePlace(val nodeCount: Int, val rank: Int) {
    /**
     * Returns this node's part of [total] that are divided evenly; the parts of all nodes add up to the total.
     *
     * @param position decides which nodes get one more than others, from 0 to 1
     */
    fun partOf(total: Int, position: Double): Int {
        val first = (position * nodeCount).toInt()
        val getsMore = Math.floorMod(rank - first, nodeCount) < total % nodeCount
        return total / nodeCount + if (getsMore) 1 else 0
    }
}

/**
 * Paces this node's calls to a back end that limits the requests of all nodes together.
 *
 * The limit is divided evenly among about as many nodes as it allows requests a second, since each of them may save up
 * one request; the others send their requests to other back ends. A node's part is a token bucket that starts empty, so
 * that nodes that take over a part or learn of the limit at different times never exceed it together.
 *
 * A back end may also ask a node for a pause, with or without a limit; this concerns no other node.
 *
 * @property position the position of the back end among those of its service, from 0 to 1, which spreads the nodes over
 *   the back ends
 */
internal class CallLimiter(var position: Double = 0.0) {
    private var limit: Double? = null
    private var statedAt: MonotonicTime? = null
    private var limitStatedAt: MonotonicTime? = null
    private var unlimitedAnswers = 0
    private var ownStatement: LimitStatement? = null
    private var ownStatementAt = MonotonicTime(0)
    private var tokens = 0.0
    private var refilledAt = MonotonicTime(0)
    private var pausedUntil: MonotonicTime? = null

    /** Whether the back end limits its requests. */
    val isLimited: Boolean get() = limit != null

    /** The limit in requests a second, or null if there is none. */
    val requestsPerSecond: Double? get() = limit

    /**
     * Processes a statement in a response to this node; returns whether the limit changed.
     *
     * A limit ends only with several responses that don't state it, in case one omits it.
     */
    fun hear(statement: LimitStatement, now: MonotonicTime): Boolean {
        when (statement) {
            is LimitStatement.Limited -> unlimitedAnswers = 0

            LimitStatement.Unlimited -> {
                if (limit == null) return false
                unlimitedAnswers++
                val isConfirmed = limitStatedAt?.let { now - it >= END_CONFIRMATION } ?: true
                if (unlimitedAnswers < END_ANSWERS || !isConfirmed) return false
            }
        }
        ownStatement = statement
        ownStatementAt = now
        return adopt(statement, now, now)
    }

    /** Processes what another node heard at the time [at]; returns whether the limit changed. */
    fun learn(statement: LimitStatement, at: MonotonicTime, now: MonotonicTime): Boolean =
        if (statedAt?.let { at <= it } ?: false) false else adopt(statement, at, now)

    /** Returns what this node has heard lately. */
    fun reportOrNull(instance: InstanceKey, now: MonotonicTime): LimitReport? {
        val statement = ownStatement ?: return null
        val age = now - ownStatementAt
        return if (age <= SHARING_TIME) LimitReport(instance, statement, age) else null
    }

    /** Allows no calls before [time]; returns whether that is later than before. */
    fun pauseUntil(time: MonotonicTime): Boolean {
        if (pausedUntil?.let { time <= it } ?: false) return false
        pausedUntil = time
        return true
    }

    /** Returns whether the back end has asked this node for a pause that has not ended. */
    fun isPaused(now: MonotonicTime): Boolean = pausedUntil?.let { now < it } ?: false

    /** Returns whether this node may call the back end now. */
    fun isOpen(place: NodePlace, now: MonotonicTime): Boolean {
        if (isPaused(now)) return false
        if (limit == null) return true
        refill(place, now)
        return tokens >= 1
    }

    /** Counts a call. */
    fun take() {
        if (limit != null) tokens -= 1
    }

    /** Returns when this node may next call the back end, or null if other nodes have its limit to themselves. */
    fun nextCallAtOrNull(place: NodePlace, now: MonotonicTime): MonotonicTime? {
        val resumesAt = pausedUntil?.let { maxOf(it, now) } ?: now
        if (limit == null) return resumesAt
        refill(place, now)
        val rate = rateOf(place)
        return if (rate == 0.0) null else maxOf(resumesAt, now + ((1 - tokens).coerceAtLeast(0.0) / rate).seconds)
    }

    /** Returns this node's part of the limit in requests a second. */
    fun rateOf(place: NodePlace): Double {
        val total = limit?.coerceAtLeast(MIN_RATE) ?: return 0.0
        val sharers = minOf(place.nodeCount.toDouble(), total + EXTRA_SHARERS).toInt()
        val first = (position * place.nodeCount).toInt()
        val isSharer = Math.floorMod(place.rank - first, place.nodeCount) < sharers
        return if (isSharer) total / sharers else 0.0
    }

    private fun adopt(statement: LimitStatement, at: MonotonicTime, now: MonotonicTime): Boolean {
        statedAt = at
        val previous = limit
        when (statement) {
            is LimitStatement.Limited -> {
                limit = statement.requestsPerSecond
                limitStatedAt = at
            }

            LimitStatement.Unlimited -> limit = null
        }
        if (previous == null) {
            tokens = 0.0
            refilledAt = now
        }
        return limit != previous
    }

    private fun refill(place: NodePlace, now: MonotonicTime) {
        val rate = rateOf(place)
        val capacity = if (rate == 0.0) 0.0 else maxOf(1.0, rate * BURST_SECONDS)
        tokens = minOf(capacity, tokens + rate * (now - refilledAt).toDouble(DurationUnit.SECONDS))
        refilledAt = now
    }

    private companion object {
        /** The least rate at which a back end is called, since only a response can show that its limit has ended. */
        const val MIN_RATE = 0.5

        /** The nodes that share a limit, beyond one for each request a second. */
        const val EXTRA_SHARERS = 1.0

        /** How long a node may save up its part of a limit of many requests a second. */
        const val BURST_SECONDS = 0.5

        /** Responses without the limit that end it, and the time for which none may have stated it. */
        const val END_ANSWERS = 2
        val END_CONFIRMATION: Duration = 1.seconds

        /** Longer than it takes a report to reach all nodes, also through the store. */
        val SHARING_TIME: Duration = 15.seconds
    }
}

/** Returns whether nothing but limits and pauses keeps this node from calling one of several back ends now. */
internal fun List<CallLimiter>.areUsedUp(place: NodePlace, now: MonotonicTime): Boolean =
    isNotEmpty() && none { it.isOpen(place, now) }

/**
 * Returns the capacity that the limits of several back ends take away, as a number of back ends.
 *
 * @param usualRate the requests a second that each would get if none had a limit
 */
internal fun List<CallLimiter>.lostCapacity(usualRate: Double): Double =
    if (usualRate <= 0) 0.0 else sumOf { 1 - ((it.requestsPerSecond ?: usualRate) / usualRate).coerceAtMost(1.0) }

/** Returns when this node may next call one of several back ends, or null if other nodes have their limits. */
internal fun List<CallLimiter>.nextCallAtOrNull(place: NodePlace, now: MonotonicTime): MonotonicTime? =
    mapNotNull { it.nextCallAtOrNull(place, now) }.minOrNull()

/** Returns the requests a second that the limits of several back ends leave this node, infinite if one has no limit. */
internal fun List<CallLimiter>.rateOf(place: NodePlace): Double =
    if (all { it.isLimited }) sumOf { it.rateOf(place) } else Double.POSITIVE_INFINITY
