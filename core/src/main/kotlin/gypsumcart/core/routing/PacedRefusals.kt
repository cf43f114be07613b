package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import kotlin.time.DurationUnit

/** Determines what clients are told if limits and pauses of the back ends allow no call for their requests. */
internal class PacedRefusals {
    private val returnTimes = ReturnTimes()

    /** Returns the refusal of [admitted], for which none of the [candidates] of its service is open. */
    fun outcomeOf(
        admitted: AdmittedRequest,
        candidates: List<Candidate>,
        place: NodePlace,
        now: MonotonicTime,
    ): Outcome {
        val limiters = candidates.limiters()
        val nextCallAt = limiters.nextCallAtOrNull(place, now)
        val limitedRate = limiters.rateOf(place)
        val rate = if (limitedRate.isInfinite()) candidates.slotRate(admitted, place) else limitedRate
        val reason =
            if (limiters.all { it.isPaused(now) }) RefusalReason.BackEndsPaused else RefusalReason.BackEndsLimited
        return Outcome.NotRun(reason, returnTimes.next(admitted.service, nextCallAt, rate, now))
    }

    /**
     * Returns the refusal instead of [outcome] if back ends declined the request and none of [candidates] is open.
     *
     * The [candidates] are those that may serve the request.
     */
    fun refine(
        outcome: Outcome,
        admitted: AdmittedRequest,
        candidates: List<Candidate>,
        place: NodePlace,
        now: MonotonicTime,
    ): Outcome {
        val wasDeclined = outcome is Outcome.NotRun && outcome.reason == RefusalReason.Declined
        return when {
            !wasDeclined -> outcome
            candidates.areGoneFor(admitted.origin) -> ORIGIN_GONE
            candidates.limiters().areUsedUp(place, now) -> outcomeOf(admitted, candidates, place, now)
            else -> outcome
        }
    }

    /** Returns the requests a second that keep this node's share of the batch slots busy for a target latency each. */
    private fun List<Candidate>.slotRate(admitted: AdmittedRequest, place: NodePlace): Double {
        val slots = filterNot { it.backEnd.draining }.sumOf { it.backEnd.slots }.toDouble() / place.nodeCount
        return slots / admitted.route.targetLatency.toDouble(DurationUnit.SECONDS)
    }
}
