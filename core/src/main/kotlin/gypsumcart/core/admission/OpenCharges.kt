package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Ticket
import kotlin.time.Duration

/**
 * Remembers what requests were charged, until they are known not to have run or the charges have left the [window].
 *
 * A charge that is no longer known is not returned.
 */
internal class OpenCharges(private val window: Duration) {
    private class OpenCharge(val charge: SpendMeter.Charge, val amount: Double, val at: MonotonicTime)

    private val charges = LinkedHashMap<Ticket, OpenCharge>()

    /** Records that [amount] of [charge] was charged for the request with [ticket]. */
    fun add(ticket: Ticket, charge: SpendMeter.Charge, amount: Double, now: MonotonicTime) {
        removeExpired(now)
        charges[ticket] = OpenCharge(charge, amount, now)
    }

    /** Returns the charge of the request with [ticket]; has no effect the second time. */
    fun refund(ticket: Ticket, now: MonotonicTime) {
        val open = charges.remove(ticket) ?: return
        if (now - open.at < window) open.charge.refund(open.amount)
    }

    private fun removeExpired(now: MonotonicTime) {
        val oldest = charges.values.iterator()
        while (oldest.hasNext()) {
            val isExpired = now - oldest.next().at >= window
            if (!isExpired && charges.size < MAX_OPEN) return
            oldest.remove()
        }
    }

    private companion object {
        /** Twice the requests that a process has in progress at most. */
        const val MAX_OPEN = 8_192
    }
}
