package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.ServiceName
import gypsumcart.core.Ticket
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Represents an input of the [Routing] decider. */
public sealed class RoutingEvent {
    /** The directory lists [backEnds], those of all services. */
    public data class BackEndsListed(public val backEnds: List<BackEnd>) : RoutingEvent()

    /** A request was admitted and needs its first call. */
    public data class RequestAdmitted(public val admitted: AdmittedRequest) : RoutingEvent()

    /**
     * A request needs another call, to an instance that is not in [excluded].
     *
     * @property fallbackOutcome the outcome of the request if no further call can be made
     */
    public data class RetryRequested(
        public val admitted: AdmittedRequest,
        public val attempt: AttemptNumber,
        public val excluded: Set<InstanceKey>,
        public val fallbackOutcome: Outcome,
    ) : RoutingEvent()

    /** The call to [instance] for the request with [ticket] ended. */
    public data class CallReleased(
        public val ticket: Ticket,
        public val instance: InstanceKey,
        public val health: HealthSignal,
    ) : RoutingEvent()

    /** The first piece of a response of [service] arrived after [fraction] of the request's latency target. */
    public data class FirstPieceReceived(public val service: ServiceName, public val fraction: Double) : RoutingEvent()

    /** The client of the request with [ticket] disconnected, so that the request no longer waits for a back end. */
    public data class RequestCancelled(public val ticket: Ticket) : RoutingEvent()

    /** The number of live nodes, including this one, that share the retry budget and the batch slots was updated. */
    public data class NodeCountUpdated(public val nodeCount: Int) : RoutingEvent()

    /** The time given by [RoutingEffect.SweepAt], at which requests that have waited too long are ended. */
    public data object Sweep : RoutingEvent()

    /** A timer tick, on which this node's load is reported. */
    public data object ReportDue : RoutingEvent()
}

/** Represents an output of the [Routing] decider. */
public sealed class RoutingEffect {
    /**
     * Assigns a call to [backEnd].
     *
     * @property candidates the number of back ends from which it was chosen
     */
    public data class Assign(
        public val admitted: AdmittedRequest,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
        public val candidates: Int,
    ) : RoutingEffect()

    /** Ends a request without a further call and passes [outcome] to the client. */
    public data class Conclude(public val admitted: AdmittedRequest, public val outcome: Outcome) : RoutingEffect()

    /** Requests a [RoutingEvent.Sweep] at [time], when a request that started to wait will have waited too long. */
    public data class SweepAt(public val time: MonotonicTime) : RoutingEffect()

    /**
     * Reports the load of this node by service.
     *
     * @property load the cost of in-flight calls plus the number of waiting requests
     * @property latency the time to the first piece of the slowest tenth of requests, as a fraction of their target
     */
    public data class ReportLoad(
        public val load: Map<ServiceName, Double>,
        public val latency: Map<ServiceName, Double>,
    ) : RoutingEffect()
}

/**
 * Chooses the back end for each call.
 *
 * A request for which no back end is available waits for one for a part of its latency target.
 */
public class Routing(private val retryLimits: RetryLimits) : Decider<RoutingEvent, RoutingEffect> {
    private class WaitingRequest(val admitted: AdmittedRequest, val deadline: MonotonicTime)

    private val candidates = HashMap<InstanceKey, Candidate>()
    private val candidatesByService = HashMap<ServiceName, List<Candidate>>()
    private val waiting = LinkedHashMap<Ticket, WaitingRequest>()
    private val retryBudgets = HashMap<ServiceName, RetryBudget>()
    private val latencies = HashMap<ServiceName, LatencyWindow>()
    private var nodeCount = 1

    override fun decide(event: RoutingEvent, now: MonotonicTime): List<RoutingEffect> =
        when (event) {
            is RoutingEvent.BackEndsListed -> updateBackEnds(event.backEnds, now)
            is RoutingEvent.RequestAdmitted -> assignOrWait(event.admitted, now)
            is RoutingEvent.RetryRequested -> listOf(retryOrConclude(event, now))
            is RoutingEvent.CallReleased -> releaseCall(event, now)
            is RoutingEvent.FirstPieceReceived ->
                noEffects { latencies.getOrPut(event.service, ::LatencyWindow).add(event.fraction, now) }
            is RoutingEvent.RequestCancelled -> noEffects { waiting -= event.ticket }
            is RoutingEvent.NodeCountUpdated -> noEffects { nodeCount = event.nodeCount }
            RoutingEvent.Sweep -> expireWaiting(now)
            RoutingEvent.ReportDue -> listOf(RoutingEffect.ReportLoad(loadByService(), latencyByService(now)))
        }

    private inline fun noEffects(change: () -> Unit): List<RoutingEffect> {
        change()
        return emptyList()
    }

    private fun updateBackEnds(backEnds: List<BackEnd>, now: MonotonicTime): List<RoutingEffect> {
        val keys = backEnds.mapTo(HashSet()) { it.key }
        candidates.entries.removeIf { (key, candidate) -> key !in keys && candidate.inFlightCalls == 0 }
        candidatesByService.clear()
        backEnds
            .map { backEnd -> candidates.getOrPut(backEnd.key) { Candidate(backEnd) }.also { it.backEnd = backEnd } }
            .sortedBy { it.backEnd.id }
            .groupByTo(HashMap()) { it.backEnd.service }
            .let(candidatesByService::putAll)
        return assignWaiting(now)
    }

    private fun assignOrWait(admitted: AdmittedRequest, now: MonotonicTime): List<RoutingEffect> {
        retryBudgetOf(admitted.service).countRequest(now)
        if (waiting.isEmpty() || !isAtCapacity(admitted)) {
            val assigned = assignOrNull(admitted, AttemptNumber.FIRST, emptySet(), now)
            if (assigned != null) return listOf(assigned)
        }
        val limit = admitted.submission.arrivedAt + admitted.route.targetLatency / MAX_WAIT_DIVISOR
        val request = WaitingRequest(admitted, minOf(limit, admitted.deadline))
        waiting[admitted.ticket] = request
        return listOf(RoutingEffect.SweepAt(request.deadline))
    }

    private fun retryOrConclude(event: RoutingEvent.RetryRequested, now: MonotonicTime): RoutingEffect {
        val conclusion = RoutingEffect.Conclude(event.admitted, event.fallbackOutcome)
        if (now >= event.admitted.deadline) return conclusion
        if (candidatesByService[event.admitted.service].orEmpty().none { isAvailable(it, event.excluded) }) {
            return conclusion
        }
        if (!retryBudgetOf(event.admitted.service).tryAcquireRetry(nodeCount, now)) return conclusion
        return assignOrNull(event.admitted, event.attempt, event.excluded, now) ?: conclusion
    }

    private fun assignOrNull(
        admitted: AdmittedRequest,
        attempt: AttemptNumber,
        excluded: Set<InstanceKey>,
        now: MonotonicTime,
    ): RoutingEffect? {
        val available = candidatesByService[admitted.service].orEmpty().filter { isAvailable(it, excluded) }
        if (available.isEmpty() || attempt == AttemptNumber.FIRST && isAtCapacity(admitted)) return null
        val eligible = available.filterNot { it.isEjected(now) }.ifEmpty { available }
        val cost = costOf(admitted)
        val chosen = eligible.choose(admitted, cost)
        chosen.startCall(admitted.ticket, cost)
        return RoutingEffect.Assign(admitted, attempt, chosen.backEnd, eligible.size)
    }

    private fun isAvailable(candidate: Candidate, excluded: Set<InstanceKey>): Boolean =
        !candidate.backEnd.draining && candidate.backEnd.key !in excluded

    /**
     * Returns whether this node uses its whole share of the batch slots of the engines that serve [admitted].
     *
     * A request beyond the share would wait for its first token longer than is allowed, and so would all requests
     * queued behind it. A request without a prompt needs no batch slot.
     */
    private fun isAtCapacity(admitted: AdmittedRequest): Boolean {
        if (admitted.submission.prompt == null) return false
        val serviceCandidates = candidatesByService[admitted.service].orEmpty()
        val slots = serviceCandidates.filterNot { it.backEnd.draining }.sumOf { it.backEnd.slots }
        return serviceCandidates.sumOf { it.inFlightCalls } >= ceil(slots * MAX_SLOT_UTILIZATION / nodeCount)
    }

    private fun releaseCall(event: RoutingEvent.CallReleased, now: MonotonicTime): List<RoutingEffect> {
        candidates[event.instance]?.endCall(event.ticket, event.health, now)
        return if (waiting.isEmpty()) emptyList() else assignWaiting(now)
    }

    private fun expireWaiting(now: MonotonicTime): List<RoutingEffect> {
        val expired = waiting.values.filter { now >= it.deadline }
        expired.forEach { waiting -= it.admitted.ticket }
        return expired.map { RoutingEffect.Conclude(it.admitted, Outcome.NotRun(refusalReasonOf(it), RETRY_AFTER)) }
    }

    private fun refusalReasonOf(request: WaitingRequest): RefusalReason =
        if (isAtCapacity(request.admitted)) RefusalReason.Overloaded("routing") else RefusalReason.NoBackEnd

    /** Assigns back ends to waiting requests, the most urgent first. */
    private fun assignWaiting(now: MonotonicTime): List<RoutingEffect> {
        val assigned =
            waiting.values
                .sortedBy { it.admitted.priority }
                .mapNotNull { assignOrNull(it.admitted, AttemptNumber.FIRST, emptySet(), now) }
        assigned.filterIsInstance<RoutingEffect.Assign>().forEach { waiting -= it.admitted.ticket }
        return assigned
    }

    private fun loadByService(): Map<ServiceName, Double> =
        candidatesByService.mapValues { (service, serviceCandidates) ->
            serviceCandidates.sumOf { it.load } + waiting.values.count { it.admitted.service == service }
        }

    private fun latencyByService(now: MonotonicTime): Map<ServiceName, Double> =
        latencies
            .mapNotNull { (service, window) -> window.slowestTenthOrNull(now)?.let { service to it } }
            .toMap()

    private fun retryBudgetOf(service: ServiceName): RetryBudget =
        retryBudgets.getOrPut(service) { RetryBudget(retryLimits) }

    private fun costOf(admitted: AdmittedRequest): Double =
        1 + (admitted.submission.prompt?.tokens ?: 0).toDouble() / TOKENS_PER_COST_UNIT

    private companion object {
        /** A request waits for a back end for at most its latency target divided by this. */
        const val MAX_WAIT_DIVISOR = 8

        /** About the time until the directory lists a new back end or running requests have freed batch slots. */
        val RETRY_AFTER: Duration = 1.seconds

        /** The fraction of their batch slots that engines can use and still meet the latency targets. */
        const val MAX_SLOT_UTILIZATION = 0.45

        /** A prompt of this many tokens loads an engine as much as one more running request. */
        const val TOKENS_PER_COST_UNIT = 4_096
    }
}
