package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Service
import gypsumcart.core.ServiceName
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Determines how many back ends the demand of clients requires.
 *
 * The initial number is kept until a whole period of observed demand shows that fewer suffice.
 */
internal class DemandRequirements {
    private class State(service: Service) {
        val capacity = WorkCapacity(service.engine)
        val forecast = DemandForecast()
        val held = HeldCount()
        val horizon: Duration = service.scaling?.listingTime ?: Duration.ZERO
        var lostCapacity = 0.0

        /** How many back ends the present level takes, without any reserve. */
        var needNow = 0

        /** Since when as many back ends serve as [needNow], or null if fewer do. */
        var sufficientSince: MonotonicTime? = null
    }

    private val states = HashMap<ServiceName, State>()

    /** Whether the registry of back ends answers; otherwise it is not known which of them still run. */
    var isRegistryAvailable: Boolean = true

    private fun stateOf(service: Service): State = states.getOrPut(service.name) { State(service) }

    /**
     * Records the demand for [service], of which [present] back ends stay.
     *
     * @param initial the number that the operator started with, or null if it is not known yet
     */
    fun observe(
        service: Service,
        event: AutoscalerEvent.LoadMeasured,
        present: Int,
        initial: Int?,
        now: MonotonicTime,
    ) {
        val state = stateOf(service)
        val lost = event.lostCapacity.mapNotNull { it[service.name] }
        state.lostCapacity = if (lost.isEmpty()) 0.0 else lost.average()
        val work = event.arrivals.sumOf { it[service.name]?.workPerSecond ?: 0.0 }
        state.forecast.observe(work, state.horizon, now)
        observeCapacity(state, service, event, present, now)
        // The load of a silent node is empty, that of an idle one is 0.
        val isComplete = isRegistryAvailable && event.loads.none { it.isEmpty() }
        val need = if (initial == null) 0 else updateNeed(state, initial, now)
        state.held.observe(need, hasDemand = work > 0, isComplete, now)
    }

    private fun observeCapacity(
        state: State,
        service: Service,
        event: AutoscalerEvent.LoadMeasured,
        present: Int,
        now: MonotonicTime,
    ) {
        val latencies = event.latencies.mapNotNull { it[service.name] }
        val serving = present - state.lostCapacity
        state.sufficientSince = if (serving >= state.needNow) state.sufficientSince ?: now else null
        if (latencies.isEmpty() || serving < 1) return
        val load = event.loads.sumOf { it[service.name] ?: 0.0 }
        val isSufficient = state.sufficientSince?.let { now - it >= SETTLING_TIME } ?: false
        state.capacity.observe(load, state.forecast.level, serving, latencies.average(), isSufficient, now)
    }

    /** Updates the number that the present level takes, and returns the number with the reserve for what may come. */
    private fun updateNeed(state: State, initial: Int, now: MonotonicTime): Int {
        val forecast = state.forecast
        val perBackEnd = state.capacity.perBackEnd(initial, forecast.mean, forecast.burstFactor) ?: return 0
        state.needNow = ceil(forecast.level / perBackEnd).toInt()
        return ceil(forecast.expectedIn(state.horizon, now) / perBackEnd).toInt()
    }

    /**
     * Returns how many back ends the demand requires, no fewer than [initial] before fewer are known to suffice, and in
     * addition as many as make up for the capacity that limits take away.
     *
     * @param isLate whether this process joined a fleet that is already being scaled, whose present size it must keep
     * until it has observed demand itself
     */
    fun requirement(service: Service, initial: Int, isLate: Boolean, now: MonotonicTime): Requirement {
        val state = stateOf(service)
        val held = state.held.countOf(initial, now)
        val lost = ceil(state.lostCapacity).toInt().coerceIn(0, initial)
        val burstFactor = state.forecast.burstFactor
        return Requirement(
            count = held + lost,
            countAfterTwoLosses = ceil(held / burstFactor).toInt() + lost,
            countNow = state.needNow,
            allowsReduction = isRegistryAvailable && (!isLate || state.held.isProven(now)),
            load = state.forecast.level,
            loadPerBackEnd = state.capacity.perBackEnd(initial, state.forecast.mean, burstFactor) ?: 0.0,
        )
    }

    private companion object {
        /** The time in which the requests that waited for missing back ends have been served or have expired. */
        val SETTLING_TIME: Duration = 3.seconds
    }
}
