package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEnd
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.capacity.CapacityLearner
import gypsumcart.core.capacity.CapacityReport
import gypsumcart.core.capacity.callClass
import gypsumcart.core.capacity.tag

/** Determines by what the back end of a call is chosen. */
internal sealed class BackEndChoice {
    /** All back ends of a service count as equal, and only the calls of this node count as their load. */
    data object Even : BackEndChoice()

    /** Back ends are weighted by what the calls of all nodes show of their [capacity]. */
    class ByCapacity(val capacity: CapacityLearner) : BackEndChoice()
}

/** Returns the back end to call for [admitted], one of [eligible]. */
internal fun BackEndChoice.choose(eligible: List<Candidate>, admitted: AdmittedRequest, cost: Double): Candidate =
    when (this) {
        BackEndChoice.Even -> eligible.choose(admitted, cost)
        is BackEndChoice.ByCapacity -> eligible.chooseByCapacity(admitted)
    }

/** Records which back ends are listed and connects them with what is known of them. */
internal fun BackEndChoice.list(backEnds: List<BackEnd>, candidates: Collection<Candidate>, now: MonotonicTime) {
    when (this) {
        BackEndChoice.Even -> Unit
        is BackEndChoice.ByCapacity -> {
            capacity.list(backEnds, now)
            candidates.forEach { it.capacity = capacity.of(it.backEnd) }
        }
    }
}

/** Records that a call to [instance] starts. */
internal fun BackEndChoice.recordCall(instance: InstanceKey, now: MonotonicTime) {
    when (this) {
        BackEndChoice.Even -> Unit
        is BackEndChoice.ByCapacity -> capacity.recordCall(instance.tag, now)
    }
}

/** Records that the response of [call] to [instance] started. */
internal fun BackEndChoice.recordStart(instance: InstanceKey, call: InFlightCall, now: MonotonicTime) {
    when (this) {
        BackEndChoice.Even -> Unit
        is BackEndChoice.ByCapacity -> {
            capacity.recordStart(instance.tag, now)
            capacity.recordResponse(instance.tag, call.admitted.callClass, now - call.startedAt, now)
        }
    }
}

/** Records the end of [call], and what it shows unless its response had started before. */
internal fun BackEndChoice.recordEnd(
    event: RoutingEvent.CallReleased,
    call: InFlightCall,
    backEnd: BackEnd,
    now: MonotonicTime,
) {
    when (this) {
        BackEndChoice.Even -> Unit
        is BackEndChoice.ByCapacity -> {
            capacity.recordEnd(event.instance.tag, isWaiting = !call.started, now)
            if (!call.started) capacity.recordResult(event, call, backEnd, now)
        }
    }
}

private fun CapacityLearner.recordResult(
    event: RoutingEvent.CallReleased,
    call: InFlightCall,
    backEnd: BackEnd,
    now: MonotonicTime,
) {
    val instance = event.instance.tag
    val elapsed = now - call.startedAt
    when (event.health) {
        HealthSignal.HEALTHY ->
            when {
                event.isError -> recordFailure(instance, call.startedAt, now)
                call.admitted.route.kind !is CallKind.Streamed ->
                    recordResponse(instance, call.admitted.callClass, elapsed, now)
            }

        HealthSignal.FAILING -> recordFailure(instance, call.startedAt, now)

        // A back end that drains is expected to end connections.
        HealthSignal.DISCONNECTED -> if (!backEnd.draining) recordFailure(instance, call.startedAt, now)

        HealthSignal.UNKNOWN ->
            if (event.isError) {
                recordFailure(instance, call.startedAt, now)
            } else {
                recordAbandoned(instance, call.admitted.callClass, elapsed, now)
            }
    }
}

/** Records what another node told of its calls. */
internal fun BackEndChoice.learn(event: RoutingEvent.CapacityReported) {
    when (this) {
        BackEndChoice.Even -> Unit
        is BackEndChoice.ByCapacity -> capacity.learn(event.node, event.report, event.asOf)
    }
}

/** Takes over what was learned since the last time, and returns what this node tells the others of its calls. */
internal fun BackEndChoice.update(now: MonotonicTime): CapacityReport =
    when (this) {
        BackEndChoice.Even -> CapacityReport.NONE
        is BackEndChoice.ByCapacity -> capacity.update(now)
    }
