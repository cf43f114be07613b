package gypsumcart.core.routing

import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.Decider
import gypsumcart.core.Fleet
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestId
import gypsumcart.core.Service
import gypsumcart.core.ServiceName
import gypsumcart.core.Submission

/** Tells the routing filter what happened. */
public sealed class RoutingEvent {
    /** A configuration is in force from now on. */
    public data class Configured(public val fleet: Fleet) : RoutingEvent()

    /** An attempt of a request wants a back end, if possible none of [avoid]. */
    public data class Wanted(
        public val submission: Submission,
        public val attempt: AttemptNumber,
        public val avoid: Set<BackEndId>,
    ) : RoutingEvent()

    /** The call that [request] made to [backEnd] is over. */
    public data class Released(public val request: RequestId, public val backEnd: BackEndId) : RoutingEvent()

    /** The request ended without a back end's doing; it wants none any more. */
    public data class Withdrawn(public val request: RequestId) : RoutingEvent()

    /** A back end is known to be in [state]. */
    public data class BackEndChanged(public val backEnd: BackEndId, public val state: BackEndState) : RoutingEvent()
}

/** Says whether a back end takes work. */
public enum class BackEndState { LIVE, SUSPECTED, LEAVING, GONE }

/** Says what the routing filter wants done. */
public sealed class RoutingEffect {
    /** Sends the attempt to [backEnd]. */
    public data class Assign(
        public val submission: Submission,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
    ) : RoutingEffect()

    /** Tells the dispatch filter that [backEnd] finishes no more work that it has. */
    public data class Evacuate(public val backEnd: BackEndId) : RoutingEffect()
}

/** Decides which back end works on each attempt; an attempt waits while no back end has room. */
public class Routing : Decider<RoutingEvent, RoutingEffect> {
    private class Candidate(var backEnd: BackEnd, var room: Int) {
        var state: BackEndState = BackEndState.LIVE
        val running = HashSet<RequestId>()

        val takesWork: Boolean get() = state == BackEndState.LIVE && running.size < room
    }

    private val candidates = HashMap<BackEndId, Candidate>()
    private val byService = HashMap<ServiceName, List<Candidate>>()
    private val waiting = HashMap<ServiceName, ArrayDeque<RoutingEvent.Wanted>>()

    override fun decide(event: RoutingEvent, now: MonotonicTime): List<RoutingEffect> =
        when (event) {
            is RoutingEvent.Configured -> configure(event.fleet)
            is RoutingEvent.Wanted -> assignOrWait(event)
            is RoutingEvent.Released -> release(event)
            is RoutingEvent.Withdrawn -> withdraw(event.request)
            is RoutingEvent.BackEndChanged -> change(event)
        }

    private fun configure(fleet: Fleet): List<RoutingEffect> {
        val ids = fleet.backEnds.mapTo(HashSet()) { it.id }
        val removed = candidates.keys.filter { it !in ids }
        for (backEnd in fleet.backEnds) place(backEnd, fleet.services.getValue(backEnd.service).concurrency)
        removed.forEach(candidates::remove)
        byService.clear()
        candidates.values
            .sortedBy { it.backEnd.id }
            .groupByTo(HashMap()) { it.backEnd.service }
            .let(byService::putAll)
        return removed.map(RoutingEffect::Evacuate) + assignWaiting()
    }

    private fun place(backEnd: BackEnd, room: Int) {
        val candidate = candidates.getOrPut(backEnd.id) { Candidate(backEnd, room) }
        candidate.backEnd = backEnd
        candidate.room = room
    }

    private fun assignOrWait(event: RoutingEvent.Wanted): List<RoutingEffect> {
        val assigned = assignOrNull(event)
        if (assigned != null) return listOf(assigned)
        waiting.getOrPut(event.submission.work.service, ::ArrayDeque).addLast(event)
        return emptyList()
    }

    private fun assignOrNull(event: RoutingEvent.Wanted): RoutingEffect? {
        val able = byService[event.submission.work.service].orEmpty().filter { it.takesWork }
        val preferred = able.filter { it.backEnd.id !in event.avoid }.ifEmpty { able }
        val chosen = preferred.minByOrNull { it.running.size } ?: return null
        chosen.running += event.submission.id
        return RoutingEffect.Assign(event.submission, event.attempt, chosen.backEnd)
    }

    private fun release(event: RoutingEvent.Released): List<RoutingEffect> {
        val candidate = candidates[event.backEnd] ?: return emptyList()
        candidate.running -= event.request
        return assignWaiting(candidate.backEnd.service)
    }

    private fun withdraw(request: RequestId): List<RoutingEffect> {
        waiting.values.forEach { queue -> queue.removeAll { it.submission.id == request } }
        return emptyList()
    }

    private fun change(event: RoutingEvent.BackEndChanged): List<RoutingEffect> {
        val candidate = candidates[event.backEnd] ?: return emptyList()
        candidate.state = event.state
        return when (event.state) {
            BackEndState.LIVE -> assignWaiting(candidate.backEnd.service)
            BackEndState.SUSPECTED -> emptyList()
            BackEndState.LEAVING, BackEndState.GONE -> listOf(RoutingEffect.Evacuate(event.backEnd))
        }
    }

    private fun assignWaiting(): List<RoutingEffect> = waiting.keys.toList().flatMap(::assignWaiting)

    private fun assignWaiting(service: ServiceName): List<RoutingEffect> {
        val queue = waiting[service] ?: return emptyList()
        return buildList {
            while (queue.isNotEmpty()) {
                add(assignOrNull(queue.first()) ?: break)
                queue.removeFirst()
            }
        }
    }
}

private val Service.concurrency: Int
    get() =
        when (this) {
            is Service.Model -> concurrency
            is Service.Application -> concurrency
        }
