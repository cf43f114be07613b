package gypsumcart.core.routing

import gypsumcart.core.Admitted
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

/** Tells the routing filter what happened. */
public sealed class RoutingEvent {
    /** The directory lists these back ends, of all services. */
    public data class BackEndsListed(public val backEnds: List<BackEnd>) : RoutingEvent()

    /** An admitted request wants its first call. */
    public data class Wanted(public val admitted: Admitted) : RoutingEvent()

    /**
     * A request wants another call, if possible to none of [avoid].
     *
     * @property otherwise what the client is told if there is none to be had
     */
    public data class WantedAgain(
        public val admitted: Admitted,
        public val attempt: AttemptNumber,
        public val avoid: Set<InstanceKey>,
        public val otherwise: Outcome,
    ) : RoutingEvent()

    /** The call that [ticket] made to [instance] is over. */
    public data class Released(
        public val ticket: Ticket,
        public val instance: InstanceKey,
        public val verdict: Verdict,
    ) : RoutingEvent()

    /** The client of [ticket] is gone; a call that waits is not wanted any more. */
    public data class Withdrawn(public val ticket: Ticket) : RoutingEvent()

    /** So many nodes, this one among them, share the retry budget. */
    public data class NodesCounted(public val nodes: Int) : RoutingEvent()

    /** The time came to look for requests that have waited long enough. */
    public data object Sweep : RoutingEvent()

    /** The time came to say how much this node has in progress. */
    public data object ReportDue : RoutingEvent()
}

/** Says what the routing filter wants done. */
public sealed class RoutingEffect {
    /** Calls [backEnd]. */
    public data class Assign(
        public val admitted: Admitted,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
        public val candidates: Int,
    ) : RoutingEffect()

    /** Tells the client how its request ended. */
    public data class Conclude(public val admitted: Admitted, public val outcome: Outcome) : RoutingEffect()

    /** Says what this node has in progress or waiting, by service. */
    public data class Report(public val load: Map<ServiceName, Double>) : RoutingEffect()
}

/** Decides which back end is called for each request; a request waits a little while there is none. */
public class Routing(private val retries: RetryLimits) : Decider<RoutingEvent, RoutingEffect> {
    private class Waiting(val admitted: Admitted, val until: MonotonicTime)

    private val candidates = HashMap<InstanceKey, Candidate>()
    private val listed = HashMap<ServiceName, List<Candidate>>()
    private val waiting = LinkedHashMap<Ticket, Waiting>()
    private val budgets = HashMap<ServiceName, RetryBudget>()
    private var nodes = 1

    override fun decide(event: RoutingEvent, now: MonotonicTime): List<RoutingEffect> =
        when (event) {
            is RoutingEvent.BackEndsListed -> list(event.backEnds, now)
            is RoutingEvent.Wanted -> assignOrWait(event.admitted, now)
            is RoutingEvent.WantedAgain -> listOf(assignAgain(event, now))
            is RoutingEvent.Released -> release(event, now)
            is RoutingEvent.Withdrawn -> nothing { waiting -= event.ticket }
            is RoutingEvent.NodesCounted -> nothing { nodes = event.nodes }
            RoutingEvent.Sweep -> sweep(now)
            RoutingEvent.ReportDue -> listOf(RoutingEffect.Report(loads()))
        }

    private inline fun nothing(change: () -> Unit): List<RoutingEffect> {
        change()
        return emptyList()
    }

    private fun list(backEnds: List<BackEnd>, now: MonotonicTime): List<RoutingEffect> {
        val keys = backEnds.mapTo(HashSet()) { it.key }
        candidates.entries.removeIf { (key, candidate) -> key !in keys && candidate.calls == 0 }
        listed.clear()
        backEnds
            .map { backEnd -> candidates.getOrPut(backEnd.key) { Candidate(backEnd) }.also { it.backEnd = backEnd } }
            .sortedBy { it.backEnd.id }
            .groupByTo(HashMap()) { it.backEnd.service }
            .let(listed::putAll)
        return assignWaiting(now)
    }

    private fun assignOrWait(admitted: Admitted, now: MonotonicTime): List<RoutingEffect> {
        budgetOf(admitted.service).countRequest(now)
        if (waiting.isEmpty() || !isFull(admitted)) {
            val assigned = assignOrNull(admitted, AttemptNumber.FIRST, emptySet(), now)
            if (assigned != null) return listOf(assigned)
        }
        val limit = admitted.submission.arrivedAt + admitted.route.target / WAITING_PART
        waiting[admitted.ticket] = Waiting(admitted, minOf(limit, admitted.due))
        return emptyList()
    }

    private fun assignAgain(event: RoutingEvent.WantedAgain, now: MonotonicTime): RoutingEffect {
        val conclusion = RoutingEffect.Conclude(event.admitted, event.otherwise)
        if (now >= event.admitted.due) return conclusion
        if (listed[event.admitted.service].orEmpty().none { takesWork(it, event.avoid) }) return conclusion
        if (!budgetOf(event.admitted.service).takeRepeat(nodes, now)) return conclusion
        return assignOrNull(event.admitted, event.attempt, event.avoid, now) ?: conclusion
    }

    private fun assignOrNull(
        admitted: Admitted,
        attempt: AttemptNumber,
        avoid: Set<InstanceKey>,
        now: MonotonicTime,
    ): RoutingEffect? {
        val able = listed[admitted.service].orEmpty().filter { takesWork(it, avoid) }
        if (able.isEmpty() || attempt == AttemptNumber.FIRST && isFull(admitted)) return null
        val trusted = able.filterNot { it.isEjected(now) }.ifEmpty { able }
        val cost = costOf(admitted)
        val chosen = trusted.choose(admitted, cost)
        chosen.start(admitted.ticket, cost)
        return RoutingEffect.Assign(admitted, attempt, chosen.backEnd, trusted.size)
    }

    private fun takesWork(candidate: Candidate, avoid: Set<InstanceKey>): Boolean =
        !candidate.backEnd.leaving && candidate.backEnd.key !in avoid

    /**
     * Whether this node has its part of an engine's batch slots in use. Beyond that a request would wait for its first
     * token longer than it may, and so would all behind it.
     */
    private fun isFull(admitted: Admitted): Boolean {
        if (admitted.submission.prompt == null) return false
        val ofService = listed[admitted.service].orEmpty()
        val slots = ofService.filterNot { it.backEnd.leaving }.sumOf { it.backEnd.slots }
        return ofService.sumOf { it.calls } >= ceil(slots * FILLED_PART / nodes)
    }

    private fun release(event: RoutingEvent.Released, now: MonotonicTime): List<RoutingEffect> {
        candidates[event.instance]?.end(event.ticket, event.verdict, now)
        return if (waiting.isEmpty()) emptyList() else assignWaiting(now)
    }

    private fun sweep(now: MonotonicTime): List<RoutingEffect> {
        val expired = waiting.values.filter { now >= it.until }
        expired.forEach { waiting -= it.admitted.ticket }
        return expired.map { RoutingEffect.Conclude(it.admitted, Outcome.NotRun(reasonFor(it), COME_BACK)) }
    }

    private fun reasonFor(request: Waiting): RefusalReason =
        if (isFull(request.admitted)) RefusalReason.Overloaded("routing") else RefusalReason.NoBackEnd

    /** Assigns what waits, the most urgent first. */
    private fun assignWaiting(now: MonotonicTime): List<RoutingEffect> {
        val assigned =
            waiting.values
                .sortedBy { it.admitted.rank }
                .mapNotNull { assignOrNull(it.admitted, AttemptNumber.FIRST, emptySet(), now) }
        assigned.filterIsInstance<RoutingEffect.Assign>().forEach { waiting -= it.admitted.ticket }
        return assigned
    }

    private fun loads(): Map<ServiceName, Double> =
        listed.mapValues { (service, ofService) ->
            ofService.sumOf { it.load } + waiting.values.count { it.admitted.service == service }
        }

    private fun budgetOf(service: ServiceName): RetryBudget = budgets.getOrPut(service) { RetryBudget(retries) }

    private fun costOf(admitted: Admitted): Double =
        1 + (admitted.submission.prompt?.tokens ?: 0).toDouble() / TOKENS_PER_COST

    private companion object {
        /** The part of a request's latency target that it may wait for a back end to appear. */
        const val WAITING_PART = 8

        /** About the time in which the directory shows a new back end, or a batch has moved on. */
        val COME_BACK: Duration = 1.seconds

        /** The part of the batch slots that engines fill and still meet the latency targets. */
        const val FILLED_PART = 0.45

        /** A prompt of so many tokens burdens an engine as much as another running request. */
        const val TOKENS_PER_COST = 4_096
    }
}
