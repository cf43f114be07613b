package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Service
import gypsumcart.core.ServiceName
import kotlin.math.ceil

/**
 * Determines how many back ends the demand of clients requires.
 *
 * The initial number is kept until a whole period of observed demand shows that fewer suffice.
 */
internal class DemandRequirements {
    private class State(service: Service) {
        val capacity = EngineCapacity(service.engine)
        val held = HeldCount()
        var lostCapacity = 0.0
        var load = 0.0
        var need = 0
    }

    private val states = HashMap<ServiceName, State>()

    /** Whether the registry of back ends answers; otherwise it is not known which of them still run. */
    var isRegistryAvailable: Boolean = true

    private fun stateOf(service: Service): State = states.getOrPut(service.name) { State(service) }

    /** Records the demand for [service], of which [present] back ends stay. */
    fun observe(service: Service, event: AutoscalerEvent.LoadMeasured, present: Int, now: MonotonicTime) {
        val state = stateOf(service)
        val lost = event.lostCapacity.mapNotNull { it[service.name] }
        state.lostCapacity = if (lost.isEmpty()) 0.0 else lost.average()
        state.load = event.loads.sumOf { it[service.name] ?: 0.0 }
        val latencies = event.latencies.mapNotNull { it[service.name] }
        val serving = present - state.lostCapacity
        // While back ends are missing, requests wait for those that are still to come.
        if (latencies.isNotEmpty() && serving >= maxOf(1, state.need)) {
            state.capacity.observe(state.load / serving, latencies.average(), now)
        }
        state.need = ceil(state.load / state.capacity.sustainableLoad).toInt()
        // The load of a silent node is empty, that of an idle one is 0.
        val isComplete = isRegistryAvailable && event.loads.none { it.isEmpty() }
        state.held.observe(state.need, hasDemand = state.load > 0, isComplete, now)
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
        return Requirement(
            count = held + lost,
            countAfterTwoLosses = ceil(held / BURST_FACTOR).toInt() + lost,
            allowsReduction = isRegistryAvailable && (!isLate || state.held.isProven(now)),
            load = state.load,
            loadPerBackEnd = state.capacity.sustainableLoad,
        )
    }

    private companion object {
        /** How much more than the level a burst asks for, before the bursts of the day are known. */
        const val BURST_FACTOR = 1.5
    }
}
