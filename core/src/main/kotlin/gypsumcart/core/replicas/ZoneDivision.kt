package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Scaling
import gypsumcart.core.ServiceName
import gypsumcart.core.ZoneName
import kotlin.math.ceil

/**
 * Describes the back ends of one service and where more of them can be ordered.
 *
 * @property zones the zones, cheapest first
 * @property listed all back ends of the service
 */
internal class ServiceFleet(
    val service: ServiceName,
    val scaling: Scaling,
    val listed: List<BackEnd>,
    val now: MonotonicTime,
) {
    val zones: List<ZoneName> = scaling.zonePrices.keys.sortedBy(scaling.zonePrices::getValue)
    val staying: List<BackEnd> = listed.filterNot { it.draining }
    val spotByZone: Map<ZoneName, Int> = staying.filter { it.spot }.groupingBy { it.zone }.eachCount()

    /** The zones whose spot back ends are being reclaimed. */
    val reclaimedZones: Set<ZoneName> =
        listed.filter { it.spot && it.draining && it.terminatesIn != null }.mapTo(HashSet()) { it.zone }

    fun pool(zone: ZoneName, spot: Boolean): Pool = Pool(service, zone, spot)
}

/** Divides the number of back ends that a service requires over zones and kinds. */
internal sealed class ZoneDivision {
    /**
     * Leaves as many as required when the zone with the most spot back ends is lost; [orders] tells what still boots.
     */
    class ByLoad(val orders: OrderBook) : ZoneDivision()

    /** Leaves enough also when two zones are lost at once; [orders] tells what still boots and which zones are dry. */
    class ByDemand(val orders: OrderBook) : ZoneDivision() {
        /** When more on-demand back ends of a service were last wanted than there were. */
        val onDemandRaisedAt = HashMap<ServiceName, MonotonicTime>()
    }

    /** Returns how many back ends to order in each pool of [fleet]. */
    fun divide(requirement: Requirement, fleet: ServiceFleet): Map<Pool, Int> =
        when (this) {
            is ByLoad -> divideByLoad(orders, requirement.count, fleet)
            is ByDemand -> divideByDemand(requirement, fleet)
        }
}

private fun divideByLoad(orders: OrderBook, required: Int, fleet: ServiceFleet): Map<Pool, Int> {
    val carryingZones = (fleet.zones.size - 1).coerceAtLeast(1)
    val spot = ceil(required.toDouble() / carryingZones).toInt().coerceIn(1, fleet.scaling.max)
    val onDemand = onDemandByLoad(orders, required, fleet)
    return fleet.zones
        .flatMap { listOf(fleet.pool(it, spot = true) to spot, fleet.pool(it, spot = false) to onDemand.getValue(it)) }
        .toMap()
}

/**
 * Returns how many on-demand back ends to order in each zone, so that [required] back ends remain after the loss of
 * spot ones: first those already provisioned, then additional ones in the cheapest zones.
 */
private fun onDemandByLoad(orders: OrderBook, required: Int, fleet: ServiceFleet): Map<ZoneName, Int> {
    var missing = (required - survivingSpotCount(orders, fleet)).coerceAtLeast(0)
    val counts = HashMap<ZoneName, Int>()
    for (zone in fleet.zones) {
        val pool = fleet.pool(zone, spot = false)
        counts[zone] = minOf(missing, orders.provisionedCount(pool, fleet.staying, fleet.scaling, fleet.now))
        missing -= counts.getValue(zone)
    }
    for (zone in fleet.zones) {
        val headroom = fleet.scaling.max - (fleet.spotByZone[zone] ?: 0) - counts.getValue(zone)
        val added = missing.coerceIn(0, headroom.coerceAtLeast(0))
        counts[zone] = counts.getValue(zone) + added
        missing -= added
    }
    return counts
}

/**
 * Returns how many spot back ends remain after the next zones have been reclaimed.
 *
 * Zones are reclaimed in waves, and a new back end takes longer to boot than the notice before a zone is reclaimed. The
 * zone with the most spot back ends therefore always counts as lost, and the zone with the next most also while a zone
 * is being reclaimed.
 */
private fun survivingSpotCount(orders: OrderBook, fleet: ServiceFleet): Int {
    val isReclaiming = fleet.reclaimedZones.isNotEmpty() || orders.hasRefusedSpot(fleet.service)
    return fleet.spotByZone.afterLossOf(if (isReclaiming) 2 else 1)
}

/** Returns how many back ends remain without those of the [zones] that have the most. */
internal fun Map<ZoneName, Int>.afterLossOf(zones: Int): Int = values.sortedDescending().drop(zones).sum()
