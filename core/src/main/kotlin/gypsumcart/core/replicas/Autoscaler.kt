package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.Configuration
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Scaling
import gypsumcart.core.Service
import gypsumcart.core.ServiceName
import gypsumcart.core.ZoneName
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Represents an input of the [Autoscaler] decider. */
public sealed class AutoscalerEvent {
    /** A configuration came into force. */
    public data class Configured(public val configuration: Configuration) : AutoscalerEvent()

    /** The directory lists [backEnds], those of all services. */
    public data class BackEndsListed(public val backEnds: List<BackEnd>) : AutoscalerEvent()

    /** This node acquired or lost the lease. */
    public data class HoldingChanged(public val holding: Boolean) : AutoscalerEvent()

    /**
     * The load of each service was measured.
     *
     * @property loads the load by service, one map for each node
     * @property latencies the time to the first piece of the slowest tenth of requests by service, as a fraction of
     * their latency target, one map for each node
     * @property lostCapacity the capacity that limits of back ends take away, as a number of back ends by service, one
     * map for each node
     */
    public data class LoadMeasured(
        public val loads: List<Map<ServiceName, Double>>,
        public val latencies: List<Map<ServiceName, Double>> = emptyList(),
        public val lostCapacity: List<Map<ServiceName, Double>> = emptyList(),
    ) : AutoscalerEvent()

    /** The store contains [counts], the number of back ends that each service had when the fleet began to scale it. */
    public data class InitialCountsRead(public val counts: Map<ServiceName, Int>) : AutoscalerEvent()

    /** An order ended with [result]. */
    public data class OrderEnded(
        public val order: FencedCommand.OrderBackEnds,
        public val result: CommandResult,
    ) : AutoscalerEvent()

    /** A timer tick, on which the back ends present are compared with those required. */
    public data object Tick : AutoscalerEvent()
}

/** Represents an output of the [Autoscaler] decider. */
public sealed class AutoscalerEffect {
    /**
     * Places the order [command].
     *
     * @property required how many back ends the service requires in all zones together
     * @property load the peak load of the recent past, in requests, where a long prompt counts as more than one
     * @property loadPerBackEnd the load that each back end is expected to carry
     */
    public data class Order(
        public val command: FencedCommand.OrderBackEnds,
        public val required: Int,
        public val load: Double,
        public val loadPerBackEnd: Double,
    ) : AutoscalerEffect()

    /** Stores for later lease holders how many back ends each service had initially. */
    public data class StoreInitialCounts(public val counts: Map<ServiceName, Int>) : AutoscalerEffect()
}

/**
 * Scales the number of back ends of each service with its load, and chooses their zones and kinds by price.
 *
 * Spot back ends cost a fraction of on-demand ones, but the platform reclaims them zone by zone. They are therefore
 * spread over the zones so that those of all zones but one carry the load, and on-demand back ends replace spot ones
 * that are missing.
 */
public class Autoscaler : Decider<AutoscalerEvent, AutoscalerEffect> {
    /** The spot back ends of one service in one zone, or the on-demand ones if [spot] is false. */
    private data class Pool(val service: ServiceName, val zone: ZoneName, val spot: Boolean)

    /** The last order for a pool; [count] is null if the order did not succeed. */
    private class PoolOrder(var count: Int?, var sentAt: MonotonicTime, var pending: Boolean)

    private val lastOrders = HashMap<Pool, PoolOrder>()

    /** The number of back ends that each service had when the fleet began to scale it. */
    private val initialCounts = HashMap<ServiceName, Int>()

    /** The number of back ends that each service required at the last check. */
    private val requiredCounts = HashMap<ServiceName, Int>()
    private val peakLoads = HashMap<ServiceName, PeakLoad>()
    private val lostCapacities = HashMap<ServiceName, Double>()
    private val capacities = HashMap<ServiceName, EngineCapacity>()
    private var services: List<Service> = emptyList()
    private var backEnds: List<BackEnd> = emptyList()
    private var firstListedAt: MonotonicTime? = null
    private var holding = false

    override fun decide(event: AutoscalerEvent, now: MonotonicTime): List<AutoscalerEffect> =
        when (event) {
            is AutoscalerEvent.Configured ->
                noEffects {
                    services =
                        event.configuration.services.values
                            .toList()
                }
            is AutoscalerEvent.BackEndsListed -> {
                updateBackEnds(event.backEnds, now)
                order(now)
            }
            is AutoscalerEvent.LoadMeasured -> noEffects { addLoads(event, now) }
            is AutoscalerEvent.InitialCountsRead -> noEffects { initialCounts.putAll(event.counts) }
            is AutoscalerEvent.HoldingChanged -> noEffects { changeHolding(event.holding) }
            is AutoscalerEvent.OrderEnded -> noEffects { endOrder(event) }
            AutoscalerEvent.Tick -> (if (holding) recordInitialCounts(now) else emptyList()) + order(now)
        }

    private inline fun noEffects(change: () -> Unit): List<AutoscalerEffect> {
        change()
        return emptyList()
    }

    /** Discards the recorded orders: a new lease holder does not know those of its predecessor and must order again. */
    private fun changeHolding(holding: Boolean) {
        this.holding = holding
        lastOrders.clear()
    }

    private fun updateBackEnds(backEnds: List<BackEnd>, now: MonotonicTime) {
        this.backEnds = backEnds
        if (firstListedAt == null && backEnds.isNotEmpty()) firstListedAt = now
    }

    private fun addLoads(event: AutoscalerEvent.LoadMeasured, now: MonotonicTime) {
        for (service in services) {
            val total = event.loads.sumOf { it[service.name] ?: 0.0 }
            peakLoads.getOrPut(service.name, ::PeakLoad).add(total, now)
            val lost = event.lostCapacity.mapNotNull { it[service.name] }
            lostCapacities[service.name] = if (lost.isEmpty()) 0.0 else lost.average()
            val latencies = event.latencies.mapNotNull { it[service.name] }
            val present = backEnds.count { it.service == service.name && !it.draining }
            val serving = present - lostCapacities.getValue(service.name)
            if (latencies.isNotEmpty() && serving >= 1) {
                capacityOf(service).observe(total / serving, latencies.average(), now)
            }
        }
    }

    private fun capacityOf(service: Service): EngineCapacity =
        capacities.getOrPut(service.name) { EngineCapacity(service.engine) }

    /** Counts the back ends that the operator started with, after all of them have had time to register. */
    private fun recordInitialCounts(now: MonotonicTime): List<AutoscalerEffect> {
        val since = firstListedAt ?: return emptyList()
        if (now - since < REGISTRATION_TIME) return emptyList()
        val uncounted = services.filter { it.scaling != null && it.name !in initialCounts }
        if (uncounted.isEmpty()) return emptyList()
        for (service in uncounted) {
            initialCounts[service.name] = backEnds.count { it.service == service.name && !it.draining }
        }
        return listOf(AutoscalerEffect.StoreInitialCounts(initialCounts.toMap()))
    }

    private fun endOrder(event: AutoscalerEvent.OrderEnded) {
        val last = lastOrders[Pool(event.order.service, event.order.zone, event.order.spot)] ?: return
        last.pending = false
        if (event.result != CommandResult.DONE) last.count = null
    }

    private fun order(now: MonotonicTime): List<AutoscalerEffect> =
        if (holding) services.flatMap { orderFor(it, now) } else emptyList()

    private fun orderFor(service: Service, now: MonotonicTime): List<AutoscalerEffect> {
        val scaling = service.scaling ?: return emptyList()
        val initial = initialCounts[service.name] ?: return emptyList()
        val zones = scaling.zonePrices.keys.sortedBy(scaling.zonePrices::getValue)
        if (zones.isEmpty()) return emptyList()
        val load = peakLoads[service.name]?.value ?: 0.0
        val loadPerBackEnd = capacityOf(service).sustainableLoad
        val required = requiredCount(service.name, load, loadPerBackEnd, initial)
        val staying = backEnds.filter { it.service == service.name && !it.draining }
        val spot = spotCountPerZone(required, zones.size, scaling)
        val onDemand = onDemandCounts(required, zones, staying, service.name, scaling, now)
        val commands =
            zones.flatMap { zone ->
                listOfNotNull(
                    orderOrNull(Pool(service.name, zone, spot = true), spot, staying, scaling, now),
                    orderOrNull(Pool(service.name, zone, spot = false), onDemand.getValue(zone), staying, scaling, now),
                )
            }
        return commands.map { AutoscalerEffect.Order(it, required, load, loadPerBackEnd) }
    }

    /**
     * Returns how many back ends [load] requires, within limits relative to the [initial] number, and in addition as
     * many as make up for the capacity that limits take away.
     *
     * The number rises at once with the load, but falls only when the load is clearly lower, as each change costs boots
     * and drains.
     */
    private fun requiredCount(service: ServiceName, load: Double, loadPerBackEnd: Double, initial: Int): Int {
        val lower = ceil(load / loadPerBackEnd).toInt()
        val upper = ceil(load / (loadPerBackEnd * SCALE_DOWN_FRACTION)).toInt()
        val limits = ceil(initial * MIN_FRACTION).toInt()..ceil(initial * MAX_GROWTH).toInt()
        val required = (requiredCounts[service] ?: lower).coerceIn(lower, upper).coerceIn(limits)
        requiredCounts[service] = required
        return required + ceil(lostCapacities[service] ?: 0.0).toInt().coerceIn(0, initial)
    }

    /** Returns how many spot back ends to order in each zone, so that those of all zones but one carry the load. */
    private fun spotCountPerZone(required: Int, zones: Int, scaling: Scaling): Int {
        val carryingZones = (zones - 1).coerceAtLeast(1)
        return ceil(required.toDouble() / carryingZones).toInt().coerceIn(1, scaling.max)
    }

    /** Returns how many back ends of [pool] are present or still booting. */
    private fun provisionedCount(pool: Pool, staying: List<BackEnd>, scaling: Scaling, now: MonotonicTime): Int {
        val present = staying.count { it.zone == pool.zone && it.spot == pool.spot }
        val last = lastOrders[pool] ?: return present
        val isBooting = now - last.sentAt < scaling.bootDuration + LISTING_DELAY
        return if (isBooting) maxOf(present, last.count ?: 0) else present
    }

    /**
     * Returns how many on-demand back ends to order in each zone, so that [required] back ends remain after the loss of
     * spot ones: first those already provisioned, then additional ones in the cheapest zones.
     *
     * @param zones the zones, cheapest first
     */
    private fun onDemandCounts(
        required: Int,
        zones: List<ZoneName>,
        staying: List<BackEnd>,
        service: ServiceName,
        scaling: Scaling,
        now: MonotonicTime,
    ): Map<ZoneName, Int> {
        val spotByZone = staying.filter { it.spot }.groupingBy { it.zone }.eachCount()
        var missing = (required - survivingSpotCount(service, spotByZone)).coerceAtLeast(0)
        val counts = HashMap<ZoneName, Int>()
        for (zone in zones) {
            val pool = Pool(service, zone, spot = false)
            counts[zone] = minOf(missing, provisionedCount(pool, staying, scaling, now))
            missing -= counts.getValue(zone)
        }
        for (zone in zones) {
            val headroom = scaling.max - (spotByZone[zone] ?: 0) - counts.getValue(zone)
            val added = missing.coerceIn(0, headroom.coerceAtLeast(0))
            counts[zone] = counts.getValue(zone) + added
            missing -= added
        }
        return counts
    }

    /**
     * Returns how many spot back ends remain after the next zones have been reclaimed.
     *
     * Zones are reclaimed in waves, and a new back end takes longer to boot than the notice before a zone is reclaimed.
     * The zone with the most spot back ends therefore always counts as lost, and the zone with the next most also while
     * a zone is being reclaimed.
     */
    private fun survivingSpotCount(service: ServiceName, spotByZone: Map<ZoneName, Int>): Int {
        val lost = if (isReclaiming(service)) 2 else 1
        return spotByZone.values
            .sortedDescending()
            .drop(lost)
            .sum()
    }

    private fun isReclaiming(service: ServiceName): Boolean =
        backEnds.any { it.service == service && it.spot && it.draining && it.terminatesIn != null } ||
            lastOrders.any { (pool, last) -> pool.service == service && pool.spot && last.count == null }

    private fun orderOrNull(
        pool: Pool,
        count: Int,
        staying: List<BackEnd>,
        scaling: Scaling,
        now: MonotonicTime,
    ): FencedCommand.OrderBackEnds? {
        val last = lastOrders[pool]
        if (last != null && last.pending && now - last.sentAt < ORDER_TIMEOUT) return null
        val present = staying.count { it.service == pool.service && it.zone == pool.zone && it.spot == pool.spot }
        if (last == null && present == 0 && count == 0) return null
        if (last != null && !isDue(last, count, present, scaling, now)) return null
        lastOrders[pool] = PoolOrder(count, now, pending = true)
        return FencedCommand.OrderBackEnds(pool.service, pool.zone, count, pool.spot)
    }

    private fun isDue(last: PoolOrder, count: Int, present: Int, scaling: Scaling, now: MonotonicTime): Boolean {
        val age = now - last.sentAt
        return when {
            last.count == null -> age >= REFUSED_RETRY_DELAY
            last.count != count -> age >= MIN_ORDER_INTERVAL
            else -> present < count && age >= scaling.bootDuration + LISTING_DELAY
        }
    }

    private companion object {
        /** A heartbeat interval of the back ends and a second, by which time all those running have registered. */
        val REGISTRATION_TIME: Duration = 2.5.seconds

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

        /** How long an order may stay unanswered before it is placed again. */
        val ORDER_TIMEOUT: Duration = 3.seconds

        /** The time before a refused order is retried; unavailable capacity may return within seconds. */
        val REFUSED_RETRY_DELAY: Duration = 2.seconds

        /** The minimum time between two orders for one pool, in which the directory shows the effect of the first. */
        val MIN_ORDER_INTERVAL: Duration = 1.seconds

        /** How long after its boot a back end takes to appear in the directory. */
        val LISTING_DELAY: Duration = 3.seconds
    }
}
