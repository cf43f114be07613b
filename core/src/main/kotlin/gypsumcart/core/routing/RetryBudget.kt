package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration

/**
 * Bounds the calls beyond the first of each request over all nodes.
 *
 * @property ratio how many repeats each request adds to the budget
 * @property extra how many repeats all nodes together may make in a window beyond that
 * @property window over which repeats and requests are counted
 */
public data class RetryLimits(public val ratio: Double, public val extra: Int, public val window: Duration)

/**
 * Keeps this node's part of the retry budget of one service.
 *
 * The part is the ratio of the node's own requests and an equal share of the extra among the live nodes. A window may
 * lie anywhere, so the events of the last whole window count.
 */
internal class RetryBudget(private val limits: RetryLimits) {
    private val requests = ArrayDeque<MonotonicTime>()
    private val repeats = ArrayDeque<MonotonicTime>()

    /** Counts a request. */
    fun countRequest(now: MonotonicTime) {
        trim(requests, now)
        requests.addLast(now)
    }

    /** Takes one repeat from the budget that this node shares with [nodes] in all, if there is one left. */
    fun takeRepeat(nodes: Int, now: MonotonicTime): Boolean {
        trim(requests, now)
        trim(repeats, now)
        val allowed = limits.ratio * requests.size + limits.extra.toDouble() / nodes.coerceAtLeast(1)
        if (repeats.size + 1 > allowed * SAFE_PART) return false
        repeats.addLast(now)
        return true
    }

    private fun trim(times: ArrayDeque<MonotonicTime>, now: MonotonicTime) {
        while (times.isNotEmpty() && now - times.first() > limits.window) times.removeFirst()
    }

    private companion object {
        /** The part of the budget that is used, since calls arrive later than they are counted. */
        const val SAFE_PART = 0.8
    }
}
