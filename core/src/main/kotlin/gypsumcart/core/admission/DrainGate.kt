package gypsumcart.core.admission

import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestDurations
import gypsumcart.core.Route
import gypsumcart.core.RouteKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which requests a node still accepts whose calls end at [callsEndAt], because its process stops.
 *
 * A refusal costs a client one attempt at another node, and a call that is ended early may cost it the request. A
 * request is accepted if its deadline passes before calls end, or if requests of its route have lately ended much
 * sooner. More is asked of requests that may run only once, which clients can't repeat if the response is lost.
 */
internal class DrainGate(private val callsEndAt: MonotonicTime) {
    /**
     * Describes when recent requests show that another one ends in time.
     *
     * @property minRequests the number of requests that must be known; the longest of fewer says little about the next
     * @property durationFactor how much longer than the longest of them a request may last
     */
    private class Evidence(val minRequests: Int, val durationFactor: Int)

    /** What is known of the durations of recent requests. */
    var durations: Map<RouteKey, RequestDurations> = emptyMap()

    /** Returns whether a request of [route] that is over at [deadline] at the latest is accepted. */
    fun accepts(route: Route, deadline: MonotonicTime, now: MonotonicTime): Boolean {
        val latestEnd = callsEndAt - DELIVERY_MARGIN
        if (deadline <= latestEnd) return true
        val recent = durations[route.key] ?: return false
        val evidence = if (route.kind.isRetryable) REPEATABLE_EVIDENCE else RUN_ONCE_EVIDENCE
        return recent.count >= evidence.minRequests && now + recent.longest * evidence.durationFactor <= latestEnd
    }

    private companion object {
        /** For passing the response on from the back end to the client. */
        val DELIVERY_MARGIN: Duration = 100.milliseconds

        val REPEATABLE_EVIDENCE = Evidence(minRequests = 20, durationFactor = 2)
        val RUN_ONCE_EVIDENCE = Evidence(minRequests = 100, durationFactor = 4)
    }
}
