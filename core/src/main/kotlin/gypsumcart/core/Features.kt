package gypsumcart.core

import kotlin.time.Duration

/**
 * States which parts of the system a deployment's settings switch on, beyond those that every deployment has.
 *
 * @property learnedCapacity back ends are chosen by the capacity that the calls of all nodes show (`capacity`)
 * @property quotaLoans nodes lend each other quota, and charges of requests that did not run are returned (`admission`)
 * @property sharedRoom the places of engines are divided among the nodes by demand, and requests wait in fair queues
 * @property demandScaling back ends are ordered by the demand of clients instead of the load of nodes (`replicas`)
 * @property relayedFeeds one node of each zone follows the tables of the store for the others
 * @property rollouts the limits of roll-outs of new versions, or null if the operator orders none
 */
public data class Features(
    public val learnedCapacity: Boolean = false,
    public val quotaLoans: Boolean = false,
    public val sharedRoom: Boolean = false,
    public val demandScaling: Boolean = false,
    public val relayedFeeds: Boolean = false,
    public val rollouts: RolloutLimits? = null,
) {
    public companion object {
        /** Switches nothing on. */
        public val NONE: Features = Features()
    }
}

/**
 * Limits what a new version of a service may do before it has proved itself.
 *
 * @property exposedShare the part of a service's requests that a version may get that turns out to be bad
 * @property exposedExtra the number of requests that it may get in addition
 * @property rollbackTime the time after the bad responses have shown the fault in which the last request may be sent
 */
public data class RolloutLimits(
    public val exposedShare: Double,
    public val exposedExtra: Int,
    public val rollbackTime: Duration,
)
