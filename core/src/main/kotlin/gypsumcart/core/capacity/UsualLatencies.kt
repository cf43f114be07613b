package gypsumcart.core.capacity

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RouteKey
import gypsumcart.core.ServiceName
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Groups calls that take about as long on the same back end.
 *
 * @property size the magnitude of the prompt, in powers of four tokens
 */
internal data class CallClass(val service: ServiceName, val route: RouteKey, val size: Int)

/** The class of the calls for the request. */
internal val AdmittedRequest.callClass: CallClass
    get() = CallClass(service, route.key, sizeOf(submission.prompt?.tokens ?: 0))

private fun sizeOf(tokens: Int): Int = (Int.SIZE_BITS - tokens.countLeadingZeroBits()) / 2

/** Learns from this node's calls how long each class of calls usually takes until the response starts. */
internal class UsualLatencies {
    /** Holds decaying sums of the logarithms of latencies, on which single long ones weigh little. */
    private class Distribution {
        private var count = 0.0
        private var logs = 0.0
        private var squares = 0.0
        private var at: MonotonicTime? = null

        fun add(log: Double, now: MonotonicTime) {
            val decay = at?.let { exp(-((now - it) / SPAN)) } ?: 1.0
            count = count * decay + 1
            logs = logs * decay + log
            squares = squares * decay + log * log
            at = now
        }

        val mean: Double get() = logs / count

        fun quantileOrNull(deviations: Double): Double? {
            if (count < MIN_SAMPLES) return null
            val variance = (squares / count - mean * mean).coerceAtLeast(0.0)
            return mean + deviations * sqrt(variance)
        }
    }

    private val distributions = HashMap<CallClass, Distribution>()

    /** Records [latency] and returns it as a multiple of the usual latency of the class. */
    fun record(kind: CallClass, latency: Duration, now: MonotonicTime): Double {
        val log = ln(latency.coerceAtLeast(RESOLUTION) / RESOLUTION)
        val distribution = distributions.getOrPut(kind, ::Distribution)
        distribution.add(log, now)
        return exp(log - distribution.mean)
    }

    /** Returns [elapsed] as a multiple of the usual latency, or null if that is not known. */
    fun multipleOrNull(kind: CallClass, elapsed: Duration): Double? =
        distributions[kind]?.let { elapsed / (RESOLUTION * exp(it.mean)) }

    /**
     * Returns the latency that is exceeded only by calls [deviations] standard deviations above the usual one, or null
     * if too few calls show it.
     */
    fun quantileOrNull(kind: CallClass, deviations: Double): Duration? =
        distributions[kind]?.quantileOrNull(deviations)?.let { RESOLUTION * exp(it) }

    private companion object {
        /** The shortest latency that counts as different from none. */
        val RESOLUTION: Duration = 1.milliseconds

        /** Long enough that one node sees each class of calls on many back ends. */
        val SPAN: Duration = 20.seconds

        /** With fewer calls, the spread of the latencies is not known. */
        const val MIN_SAMPLES = 8
    }
}
