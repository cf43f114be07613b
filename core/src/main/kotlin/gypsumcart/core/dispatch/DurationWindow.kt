package gypsumcart.core.dispatch

import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestDurations
import gypsumcart.core.RouteKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Keeps the number and the longest duration of the requests of each route that ended within the last minute or so. */
internal class DurationWindow {
    private var current = HashMap<RouteKey, RequestDurations>()
    private var previous = HashMap<RouteKey, RequestDurations>()
    private var startedAt: MonotonicTime? = null

    fun add(route: RouteKey, duration: Duration, now: MonotonicTime) {
        rotate(now)
        current.merge(route, RequestDurations(1, duration), RequestDurations::plus)
    }

    fun durations(now: MonotonicTime): Map<RouteKey, RequestDurations> {
        rotate(now)
        val all = HashMap(previous)
        current.forEach { (route, durations) -> all.merge(route, durations, RequestDurations::plus) }
        return all
    }

    private fun rotate(now: MonotonicTime) {
        val age = startedAt?.let { now - it }
        if (age != null && age < SPAN) return
        previous = if (age != null && age < SPAN * 2) current else HashMap()
        current = HashMap()
        startedAt = now
    }

    private companion object {
        /** Long enough to see the rare slow requests of a route, short enough to follow a change of its load. */
        val SPAN: Duration = 30.seconds
    }
}
