package gypsumcart.node

import gypsumcart.core.Configuration
import gypsumcart.core.membership.Member

/** Holds what the edges read and the duties write; each field is whole by itself. */
internal class NodeState {
    /** The configuration in force, or null before the first. */
    @Volatile
    var configuration: Configuration? = null

    /** Whether the back ends are known. */
    @Volatile
    var backEndsListed = false

    /** The nodes that clients may choose among. */
    @Volatile
    var members: List<Member> = emptyList()

    /** How many back ends take new requests. */
    @Volatile
    var staying = 0

    /** How many back ends are about to stop. */
    @Volatile
    var leaving = 0

    /** Whether this node acts for the fleet. */
    @Volatile
    var leaseHeld = false

    /** Whether the process is about to end. */
    @Volatile
    var stopping = false

    /** Whether clients should choose this node. */
    val isReady: Boolean get() = configuration != null && backEndsListed && !stopping
}
