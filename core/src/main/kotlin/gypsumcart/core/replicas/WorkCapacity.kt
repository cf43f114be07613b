package gypsumcart.core.replicas

import gypsumcart.core.InferenceEngine
import gypsumcart.core.MonotonicTime

/**
 * Learns how much arriving work per second one back end of a service carries.
 *
 * There are two estimates, of which the higher holds: the operator's, whose initial number is taken to carry the mean
 * demand and a burst, and the one of [EngineCapacity] for requests in progress, divided by how long the work stays in
 * progress. Both fall when latencies are missed under a load that tells, while as many back ends serve as are thought
 * to be needed; waits for back ends that are still missing say nothing about those that serve.
 */
internal class WorkCapacity(engine: InferenceEngine?) {
    private val engineCapacity = EngineCapacity(engine)

    /** How long a unit of work is in progress while latency targets are met, in seconds, or null if not known yet. */
    private var timeInProgress: Double? = null

    /** How much of what the initial number suggests a back end does carry. */
    private var trust = 1.0

    /**
     * Records that [serving] back ends had the [load] in requests waiting or in progress while [work] arrived per
     * second.
     *
     * @param latency the time to the first piece of the slowest tenth of requests as a fraction of their target
     * @param isSufficient whether as many back ends serve as are thought to be needed
     */
    fun observe(
        load: Double,
        work: Double,
        serving: Double,
        latency: Double,
        isSufficient: Boolean,
        now: MonotonicTime,
    ) {
        val loadPerBackEnd = load / serving
        val tells = loadPerBackEnd >= engineCapacity.sustainableLoad * MIN_TELLING_FRACTION
        if (isSufficient && tells) {
            engineCapacity.observe(loadPerBackEnd, latency, now)
            if (latency > 1) trust *= TRUST_LOSS
        }
        if (latency <= GOOD_LATENCY) trust = minOf(1.0, trust * TRUST_GAIN)
        if (work > 0 && latency <= 1) {
            val measured = load / work
            timeInProgress = timeInProgress?.let { it + (measured - it) * TIME_WEIGHT } ?: measured
        }
    }

    /** Returns the work per second that one back end carries, or null as long as nothing is known. */
    fun perBackEnd(initial: Int, meanWork: Double, burstFactor: Double): Double? {
        if (meanWork <= 0 || initial <= 0) return null
        val byOperator = meanWork * burstFactor / initial * trust
        val byLoad = timeInProgress?.takeIf { it > 0 }?.let { engineCapacity.sustainableLoad / it } ?: 0.0
        return maxOf(byOperator, byLoad)
    }

    private companion object {
        /** Below this part of the load that an engine sustains, its latency has other causes than the load. */
        const val MIN_TELLING_FRACTION = 0.5

        /** Lets the number double within seven seconds of missed targets, two boots of a back end. */
        const val TRUST_LOSS = 0.95

        /** Regains in a minute and a half what seven seconds took. */
        const val TRUST_GAIN = 1.004

        /** Under this latency there is room for a burst. */
        const val GOOD_LATENCY = 0.6

        /** Averages over about ten observations, five seconds. */
        const val TIME_WEIGHT = 0.1
    }
}
