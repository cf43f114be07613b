package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

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

/** Sums what was spent in the last [window]. */
internal class SpendMeter(private val window: Duration) {
    private class Spend(val at: MonotonicTime, var amount: Double)

    private val spends = ArrayDeque<Spend>()

    fun add(amount: Double, now: MonotonicTime) {
        val last = spends.lastOrNull()
        if (last != null && now - last.at < GRAIN) last.amount += amount else spends.addLast(Spend(now, amount))
    }

    /** Returns what was spent in the last [span], which is no longer than the window. */
    fun within(span: Duration, now: MonotonicTime): Double {
        while (spends.isNotEmpty() && now - spends.first().at >= window) spends.removeFirst()
        return spends.sumOf { if (now - it.at < span) it.amount else 0.0 }
    }

    /** Returns the time after which [amount] of what was spent lies outside the window. */
    fun timeUntilFreed(amount: Double, now: MonotonicTime): Duration {
        var freed = 0.0
        val last =
            spends.firstOrNull { spend ->
                freed += spend.amount
                freed > amount
            }
        return last?.let { window - (now - it.at) } ?: window
    }

    private companion object {
        /** Spends that lie closer together are kept as one; a hundredth of a quota's window or less. */
        val GRAIN: Duration = 50.milliseconds
    }
}

/** Keeps the share of the recent past that was smallest, so that a share moves only once all nodes know of it. */
internal class ShareMeter(private val span: Duration) {
    private class Sample(val at: MonotonicTime, val share: Double)

    private val samples = ArrayDeque<Sample>()

    /** The smallest share of the last span, or null before the first. */
    val leastOrNull: Double? get() = samples.minOfOrNull { it.share }

    fun add(share: Double, now: MonotonicTime) {
        samples.addLast(Sample(now, share))
        while (samples.size > 1 && now - samples[1].at >= span) samples.removeFirst()
    }
}
