package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName

/** Follows which back ends are brittle, what they turn away, and when they fall over. */
internal class BrittleBackEnds {
    private val services = HashMap<ServiceName, ServiceBrittleness>()

    /** Connects the [candidates] of [service] with what is known of the service. */
    fun list(service: ServiceName, candidates: List<Candidate>) {
        val known = services.getOrPut(service, ::ServiceBrittleness)
        candidates.forEach { it.brittleness.service = known }
    }

    /** Processes a statement of [candidate] in a response to this node; returns the change, if it is one. */
    fun hear(candidate: Candidate, statement: BrittlenessStatement, now: MonotonicTime): RoutingEffect? =
        if (candidate.brittleness.hear(statement, now)) candidate.changed(statement.change) else null

    /** Processes what another node heard; returns the change, if it is one. */
    fun learn(candidate: Candidate?, report: BrittlenessReport, asOf: MonotonicTime): RoutingEffect? {
        val at = asOf - report.age
        if (candidate == null) {
            services.getOrPut(report.service, ::ServiceBrittleness).record(report.statement, at)
            return null
        }
        val isChanged = candidate.brittleness.learn(report.statement, at)
        return if (isChanged) candidate.changed(report.statement.change) else null
    }

    /** Returns the latest statements of [candidates] that this node has heard itself. */
    fun report(candidates: Collection<Candidate>, now: MonotonicTime): List<BrittlenessReport> =
        candidates
            .mapNotNull { it.brittleness.reportOrNull(it.backEnd.service, it.backEnd.key, now) }
            .sortedBy { it.age }
            .take(MAX_SHARED)

    /** Returns what the end of a call shows of the brittle [candidate] that made it. */
    fun observeEnd(candidate: Candidate, event: RoutingEvent.CallReleased, now: MonotonicTime): RoutingEffect? {
        candidate.room.recordEnd(event, candidate.inFlightCalls, now)
        if (candidate.brittleness.toleranceOrNull(now) == null) return null
        if (event.room == RoomSignal.REJECTED) return candidate.changed(BrittlenessChange.Rejected)
        val fell = event.health == HealthSignal.DISCONNECTED && !candidate.backEnd.draining
        if (!fell || candidate.hasFallen) return null
        candidate.hasFallen = true
        return candidate.changed(BrittlenessChange.Fell)
    }

    private fun Candidate.changed(change: BrittlenessChange): RoutingEffect =
        RoutingEffect.BrittlenessChanged(backEnd.service, backEnd.key, change)

    private companion object {
        /** Bounds the size of a report to other nodes. */
        const val MAX_SHARED = 256
    }
}

private val BrittlenessStatement.change: BrittlenessChange
    get() =
        when (this) {
            is BrittlenessStatement.Brittle -> BrittlenessChange.TurnedBrittle(tolerance)
            BrittlenessStatement.Sturdy -> BrittlenessChange.TurnedSturdy
        }
