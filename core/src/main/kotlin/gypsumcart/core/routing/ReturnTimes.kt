package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Spreads the times at which refused clients are to return, one for each call that a service then accepts. */
internal class ReturnTimes {
    private val lastByService = HashMap<ServiceName, MonotonicTime>()

    /**
     * Returns when the next refused client is to return.
     *
     * @param nextCallAt when the next call to the service is possible through this node, or null if it is through other
     *   nodes only
     * @param rate the calls a second that this node can make
     */
    fun next(service: ServiceName, nextCallAt: MonotonicTime?, rate: Double, now: MonotonicTime): Duration {
        if (nextCallAt == null || rate <= 0) return OTHER_NODE_RETRY_AFTER
        val afterLast = lastByService[service]?.let { it + (1 / rate).seconds } ?: nextCallAt
        val time = minOf(maxOf(nextCallAt, afterLast), maxOf(nextCallAt, now + MAX_RETRY_AFTER))
        lastByService[service] = time
        return (time - now).coerceAtLeast(MIN_RETRY_AFTER)
    }

    private companion object {
        /** Another node may accept the request at once. */
        val OTHER_NODE_RETRY_AFTER: Duration = 200.milliseconds
        val MIN_RETRY_AFTER: Duration = 50.milliseconds

        /** By then limits may have ended and other back ends have started, but no pause ends before its time. */
        val MAX_RETRY_AFTER: Duration = 30.seconds
    }
}
