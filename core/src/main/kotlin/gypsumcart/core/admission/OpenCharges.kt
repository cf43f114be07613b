package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Ticket
import kotlin.time.Duration

/**
 * Describes what one request was charged.
 *
 * @property charge the charge to this node's share, which includes [own], or null if that is nothing
 * @property borrowed the part that was paid from loans, which can be spent until [borrowedUntil]
 */
internal class OpenCharge(
    private val account: QuotaAccount,
    private val charge: SpendMeter.Charge?,
    private val own: Double,
    private val borrowed: Double,
    private val borrowedUntil: MonotonicTime,
    val at: MonotonicTime,
) {
    /** Returns the charge to where it came from. */
    fun refund(now: MonotonicTime) {
        charge?.refund(own)
        if (borrowed > 0 && now < borrowedUntil) account.credit.add(borrowed, borrowedUntil)
    }
}

/**
 * Remembers what requests were charged, until they are known not to have run or the charges have left the [window].
 *
 * A charge that is no longer known is not returned.
 */
internal class OpenCharges(private val window: Duration) {
    private val charges = LinkedHashMap<Ticket, OpenCharge>()

    /** Records the [charge] of the request with [ticket]. */
    fun add(ticket: Ticket, charge: OpenCharge) {
        removeExpired(charge.at)
        charges[ticket] = charge
    }

    /** Returns the charge of the request with [ticket]; has no effect the second time. */
    fun refund(ticket: Ticket, now: MonotonicTime) {
        val open = charges.remove(ticket) ?: return
        if (now - open.at < window) open.refund(now)
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
