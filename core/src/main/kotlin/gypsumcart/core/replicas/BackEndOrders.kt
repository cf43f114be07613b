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
    public data class Remembered(public val needs: Map<ServiceName, Int>) : OrdersEvent()

    /** An order ended. */
    public data class Ended(public val order: DutyAct.OrderBackEnds, public val result: ActResult) : OrdersEvent()

    /** The time came to compare what there is with what is needed. */
    public data object Tick : OrdersEvent()
}

/** Says what the duty that orders back ends wants done. */
public sealed class OrdersEffect {
    /** Places [act]. */
    public data class Order(public val act: DutyAct.OrderBackEnds) : OrdersEffect()

    /** Writes down for later holders how many back ends each service had. */
    public data class Remember(public val needs: Map<ServiceName, Int>) : OrdersEffect()
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
            is OrdersEvent.BackEndsListed -> nothing { list(event.backEnds, now) }
            is OrdersEvent.Loaded -> nothing { load(event.loads, now) }
            is OrdersEvent.Remembered -> nothing { needs.putAll(event.needs) }
            is OrdersEvent.HoldingChanged -> nothing { changeHolding(event.holding) }
            is OrdersEvent.Ended -> nothing { end(event) }
            OrdersEvent.Tick -> if (holding) remember(now) + services.flatMap { orderFor(it, now) } else emptyList()
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
        val unknown = services.filter { it.scaling != null && it.name !in needs }
        if (unknown.isEmpty()) return emptyList()
        for (service in unknown) needs[service.name] = backEnds.count { it.service == service.name && !it.leaving }
        return listOf(OrdersEffect.Remember(needs.toMap()))
    }

    private fun end(event: OrdersEvent.Ended) {
        val slot = ordered[Slot(event.order.service, event.order.zone, event.order.spot)] ?: return
        slot.pending = false
        if (event.result != ActResult.DONE) slot.count = null
    }

    private fun orderFor(service: Service, now: MonotonicTime): List<OrdersEffect> {
        val scaling = service.scaling ?: return emptyList()
        val staying = backEnds.filter { it.service == service.name && !it.leaving }
        val began = needs[service.name] ?: return emptyList()
        val loaded = peaks[service.name]?.let { ceil(it.value / LOAD_PER_BACK_END).toInt() } ?: 0
        val need = loaded.coerceIn(began, ceil(began * MAX_GROWTH).toInt())
        val zones = scaling.zonePrices.keys.sorted()
        if (zones.isEmpty()) return emptyList()
        val spot = zones.associateWith { spotCount(need, zones.size, scaling) }
        val onDemand = onDemandCounts(need, zones, staying, scaling)
        return zones.flatMap { zone ->
            listOfNotNull(
                orderOrNull(Slot(service.name, zone, spot = true), spot.getValue(zone), staying, scaling, now),
                orderOrNull(Slot(service.name, zone, spot = false), onDemand.getValue(zone), staying, scaling, now),
            )
        }
    }

    /** Returns how many reclaimable back ends each zone has, so that all zones but one carry [need]. */
    private fun spotCount(need: Int, zones: Int, scaling: Scaling): Int {
        val carrying = (zones - 1).coerceAtLeast(1)
        return ceil(need.toDouble() / carrying).toInt().coerceIn(1, scaling.max)
    }

    /**
     * Fills up to [need] with the on-demand back ends that there are, and then with more in the cheapest zones that
     * have room.
     *
     * Zones are reclaimed in waves, and a new back end takes seconds to boot. The reclaimable ones of the zone that has
     * most of them therefore count as lost already.
     */
    private fun onDemandCounts(
        need: Int,
        zones: List<ZoneName>,
        staying: List<BackEnd>,
        scaling: Scaling,
    ): Map<ZoneName, Int> {
        val spotByZone = staying.filter { it.spot }.groupingBy { it.zone }.eachCount()
        val surviving = spotByZone.values.sum() - (spotByZone.values.maxOrNull() ?: 0)
        var missing = (need - surviving).coerceAtLeast(0)
        val counts = HashMap<ZoneName, Int>()
        for (zone in zones) {
            counts[zone] = minOf(missing, staying.count { !it.spot && it.zone == zone })
            missing -= counts.getValue(zone)
        }
        for (zone in zones.sortedBy { scaling.zonePrices.getValue(it) }) {
            val room = scaling.max - (spotByZone[zone] ?: 0) - counts.getValue(zone)
            val added = missing.coerceIn(0, room.coerceAtLeast(0))
            counts[zone] = counts.getValue(zone) + added
            missing -= added
        }
        return counts
    }

    private fun orderOrNull(
        slot: Slot,
        count: Int,
        staying: List<BackEnd>,
        scaling: Scaling,
        now: MonotonicTime,
    ): OrdersEffect? {
        val last = ordered[slot]
        if (last != null && last.pending && now - last.sentAt < UNANSWERED) return null
        val present = staying.count { it.service == slot.service && it.zone == slot.zone && it.spot == slot.spot }
        if (last == null && present == 0 && count == 0) return null
        if (last != null && !isDue(last, count, present, scaling, now)) return null
        ordered[slot] = Ordered(count, now, pending = true)
        return OrdersEffect.Order(DutyAct.OrderBackEnds(slot.service, slot.zone, count, slot.spot))
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
