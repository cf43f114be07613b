package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.Decider
import gypsumcart.core.Features
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.capacity.CapacityLearner
import gypsumcart.core.rollout.VersionSplit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the back end for each call.
 *
 * A request for which no back end is available waits for one for a part of its latency target.
 */
public class Routing(
    retryLimits: RetryLimits,
    features: Features = Features.NONE,
) : Decider<RoutingEvent, RoutingEffect> {
    private val candidates = HashMap<InstanceKey, Candidate>()
    private val candidatesByService = HashMap<ServiceName, List<Candidate>>()
    private val places = Places(if (features.sharedRoom) RoomPolicy.ByDemand() else RoomPolicy.Even)
    private val waiting =
        WaitingRequests(if (features.sharedRoom) WaitingOrder.FairAmongTeams else WaitingOrder.ByPriority)
    private val retryBudgets = RetryBudgets(retryLimits)
    private val latencies = LatencyWindows()
    private val quarantine = Quarantine()
    private val refusals = PacedRefusals()
    private val choice =
        if (features.learnedCapacity) BackEndChoice.ByCapacity(CapacityLearner()) else BackEndChoice.Even
    private var sharedFindings = RoutingFindings.NONE
    private val versions = VersionSplit()
    private val brittle = BrittleBackEnds()
    private val rooms = BrittleRoomQueue()
    private var place = NodePlace(nodeCount = 1, rank = 0)

    override fun decide(event: RoutingEvent, now: MonotonicTime): List<RoutingEffect> =
        when (event) {
            is RoutingEvent.BackEndsListed -> updateBackEnds(event.backEnds, now)
            is RoutingEvent.RequestAdmitted -> assignOrWait(event.admitted, now)
            is RoutingEvent.RetryRequested -> listOf(retryOrConclude(event, now))
            is RoutingEvent.ReassignmentRequested -> reassign(event, now)
            is RoutingEvent.CallReleased -> releaseCall(event, now)
            is RoutingEvent.FirstPieceReceived -> startResponse(event, now)
            is RoutingEvent.RequestCancelled -> noEffects { waiting -= event.ticket }
            is RoutingEvent.NodeCountUpdated -> {
                place = NodePlace(event.nodeCount.coerceAtLeast(1), event.rank)
                assignWaiting(now)
            }
            is RoutingEvent.FleetLoadMeasured -> {
                places.update(event.loads, now)
                assignWaiting(now)
            }
            is RoutingEvent.FindingsReceived -> learn(event.findings, event.asOf, now)
            is RoutingEvent.CapacityReported -> noEffects { choice.learn(event) }
            is RoutingEvent.LimitStated -> hearLimit(event, now)
            is RoutingEvent.BrittlenessStated -> hearBrittleness(event, now)
            is RoutingEvent.PauseStated -> pauseCalls(event, now)
            is RoutingEvent.VersionsRuled -> {
                versions.update(event.rules, event.revision)
                assignWaiting(now) + versions.uses(candidates)
            }
            RoutingEvent.Sweep -> assignWaiting(now) + expireWaiting(now)
            RoutingEvent.ReportDue ->
                choice.endOverdueCalls(candidates.values, retryBudgets, place, now) + report(now)
            RoutingEvent.Aborted ->
                waiting.values
                    .map { RoutingEffect.Conclude(it.admitted, Outcome.NotRun.STOPPING) }
                    .also { waiting.clear() }
        }

    private fun updateBackEnds(backEnds: List<BackEnd>, now: MonotonicTime): List<RoutingEffect> {
        val keys = backEnds.mapTo(HashSet()) { it.key }
        // A back end may be listed again before its pause ends.
        candidates.entries.removeIf { (key, candidate) ->
            key !in keys && candidate.inFlightCalls == 0 && !candidate.limiter.isPaused(now)
        }
        candidatesByService.clear()
        versions.list(backEnds, now)
        backEnds
            .map { backEnd -> candidates.getOrPut(backEnd.key) { Candidate(backEnd) }.also { it.backEnd = backEnd } }
            .sortedBy { it.backEnd.id }
            .groupByTo(HashMap()) { it.backEnd.service }
            .onEach { (service, ofService) ->
                ofService.spreadLimits()
                brittle.list(service, ofService)
            }.let(candidatesByService::putAll)
        choice.list(backEnds, candidates.values, now)
        return assignWaiting(now)
    }

    private fun assignOrWait(admitted: AdmittedRequest, now: MonotonicTime): List<RoutingEffect> {
        retryBudgets.countRequest(admitted.service, now)
        if (versions.isOriginGone(admitted, candidatesByService)) {
            return listOf(RoutingEffect.Conclude(admitted, ORIGIN_GONE))
        }
        return when (val verdict = quarantine.verdictOn(admitted.submission.prompt, runsTrials, now)) {
            QuarantineVerdict.Allowed -> assignOrEnqueue(admitted, isTrial = false, now)
            QuarantineVerdict.Trial -> assignOrEnqueue(admitted, isTrial = true, now)
            is QuarantineVerdict.Refused -> listOf(RoutingEffect.Conclude(admitted, verdict.toOutcome()))
        }
    }

    /** Whether this node, of all live ones, tries whether a quarantined part still crashes back ends. */
    private val runsTrials: Boolean get() = place.rank == 0

    private fun assignOrEnqueue(
        admitted: AdmittedRequest,
        isTrial: Boolean,
        now: MonotonicTime,
        excluded: Set<InstanceKey> = emptySet(),
    ): List<RoutingEffect> {
        val ofService = versions.backEndsFor(admitted, candidatesByService)
        val limiters = ofService.limiters()
        // Requests that wait for a limit go before new ones.
        val earlier = if (waiting.isEmpty() || limiters.none { it.isLimited }) emptyList() else assignWaiting(now)
        if (waiting.isEmpty() || !places.areFull(admitted, ofService, candidatesByService, place, now)) {
            val assigned = assignOrNull(admitted, AttemptNumber.FIRST, excluded, now, isTrial)
            if (assigned != null) return earlier + assigned
        }
        val isFull = limiters.isNotEmpty() && places.areFull(admitted, ofService, candidatesByService, place, now)
        val isShort = ofService.areShortOfRoom(place, now)
        val maxWait = if (isShort) rooms.maxWaitFor(admitted) else places.maxWaitFor(admitted, isFull, now)
        val request = WaitingRequest(admitted, excluded, minOf(admitted.waitsFrom(now) + maxWait, admitted.deadline))
        if (limiters.areUsedUp(place, now)) return earlier + awaitLimit(request, limiters, now)
        if (isShort) return earlier + rooms.await(request, ofService, waiting, place, now)
        return earlier + awaitPlace(request, isFull, now)
    }

    /** Lets a request wait for a place, or refuses it at once if none is expected in time. */
    private fun awaitPlace(request: WaitingRequest, isFull: Boolean, now: MonotonicTime): RoutingEffect {
        val admitted = request.admitted
        val ahead = waiting.countBefore(admitted, costOf(admitted))
        if (isFull && places.isTooLate(request, ahead, now)) {
            return RoutingEffect.Conclude(admitted, places.refusalOf(admitted, ahead, now))
        }
        waiting.add(request, costOf(admitted))
        return RoutingEffect.SweepAt(request.deadline)
    }

    /** Lets a request wait for the next call that the limits allow, or refuses it at once if that comes too late. */
    private fun awaitLimit(
        request: WaitingRequest,
        limiters: List<CallLimiter>,
        now: MonotonicTime,
    ): List<RoutingEffect> {
        val admitted = request.admitted
        val nextCallAt = limiters.nextCallAtOrNull(place, now)
        val ahead = waiting.count(admitted.service)
        // Those ahead may go to any back end of the service.
        val rate = candidatesByService[admitted.service].orEmpty().limiters().rateOf(place)
        val expectedAt = nextCallAt?.let { it + (ahead / rate).seconds }
        if (nextCallAt == null || expectedAt == null || expectedAt >= request.deadline) {
            val outcome = refusals.outcomeOf(admitted, versions.backEndsFor(admitted, candidatesByService), place, now)
            return listOf(RoutingEffect.Conclude(admitted, outcome))
        }
        waiting.add(request, costOf(admitted))
        return listOf(RoutingEffect.SweepAt(nextCallAt), RoutingEffect.SweepAt(request.deadline))
    }

    private fun retryOrConclude(event: RoutingEvent.RetryRequested, now: MonotonicTime): RoutingEffect {
        val admitted = event.admitted
        val outcome = finalOutcomeOrNull(event, now)
        if (outcome != null) {
            val ofService = versions.backEndsFor(admitted, candidatesByService)
            return RoutingEffect.Conclude(admitted, refusals.refine(outcome, admitted, ofService, place, now))
        }
        return assignOrNull(admitted, event.attempt, event.excluded, now)
            ?: RoutingEffect.Conclude(admitted, event.fallbackOutcome)
    }

    /** Assigns an attempt whose call was not sent to another back end; a first attempt may wait for one. */
    private fun reassign(event: RoutingEvent.ReassignmentRequested, now: MonotonicTime): List<RoutingEffect> {
        val admitted = event.admitted
        val isInTime = now < admitted.deadline
        val isGone = versions.isOriginGone(admitted, candidatesByService)
        if (isInTime && event.attempt == AttemptNumber.FIRST && !isGone) {
            return assignOrEnqueue(admitted, isTrial = false, now, event.excluded)
        }
        val assigned = if (isInTime) assignOrNull(admitted, event.attempt, event.excluded, now) else null
        if (assigned != null) return listOf(assigned)
        val ofService = versions.backEndsFor(admitted, candidatesByService)
        val outcome = refusals.refine(event.fallbackOutcome, admitted, ofService, place, now)
        return listOf(RoutingEffect.Conclude(admitted, outcome))
    }

    /** Returns the outcome of a request that can't be retried, or null if it can be. */
    private fun finalOutcomeOrNull(event: RoutingEvent.RetryRequested, now: MonotonicTime): Outcome? {
        val admitted = event.admitted
        val prompt = admitted.submission.prompt
        val outcome = event.fallbackOutcome
        val mayHaveRun = outcome is Outcome.Failed
        val others = versions.select(admitted, candidatesByService, event.excluded, place, now)
        val verdict = quarantine.verdictOn(prompt, runsTrials = false, now)
        return when {
            now >= admitted.deadline -> outcome
            verdict is QuarantineVerdict.Refused -> if (mayHaveRun) outcome else verdict.toOutcome()
            mayHaveRun && quarantine.forbidsRetry(prompt) -> outcome
            others.none { it.isAvailable(event.excluded, place, now) } -> outcome
            !retryBudgets.tryAcquireRetry(admitted.service, place.nodeCount, now) -> outcome
            else -> null
        }
    }

    private fun assignOrNull(
        admitted: AdmittedRequest,
        attempt: AttemptNumber,
        excluded: Set<InstanceKey>,
        now: MonotonicTime,
        isTrial: Boolean = false,
    ): RoutingEffect? {
        val ofVersion = versions.select(admitted, candidatesByService, excluded, place, now)
        val available = ofVersion.filter { it.isAvailable(excluded, place, now) }
        val needsPlace = attempt == AttemptNumber.FIRST
        if (available.isEmpty()) return null
        if (needsPlace && places.areFull(admitted, ofVersion, candidatesByService, place, now)) return null
        val eligible = available.filterNot { it.isEjected(now, admitted.ticket) }.ifEmpty { available }
        val cost = costOf(admitted)
        val chosen = if (isTrial) eligible.leastLoaded(admitted.ticket) else choice.choose(eligible, admitted, cost)
        chosen.startCall(admitted, cost, now)
        choice.recordCall(chosen.backEnd.key, now)
        versions.count(admitted, attempt, chosen.backEnd)
        return RoutingEffect.Assign(admitted, attempt, chosen.backEnd, eligible.size)
    }

    private fun releaseCall(event: RoutingEvent.CallReleased, now: MonotonicTime): List<RoutingEffect> {
        val candidate = candidates[event.instance]
        val call = candidate?.endCall(event.ticket, event.health, now)
        call?.let { rooms.recordEnd(candidate.backEnd.service, now - it.startedAt) }
        if (call?.prompt != null) places.recordEnd(candidate.backEnd.service, now)
        call?.let { choice.recordEnd(event, it, candidate.backEnd, now) }
        val fall = candidate?.let { brittle.observeEnd(it, event, now) }
        val used = listOfNotNull(fall) + if (versions.awaitsEndOf(candidate)) versions.uses(candidates) else emptyList()
        val learned = used + if (call == null) emptyList() else learnFrom(call, candidate.backEnd, event.health, now)
        return if (waiting.isEmpty()) learned else learned + assignWaiting(now)
    }

    /** Records what the end of a call says about its prompt; a back end that drains is expected to end connections. */
    private fun learnFrom(
        call: InFlightCall,
        backEnd: BackEnd,
        health: HealthSignal,
        now: MonotonicTime,
    ): List<RoutingEffect> {
        val prompt = call.prompt
        if (prompt == null || call.started) return emptyList()
        return when (health) {
            HealthSignal.HEALTHY -> apply(quarantine.recordAnswer(prompt, backEnd.key, now), now)
            HealthSignal.DISCONNECTED ->
                if (backEnd.draining) {
                    emptyList()
                } else {
                    apply(quarantine.recordCut(prompt, backEnd.key, now), now) + shareFindings(now)
                }
            HealthSignal.FAILING, HealthSignal.UNKNOWN -> emptyList()
        }
    }

    private fun startResponse(event: RoutingEvent.FirstPieceReceived, now: MonotonicTime): List<RoutingEffect> {
        event.fraction?.let { latencies.add(event.service, it, now) }
        val call = candidates[event.instance]?.callOrNull(event.ticket) ?: return emptyList()
        if (!call.started) {
            choice.recordStart(event.instance, call, now)
            candidates[event.instance]?.room?.recordResponse()
        }
        call.started = true
        places.recordStart(call, now)
        val prompt = call.prompt ?: return emptyList()
        return apply(quarantine.recordAnswer(prompt, event.instance, now), now)
    }

    /** Refuses the waiting requests whose prompts have just been quarantined, and passes the changes on. */
    private fun apply(changes: List<QuarantineChange>, now: MonotonicTime): List<RoutingEffect> {
        if (changes.isEmpty()) return emptyList()
        val refused =
            waiting.values.mapNotNull { (admitted) ->
                val verdict = quarantine.verdictOn(admitted.submission.prompt, runsTrials = false, now)
                (verdict as? QuarantineVerdict.Refused)?.let { RoutingEffect.Conclude(admitted, it.toOutcome()) }
            }
        refused.forEach { waiting -= it.admitted.ticket }
        return changes.map(RoutingEffect::QuarantineChanged) + refused + shareFindings(now)
    }

    private fun learn(findings: RoutingFindings, asOf: MonotonicTime, now: MonotonicTime): List<RoutingEffect> {
        val changed =
            findings.limits.filter { (instance, statement, age) ->
                candidates[instance]?.limiter?.learn(statement, asOf - age, now) ?: false
            }
        val quarantined = apply(quarantine.merge(findings.crashEvidence, asOf, now), now)
        val stated = findings.brittleness.mapNotNull { brittle.learn(candidates[it.instance], it, asOf) }
        return quarantined + stated + changed.flatMap { limitChanged(it.instance, now) }
    }

    private fun hearLimit(event: RoutingEvent.LimitStated, now: MonotonicTime): List<RoutingEffect> {
        val changed = candidates[event.instance]?.limiter?.hear(event.statement, now) ?: false
        return if (changed) limitChanged(event.instance, now) + shareFindings(now) else emptyList()
    }

    private fun hearBrittleness(event: RoutingEvent.BrittlenessStated, now: MonotonicTime): List<RoutingEffect> {
        val changed = candidates[event.instance]?.let { brittle.hear(it, event.statement, now) }
        return if (changed != null) listOf(changed) + shareFindings(now) else emptyList()
    }

    /** Pauses calls, and refuses the waiting requests for which none is possible before their waiting time ends. */
    private fun pauseCalls(event: RoutingEvent.PauseStated, now: MonotonicTime): List<RoutingEffect> {
        val paused = candidates[event.instance]?.takeIf { it.limiter.pauseUntil(event.until) } ?: return emptyList()
        val backEndsOf = { admitted: AdmittedRequest -> versions.backEndsFor(admitted, candidatesByService) }
        return waiting.removeBlocked(paused.backEnd.service, place, now, backEndsOf).map { (admitted) ->
            RoutingEffect.Conclude(admitted, refusals.outcomeOf(admitted, backEndsOf(admitted), place, now))
        }
    }

    private fun limitChanged(instance: InstanceKey, now: MonotonicTime): List<RoutingEffect> {
        val changed = RoutingEffect.LimitChanged(instance, candidates[instance]?.limiter?.requestsPerSecond)
        return listOf(changed) + assignWaiting(now)
    }

    /** Shares the findings if there are any, or if the last ones are to be withdrawn. */
    private fun shareFindings(now: MonotonicTime): List<RoutingEffect> {
        val limits = candidates.values.mapNotNull { it.limiter.reportOrNull(it.backEnd.key, now) }
        val findings =
            RoutingFindings(
                quarantine.evidence(now),
                limits.sortedBy { it.age }.take(MAX_SHARED_LIMITS),
                brittle.report(candidates.values, now),
            )
        if (findings.isEmpty && sharedFindings.isEmpty) return emptyList()
        sharedFindings = findings
        return listOf(RoutingEffect.ShareFindings(findings))
    }

    private fun report(now: MonotonicTime): List<RoutingEffect> {
        val load =
            candidatesByService.mapValues { (service, ofService) ->
                ofService.sumOf { it.load } + waiting.count(service)
            }
        // The other nodes are assumed to have as many requests as this one.
        val lost = candidatesByService.lostCapacity { retryBudgets.requestRate(it, now) * place.nodeCount }
        val capacity = choice.update(now)
        return apply(quarantine.expire(now), now) + shareFindings(now) + versions.uses(candidates) +
            choice.standingChanges(candidates.values) +
            RoutingEffect.ReportLoad(
                load,
                latencies.slowestTenths(now),
                lost,
                calls = candidates.values.sumOf { it.inFlightCalls },
                capacity = capacity,
                waiting = waiting.size,
            )
    }

    private fun expireWaiting(now: MonotonicTime): List<RoutingEffect> {
        val expired = waiting.values.filter { now >= it.deadline }
        expired.forEach { waiting -= it.admitted.ticket }
        return expired.map { RoutingEffect.Conclude(it.admitted, expiryOutcomeOf(it.admitted, now)) }
    }

    private fun expiryOutcomeOf(admitted: AdmittedRequest, now: MonotonicTime): Outcome {
        val ofService = versions.backEndsFor(admitted, candidatesByService)
        return when {
            ofService.limiters().areUsedUp(place, now) -> refusals.outcomeOf(admitted, ofService, place, now)
            ofService.areShortOfRoom(place, now) -> rooms.refusalOf(admitted, ofService, waiting, place, now)
            places.areFull(admitted, ofService, candidatesByService, place, now) ->
                places.refusalOf(admitted, waiting.count(admitted.service), now)
            else -> Outcome.NotRun(RefusalReason.NoBackEnd, RETRY_AFTER)
        }
    }

    /** Assigns back ends to waiting requests, in the order that is due, and refuses those that none can go on with. */
    private fun assignWaiting(now: MonotonicTime): List<RoutingEffect> {
        if (waiting.isEmpty()) return emptyList()
        val gone = waiting.removeAll { versions.isOriginGone(it.admitted, candidatesByService) }
        val assigned =
            waiting.inOrder().mapNotNull { assignOrNull(it.admitted, AttemptNumber.FIRST, it.excluded, now) }
        assigned.filterIsInstance<RoutingEffect.Assign>().forEach { waiting.removeAssigned(it.admitted.ticket) }
        return gone.map { RoutingEffect.Conclude(it.admitted, ORIGIN_GONE) } + assigned
    }

    private companion object {
        /** About the time until the directory lists a new back end. */
        val RETRY_AFTER: Duration = 1.seconds

        /** Bounds the size of a report to other nodes. */
        const val MAX_SHARED_LIMITS = 256
    }
}

private inline fun noEffects(change: () -> Unit): List<RoutingEffect> {
    change()
    return emptyList()
}

/** Returns from when on the request may wait; one whose origin had to be looked for has not waited for a place yet. */
private fun AdmittedRequest.waitsFrom(now: MonotonicTime): MonotonicTime =
    when (origin) {
        StreamOrigin.Unwritten -> submission.arrivedAt
        is StreamOrigin.WrittenBy -> now
    }

private fun QuarantineVerdict.Refused.toOutcome(): Outcome =
    Outcome.NotRun(RefusalReason.Quarantined(part), retryAfter)

internal fun costOf(admitted: AdmittedRequest): Double =
    1 + (admitted.submission.prompt?.tokens ?: 0).toDouble() / TOKENS_PER_COST_UNIT

/** A prompt of this many tokens loads an engine as much as one more running request. */
private const val TOKENS_PER_COST_UNIT = 4_096
