package gypsumcart.node

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.Features
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.admission.Admission
import gypsumcart.core.admission.AdmissionEffect
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.admission.QuotaSharing
import gypsumcart.core.admission.ticket
import gypsumcart.core.directory.AdoptionEffect
import gypsumcart.core.directory.BackEndDirectory
import gypsumcart.core.directory.ConfigurationAdoption
import gypsumcart.core.directory.DirectoryEffect
import gypsumcart.core.dispatch.Dispatch
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.replicas.AutoscalerEvent
import gypsumcart.core.rollout.RolloutEvent
import gypsumcart.core.routing.QuarantineChange
import gypsumcart.core.routing.RetryLimits
import gypsumcart.core.routing.Routing
import gypsumcart.core.routing.RoutingEffect
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.routing.key
import gypsumcart.core.streams.StreamEvent
import gypsumcart.core.streams.takesUpStream
import gypsumcart.pipeline.Duty
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.Timers
import gypsumcart.pipeline.deciderDuty
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs the deciders that serve requests, and passes their effects on to rings, the edge and the platform. */
internal class RequestDuties(
    private val rings: Rings,
    private val edge: ClientEdge,
    private val loans: QuotaLoanLink,
    private val state: NodeState,
    private val metrics: Metrics,
    private val platform: Platform,
    private val timers: Timers,
    private val clock: MonotonicClock,
    bounds: Bounds,
    private val features: Features,
) {
    private val sharing = if (features.quotaLoans) QuotaSharing.Lending else QuotaSharing.Separate
    private val retryLimits = RetryLimits(bounds.retryRatio, bounds.retryExtra, bounds.retryWindowSeconds.seconds)

    val all: List<Duty> =
        listOf(
            deciderDuty(rings.admission, Admission(bounds.quotas, sharing), clock, ::execute),
            deciderDuty(rings.routing, Routing(retryLimits, features), clock, ::execute),
            deciderDuty(rings.dispatch, Dispatch(), clock, ::execute),
            deciderDuty(rings.configuration, ConfigurationAdoption(), clock, ::execute),
            deciderDuty(rings.backEnds, BackEndDirectory(EXPIRY_GRACE_PERIOD), clock, ::execute),
        )

    private fun execute(effect: AdmissionEffect) {
        when (effect) {
            is AdmissionEffect.Route ->
                if (effect.admitted.takesUpStream) {
                    rings.streams.put(StreamEvent.TakenUp(effect.admitted))
                } else {
                    rings.routing.put(RoutingEvent.RequestAdmitted(effect.admitted))
                }

            is AdmissionEffect.Refuse -> {
                log.info(
                    "event=refused request={} reason={} team={} tokens={} retry_after_ms={}",
                    effect.submission.requestId,
                    effect.outcome.reason.toLogValue(),
                    effect.team,
                    effect.submission.prompt?.let { it.tokens + it.maxNewTokens },
                    effect.outcome.retryAfter?.inWholeMilliseconds,
                )
                edge.deliver(effect.ticket, EdgeCommand.Conclude(effect.outcome))
            }

            is AdmissionEffect.AskLoan -> loans.ask(effect)

            is AdmissionEffect.AnswerLoan -> loans.answer(effect)

            is AdmissionEffect.CheckLoansAt ->
                timers.after((effect.time - clock.now()).coerceAtLeast(Duration.ZERO)) {
                    rings.admission.offer(AdmissionEvent.CheckLoans)
                }

            is AdmissionEffect.Report -> {
                rings.membership.offer(MembershipEvent.QuotaUseMeasured(effect.use))
                if (features.demandScaling) rings.membership.offer(MembershipEvent.ArrivalsMeasured(effect.arrivals))
            }
        }
    }

    private fun execute(effect: RoutingEffect) {
        when (effect) {
            is RoutingEffect.Assign -> {
                log.info(
                    "event=assigned request={} attempt={} back_end={} incarnation={} candidates={}",
                    effect.admitted.submission.requestId,
                    effect.attempt,
                    effect.backEnd.id,
                    effect.backEnd.incarnation,
                    effect.candidates,
                )
                rings.dispatch.put(DispatchEvent.Assigned(effect.admitted, effect.attempt, effect.backEnd))
            }

            is RoutingEffect.Conclude -> {
                logQuarantined(effect)
                settle(effect.admitted, effect.outcome)
                rings.dispatch.put(DispatchEvent.Concluded(effect.admitted.ticket))
                edge.deliver(effect.admitted.ticket, EdgeCommand.Conclude(effect.outcome))
            }

            is RoutingEffect.SweepAt ->
                timers.after((effect.time - clock.now()).coerceAtLeast(Duration.ZERO)) {
                    rings.routing.offer(RoutingEvent.Sweep)
                }

            is RoutingEffect.ReportLoad -> {
                state.callsInFlight = effect.calls
                state.waitingRequests = effect.waiting
                rings.membership.offer(
                    MembershipEvent.LoadMeasured(effect.load, effect.latency, effect.lostCapacity, effect.capacity),
                )
            }

            is RoutingEffect.ShareFindings ->
                rings.membership.offer(MembershipEvent.FindingsUpdated(effect.findings))

            // If the ring is full, the next report comes half a second later.
            is RoutingEffect.VersionsUsed -> rings.rollout?.offer(RolloutEvent.VersionsUsed(effect.uses))

            is RoutingEffect.LimitChanged -> recordLimit(effect)

            is RoutingEffect.BrittlenessChanged -> effect.record(state, metrics)

            is RoutingEffect.EndCall -> rings.dispatch.put(DispatchEvent.CallOverdue(effect.ticket, effect.instance))

            is RoutingEffect.StandingChanged -> effect.record(state)

            is RoutingEffect.QuarantineChanged -> recordQuarantine(effect.change)
        }
    }

    /** Has the charge returned of a request that did not run; if the ring of admission is full, it stays charged. */
    private fun settle(admitted: AdmittedRequest, outcome: Outcome) {
        when (outcome) {
            is Outcome.NotRun -> rings.admission.offer(AdmissionEvent.Settled(admitted.ticket))
            is Outcome.Failed -> Unit
        }
    }

    private fun logQuarantined(effect: RoutingEffect.Conclude) {
        val outcome = effect.outcome as? Outcome.NotRun ?: return
        val reason = outcome.reason as? RefusalReason.Quarantined ?: return
        log.info(
            "event=refused request={} reason={} part={} retry_after_ms={}",
            effect.admitted.submission.requestId,
            reason.toLogValue(),
            reason.part,
            outcome.retryAfter?.inWholeMilliseconds,
        )
    }

    private fun recordLimit(effect: RoutingEffect.LimitChanged) {
        if (effect.requestsPerSecond == null) {
            state.limitedBackEnds -= effect.instance
        } else {
            state.limitedBackEnds += effect.instance
        }
        log.info(
            "event=limit_changed back_end={} incarnation={} limit={}",
            effect.instance.id,
            effect.instance.incarnation,
            effect.requestsPerSecond ?: "none",
        )
    }

    private fun recordQuarantine(change: QuarantineChange) {
        when (change) {
            is QuarantineChange.Started -> {
                state.quarantinedParts += change.part
                log.warn(
                    "event=quarantine_started part={} crashes={}",
                    change.part,
                    change.crashes.joinToString(",") { "${it.id}/${it.incarnation}" },
                )
            }

            is QuarantineChange.Ended -> {
                state.quarantinedParts -= change.part
                log.warn("event=quarantine_ended part={} cause={}", change.part, change.cause.name.lowercase())
            }
        }
    }

    private fun execute(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Call -> edge.deliver(effect.admitted.ticket, EdgeCommand.Call(effect))

            is DispatchEffect.Conclude -> {
                settle(effect.admitted, effect.outcome)
                edge.deliver(effect.admitted.ticket, EdgeCommand.Conclude(effect.outcome))
            }

            is DispatchEffect.Abort -> edge.abort(effect.ticket)

            is DispatchEffect.EndCall -> edge.endUnstartedCall(effect.ticket)

            // If the ring of admission is full, requests are accepted as if nothing were known of earlier ones.
            is DispatchEffect.ReportDurations ->
                rings.admission.offer(AdmissionEvent.DurationsMeasured(effect.durations))

            is DispatchEffect.Release ->
                rings.routing.reply(
                    RoutingEvent.CallReleased(
                        effect.ticket,
                        effect.instance,
                        effect.health,
                        effect.isError,
                        effect.room,
                    ),
                )

            is DispatchEffect.Reassign ->
                rings.routing.reply(
                    RoutingEvent.ReassignmentRequested(
                        effect.admitted,
                        effect.attempt,
                        effect.excluded,
                        effect.fallbackOutcome,
                    ),
                )

            is DispatchEffect.Retry ->
                rings.routing.reply(
                    RoutingEvent.RetryRequested(
                        effect.admitted,
                        effect.attempt,
                        effect.excluded,
                        effect.fallbackOutcome,
                    ),
                )
        }
    }

    private fun execute(effect: AdoptionEffect) {
        when (effect) {
            is AdoptionEffect.Adopt -> {
                val configuration = effect.configuration
                log.info(
                    "event=configuration_adopted version={} routes={} teams={}",
                    configuration.version,
                    configuration.routes.size,
                    configuration.teams.size,
                )
                state.configuration = configuration
                rings.admission.put(AdmissionEvent.Configured(configuration))
                rings.orders.put(AutoscalerEvent.Configured(configuration))
                rings.rollout?.put(RolloutEvent.ServicesConfigured(configuration.services.keys))
            }

            is AdoptionEffect.Ignore ->
                log.info("event=configuration_ignored version={} in_force={}", effect.version, effect.inForce)
        }
    }

    private fun execute(effect: DirectoryEffect) {
        when (effect) {
            is DirectoryEffect.Publish -> {
                state.backEndsListed = true
                state.backEnds = effect.backEnds.associateBy { it.key }
                state.drainingBackEnds = effect.backEnds.count { it.draining }
                val listed = effect.backEnds.mapTo(HashSet()) { it.key }
                state.limitedBackEnds = state.limitedBackEnds intersect listed
                state.brittleBackEnds = state.brittleBackEnds.filterKeys { it in listed }
                state.ejectedBackEnds = state.ejectedBackEnds intersect listed
                state.activeBackEnds = effect.backEnds.size - state.drainingBackEnds
                log.info(
                    "event=back_ends_listed count={} leaving={}",
                    effect.backEnds.size,
                    state.drainingBackEnds,
                )
                rings.streams.put(StreamEvent.BackEndsListed(effect.backEnds))
                rings.routing.put(RoutingEvent.BackEndsListed(effect.backEnds))
                rings.orders.put(AutoscalerEvent.BackEndsListed(effect.backEnds))
                rings.rollout?.put(RolloutEvent.BackEndsListed(effect.backEnds))
                platform.closeIdleConnectionsExcept(effect.backEnds.mapTo(HashSet()) { it.peerId })
            }
        }
    }

    private companion object {
        private val log = LoggerFactory.getLogger(RequestDuties::class.java)

        /** Live back ends reappear in the registry within two seconds after it becomes available again. */
        val EXPIRY_GRACE_PERIOD = 2.2.seconds
    }
}
