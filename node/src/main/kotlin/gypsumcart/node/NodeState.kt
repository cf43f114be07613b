package gypsumcart.node

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.Configuration
import gypsumcart.core.PromptPartId
import gypsumcart.core.ServiceName
import gypsumcart.core.membership.Member
import gypsumcart.core.routing.InstanceKey

/**
 * Holds the state of a node that its duties write and other threads read.
 *
 * Each property is updated on its own; together they aren't a consistent snapshot.
 */
internal class NodeState {
    /** The configuration in force, or null before the first one is adopted. */
    @Volatile
    var configuration: Configuration? = null

    /** Whether the back ends have been listed at least once. */
    @Volatile
    var backEndsListed = false

    /** The back ends that are listed. */
    @Volatile
    var backEnds: Map<InstanceKey, BackEnd> = emptyMap()

    /** The nodes from which clients choose one to connect to. */
    @Volatile
    var members: List<Member> = emptyList()

    /** The number of back ends that accept new requests. */
    @Volatile
    var activeBackEnds = 0

    /** The number of back ends that are about to stop and accept no new requests. */
    @Volatile
    var drainingBackEnds = 0

    /** The number of calls that routing counts as in flight; never more than the requests in progress for long. */
    @Volatile
    var callsInFlight = 0

    /** The number of requests that wait for a back end. */
    @Volatile
    var waitingRequests = 0

    /** The prompt parts that crash back ends, requests with which are refused. */
    @Volatile
    var quarantinedParts: Set<PromptPartId> = emptySet()

    /** The back ends that limit the rate of their requests. */
    @Volatile
    var limitedBackEnds: Set<InstanceKey> = emptySet()

    /** The services of the back ends that are brittle, by instance. */
    @Volatile
    var brittleBackEnds: Map<InstanceKey, ServiceName> = emptyMap()

    /** The new version of each service whose roll-out has not ended. */
    @Volatile
    var rolledOutVersions: Map<ServiceName, BackEndVersion> = emptyMap()

    /** The back ends that get no calls of this node, since they are far worse than their peers. */
    @Volatile
    var ejectedBackEnds: Set<InstanceKey> = emptySet()

    /** Whether this node holds the lease and so acts for the whole fleet. */
    @Volatile
    var leaseHeld = false

    /** Whether the peer link is in contact with all zones. */
    @Volatile
    var linked = false

    /** Whether the node is shutting down. */
    @Volatile
    var stopping = false

    /** Whether this node can serve requests, so that clients should choose it. */
    val isReady: Boolean get() = configuration != null && backEndsListed && !stopping
}
