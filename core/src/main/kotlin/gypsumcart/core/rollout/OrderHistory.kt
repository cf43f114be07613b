package gypsumcart.core.rollout

import gypsumcart.core.BackEndVersion
import gypsumcart.core.MonotonicTime
import gypsumcart.core.OrderNumber
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells new orders of a service from those that a store shows anew since it has come back from an older copy.
 *
 * An order's number contains the era of the store. In a later era the copy shows the latest order under another number,
 * or an earlier order until the operator has written the latest one again.
 */
internal class OrderHistory {
    private class Content(val target: BackEndVersion, val duration: Duration)

    private class Dated<T>(val value: T, val until: MonotonicTime)

    /** The latest order, or null if none is known. */
    var latest: RolloutOrder? = null
        private set

    /** Whether nothing was known to which the latest order could be compared. */
    private var isUnchecked = false

    /** The number under which a later era shows the latest order; the operator may write it again until then. */
    private var repetition: Dated<OrderNumber>? = null

    /** An order of a later era that may be an earlier one. */
    private var withheld: Dated<RolloutOrder>? = null

    /** Receives [order] while [row] is the newest row; returns whether it is a new order. */
    fun receive(order: RolloutOrder, row: RolloutRow?, now: MonotonicTime): Boolean {
        val known = listOfNotNull(latest?.number, row?.order).maxOrNull()
        val last = repetition
        return when {
            latest?.let { order.number <= it.number } == true -> false
            known == null || order.number.era <= known.era -> accept(order, isUnchecked = known == null)
            last != null && order.number <= last.value -> false
            !order.hasContentOf(contentOf(row)) -> withhold(order, now)
            last != null && last.value.era == order.number.era && now > last.until -> accept(order)
            else -> repeat(order, known, now)
        }
    }

    /** Compares an order that came before any row with [row]. */
    fun check(row: RolloutRow, now: MonotonicTime) {
        val unchecked = latest?.takeIf { isUnchecked && it.number.era > row.order.era }
        isUnchecked = false
        if (unchecked == null) return
        latest = null
        receive(unchecked, row, now)
    }

    /** Accepts an order that the operator has not replaced by the latest one; returns whether there is one. */
    fun release(now: MonotonicTime): Boolean {
        val due = withheld?.takeIf { now >= it.until } ?: return false
        return accept(due.value)
    }

    private fun accept(order: RolloutOrder, isUnchecked: Boolean = false): Boolean {
        latest = order
        this.isUnchecked = isUnchecked
        withheld = null
        return true
    }

    private fun withhold(order: RolloutOrder, now: MonotonicTime): Boolean {
        if (withheld?.value != order) withheld = Dated(order, now + SETTLING_TIME)
        return false
    }

    private fun repeat(order: RolloutOrder, known: OrderNumber, now: MonotonicTime): Boolean {
        if (latest == null) latest = order.copy(number = known)
        repetition = Dated(order.number, now + SETTLING_TIME)
        withheld = null
        return false
    }

    private fun contentOf(row: RolloutRow?): Content? {
        val order = latest?.takeIf { row == null || it.number >= row.order }
        return order?.let { Content(it.target, it.duration) } ?: row?.let { Content(it.target, it.duration) }
    }

    /** Rows hold durations in milliseconds. */
    private fun RolloutOrder.hasContentOf(other: Content?): Boolean =
        other != null && target == other.target && duration.inWholeMilliseconds == other.duration.inWholeMilliseconds

    private val OrderNumber.era: StoreEra get() = StorePosition(number).era

    private companion object {
        /** Longer than the operator takes to write again what a copy lacks. */
        val SETTLING_TIME: Duration = 5.seconds
    }
}
