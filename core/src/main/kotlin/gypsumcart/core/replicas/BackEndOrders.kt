package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.Configuration
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Scaling
import gypsumcart.core.Service
import gypsumcart.core.ServiceName
import gypsumcart.core.ZoneName
import gypsumcart.core.leases.ActResult
import gypsumcart.core.leases.DutyAct
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tells the duty that orders back ends what happened. */
public sealed class OrdersEvent {
    /** A configuration is in force from now on. */
    public data class Configured(public val configuration: Configuration) : OrdersEvent()

    /** The directory lists these back ends, of all services. */
    public data class BackEndsListed(public val backEnds: List<BackEnd>) : OrdersEvent()

    /** This node acts for the fleet, or does not any more. */
    public data class HoldingChanged(public val holding: Boolean) : OrdersEvent()

    /** The nodes have in progress what [loads] say, by service, a map for each node. */
    public data class Loaded(public val loads: List<Map<ServiceName, Double>>) : OrdersEvent()

    /** The store holds how many back ends each service had when the fleet began to order them. */
    public data class Remembered(public val counts: Map<ServiceName, Int>) : OrdersEvent()

    /** An order ended. */
    public data class Ended(public val order: DutyAct.OrderBackEnds, public val result: ActResult) : OrdersEvent()

    /** The time came to compare what there is with what is needed. */
    public data object Tick : OrdersEvent()
}

/** Says what the duty that orders back ends wants done. */
public sealed class OrdersEffect {
    /**
     * Places [act].
     *
     * @property need how many back ends the service needs in all zones
     * @property load the highest load of the recent past, in requests and long prompts
     */
    public data class Order(
        public val act: DutyAct.OrderBackEnds,
        public val need: Int,
        public val load: Double,
    ) : OrdersEffect()

    /** Writes down for later holders how many back ends each service had. */
    public data class Remember(public val counts: Map<ServiceName, Int>) : OrdersEffect()
}

/**
 * Orders back ends by price.
 *
 * Reclaimable ones cost a fraction of the others and are taken back by zone. They are therefore spread over the zones
 * so that those of all zones but one carry the load, and on-demand ones stand in while reclaimable ones are missing.
 */
public class BackEndOrders : Decider<OrdersEvent, OrdersEffect> {
    private data class Slot(val service: ServiceName, val zone: ZoneName, val spot: Boolean)

    private class Ordered(var count: Int?, var sentAt: MonotonicTime, var pending: Boolean)

    private val ordered = HashMap<Slot, Ordered>()

    /** How many back ends each service had when the fleet began to order them. */
    private val initial = HashMap<ServiceName, Int>()

    /** How many back ends each service was last found to need. */
    private val needs = HashMap<ServiceName, Int>()
    private val peaks = HashMap<ServiceName, PeakLoad>()
    private var services: List<Service> = emptyList()
    private var backEnds: List<BackEnd> = emptyList()
    private var listedSince: MonotonicTime? = null
    private var holding = false

    override fun decide(event: OrdersEvent, now: MonotonicTime): List<OrdersEffect> =
        when (event) {
            is OrdersEvent.Configured ->
                nothing {
                    services =
                        event.configuration.services.values
                            .toList()
                }
            is OrdersEvent.BackEndsListed -> {
                list(event.backEnds, now)
                order(now)
            }
            is OrdersEvent.Loaded -> nothing { load(event.loads, now) }
            is OrdersEvent.Remembered -> nothing { initial.putAll(event.counts) }
            is OrdersEvent.HoldingChanged -> nothing { changeHolding(event.holding) }
            is OrdersEvent.Ended -> nothing { end(event) }
            OrdersEvent.Tick -> (if (holding) remember(now) else emptyList()) + order(now)
        }

    private inline fun nothing(change: () -> Unit): List<OrdersEffect> {
        change()
        return emptyList()
    }

    /** A new holder does not know what the last one ordered, so it orders anew. */
    private fun changeHolding(holding: Boolean) {
        this.holding = holding
        ordered.clear()
    }

    private fun list(backEnds: List<BackEnd>, now: MonotonicTime) {
        this.backEnds = backEnds
        if (listedSince == null && backEnds.isNotEmpty()) listedSince = now
    }

    private fun load(loads: List<Map<ServiceName, Double>>, now: MonotonicTime) {
        for (service in services) {
            val total = loads.sumOf { it[service.name] ?: 0.0 }
            peaks.getOrPut(service.name, ::PeakLoad).add(total, now)
        }
    }

    /** Counts the back ends that the operator began with, once all had the time to register. */
    private fun remember(now: MonotonicTime): List<OrdersEffect> {
        val since = listedSince ?: return emptyList()
        if (now - since < REGISTERING) return emptyList()
        val unknown = services.filter { it.scaling != null && it.name !in initial }
        if (unknown.isEmpty()) return emptyList()
        for (service in unknown) initial[service.name] = backEnds.count { it.service == service.name && !it.leaving }
        return listOf(OrdersEffect.Remember(initial.toMap()))
    }

    private fun end(event: OrdersEvent.Ended) {
        val slot = ordered[Slot(event.order.service, event.order.zone, event.order.spot)] ?: return
        slot.pending = false
        if (event.result != ActResult.DONE) slot.count = null
    }

    private fun order(now: MonotonicTime): List<OrdersEffect> =
        if (holding) services.flatMap { orderFor(it, now) } else emptyList()

    private fun orderFor(service: Service, now: MonotonicTime): List<OrdersEffect> {
        val scaling = service.scaling ?: return emptyList()
        val began = initial[service.name] ?: return emptyList()
        val zones = scaling.zonePrices.keys.sortedBy(scaling.zonePrices::getValue)
        if (zones.isEmpty()) return emptyList()
        val load = peaks[service.name]?.value ?: 0.0
        val need = needFor(service.name, load, began)
        val staying = backEnds.filter { it.service == service.name && !it.leaving }
        val spot = spotCount(need, zones.size, scaling)
        val onDemand = onDemandCounts(need, zones, staying, service.name, scaling, now)
        val acts =
            zones.flatMap { zone ->
                listOfNotNull(
                    orderOrNull(Slot(service.name, zone, spot = true), spot, staying, scaling, now),
                    orderOrNull(Slot(service.name, zone, spot = false), onDemand.getValue(zone), staying, scaling, now),
                )
            }
        return acts.map { OrdersEffect.Order(it, need, load) }
    }

    /** Follows the load up at once and down only when it is clearly lower, as each change costs boots and drains. */
    private fun needFor(service: ServiceName, load: Double, began: Int): Int {
        val needed = ceil(load / LOAD_PER_BACK_END).toInt()
        val tolerable = ceil(load / (LOAD_PER_BACK_END * CLEARLY_LOWER)).toInt()
        val range = ceil(began * MIN_PART).toInt()..ceil(began * MAX_GROWTH).toInt()
        val need = (needs[service] ?: needed).coerceIn(needed, tolerable).coerceIn(range)
        needs[service] = need
        return need
    }

    /** Returns how many reclaimable back ends each zone has, so that all zones but one carry [need]. */
    private fun spotCount(need: Int, zones: Int, scaling: Scaling): Int {
        val carrying = (zones - 1).coerceAtLeast(1)
        return ceil(need.toDouble() / carrying).toInt().coerceIn(1, scaling.max)
    }

    /** Counts the back ends that are there or still boot. */
    private fun standing(slot: Slot, staying: List<BackEnd>, scaling: Scaling, now: MonotonicTime): Int {
        val present = staying.count { it.zone == slot.zone && it.spot == slot.spot }
        val last = ordered[slot] ?: return present
        val boots = now - last.sentAt < scaling.boot + ARRIVAL_MARGIN
        return if (boots) maxOf(present, last.count ?: 0) else present
    }

    /** Fills up to [need] with the on-demand back ends that there are, and then with more in the cheapest zones. */
    private fun onDemandCounts(
        need: Int,
        zones: List<ZoneName>,
        staying: List<BackEnd>,
        service: ServiceName,
        scaling: Scaling,
        now: MonotonicTime,
    ): Map<ZoneName, Int> {
        val spotByZone = staying.filter { it.spot }.groupingBy { it.zone }.eachCount()
        var missing = (need - surviving(service, spotByZone)).coerceAtLeast(0)
        val counts = HashMap<ZoneName, Int>()
        for (zone in zones) {
            val slot = Slot(service, zone, spot = false)
            counts[zone] = minOf(missing, standing(slot, staying, scaling, now))
            missing -= counts.getValue(zone)
        }
        for (zone in zones) {
            val room = scaling.max - (spotByZone[zone] ?: 0) - counts.getValue(zone)
            val added = missing.coerceIn(0, room.coerceAtLeast(0))
            counts[zone] = counts.getValue(zone) + added
            missing -= added
        }
        return counts
    }

    /**
     * Counts the reclaimable back ends that are left when the next zones have been reclaimed.
     *
     * Zones are reclaimed in waves, and a new back end takes longer to boot than one zone's notice lasts. The zone that
     * has most therefore counts as lost at any time, and the next one too while a zone is being reclaimed.
     */
    private fun surviving(service: ServiceName, spotByZone: Map<ZoneName, Int>): Int {
        val lost = if (isReclaiming(service)) 2 else 1
        return spotByZone.values
            .sortedDescending()
            .drop(lost)
            .sum()
    }

    private fun isReclaiming(service: ServiceName): Boolean =
        backEnds.any { it.service == service && it.spot && it.leaving && it.leavesIn != null } ||
            ordered.any { (slot, last) -> slot.service == service && slot.spot && last.count == null }

    private fun orderOrNull(
        slot: Slot,
        count: Int,
        staying: List<BackEnd>,
        scaling: Scaling,
        now: MonotonicTime,
    ): DutyAct.OrderBackEnds? {
        val last = ordered[slot]
        if (last != null && last.pending && now - last.sentAt < UNANSWERED) return null
        val present = staying.count { it.service == slot.service && it.zone == slot.zone && it.spot == slot.spot }
        if (last == null && present == 0 && count == 0) return null
        if (last != null && !isDue(last, count, present, scaling, now)) return null
        ordered[slot] = Ordered(count, now, pending = true)
        return DutyAct.OrderBackEnds(slot.service, slot.zone, count, slot.spot)
    }

    private fun isDue(last: Ordered, count: Int, present: Int, scaling: Scaling, now: MonotonicTime): Boolean {
        val age = now - last.sentAt
        return when {
            last.count == null -> age >= REFUSED_WAIT
            last.count != count -> age >= MIN_PERIOD
            else -> present < count && age >= scaling.boot + ARRIVAL_MARGIN
        }
    }

    private companion object {
        /** A heartbeat interval and a second: by then all back ends that there were have registered. */
        val REGISTERING: Duration = 2.5.seconds

        /** The load, in requests and long prompts, with which an engine still answers within its targets. */
        const val LOAD_PER_BACK_END = 14.0

        /** The part of what stood at first that is kept for loads that rise faster than a back end boots. */
        const val MIN_PART = 0.6

        /** The part of a back end's load below which one is taken away; most lulls are shallower. */
        const val CLEARLY_LOWER = 0.8

        /**
         * How many times what stood at first may be needed. Overload makes requests wait and so raises the load that is
         * measured, most of all while few back ends are to be had.
         */
        const val MAX_GROWTH = 1.5

        /** An order that is unanswered for so long is placed again. */
        val UNANSWERED: Duration = 3.seconds

        /** Between two tries to get what was refused; back ends that are out may be had again after seconds. */
        val REFUSED_WAIT: Duration = 2.seconds

        /** Between two orders for one zone, so that the directory shows the effect of the first. */
        val MIN_PERIOD: Duration = 1.seconds

        /** How long after its boot a back end takes to show in the directory. */
        val ARRIVAL_MARGIN: Duration = 3.seconds
    }
}
