package gypsumcart.node

import gypsumcart.core.Configuration
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.directory.DirectoryEvent
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.replicas.AutoscalerEvent
import gypsumcart.core.rollout.RolloutEvent
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.shutdown.ShutdownEvent
import gypsumcart.core.streams.StreamEvent
import gypsumcart.core.usage.UsageEvent
import gypsumcart.pipeline.Ring

/**
 * Holds the rings that connect the duties of a node.
 *
 * A request passes from the edge through admission, routing and dispatch, and back to the edge; one that takes a stream
 * up also passes through streams, before routing. Only the edge adds new requests.
 *
 * Events about requests in progress use the reserved capacity of a ring, which suffices because the edge limits the
 * number of requests in progress. The start and end of a stream don't, since the stream does not wait for them.
 *
 * @param hasRollouts whether there is a duty for roll-outs
 */
internal class Rings(hasRollouts: Boolean = false) {
    val admission = Ring<AdmissionEvent>("admission", REQUEST_CAPACITY)
    val streams = Ring<StreamEvent>("streams", REQUEST_CAPACITY, reservedCapacity = REQUEST_CAPACITY / 2)
    val routing = Ring<RoutingEvent>("routing", REQUEST_CAPACITY, reservedCapacity = REQUEST_CAPACITY / 2)
    val dispatch = Ring<DispatchEvent>("dispatch", REQUEST_CAPACITY, reservedCapacity = REQUEST_CAPACITY / 2)
    val configuration = Ring<Configuration>("configuration", LOW_RATE_CAPACITY)
    val backEnds = Ring<DirectoryEvent>("back-ends", LOW_RATE_CAPACITY)
    val membership = Ring<MembershipEvent>("membership", LOW_RATE_CAPACITY)
    val lease = Ring<LeaseEvent>("lease", LOW_RATE_CAPACITY)
    val usage = Ring<UsageEvent>("usage", REQUEST_CAPACITY)
    val orders = Ring<AutoscalerEvent>("orders", LOW_RATE_CAPACITY)
    val rollout = if (hasRollouts) Ring<RolloutEvent>("rollout", LOW_RATE_CAPACITY) else null
    val shutdown = Ring<ShutdownEvent>("shutdown", LOW_RATE_CAPACITY)

    /** All rings, for the metric of the number of events in each. */
    val all: List<Ring<*>>
        get() =
            listOf(admission, streams, routing, dispatch, configuration, backEnds, membership, lease, usage, orders) +
                listOfNotNull(shutdown, rollout)

    private companion object {
        /** Four events for each request that may be in progress. */
        const val REQUEST_CAPACITY = 4 * MAX_IN_PROGRESS

        /** For duties that process only a few events per second. */
        const val LOW_RATE_CAPACITY = 1_024
    }
}
