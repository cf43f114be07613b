package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides how many places of engines this node uses, and which requests wait for one, for how long. */
internal class Places(private val policy: RoomPolicy) {
    private val returnTimes = ReturnTimes()

    /**
     * Returns whether this node uses its whole share of the batch slots of the engines that serve [admitted].
     *
     * A request beyond the share would wait for its first token longer than is allowed, and so would all requests
     * queued behind it. A request without a prompt needs no batch slot.
     *
     * The share of the engines of one version may be less than one slot, and new requests go to any version. So the
     * requests that need that version share its slots among themselves, while the node's share of the service lasts.
     *
     * @param candidates the engines that may serve the request, all or some of its service
     */
    fun areFull(
        admitted: AdmittedRequest,
        candidates: List<Candidate>,
        candidatesByService: Map<ServiceName, List<Candidate>>,
        place: NodePlace,
        now: MonotonicTime,
    ): Boolean {
        if (admitted.submission.prompt == null) return false
        val limit = limit(admitted.service, candidates, place, now)
        if (candidates.sumOf { it.inFlightCalls } < limit) return false
        return when (admitted.origin) {
            StreamOrigin.Unwritten -> true

            is StreamOrigin.WrittenBy -> {
                val ofService = candidatesByService[admitted.service].orEmpty()
                candidates.sumOf { it.boundCalls } >= limit ||
                    ofService.sumOf { it.inFlightCalls } >= limit(admitted.service, ofService, place, now)
            }
        }
    }

    private fun limit(service: ServiceName, engines: List<Candidate>, place: NodePlace, now: MonotonicTime): Int {
        val slots = engines.sumOf { if (it.backEnd.draining || it.limiter.isPaused(now)) 0 else it.backEnd.slots }
        return when (policy) {
            RoomPolicy.Even -> ceil(slots * MAX_SLOT_UTILIZATION / place.nodeCount).toInt()
            is RoomPolicy.ByDemand -> policy.roomOf(service).limit(slots, place.nodeCount)
        }
    }

    /** Returns how long [admitted] may wait for a place if they are full, or otherwise for a back end. */
    fun maxWaitFor(admitted: AdmittedRequest, isFull: Boolean, now: MonotonicTime): Duration {
        val target = admitted.route.targetLatency
        val short = target / MAX_WAIT_DIVISOR
        return when (policy) {
            RoomPolicy.Even -> short
            is RoomPolicy.ByDemand -> if (isFull) policy.roomOf(admitted.service).maxWait(target, now) else short
        }
    }

    /** Notes that [request] found no place; returns whether none is expected in time behind [ahead] others. */
    fun isTooLate(request: WaitingRequest, ahead: Int, now: MonotonicTime): Boolean =
        when (policy) {
            RoomPolicy.Even -> false

            is RoomPolicy.ByDemand -> {
                val room = policy.roomOf(request.admitted.service)
                room.recordFull()
                room.expectedWaitOrNull(ahead, now)?.let { now + it >= request.deadline } ?: false
            }
        }

    /** Returns the refusal of [admitted] for lack of a place, which says when one is expected behind [ahead] others. */
    fun refusalOf(admitted: AdmittedRequest, ahead: Int, now: MonotonicTime): Outcome {
        val returnAfter =
            when (policy) {
                RoomPolicy.Even -> RETRY_AFTER
                is RoomPolicy.ByDemand -> returnTimeOf(admitted, policy.roomOf(admitted.service), ahead, now)
            }
        return Outcome.NotRun(RefusalReason.Overloaded("routing"), returnAfter)
    }

    /** Clients that were told to return before have the places that become free first. */
    private fun returnTimeOf(
        admitted: AdmittedRequest,
        room: ServiceRoom,
        ahead: Int,
        now: MonotonicTime,
    ): Duration {
        val wait = room.expectedWaitOrNull(ahead, now) ?: return RETRY_AFTER
        return returnTimes
            .next(admitted.service, now + wait, room.callsEndedPerSecond(now), now)
            .coerceIn(ServiceRoom.MIN_RETURN_TIME, ServiceRoom.MAX_RETURN_TIME)
    }

    /** Adopts what the nodes have reported of their load. */
    fun update(loads: Map<ServiceName, FleetLoad>, now: MonotonicTime) {
        when (policy) {
            RoomPolicy.Even -> Unit
            is RoomPolicy.ByDemand -> loads.forEach { (service, load) -> policy.roomOf(service).update(load, now) }
        }
    }

    /** Records that the response to [call] starts. */
    fun recordStart(call: InFlightCall, now: MonotonicTime) {
        val target = call.admitted.route.targetLatency
        when (policy) {
            RoomPolicy.Even -> Unit
            is RoomPolicy.ByDemand ->
                policy.roomOf(call.admitted.service).addLatency((now - call.startedAt) / target, now)
        }
    }

    /** Records that a call to an engine of [service] ended. */
    fun recordEnd(service: ServiceName, now: MonotonicTime) {
        when (policy) {
            RoomPolicy.Even -> Unit
            is RoomPolicy.ByDemand -> policy.roomOf(service).endCall(now)
        }
    }

    private companion object {
        /** A request waits for a back end for at most its latency target divided by this. */
        const val MAX_WAIT_DIVISOR = 8

        /** The fraction of their batch slots that engines can use and still meet the latency targets. */
        const val MAX_SLOT_UTILIZATION = 0.45

        /** About the time until running requests have freed batch slots. */
        val RETRY_AFTER: Duration = 1.seconds
    }
}
