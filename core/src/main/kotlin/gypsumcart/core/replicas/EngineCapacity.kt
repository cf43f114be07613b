package gypsumcart.core.replicas

import gypsumcart.core.InferenceEngine
import gypsumcart.core.MonotonicTime

/**
 * Learns the load that one engine of a service carries while requests still meet their latency targets.
 *
 * Waiting grows with the load as in a queue: at a load `l` the latency is about `base / (1 - l / limit)`. The base is
 * learned from the lowest latencies seen, the limit from how far the current ones lie above it. The estimate starts
 * from the batch slots of the engine and is raised step by step, never far beyond a load that was actually observed.
 */
internal class EngineCapacity(engine: InferenceEngine?) {
    private val ceiling = (engine?.batchSlots ?: DEFAULT_SLOTS) * MAX_SLOT_FRACTION
    private val observedLoad = PeakLoad()
    private var baseLatency: Double? = null

    /** The load at which an engine meets the latency targets, in requests; a long prompt counts as more than one. */
    var sustainableLoad: Double = (engine?.batchSlots ?: DEFAULT_SLOTS) * INITIAL_SLOT_FRACTION
        private set

    /**
     * Records that at [load] for each engine the slowest tenth of requests needed [latency] until their first piece,
     * as a fraction of their latency target.
     */
    fun observe(load: Double, latency: Double, now: MonotonicTime) {
        observedLoad.add(load, now)
        val base = updateBase(latency)
        val estimate = estimate(load, latency, base)
        when {
            estimate > sustainableLoad -> {
                val reachable = observedLoad.value * MAX_EXTRAPOLATION
                val raised = minOf(estimate, reachable, ceiling, sustainableLoad * MAX_RAISE)
                sustainableLoad = maxOf(sustainableLoad, raised)
            }

            // At a small load the latency says little about a larger one.
            latency > TARGET_LATENCY || load > sustainableLoad * MIN_TELLING_FRACTION ->
                sustainableLoad = maxOf(estimate, sustainableLoad * MAX_REDUCTION, MIN_LOAD)
        }
    }

    /** The base falls at once and rises slowly, so that it follows an engine that has become slower for good. */
    private fun updateBase(latency: Double): Double {
        val previous = baseLatency ?: latency
        val base = if (latency < previous) latency else previous + (latency - previous) * BASE_RISE
        baseLatency = base
        return base
    }

    private fun estimate(load: Double, latency: Double, base: Double): Double {
        val utilization = (1 - base / latency).coerceAtLeast(MIN_UTILIZATION)
        val limit = load / utilization
        return limit * (1 - base / TARGET_LATENCY).coerceAtLeast(MIN_UTILIZATION)
    }

    private companion object {
        /** Assumed of a service whose engine the configuration does not describe. */
        const val DEFAULT_SLOTS = 64

        /** The fraction of the batch slots assumed to be usable before anything was observed. */
        const val INITIAL_SLOT_FRACTION = 0.22

        /** Beyond this fraction, requests of uneven length find no free batch slot too often. */
        const val MAX_SLOT_FRACTION = 0.6

        /** The latency of the slowest tenth to aim for, as a fraction of the target; the rest is for bursts. */
        const val TARGET_LATENCY = 0.6

        /** How far beyond the highest load of the recent past the estimate may go. */
        const val MAX_EXTRAPOLATION = 1.6

        /** The factors by which the estimate may change with one observation. */
        const val MAX_RAISE = 1.05
        const val MAX_REDUCTION = 0.95

        /** The part of the sustainable load from which on an observation can lower the estimate. */
        const val MIN_TELLING_FRACTION = 0.5

        /** Two observations a second double a base that is far too low in about a quarter of an hour. */
        const val BASE_RISE = 0.0005
        const val MIN_UTILIZATION = 0.05

        /** An engine serves at least one request. */
        const val MIN_LOAD = 1.0
    }
}
