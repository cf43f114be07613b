package gypsumcart.core.rollout

import gypsumcart.core.MonotonicTime
import gypsumcart.core.OrderNumber
import gypsumcart.core.RouteKey
import gypsumcart.core.ServiceName
import gypsumcart.core.membership.NodeKey
import kotlin.time.Duration

/**
 * Counts responses of back ends.
 *
 * @property slow those that took several times as long as the old version usually does on the route
 */
public data class ResponseCounts(
    public val good: Int = 0,
    public val failed: Int = 0,
    public val slow: Int = 0,
) {
    /** The number of responses that failed or were slow. */
    public val bad: Int get() = failed + slow

    /** The number of all responses. */
    public val total: Int get() = good + bad

    public operator fun plus(other: ResponseCounts): ResponseCounts =
        ResponseCounts(good + other.good, failed + other.failed, slow + other.slow)

    /** Returns what was counted since [earlier]; counts that have fallen started anew and count from 0. */
    public fun since(earlier: ResponseCounts): ResponseCounts =
        if (total < earlier.total) {
            this
        } else {
            ResponseCounts(good - earlier.good, failed - earlier.failed, slow - earlier.slow)
        }
}

/** Counts the responses on [route] by version, from the order on. */
public data class RouteEvidence(
    public val route: RouteKey,
    public val old: ResponseCounts,
    public val new: ResponseCounts,
)

/**
 * Describes what one node knows of a roll-out and has seen of it.
 *
 * @property order the number of the order to which the counts belong
 * @property row the newest row of the service that the node knows
 * @property confirmedAge the time since the row was last known to be the newest, or null if it never was
 * @property condemned whether the node no longer uses the new version, on its own evidence or that of others
 * @property sealed whether the node has no call in progress on the old version and starts none, until a row rolls back
 * @property requests the number of requests that the node has routed since the order
 * @property exposed the number of these that went to the new version
 * @property longestCall the longest time that a call to the old version took
 */
public data class RolloutReport(
    public val service: ServiceName,
    public val order: OrderNumber,
    public val row: RolloutRow?,
    public val confirmedAge: Duration?,
    public val condemned: Boolean,
    public val sealed: Boolean,
    public val requests: Int,
    public val exposed: Int,
    public val longestCall: Duration,
    public val routes: List<RouteEvidence>,
)

/**
 * Holds the latest reports of the node [key].
 *
 * @property heartbeat the sequence number of the reports, which grows with each of them
 * @property heardAt when the node sent them, on this process's clock
 */
public data class NodeRollouts(
    public val key: NodeKey,
    public val heartbeat: Long,
    public val heardAt: MonotonicTime,
    public val reports: List<RolloutReport>,
)
