package gypsumcart.core.routing

import gypsumcart.core.Address
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Represents a node that can carry connections to back ends for others.
 *
 * @property reachesBackEnds whether it reaches back ends itself
 */
public data class Carrier(
    public val node: NodeId,
    public val address: Address,
    public val zone: ZoneName,
    public val reachesBackEnds: Boolean = true,
)

/**
 * Chooses the nodes that carry connections for a node in [zone].
 *
 * The first is of the same zone if there is one, and the second of another, which a fault of the zone does not affect.
 */
public class CarrierChoice(private val zone: ZoneName) {
    private val passedOverUntil = HashMap<NodeId, MonotonicTime>()
    private var turn = 0

    /** Returns the [carriers] to ask, in this order; at most two, others each time. */
    public fun choose(carriers: List<Carrier>, now: MonotonicTime): List<Carrier> {
        passedOverUntil.values.removeIf { now >= it }
        val usable = carriers.filter { it.reachesBackEnds && it.node !in passedOverUntil }
        if (usable.isEmpty()) return emptyList()
        turn++
        val (near, far) = usable.partition { it.zone == zone }
        val first = near.inTurn() ?: far.inTurn() ?: return emptyList()
        val others = usable - first
        val second = others.filter { it.zone != first.zone }.inTurn() ?: others.inTurn()
        return listOfNotNull(first, second)
    }

    /** Passes over [node] for a while, as it did not respond or reaches no back end itself. */
    public fun recordFailure(node: NodeId, now: MonotonicTime) {
        passedOverUntil[node] = now + PASS_OVER_TIME
    }

    private fun List<Carrier>.inTurn(): Carrier? = if (isEmpty()) null else this[Math.floorMod(turn, size)]

    private companion object {
        /** About the time until the node's report says so, or no longer does. */
        val PASS_OVER_TIME: Duration = 1.seconds
    }
}
