package gypsumcart.core.rollout

import kotlin.math.ln

/**
 * Tests whether a version's responses are bad more often than the old version's at the same time.
 *
 * A sequential probability ratio test of two rates of bad responses: the usual one with a margin, and one that is
 * higher by [DETECTED_EXCESS]. The sum against the version never falls below 0 (Page), so that good responses don't
 * hide a fault that shows later.
 */
internal class SequentialTest {
    /** The evidence that the version is bad, as a logarithm of the likelihood ratio; never below 0. */
    var suspicion = 0.0
        private set

    /** The evidence on the whole; negative if it speaks for the version. */
    var balance = 0.0
        private set

    /** Whether the version counts as bad. */
    val condemns: Boolean get() = suspicion >= CONDEMNING

    /** Whether the version counts as good so far. */
    val acquits: Boolean get() = balance <= ACQUITTING

    /** Adds responses, of which the old version has the fraction [usualRate] bad. */
    fun add(counts: ResponseCounts, usualRate: Double) {
        if (counts.total == 0) return
        val tolerated = (usualRate * TOLERATED_FACTOR + TOLERATED_EXCESS).coerceAtMost(MAX_TOLERATED)
        val detected = tolerated + DETECTED_EXCESS
        val step =
            counts.bad * ln(detected / tolerated) + (counts.total - counts.bad) * ln((1 - detected) / (1 - tolerated))
        suspicion = (suspicion + step).coerceAtLeast(0.0)
        balance += step
    }

    companion object {
        /** The probability that the test of one route condemns a good version, for each start of the sum from 0. */
        private const val FALSE_ALARM = 1e-5

        /** The probability that a version whose rate is higher by the detected excess is acquitted. */
        private const val MISSED = 0.01

        /** Wald's bounds for these two probabilities. */
        private val CONDEMNING = ln((1 - MISSED) / FALSE_ALARM)
        private val ACQUITTING = ln(MISSED / (1 - FALSE_ALARM))

        /** A new version may be this much worse than the old one, as its caches are empty and its back ends are few. */
        private const val TOLERATED_FACTOR = 1.5
        private const val TOLERATED_EXCESS = 0.02

        /** Above this rate the old version is no measure. */
        private const val MAX_TOLERATED = 0.6

        /** The excess of bad responses that is detected with the stated probability. */
        private const val DETECTED_EXCESS = 0.2
    }
}
