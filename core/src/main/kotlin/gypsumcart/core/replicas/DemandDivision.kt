package gypsumcart.core.replicas

import gypsumcart.core.ZoneName
import kotlin.math.ceil

/**
 * Divides [requirement] so that the loss of one zone's spot back ends leaves [Requirement.count], and the loss of two
 * zones [Requirement.countAfterTwoLosses].
 *
 * Zones are reclaimed in waves, so a zone that is being reclaimed or refuses orders leaves fewer to lose, and not a
 * smaller risk: those that stay must bear the same two losses.
 */
internal fun ZoneDivision.ByDemand.divideByDemand(requirement: Requirement, fleet: ServiceFleet): Map<Pool, Int> {
    val dry = fleet.zones.filter { it in fleet.reclaimedZones || orders.isDry(fleet.service, it) }.toSet()
    val onDemand = onDemandByDemand(requirement, fleet, dry)
    return fleet.zones
        .flatMap { zone ->
            val spot = fleet.pool(zone, spot = true)
            val other = fleet.pool(zone, spot = false)
            // What a dry zone will refuse takes no room from spot back ends.
            val planned = if (zone in dry) 0 else onDemand.getValue(zone)
            listOf(
                spot to held(spotTarget(zone, requirement, fleet, planned), spot, requirement, fleet),
                other to held(onDemand.getValue(zone), other, requirement, fleet),
            )
        }.toMap()
}

private fun held(count: Int, pool: Pool, requirement: Requirement, fleet: ServiceFleet): Int =
    if (requirement.allowsReduction) count else maxOf(count, fleet.staying.countOf(pool))

/** Returns how many spot back ends [zone] gets; those of both kinds together stay within the limit of the zone. */
private fun spotTarget(zone: ZoneName, requirement: Requirement, fleet: ServiceFleet, onDemand: Int): Int {
    val zones = fleet.zones.size
    val afterOne = requirement.count.dividedBy((zones - 1).coerceAtLeast(1))
    val afterTwo = if (zones > 2) requirement.countAfterTwoLosses.dividedBy(zones - 2) else 0
    val taken = maxOf(onDemand, fleet.staying.countOf(fleet.pool(zone, spot = false)))
    val headroom = (fleet.scaling.max - taken).coerceAtLeast(0)
    return maxOf(afterOne, afterTwo, fleet.scaling.min, 1).coerceAtMost(headroom)
}

private fun Int.dividedBy(zones: Int): Int = ceil(toDouble() / zones).toInt()

/**
 * Returns how many on-demand back ends make up for the spot ones that are missing, by zone.
 *
 * Spot back ends that boot or are to be ordered count when more on-demand ones might be ordered, unless their zone is
 * dry or their last order failed, but not when some might go: those go only when the spot ones that replace them are
 * listed.
 */
private fun ZoneDivision.ByDemand.onDemandByDemand(
    requirement: Requirement,
    fleet: ServiceFleet,
    dry: Set<ZoneName>,
): Map<ZoneName, Int> {
    val obtainable =
        fleet.zones.associateWith { zone ->
            val listed = fleet.spotByZone[zone] ?: 0
            val isDoubtful = zone in dry || orders.hasFailed(fleet.pool(zone, spot = true))
            if (isDoubtful) listed else maxOf(listed, spotTarget(zone, requirement, fleet, onDemand = 0))
        }
    val least = requirement.missingBeside(obtainable)
    val most = requirement.missingBeside(fleet.spotByZone)
    val provisioned =
        fleet.zones.associateWith { zone ->
            orders.provisionedCount(fleet.pool(zone, spot = false), fleet.staying, fleet.scaling, fleet.now)
        }
    val total = withoutEarlyReduction(least, maxOf(least, most), provisioned.values.sum(), fleet)
    return placeOnDemand(total, provisioned, obtainable, fleet, dry)
}

/**
 * Returns the number between [least] and [most] closest to those [provisioned], which stay for a while once ordered.
 */
private fun ZoneDivision.ByDemand.withoutEarlyReduction(
    least: Int,
    most: Int,
    provisioned: Int,
    fleet: ServiceFleet,
): Int {
    if (least > provisioned) onDemandRaisedAt[fleet.service] = fleet.now
    val raisedAt = onDemandRaisedAt[fleet.service]
    val isEarly = raisedAt != null && fleet.now - raisedAt < fleet.scaling.listingTime * MIN_BOOTS_OF_STAY
    return if (isEarly) maxOf(least, provisioned) else provisioned.coerceIn(least, most)
}

/**
 * Returns how many back ends are missing beside the spot ones of [spotByZone], of which one zone counts as lost, and
 * later another one.
 */
private fun Requirement.missingBeside(spotByZone: Map<ZoneName, Int>): Int =
    maxOf(count - spotByZone.afterLossOf(1), countAfterTwoLosses - spotByZone.afterLossOf(2), 0)

/**
 * Keeps those [provisioned] as far as they count among [total], and adds others in the cheapest zones with room beside
 * the [spot] ones.
 */
private fun placeOnDemand(
    total: Int,
    provisioned: Map<ZoneName, Int>,
    spot: Map<ZoneName, Int>,
    fleet: ServiceFleet,
    dry: Set<ZoneName>,
): Map<ZoneName, Int> {
    val counts = HashMap(provisioned)
    // Those that go make room for spot ones where there is least of it, of equal zones in the dearest.
    repeat(provisioned.values.sum() - total) {
        val fullest = fleet.zones.asReversed().maxBy(counts::getValue)
        counts[fullest] = counts.getValue(fullest) - 1
    }
    var missing = total - counts.values.sum()
    // A zone that refuses orders now gets them only if the others have no room left.
    for (zone in fleet.zones.sortedBy { it in dry }) {
        val headroom = fleet.scaling.max - spot.getValue(zone) - counts.getValue(zone)
        val added = missing.coerceIn(0, headroom.coerceAtLeast(0))
        counts[zone] = counts.getValue(zone) + added
        missing -= added
    }
    return counts
}

/**
 * Reclaims come in waves; on-demand back ends that replaced spot ones stay for two boots, so that the next finds them.
 */
private const val MIN_BOOTS_OF_STAY = 2
