package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import gypsumcart.core.admission.DemandMeter
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes the load of one service on all nodes together, from their reports.
 *
 * @property total the load of all live nodes, in requests, where a long prompt counts as more than one
 * @property own the part of it that this node has reported
 */
public data class FleetLoad(public val total: Double, public val own: Double)

/** Determines how the places of engines are divided among the nodes. */
internal sealed class RoomPolicy {
    /** Each node may use the same part of a fixed fraction of the batch slots. */
    data object Even : RoomPolicy()

    /** Nodes may use parts by demand of as many batch slots as leave requests on time. */
    class ByDemand : RoomPolicy() {
        private val rooms = HashMap<ServiceName, ServiceRoom>()

        fun roomOf(service: ServiceName): ServiceRoom = rooms.getOrPut(service, ::ServiceRoom)
    }
}

/** Tracks what this node may use of one service's engines, and how fast its calls end. */
internal class ServiceRoom {
    private var utilization = INITIAL_UTILIZATION
    private var load = FleetLoad(0.0, 0.0)
    private val latencies = LatencyWindow(LATENCY_SPAN, MIN_LATENCIES)
    private val endedCalls = DemandMeter()
    private var wasFull = false

    /** Adopts what the nodes have reported of their load, and adjusts the utilization to the latencies of late. */
    fun update(load: FleetLoad, now: MonotonicTime) {
        this.load = load
        val latency = latencies.slowestTenthOrNull(now)
        when {
            latency == null -> if (wasFull) raiseTo(INITIAL_UTILIZATION)
            latency > LATE_FRACTION -> utilization = maxOf(utilization * REDUCTION, MIN_UTILIZATION)
            latency < EARLY_FRACTION && wasFull -> raiseTo(1.0)
        }
        wasFull = false
    }

    private fun raiseTo(most: Double) {
        utilization = maxOf(utilization, minOf(utilization + RAISE, most))
    }

    /** Records that a call took [fraction] of its request's latency target until the first piece. */
    fun addLatency(fraction: Double, now: MonotonicTime): Unit = latencies.add(fraction, now)

    fun endCall(now: MonotonicTime): Unit = endedCalls.add(1.0, now)

    /** Returns how many calls this node may have in flight on engines with [slots] batch slots in total. */
    fun limit(slots: Int, nodeCount: Int): Int {
        val floor = (load.total / nodeCount) * FLOOR_FRACTION + 1
        val part = (load.own + floor) / (maxOf(load.total, load.own) + nodeCount * floor)
        return ceil(slots * utilization * part).toInt()
    }

    /** Notes that a request found no place. */
    fun recordFull() {
        wasFull = true
    }

    /** Returns how long a request may wait for a place so that its response can still be on time. */
    fun maxWait(targetLatency: Duration, now: MonotonicTime): Duration {
        val latency = latencies.slowestTenthOrNull(now) ?: DEFAULT_LATENCY
        return targetLatency * (LATE_FRACTION - latency).coerceIn(MIN_WAIT_FRACTION, MAX_WAIT_FRACTION)
    }

    /** Returns the calls a second that end, each of which leaves a place to a waiting request. */
    fun callsEndedPerSecond(now: MonotonicTime): Double = endedCalls.perSecond(now)

    /** Returns how long a request is expected to wait behind [ahead] others, or null if too little is known. */
    fun expectedWaitOrNull(ahead: Int, now: MonotonicTime): Duration? {
        val rate = callsEndedPerSecond(now)
        return if (rate < MIN_KNOWN_RATE) null else ((ahead + 1) / rate).seconds
    }

    companion object {
        /** The slowest tenth as a fraction of the target: fewer slots are used above the one, more below the other. */
        const val INITIAL_UTILIZATION = 0.45

        /** A few slots stay in use, as only calls show that engines have recovered. */
        const val MIN_UTILIZATION = 0.2

        /** Latencies of the slowest tenth, as fractions of the target, from which fewer slots are used or more. */
        const val LATE_FRACTION = 0.9
        const val EARLY_FRACTION = 0.6

        /** At a node among a hundred, a service has a few calls a second. */
        val LATENCY_SPAN: Duration = 6.seconds
        const val MIN_LATENCIES = 10

        /** Halves the utilization in about three seconds of reports, and doubles it in about five. */
        const val REDUCTION = 0.9
        const val RAISE = 0.05

        /** What a node without load may use, as a fraction of the mean, since it gets callers at once. */
        const val FLOOR_FRACTION = 0.5

        /** Assumed before enough calls have been seen. */
        const val DEFAULT_LATENCY = 0.5

        /** The fractions of the target for which a request waits at least and at most. */
        const val MIN_WAIT_FRACTION = 0.125
        const val MAX_WAIT_FRACTION = 0.5

        /** With fewer ended calls a second, their rate says little about the next one. */
        const val MIN_KNOWN_RATE = 1.0

        /** Some places become free in the one, and new back ends start in the other. */
        val MIN_RETURN_TIME: Duration = 100.milliseconds
        val MAX_RETURN_TIME: Duration = 2.seconds
    }
}
