package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Scaling
import gypsumcart.core.Service
import gypsumcart.core.ServiceName
import gypsumcart.core.leases.FencedCommand

/**
 * Scales the number of back ends of each service with its load or demand, and chooses their zones and kinds by price.
 *
 * Spot back ends cost a fraction of on-demand ones, but the platform reclaims them zone by zone. They are therefore
 * spread over the zones so that those of all zones but one carry the load, and on-demand back ends replace spot ones
 * that are missing.
 *
 * @param policy what decides the numbers
 */
public class Autoscaler(policy: ScalingPolicy = ScalingPolicy.ByLoad) : Decider<AutoscalerEvent, AutoscalerEffect> {
    /** What determines the numbers under a policy. */
    private sealed class Sizing {
        class ByLoad(val requirements: LoadRequirements) : Sizing()

        class ByDemand(
            val requirements: DemandRequirements,
            val initialCounts: InitialCounts.CountedWhenSettled,
        ) : Sizing() {
            val waste = HashMap<ServiceName, WasteMeter>()
        }
    }

    private val orders = OrderBook(policy)
    private val initialCounts: InitialCounts
    private val sizing: Sizing
    private val division: ZoneDivision
    private var services: List<Service> = emptyList()
    private var backEnds: List<BackEnd> = emptyList()
    private var holding = false

    init {
        when (policy) {
            ScalingPolicy.ByLoad -> {
                initialCounts = InitialCounts.CountedOnce()
                sizing = Sizing.ByLoad(LoadRequirements())
                division = ZoneDivision.ByLoad(orders)
            }

            ScalingPolicy.ByDemand -> {
                val settled = InitialCounts.CountedWhenSettled()
                initialCounts = settled
                sizing = Sizing.ByDemand(DemandRequirements(), settled)
                division = ZoneDivision.ByDemand(orders)
            }
        }
    }

    override fun decide(event: AutoscalerEvent, now: MonotonicTime): List<AutoscalerEffect> =
        when (event) {
            is AutoscalerEvent.Configured ->
                noEffects {
                    services =
                        event.configuration.services.values
                            .toList()
                }
            is AutoscalerEvent.BackEndsListed -> {
                backEnds = event.backEnds
                initialCounts.list(event.backEnds, now)
                order(now)
            }
            is AutoscalerEvent.LoadMeasured -> noEffects { addLoads(event, now) }
            is AutoscalerEvent.InitialCountsRead -> noEffects { initialCounts.read(event.counts, now) }
            AutoscalerEvent.StoreRestored -> noEffects { initialCounts.doubt() }
            is AutoscalerEvent.HoldingChanged -> noEffects { changeHolding(event.holding) }
            is AutoscalerEvent.RegistryChanged -> noEffects { changeRegistry(event.isAvailable) }
            is AutoscalerEvent.OrderEnded -> noEffects { orders.end(event.order, event.result) }
            AutoscalerEvent.Tick -> recordInitialCounts(now) + order(now)
        }

    private inline fun noEffects(change: () -> Unit): List<AutoscalerEffect> {
        change()
        return emptyList()
    }

    private fun changeHolding(holding: Boolean) {
        this.holding = holding
        orders.clear()
    }

    private fun changeRegistry(isAvailable: Boolean) {
        when (sizing) {
            is Sizing.ByLoad -> Unit
            is Sizing.ByDemand -> sizing.requirements.isRegistryAvailable = isAvailable
        }
    }

    private fun addLoads(event: AutoscalerEvent.LoadMeasured, now: MonotonicTime) {
        for (service in services) {
            val present = backEnds.count { it.service == service.name && !it.draining }
            if (event.loads.any { (it[service.name] ?: 0.0) > 0 }) initialCounts.recordTraffic(service.name)
            when (sizing) {
                is Sizing.ByLoad -> sizing.requirements.observe(service, event, present, now)
                is Sizing.ByDemand -> {
                    if (service.scaling == null) continue
                    val initial = initialCounts.countOrNull(service.name)
                    sizing.requirements.observe(service, event, present, initial, now)
                }
            }
        }
    }

    /** Counts the back ends that the operator started with; the lease holder stores the result. */
    private fun recordInitialCounts(now: MonotonicTime): List<AutoscalerEffect> {
        if (!holding && sizing is Sizing.ByLoad) return emptyList()
        val scaled = services.filter { it.scaling != null }.map { it.name }
        if (!initialCounts.update(scaled, now) || !holding) return emptyList()
        initialCounts.recordWrite(now)
        return listOf(AutoscalerEffect.StoreInitialCounts(initialCounts.all()))
    }

    private fun order(now: MonotonicTime): List<AutoscalerEffect> =
        if (holding) {
            services.flatMap { service ->
                service.scaling?.let { orderFor(service, it, now) }.orEmpty()
            }
        } else {
            emptyList()
        }

    private fun orderFor(service: Service, scaling: Scaling, now: MonotonicTime): List<AutoscalerEffect> {
        val initial = initialCounts.countOrNull(service.name) ?: return emptyList()
        val fleet = ServiceFleet(service.name, scaling, backEnds.filter { it.service == service.name }, now)
        if (fleet.zones.isEmpty()) return emptyList()
        val requirement = requirementOf(service, initial, now)
        val counts = division.divide(requirement, fleet)
        val placed =
            counts.mapNotNull { (pool, count) -> orders.orderOrNull(pool, count, fleet.staying, scaling, now) }
        val waste = measureWaste(fleet, requirement, counts, placed)
        return placed.map {
            AutoscalerEffect.Order(it, requirement.count, requirement.load, requirement.loadPerBackEnd)
        } + waste
    }

    private fun measureWaste(
        fleet: ServiceFleet,
        requirement: Requirement,
        counts: Map<Pool, Int>,
        placed: List<FencedCommand.OrderBackEnds>,
    ): List<AutoscalerEffect> =
        when (sizing) {
            is Sizing.ByLoad -> emptyList()
            is Sizing.ByDemand -> {
                val meter = sizing.waste.getOrPut(fleet.service, ::WasteMeter)
                val present = fleet.staying.size
                meter.measure(present - counts.values.sum(), requirement.countNow - present, fleet.now)
                for (order in placed) {
                    val pool = fleet.pool(order.zone, order.spot)
                    meter.recordOrder(pool, order.count, fleet.staying.countOf(pool), fleet.scaling, fleet.now)
                }
                meter.report(fleet.now).map { (waste, amount) ->
                    AutoscalerEffect.ReportWaste(fleet.service, waste, amount)
                }
            }
        }

    private fun requirementOf(service: Service, initial: Int, now: MonotonicTime): Requirement =
        when (sizing) {
            is Sizing.ByLoad -> sizing.requirements.requirement(service, initial)
            is Sizing.ByDemand -> {
                val entries = sizing.initialCounts.entries.getValue(service.name)
                val requirement = sizing.requirements.requirement(service, initial, entries.isLate, now)
                requirement.copy(allowsReduction = requirement.allowsReduction && !entries.isGrowing(now))
            }
        }
}
