package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Measures the demand per second as an exponentially weighted average, in which recent demand counts more. */
internal class DemandMeter {
    private var amount = 0.0
    private var updatedAt = MonotonicTime(0)

    fun add(cost: Double, now: MonotonicTime) {
        decay(now)
        amount += cost
    }

    fun perSecond(now: MonotonicTime): Double {
        decay(now)
        return amount / TIME_CONSTANT_SECONDS
    }

    private fun decay(now: MonotonicTime) {
        amount *= exp(-(now - updatedAt).toDouble(DurationUnit.SECONDS) / TIME_CONSTANT_SECONDS)
        updatedAt = now
    }

    private companion object {
        /** Two report periods of a node; with a shorter time constant, a single long prompt would shift the shares. */
        const val TIME_CONSTANT_SECONDS = 2.0
    }
}

/** Sums the amounts spent in a sliding [window]. */
internal class SpendMeter(private val window: Duration) {
    /** Holds what was spent at nearly the same time. */
    class Charge(val at: MonotonicTime, amount: Double) {
        var amount = amount
            private set

        fun add(amount: Double) {
            this.amount += amount
        }

        /** Takes back [amount], which was added before and turned out not to be spent. */
        fun refund(amount: Double) {
            this.amount -= amount
        }
    }

    private val charges = ArrayDeque<Charge>()

    /** Adds [amount] and returns the charge that now includes it. */
    fun add(amount: Double, now: MonotonicTime): Charge {
        val last = charges.lastOrNull()
        if (last != null && now - last.at < MERGE_INTERVAL) {
            last.add(amount)
            return last
        }
        return Charge(now, amount).also(charges::addLast)
    }

    /** Returns the amount spent in the last [span], which must not exceed the window. */
    fun spentWithin(span: Duration, now: MonotonicTime): Double {
        while (charges.isNotEmpty() && now - charges.first().at >= window) charges.removeFirst()
        return charges.sumOf { if (now - it.at < span) it.amount else 0.0 }
    }

    /**
     * Returns the time until more than [amount] of what was spent in the last [span] is older, or null if less than
     * that was spent.
     */
    fun timeUntilFreedOrNull(amount: Double, now: MonotonicTime, span: Duration = window): Duration? {
        var freed = 0.0
        val last =
            charges.firstOrNull { charge ->
                if (now - charge.at < span) freed += charge.amount
                freed > amount
            }
        return last?.let { span - (now - it.at) }
    }

    private companion object {
        /** Charges closer together than this are merged into one; at most a hundredth of a quota's window. */
        val MERGE_INTERVAL: Duration = 50.milliseconds
    }
}

/**
 * Tracks the smallest share of the last [span].
 *
 * A share thus shrinks at once but grows only after [span], when all nodes know of the change.
 */
internal class MinimumShareMeter(private val span: Duration) {
    private class Sample(val at: MonotonicTime, val share: Double)

    private val samples = ArrayDeque<Sample>()

    /** The smallest share in force during the last span, or null before the first one was added. */
    val minimumOrNull: Double? get() = samples.minOfOrNull { it.share }

    fun add(share: Double, now: MonotonicTime) {
        samples.addLast(Sample(now, share))
        while (samples.size > 1 && now - samples[1].at >= span) samples.removeFirst()
    }
}
