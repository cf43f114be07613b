package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Service
import gypsumcart.core.ServiceName
import kotlin.math.ceil

/** Determines how many back ends the measured load requires, within limits relative to the initial number. */
internal class LoadRequirements {
    /** The number of back ends that each service required at the last check. */
    private val requiredCounts = HashMap<ServiceName, Int>()
    private val peakLoads = HashMap<ServiceName, PeakLoad>()
    private val lostCapacities = HashMap<ServiceName, Double>()
    private val capacities = HashMap<ServiceName, EngineCapacity>()

    /** Records the load of [service], of which [present] back ends stay. */
    fun observe(service: Service, event: AutoscalerEvent.LoadMeasured, present: Int, now: MonotonicTime) {
        val total = event.loads.sumOf { it[service.name] ?: 0.0 }
        peakLoads.getOrPut(service.name, ::PeakLoad).add(total, now)
        val lost = event.lostCapacity.mapNotNull { it[service.name] }
        lostCapacities[service.name] = if (lost.isEmpty()) 0.0 else lost.average()
        val latencies = event.latencies.mapNotNull { it[service.name] }
        val serving = present - lostCapacities.getValue(service.name)
        if (latencies.isNotEmpty() && serving >= 1) {
            capacityOf(service).observe(total / serving, latencies.average(), now)
        }
    }

    private fun capacityOf(service: Service): EngineCapacity =
        capacities.getOrPut(service.name) { EngineCapacity(service.engine) }

    /**
     * Returns how many back ends the load requires, within limits relative to the [initial] number, and in addition as
     * many as make up for the capacity that limits take away.
     *
     * The number rises at once with the load, but falls only when the load is clearly lower, as each change costs boots
     * and drains.
     */
    fun requirement(service: Service, initial: Int): Requirement {
        val load = peakLoads[service.name]?.value ?: 0.0
        val loadPerBackEnd = capacityOf(service).sustainableLoad
        val lower = ceil(load / loadPerBackEnd).toInt()
        val upper = ceil(load / (loadPerBackEnd * SCALE_DOWN_FRACTION)).toInt()
        val limits = ceil(initial * MIN_FRACTION).toInt()..ceil(initial * MAX_GROWTH).toInt()
        val required = (requiredCounts[service.name] ?: lower).coerceIn(lower, upper).coerceIn(limits)
        requiredCounts[service.name] = required
        val lost = ceil(lostCapacities[service.name] ?: 0.0).toInt().coerceIn(0, initial)
        val count = required + lost
        return Requirement(count, count, countNow = count, allowsReduction = true, load, loadPerBackEnd)
    }

    private companion object {
        /** The fraction of the initial back ends that is kept for loads that rise faster than a back end boots. */
        const val MIN_FRACTION = 0.6

        /**
         * Back ends are removed when the load on each falls below this fraction of what it can carry; most lulls do not
         * reach it.
         */
        const val SCALE_DOWN_FRACTION = 0.8

        /**
         * The maximum number of back ends, relative to the initial number. Overload makes requests wait and so raises
         * the measured load, most of all while few back ends are available.
         */
        const val MAX_GROWTH = 1.5
    }
}
