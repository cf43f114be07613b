package gypsumcart.core.capacity

import gypsumcart.core.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Holds sums as of a time, from which they decay. */
internal class DecayingSums(private var sums: CallSums, at: MonotonicTime) {
    var at: MonotonicTime = at
        private set

    /** Adds [more] at [now], which is not before the last addition. */
    fun add(more: CallSums, now: MonotonicTime) {
        sums = asOf(now) + more
        at = now
    }

    /** Replaces the sums by [newer] ones, which were counted at [time]. */
    fun replace(newer: CallSums, time: MonotonicTime) {
        sums = newer
        at = time
    }

    /** Returns what is left of the sums at [now]. */
    fun asOf(now: MonotonicTime): CallSums = sums * decayOver(now - at)
}

/** Returns the part of a sum that is left after [elapsed]. */
internal fun decayOver(elapsed: Duration): Double =
    if (elapsed.isPositive()) exp(-(elapsed / MEMORY)) else 1.0

/** The time constant of all sums: several times as long as a report takes, short enough to follow a change of speed. */
internal val MEMORY: Duration = 4.seconds
