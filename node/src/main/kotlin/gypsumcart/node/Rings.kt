package gypsumcart.node

import gypsumcart.core.Configuration
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.directory.DirectoryEvent
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.replicas.AutoscalerEvent
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.usage.UsageEvent
import gypsumcart.pipeline.Ring

/**
 * Holds the rings between the duties of a node.
 *
 * A request runs from the edge through admission, routing and dispatch back to the edge. Only the edge offers new
 * work; events about requests in progress use reserved room, which the edge's limit of requests in progress bounds.
 */
internal class Rings {
    val admission = Ring<AdmissionEvent>("admission", REQUESTS)
    val routing = Ring<RoutingEvent>("routing", REQUESTS, reservedCapacity = REQUESTS / 2)
    val dispatch = Ring<DispatchEvent>("dispatch", REQUESTS, reservedCapacity = REQUESTS / 2)
    val configuration = Ring<Configuration>("configuration", FEW)
    val backEnds = Ring<DirectoryEvent>("back-ends", FEW)
    val membership = Ring<MembershipEvent>("membership", FEW)
    val lease = Ring<LeaseEvent>("lease", FEW)
    val usage = Ring<UsageEvent>("usage", REQUESTS)
    val orders = Ring<AutoscalerEvent>("orders", FEW)

    /** All rings, for those who watch how full they are. */
    val all: List<Ring<*>>
        get() = listOf(admission, routing, dispatch, configuration, backEnds, membership, lease, usage, orders)

    private companion object {
        /** Room for four events of every request that may be in progress. */
        const val REQUESTS = 4 * MAX_IN_PROGRESS

        /** Room for the events of a duty that has a handful a second. */
        const val FEW = 1_024
    }
}
