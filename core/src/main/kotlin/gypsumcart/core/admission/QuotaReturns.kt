package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Spreads the times at which the refused clients of one team are to return, later with each that was told. */
internal class QuotaReturns {
    private var last = MonotonicTime(0)
    private var overflows = 0

    /** Records that a client was told to return after [retryAfter] by another node. */
    fun record(retryAfter: Duration, now: MonotonicTime) {
        last = maxOf(last, now + retryAfter)
    }

    /**
     * Returns the time after which the next refused client is to return.
     *
     * @param freeIn the time until the quota has room
     * @param spacing the time in which the quota regains what the refused request needs
     */
    fun next(freeIn: Duration, spacing: Duration, now: MonotonicTime): Duration {
        val time = maxOf(now + freeIn, last + spacing)
        if (time - now > MAX_RETRY_AFTER) return spread()
        last = time
        return (time - now).coerceAtLeast(MIN_RETRY_AFTER)
    }

    /** More clients wait than the quota admits in the maximum time; these return in the later half of it. */
    private fun spread(): Duration {
        overflows = (overflows + 1) % MAX_OVERFLOWS
        return MAX_RETRY_AFTER * (1 + overflows * GOLDEN_RATIO % 1) / 2
    }

    private companion object {
        /** In less time a quota regains little. */
        val MIN_RETRY_AFTER: Duration = 100.milliseconds

        /** Longer waits exceed the part of their time that clients are ready to wait. */
        val MAX_RETRY_AFTER: Duration = 4.seconds

        /** Multiples of it, taken modulo 1, are spread evenly, however many there are. */
        const val GOLDEN_RATIO = 0.618033988749895

        /** Keeps the multiples of the ratio exact. */
        const val MAX_OVERFLOWS = 1_000_000
    }
}
