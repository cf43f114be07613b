package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Returns whether nothing but the room of brittle back ends keeps this node from calling one of several now. */
internal fun List<Candidate>.areShortOfRoom(place: NodePlace, now: MonotonicTime): Boolean {
    val open = filter { !it.backEnd.draining && it.limiter.isOpen(place, now) }
    return open.isNotEmpty() && open.none { it.hasRoom(place, now) }
}

/** Decides which requests wait for room of brittle back ends, for how long, and when refused clients are to return. */
internal class BrittleRoomQueue {
    private val durations = HashMap<ServiceName, Duration>()
    private val returnTimes = ReturnTimes()

    /** Records that a call to [service] ended that was in progress for [duration]. */
    fun recordEnd(service: ServiceName, duration: Duration) {
        durations.merge(service, duration) { mean, latest -> mean + (latest - mean) * NEWEST_WEIGHT }
    }

    /** Returns how long [admitted] may wait; it is refused at once if it is expected to wait for most of that. */
    fun maxWaitFor(admitted: AdmittedRequest): Duration = admitted.route.targetLatency * MAX_WAIT_FRACTION

    /** Lets [request] wait for room of one of [candidates], or refuses it at once if none is expected in time. */
    fun await(
        request: WaitingRequest,
        candidates: List<Candidate>,
        waiting: WaitingRequests,
        place: NodePlace,
        now: MonotonicTime,
    ): List<RoutingEffect> {
        val admitted = request.admitted
        val latestStart = minOf(request.deadline, now + maxWaitFor(admitted) * EXPECTED_FRACTION)
        val opensAt = candidates.opensAtOrNull(place, now)
        val expectedAt = opensAt?.let { maxOf(it, now + expectedWait(admitted, candidates, waiting)) }
        if (opensAt == null || expectedAt == null || expectedAt >= latestStart) {
            val outcome = refusalOf(admitted, candidates, waiting, place, now)
            return listOf(RoutingEffect.Conclude(admitted, outcome))
        }
        waiting.add(request, costOf(admitted))
        return listOf(opensAt, request.deadline).filter { it > now }.map(RoutingEffect::SweepAt)
    }

    /** Returns the refusal of [admitted], which says when room is expected behind the requests that wait. */
    fun refusalOf(
        admitted: AdmittedRequest,
        candidates: List<Candidate>,
        waiting: WaitingRequests,
        place: NodePlace,
        now: MonotonicTime,
    ): Outcome {
        val opensAt = candidates.opensAtOrNull(place, now)
        val expectedAt = opensAt?.let { maxOf(it, now + expectedWait(admitted, candidates, waiting)) }
        val duration = maxOf(durations[admitted.service] ?: DEFAULT_DURATION, MIN_DURATION)
        val rate = candidates.callsInProgress() / duration.toDouble(DurationUnit.SECONDS)
        val returnAfter =
            returnTimes
                .next(admitted.service, expectedAt, rate, now)
                .coerceIn(ServiceRoom.MIN_RETURN_TIME, ServiceRoom.MAX_RETURN_TIME)
        return Outcome.NotRun(RefusalReason.Overloaded("routing"), returnAfter)
    }

    /** Returns how long [admitted] is expected to wait until the calls end that leave room for it. */
    private fun expectedWait(
        admitted: AdmittedRequest,
        candidates: List<Candidate>,
        waiting: WaitingRequests,
    ): Duration {
        val duration = durations[admitted.service] ?: return Duration.ZERO
        // The next call ends after about half of the time between two ends.
        val ends = waiting.countBefore(admitted, costOf(admitted)) + HALF
        return duration * ends / candidates.callsInProgress().toDouble()
    }

    private fun List<Candidate>.callsInProgress(): Int = sumOf { it.inFlightCalls }.coerceAtLeast(1)

    /** Returns when this node may next call one of the candidates, or null if it has no part of any. */
    private fun List<Candidate>.opensAtOrNull(place: NodePlace, now: MonotonicTime): MonotonicTime? =
        filterNot { it.backEnd.draining }
            .mapNotNull { it.room.opensAtOrNull(it.backEnd.slots, place, now) }
            .minOrNull()

    private companion object {
        /** Leaves a part of the target to the call itself. */
        const val MAX_WAIT_FRACTION = 0.8

        /** A request that is expected to wait longer than this part of it is late, and so are those behind it. */
        const val EXPECTED_FRACTION = 0.75

        const val HALF = 0.5

        /** The weight of the latest call in the mean duration. */
        const val NEWEST_WEIGHT = 0.1

        /** Assumed before a call has ended. */
        val DEFAULT_DURATION: Duration = 100.milliseconds
        val MIN_DURATION: Duration = 1.milliseconds
    }
}
