package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Quota
import gypsumcart.core.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Holds what one node knows of the use of one team's quota. */
internal class QuotaAccount(private val bounds: QuotaBounds, quota: Quota) {
    val demand = DemandMeter()
    val share = MinimumShareMeter(MAX_REPORT_AGE)
    val credit = LoanCredit()
    val returns = QuotaReturns()
    var published = QuotaUse(0.0, 0.0)

    /** The nodes that lend from this quota; empty if none is known. */
    var lenders: List<Lender> = emptyList()
        private set

    /** The lenders but this node, in the order in which it asks them. */
    var toAsk: List<Lender> = emptyList()
        private set

    /** What the unreachable nodes had spent of the quota, each by its last report. */
    var unreachable: List<Double> = emptyList()
        set(value) {
            field = value
            reservedOf = null
        }
    var quota = quota
        private set
    private val spent = SpendMeter(bounds.window)

    /** Loans stay charged for as long as what was spent of them may lie in the window. */
    private val lent = SpendMeter(bounds.window + LOAN_LIFE)
    private var previousLimit = 0.0
    private var changedAt = MonotonicTime(0)

    /** The even share for which [reserved] was computed last. */
    private var reservedOf: Double? = null
    private var reserved = 0.0

    /**
     * Adopts [quota].
     *
     * A lower limit is phased in linearly over one window, because the previous, higher one may already have been
     * spent in the current window.
     */
    fun adopt(quota: Quota, now: MonotonicTime) {
        if (quota == this.quota) return
        previousLimit = limitAt(now)
        changedAt = now
        this.quota = quota
    }

    /** Chooses the lenders of the quota of [team] among [nodes]. */
    fun adopt(team: TeamName, nodes: LendingNodes?) {
        lenders = nodes?.lendersOf(team).orEmpty()
        toAsk = nodes?.let { it.orderToAsk(team, lenders) }.orEmpty()
    }

    /** Returns how much all nodes together may admit in a window. */
    fun limitAt(now: MonotonicTime): Double {
        val limit = allowedIn(bounds.window)
        val phaseInRemaining = 1 - (now - changedAt) / bounds.window
        return limit + (previousLimit - limit).coerceAtLeast(0.0) * phaseInRemaining.coerceAtLeast(0.0)
    }

    /** Returns how much of the quota all nodes together may admit in [span]. */
    fun allowedIn(span: Duration): Double = maxOf(guaranteedIn(span), toleratedIn(span) * USED_FRACTION)

    /** Returns by how much all nodes together may exceed their shares for the sake of large requests. */
    fun overdraft(): Double =
        (toleratedIn(bounds.window) - allowedIn(bounds.window)).coerceAtLeast(0.0) * OVERDRAFT_FRACTION

    private fun guaranteedIn(span: Duration): Double =
        quota.ratePerSecond * span.toDouble(DurationUnit.SECONDS) + quota.burst

    private fun toleratedIn(span: Duration): Double = guaranteedIn(span) * (1 + bounds.overshoot) + bounds.slack

    /** Returns what is kept for the unreachable nodes, each of which may use up to [evenShare]. */
    fun reserved(evenShare: Double): Double {
        if (reservedOf != evenShare) {
            reservedOf = evenShare
            reserved = unreachable.sumOf { maxOf(it, evenShare) }
        }
        return reserved
    }

    /** Charges [amount] and returns the charge that includes it. */
    fun spend(amount: Double, now: MonotonicTime): SpendMeter.Charge = spent.add(amount, now)

    /** Charges [amount] that another node may spend within [LOAN_LIFE]. */
    fun lend(amount: Double, now: MonotonicTime) {
        lent.add(amount, now)
    }

    /** Returns what this node spent or lent in the last [span], which must not exceed the window. */
    fun spentWithin(span: Duration, now: MonotonicTime): Double =
        spent.spentWithin(span, now) + lent.spentWithin(span + LOAN_LIFE, now)

    /** Returns the time until more than [amount] of what this node spent has left the window. */
    fun timeUntilFreed(amount: Double, now: MonotonicTime): Duration =
        spent.timeUntilFreedOrNull(amount, now) ?: bounds.window

    /**
     * Returns the time until about [amount] more is available, given that this node has [share] of what remains.
     *
     * What was spent is counted in full for [MAX_REPORT_AGE], and then in proportion to the share.
     */
    fun timeUntilAvailable(amount: Double, share: Double, now: MonotonicTime): Duration {
        val released = amount / (1 - share).coerceAtLeast(MIN_FRACTION)
        val times =
            listOfNotNull(
                spent.timeUntilFreedOrNull(released, now, MAX_REPORT_AGE),
                lent.timeUntilFreedOrNull(released, now, MAX_REPORT_AGE + LOAN_LIFE),
            )
        return times.minOrNull() ?: UPDATE_PERIOD
    }

    private companion object {
        /**
         * The fraction of the tolerated amount that is given out.
         *
         * The rest covers requests that are admitted before the reports of earlier ones reach the other nodes.
         */
        const val USED_FRACTION = 0.85

        /** The part of what is tolerated and not given out; the rest is for late reports. */
        const val OVERDRAFT_FRACTION = 0.5

        /** The time between two reports of other nodes, which may show that they used less. */
        val UPDATE_PERIOD: Duration = 0.5.seconds

        /** Guards against a division by zero on a node that has the whole quota. */
        const val MIN_FRACTION = 0.01
    }
}

/** The maximum age of another node's report: two report periods and the time to write and read a report. */
internal val MAX_REPORT_AGE: Duration = 2.5.seconds
