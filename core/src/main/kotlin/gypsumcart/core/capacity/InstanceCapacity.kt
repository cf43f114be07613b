package gypsumcart.core.capacity

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Describes what one instance takes, compared with its peers. */
internal class InstanceCapacity(val tag: InstanceTag, val service: ServiceName, private val rampFrom: MonotonicTime?) {
    /** The recent calls of all nodes. */
    var sums = CallSums.NONE

    /** What the instance takes as a multiple of what others of its service do. */
    var weight = if (rampFrom == null) 1.0 else START_TRUST
        private set

    private var smoothedWeight = 1.0
    private var learnedWeight = 1.0
    private var adaptedAt: MonotonicTime? = null

    /**
     * Lets the weight follow [target] slowly, since the latencies show an effect of a weight only after a while; and in
     * steps, so that prompts seldom change their back end.
     */
    fun adapt(target: Double, now: MonotonicTime) {
        val elapsed = adaptedAt?.let { now - it } ?: Duration.ZERO
        val kept = exp(-(elapsed / SMOOTHING))
        smoothedWeight = smoothedWeight.pow(kept) * target.coerceIn(MIN_WEIGHT, MAX_WEIGHT).pow(1 - kept)
        adaptedAt = now
        if (abs(ln(smoothedWeight / learnedWeight)) >= STEP) learnedWeight = smoothedWeight
        weight = learnedWeight * trustAt(now)
    }

    /** Returns the part of its weight that an instance has in the time after it was first listed. */
    private fun trustAt(now: MonotonicTime): Double {
        val age = rampFrom?.let { now - it } ?: return 1.0
        return (START_TRUST + (1 - START_TRUST) * (age / RAMP)).coerceAtMost(1.0)
    }

    private companion object {
        /** Bound the effect of wrong evidence; an instance of the least weight still shows whether it has recovered. */
        const val MIN_WEIGHT = 0.25
        const val MAX_WEIGHT = 3.0

        /** Longer than sums take to show the effect of a change, so that weights don't swing. */
        val SMOOTHING: Duration = 5.seconds

        /** The change of the logarithm of a weight that is taken over: about a tenth. */
        const val STEP = 0.1

        /** The part of its weight that a new instance has at first. */
        const val START_TRUST = 0.2

        /** Long enough for several reports about a new instance. */
        val RAMP: Duration = 4.seconds
    }
}
