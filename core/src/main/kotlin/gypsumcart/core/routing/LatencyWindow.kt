package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the latencies of the recent past, as fractions of the latency targets of their requests.
 *
 * @param span how far back it looks
 * @param minSamples the number of latencies below which nothing is concluded from them
 */
internal class LatencyWindow(private val span: Duration = SPAN, private val minSamples: Int = MIN_SAMPLES) {
    private class Sample(val fraction: Double, val at: MonotonicTime)

    private val samples = ArrayDeque<Sample>()

    fun add(fraction: Double, now: MonotonicTime) {
        if (samples.size == MAX_SAMPLES) samples.removeFirst()
        samples.addLast(Sample(fraction, now))
    }

    /** Returns the latency that nine tenths of the requests did not exceed, or null if there were too few. */
    fun slowestTenthOrNull(now: MonotonicTime): Double? {
        while (samples.isNotEmpty() && now - samples.first().at > span) samples.removeFirst()
        if (samples.size < minSamples) return null
        return samples.map { it.fraction }.sorted()[(samples.size * QUANTILE).toInt()]
    }

    private companion object {
        /** Long enough for a sufficient number of requests, short enough to follow a loss of back ends. */
        val SPAN: Duration = 3.seconds

        const val QUANTILE = 0.9

        /** With fewer requests, a single slow one would decide. */
        const val MIN_SAMPLES = 20
        const val MAX_SAMPLES = 256
    }
}

/** Keeps a [LatencyWindow] for each service. */
internal class LatencyWindows {
    private val windows = HashMap<ServiceName, LatencyWindow>()

    fun add(service: ServiceName, fraction: Double, now: MonotonicTime): Unit =
        windows.getOrPut(service, ::LatencyWindow).add(fraction, now)

    /** Returns the latency of the slowest tenth of requests of each service that had enough of them. */
    fun slowestTenths(now: MonotonicTime): Map<ServiceName, Double> =
        windows.mapNotNull { (service, window) -> window.slowestTenthOrNull(now)?.let { service to it } }.toMap()
}
