package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Limits the retries of all nodes together; a retry is any call for a request after its first.
 *
 * @property ratio the number of retries that each request adds to the budget
 * @property extra the number of retries in each window that all nodes together may make in addition
 * @property window the span over which retries and requests are counted
 */
public data class RetryLimits(public val ratio: Double, public val extra: Int, public val window: Duration)

/**
 * Tracks this node's share of the retry budget of one service.
 *
 * The share is [RetryLimits.ratio] times the node's own requests plus an equal share of [RetryLimits.extra] among the
 * live nodes. The limit holds for a window that starts at any time, so requests and retries are counted over a sliding
 * window.
 */
internal class RetryBudget(private val limits: RetryLimits) {
    private val requests = ArrayDeque<MonotonicTime>()
    private val retries = ArrayDeque<MonotonicTime>()

    fun countRequest(now: MonotonicTime) {
        removeExpired(requests, now)
        requests.addLast(now)
    }

    /** Returns the requests a second over the window. */
    fun requestRate(now: MonotonicTime): Double {
        removeExpired(requests, now)
        return requests.size / limits.window.toDouble(DurationUnit.SECONDS)
    }

    /** Takes one retry from this node's share among [nodeCount] nodes, or returns false if the share is used up. */
    fun tryAcquireRetry(nodeCount: Int, now: MonotonicTime): Boolean {
        if (retriesLeft(nodeCount, now) == 0) return false
        retries.addLast(now)
        return true
    }

    /** Returns how many retries are left of this node's share among [nodeCount] nodes. */
    fun retriesLeft(nodeCount: Int, now: MonotonicTime): Int {
        removeExpired(requests, now)
        removeExpired(retries, now)
        val allowed = limits.ratio * requests.size + limits.extra.toDouble() / nodeCount.coerceAtLeast(1)
        return ((allowed * USABLE_FRACTION).toInt() - retries.size).coerceAtLeast(0)
    }

    private fun removeExpired(times: ArrayDeque<MonotonicTime>, now: MonotonicTime) {
        while (times.isNotEmpty() && now - times.first() > limits.window) times.removeFirst()
    }

    private companion object {
        /** The fraction of the budget that is used, since calls arrive later than they are counted here. */
        const val USABLE_FRACTION = 0.8
    }
}

/** Keeps a [RetryBudget] for each service. */
internal class RetryBudgets(private val limits: RetryLimits) {
    private val budgets = HashMap<ServiceName, RetryBudget>()

    fun countRequest(service: ServiceName, now: MonotonicTime): Unit = budgetOf(service).countRequest(now)

    /** Takes one retry from this node's share for [service], or returns false if the share is used up. */
    fun tryAcquireRetry(service: ServiceName, nodeCount: Int, now: MonotonicTime): Boolean =
        budgetOf(service).tryAcquireRetry(nodeCount, now)

    /** Returns how many retries are left of this node's share for [service]. */
    fun retriesLeft(service: ServiceName, nodeCount: Int, now: MonotonicTime): Int =
        budgetOf(service).retriesLeft(nodeCount, now)

    /** Returns the requests a second for [service] through this node. */
    fun requestRate(service: ServiceName, now: MonotonicTime): Double = budgetOf(service).requestRate(now)

    private fun budgetOf(service: ServiceName): RetryBudget = budgets.getOrPut(service) { RetryBudget(limits) }
}
