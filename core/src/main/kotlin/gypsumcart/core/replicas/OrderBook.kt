package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Scaling
import gypsumcart.core.ServiceName
import gypsumcart.core.ZoneName
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Identifies the spot back ends of one service in one zone, or the on-demand ones if [spot] is false. */
internal data class Pool(val service: ServiceName, val zone: ZoneName, val spot: Boolean)

/** Returns how many of the back ends belong to [pool]. */
internal fun List<BackEnd>.countOf(pool: Pool): Int =
    count { it.service == pool.service && it.zone == pool.zone && it.spot == pool.spot }

/**
 * Remembers the last order for each pool, and decides when the next one is due.
 *
 * An order states the number wanted, so that repeating it is harmless.
 */
internal class OrderBook(private val policy: ScalingPolicy) {
    /**
     * The last order for a pool; [count] is null if the order did not succeed, and [highest] is the highest number of
     * back ends that were present since.
     */
    private class PoolOrder(var count: Int?, val sentAt: MonotonicTime, var pending: Boolean, var highest: Int)

    private val lastOrders = HashMap<Pool, PoolOrder>()

    /** The pools for which the platform had no capacity when it last answered. */
    private val dryPools = HashSet<Pool>()

    /** Discards the recorded orders: a new lease holder does not know those of its predecessor and must order again. */
    fun clear() {
        lastOrders.clear()
        dryPools.clear()
    }

    fun end(order: FencedCommand.OrderBackEnds, result: CommandResult) {
        val pool = Pool(order.service, order.zone, order.spot)
        when (result) {
            CommandResult.DONE -> dryPools -= pool
            CommandResult.CONFLICT -> dryPools += pool
            CommandResult.REFUSED, CommandResult.UNKNOWN -> Unit
        }
        val last = lastOrders[pool] ?: return
        last.pending = false
        if (result != CommandResult.DONE) last.count = null
    }

    /** Returns whether [zone] has refused an order for [service], and has accepted none of that kind since. */
    fun isDry(service: ServiceName, zone: ZoneName): Boolean =
        dryPools.any { it.service == service && it.zone == zone }

    /** Returns whether the last order for [pool] did not succeed. */
    fun hasFailed(pool: Pool): Boolean = lastOrders[pool]?.let { it.count == null } ?: false

    /** Returns whether the last order for spot back ends of [service] in any zone did not succeed. */
    fun hasRefusedSpot(service: ServiceName): Boolean =
        lastOrders.any { (pool, last) -> pool.service == service && pool.spot && last.count == null }

    /** Returns how many back ends of [pool] are among those [staying] or still boot. */
    fun provisionedCount(pool: Pool, staying: List<BackEnd>, scaling: Scaling, now: MonotonicTime): Int {
        val present = staying.countOf(pool)
        val last = lastOrders[pool] ?: return present
        val isBooting = now - last.sentAt < scaling.listingTime
        return if (isBooting) maxOf(present, last.count ?: 0) else present
    }

    /**
     * Returns the order for [count] back ends in [pool], of which those [staying] are present, or null if none is due.
     */
    fun orderOrNull(
        pool: Pool,
        count: Int,
        staying: List<BackEnd>,
        scaling: Scaling,
        now: MonotonicTime,
    ): FencedCommand.OrderBackEnds? {
        val last = lastOrders[pool]
        if (last != null && last.pending && now - last.sentAt < ORDER_TIMEOUT) return null
        val present = staying.countOf(pool)
        if (last == null && isFirstOrderNeedless(count, present)) return null
        if (last != null && !isDue(last, count, present, scaling, now)) return null
        lastOrders[pool] = PoolOrder(count, now, pending = true, present)
        return FencedCommand.OrderBackEnds(pool.service, pool.zone, count, pool.spot)
    }

    private fun isFirstOrderNeedless(count: Int, present: Int): Boolean =
        when (policy) {
            ScalingPolicy.ByLoad -> present == 0 && count == 0
            ScalingPolicy.ByDemand -> present == count
        }

    private fun isDue(last: PoolOrder, count: Int, present: Int, scaling: Scaling, now: MonotonicTime): Boolean {
        val age = now - last.sentAt
        val hasLost = present < last.highest
        last.highest = maxOf(last.highest, present)
        return when {
            last.count == null -> age >= REFUSED_RETRY_DELAY && !isRetryNeedless(count, present)
            last.count != count -> age >= MIN_ORDER_INTERVAL
            isLoss(hasLost, count, present) -> age >= MIN_ORDER_INTERVAL
            else -> isUnfulfilled(count, present) && age >= scaling.listingTime
        }
    }

    private fun isRetryNeedless(count: Int, present: Int): Boolean =
        when (policy) {
            ScalingPolicy.ByLoad -> false
            ScalingPolicy.ByDemand -> present == count
        }

    /**
     * Back ends that were lost since the last order are ordered again at once; those that still boot are not missing.
     */
    private fun isLoss(hasLost: Boolean, count: Int, present: Int): Boolean =
        when (policy) {
            ScalingPolicy.ByLoad -> false
            ScalingPolicy.ByDemand -> hasLost && present < count
        }

    /** An earlier order that is carried out late may also leave more back ends than the last one asked for. */
    private fun isUnfulfilled(count: Int, present: Int): Boolean =
        when (policy) {
            ScalingPolicy.ByLoad -> present < count
            ScalingPolicy.ByDemand -> present != count
        }

    private companion object {
        /** How long an order may stay unanswered before it is placed again. */
        val ORDER_TIMEOUT: Duration = 3.seconds

        /** The time before a refused order is retried; unavailable capacity may return within seconds. */
        val REFUSED_RETRY_DELAY: Duration = 2.seconds

        /** The minimum time between two orders for one pool, in which the directory shows the effect of the first. */
        val MIN_ORDER_INTERVAL: Duration = 1.seconds
    }
}

/** The time from the order of a back end until it is listed. */
internal val Scaling.listingTime: Duration get() = bootDuration + LISTING_DELAY

/** How long after its boot a back end takes to appear in the directory. */
private val LISTING_DELAY: Duration = 3.seconds
