package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.capacity.CapacityLearner
import gypsumcart.core.capacity.callClass
import gypsumcart.core.capacity.tag

/**
 * Ejects back ends that respond to nobody, and ends the calls that wait for them and may be repeated elsewhere.
 *
 * Other back ends and the retry budget must allow it. Calls may also wait for back ends that are no longer listed.
 */
internal fun BackEndChoice.endOverdueCalls(
    candidates: Collection<Candidate>,
    budgets: RetryBudgets,
    place: NodePlace,
    now: MonotonicTime,
): List<RoutingEffect> =
    when (this) {
        BackEndChoice.Even -> emptyList()

        is BackEndChoice.ByCapacity ->
            candidates.groupBy { it.backEnd.service }.flatMap { (service, ofService) ->
                val overdue = ofService.flatMap { capacity.overdueCalls(it, now) }
                val hasOthers =
                    ofService.any {
                        it.capacity != null && it.isAvailable(emptySet(), place, now) && !it.isEjected(now)
                    }
                val retries =
                    if (overdue.isEmpty() || !hasOthers) 0 else budgets.retriesLeft(service, place.nodeCount, now)
                overdue.take(retries)
            }
    }

/** Ejects [candidate] if a call to it is overdue and it responds to nobody; returns the calls that are to end then. */
private fun CapacityLearner.overdueCalls(candidate: Candidate, now: MonotonicTime): List<RoutingEffect> {
    if (candidate.inFlightCalls == 0) return emptyList()
    val key = candidate.backEnd.key
    return candidate.unstartedCalls
        .filter { isOverdue(it.admitted.callClass, now - it.startedAt, it.admitted.route.targetLatency) }
        .filter { ejectIfDark(key.tag, it.startedAt, now) && it.mayBeRepeated }
        .map { RoutingEffect.EndCall(it.admitted.ticket, key) }
}

private val InFlightCall.mayBeRepeated: Boolean get() =
    admitted.route.kind.isRetryable &&
        admitted.route.maxAttempts > 1

/** Returns the changes of the standing of back ends since the last time. */
internal fun BackEndChoice.standingChanges(candidates: Collection<Candidate>): List<RoutingEffect> =
    when (this) {
        BackEndChoice.Even -> emptyList()

        is BackEndChoice.ByCapacity -> {
            val changes = capacity.takeChanges().toMap()
            if (changes.isEmpty()) {
                emptyList()
            } else {
                candidates.mapNotNull { candidate ->
                    val key = candidate.backEnd.key
                    changes[key.tag]?.let { RoutingEffect.StandingChanged(key, it) }
                }
            }
        }
    }
