package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Scaling
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Classifies what the orders for a service waste. */
public enum class Waste {
    /** Back ends that are listed beyond the number required with its reserve, in seconds of a back end. */
    IDLE,

    /** Back ends that the demand of the moment takes and that are not listed, so that callers are refused or late. */
    MISSING,

    /** Back ends whose order was reversed before they could have served, as a number. */
    UNDONE,
}

/** Adds up what the orders for one service waste, and reports it now and then. */
internal class WasteMeter {
    private class Change(val count: Int, val increase: Int, val at: MonotonicTime)

    private val amounts = HashMap<Waste, Double>()
    private val lastChanges = HashMap<Pool, Change>()
    private var measuredAt: MonotonicTime? = null
    private var reportedAt: MonotonicTime? = null

    /** Records how many back ends were [idle] and [missing] since the last call, at most a few seconds ago. */
    fun measure(idle: Int, missing: Int, now: MonotonicTime) {
        val seconds = measuredAt?.let { minOf(now - it, MAX_STEP).toDouble(DurationUnit.SECONDS) } ?: 0.0
        measuredAt = now
        add(Waste.IDLE, idle.coerceAtLeast(0) * seconds)
        add(Waste.MISSING, missing.coerceAtLeast(0) * seconds)
    }

    /** Records an order for [count] back ends in [pool], of which [present] are listed. */
    fun recordOrder(pool: Pool, count: Int, present: Int, scaling: Scaling, now: MonotonicTime) {
        val last = lastChanges[pool]?.takeIf { now - it.at < scaling.listingTime }
        val increase = count - (last?.count ?: present)
        if (last != null && last.increase > 0 && increase < 0) {
            add(Waste.UNDONE, minOf(last.increase, -increase).toDouble())
        }
        if (increase != 0) lastChanges[pool] = Change(count, increase, now)
    }

    private fun add(waste: Waste, amount: Double) {
        if (amount > 0) amounts.merge(waste, amount, Double::plus)
    }

    /** Returns what was wasted since the last report, if a report is due. */
    fun report(now: MonotonicTime): Map<Waste, Double> {
        if (amounts.isEmpty() || reportedAt?.let { now - it < REPORT_INTERVAL } ?: false) return emptyMap()
        reportedAt = now
        return amounts.toMap().also { amounts.clear() }
    }

    private companion object {
        /** Keeps the log readable while something goes on being wasted. */
        val REPORT_INTERVAL: Duration = 5.seconds

        /** The time since the last call may be that of an earlier term of the lease. */
        val MAX_STEP: Duration = 2.seconds
    }
}
