package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the number of back ends that a service requires.
 *
 * The number rises at once. It falls only after a whole [PERIOD] in which demand was observed without a gap, one step
 * at a time, and never below the highest need of that period.
 */
internal class HeldCount {
    private val needs = SlidingMaximum(PERIOD)
    private var count = 0
    private var initial = 0
    private var lastDemandAt: MonotonicTime? = null

    /** The time from which on demand has been observed without a gap, or null if it is not observed now. */
    private var observedSince: MonotonicTime? = null
    private var reducedAt: MonotonicTime? = null

    /**
     * Records that the demand requires [need] back ends.
     *
     * @param hasDemand whether there were requests at all
     * @param isComplete whether nothing is missing in what was observed; if something is, the period starts anew
     */
    fun observe(need: Int, hasDemand: Boolean, isComplete: Boolean, now: MonotonicTime) {
        if (hasDemand) lastDemandAt = now
        needs.add(need.toDouble(), now)
        if (need > count) count = ceil(need * RISE_MARGIN).toInt()
        val hasGap = lastDemandAt?.let { now - it > MAX_GAP } ?: true
        observedSince = if (hasGap || !isComplete) null else observedSince ?: now
    }

    /** Returns whether demand has been observed for a whole period. */
    fun isProven(now: MonotonicTime): Boolean = observedSince?.let { now - it >= PERIOD } ?: false

    /** Returns the number required, where the operator started with [initial]. */
    fun countOf(initial: Int, now: MonotonicTime): Int {
        if (initial > this.initial) count = maxOf(count, initial)
        this.initial = initial
        val isDue = reducedAt?.let { now - it >= STEP_INTERVAL } ?: true
        if (isDue && isProven(now)) reduce(now)
        return count
    }

    private fun reduce(now: MonotonicTime) {
        val reduced = maxOf(needs.value.toInt(), count - (count / STEP_DIVISOR).coerceAtLeast(1))
        if (reduced >= count) return
        count = reduced
        reducedAt = now
    }

    private companion object {
        /** A steady rise then takes an order for each twentieth and not for each back end. */
        const val RISE_MARGIN = 1.05

        /**
         * Longer than a burst and the boot of a back end together, so that the lull between two bursts is no evidence.
         */
        val PERIOD: Duration = 20.seconds

        /** Longer than the pauses in steady demand for a service that is seldom called. */
        val MAX_GAP: Duration = 5.seconds

        /** The time from an order until its effect shows in the latency of requests. */
        val STEP_INTERVAL: Duration = 8.seconds

        /** A step removes this part of the back ends, fewer than a zone has. */
        const val STEP_DIVISOR = 8
    }
}
