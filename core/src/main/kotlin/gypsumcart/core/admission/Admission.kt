package gypsumcart.core.admission

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.Configuration
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.Route
import gypsumcart.core.ServiceName
import gypsumcart.core.Submission
import gypsumcart.core.Team
import gypsumcart.core.replicas.ArrivalMeter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether a request is admitted, and to which service it goes.
 *
 * @param quotaBounds how the quotas of teams are counted, and by how much they may be exceeded
 * @param sharing what nodes do for each other within the quotas
 */
public class Admission(quotaBounds: QuotaBounds, private val sharing: QuotaSharing = QuotaSharing.Separate) :
    Decider<AdmissionEvent, AdmissionEffect> {
    private val quotas = Quotas(quotaBounds, sharing)
    private val arrivals = ArrivalMeter()
    private val loans = LoanQueue(quotas)
    private var configuration: Configuration? = null

    /** Is null unless the node shuts down. */
    private var drainGate: DrainGate? = null

    override fun decide(event: AdmissionEvent, now: MonotonicTime): List<AdmissionEffect> {
        val effects = handle(event, now)
        // What a team asks beyond its quota is not owed, so no back ends are ordered for it.
        for (effect in effects) {
            if (effect is AdmissionEffect.Route) arrivals.add(effect.admitted.submission, effect.admitted.service, now)
        }
        return effects
    }

    private fun handle(event: AdmissionEvent, now: MonotonicTime): List<AdmissionEffect> =
        when (event) {
            is AdmissionEvent.Configured -> configure(event.configuration, now)

            is AdmissionEvent.Submitted -> submit(event.submission, now)

            is AdmissionEvent.PeersUpdated -> {
                quotas.updatePeers(event.peers, now)
                emptyList()
            }

            is AdmissionEvent.UsePublished -> {
                quotas.markPublished(event.use)
                emptyList()
            }

            is AdmissionEvent.Draining -> {
                drainGate = DrainGate(event.callsEndAt)
                emptyList()
            }

            is AdmissionEvent.DurationsMeasured -> {
                drainGate?.durations = event.durations
                emptyList()
            }

            is AdmissionEvent.Settled -> {
                loans.cancel(event.ticket)
                quotas.settle(event.ticket, now)
                emptyList()
            }

            is AdmissionEvent.LoanAsked -> {
                val answer = quotas.lend(event.team, event.needed, event.wanted, now)
                listOf(AdmissionEffect.AnswerLoan(event.request, event.team, answer))
            }

            is AdmissionEvent.LoanAnswered -> loans.end(event.loan, event.team, event.answer, now)

            AdmissionEvent.CheckLoans -> loans.check(now)

            // Makes up for a check that found the ring full.
            AdmissionEvent.ReportDue ->
                loans.check(now) +
                    listOf(AdmissionEffect.Report(quotas.use(now), arrivals.perSecond(now)))
        }

    private fun configure(configuration: Configuration, now: MonotonicTime): List<AdmissionEffect> {
        this.configuration = configuration
        quotas.configure(configuration.teams, now)
        return emptyList()
    }

    private fun submit(submission: Submission, now: MonotonicTime): List<AdmissionEffect> {
        val configuration = this.configuration ?: return listOf(refuseUnconfigured(submission))
        val route =
            configuration.routeOrNull(submission.host, submission.path)
                ?: return listOf(refuse(submission, RefusalReason.NoRoute))
        val team = submission.key?.let(configuration::teamOrNull)
        val refusal =
            when {
                team == null && configuration.teams.isNotEmpty() && !route.isPublic ->
                    refuse(submission, RefusalReason.UnknownKey)

                submission.requestId == null -> refuse(submission, RefusalReason.NoRequestId)

                drainGate?.accepts(route, deadlineOf(submission, route), now) == false ->
                    AdmissionEffect.Refuse(submission, team?.name, Outcome.NotRun.STOPPING)

                else -> return chargeQuota(submission, route, team, now)
            }
        return listOf(refusal)
    }

    private fun refuseUnconfigured(submission: Submission): AdmissionEffect =
        if (drainGate == null) {
            refuse(submission, RefusalReason.NoConfiguration, CONFIGURATION_RETRY_AFTER)
        } else {
            AdmissionEffect.Refuse(submission, null, Outcome.NotRun.STOPPING)
        }

    private fun chargeQuota(
        submission: Submission,
        route: Route,
        team: Team?,
        now: MonotonicTime,
    ): List<AdmissionEffect> {
        val admitted = admit(submission, route, team)
        val quota = team?.quota ?: return listOf(AdmissionEffect.Route(admitted))
        val cost = quota.unit.costOf(submission.prompt)
        return when (sharing) {
            QuotaSharing.Separate -> listOf(chargeOwnShare(admitted, team, cost, now))
            QuotaSharing.Lending -> loans.submit(admitted, team.name, cost, now)
        }
    }

    private fun chargeOwnShare(
        admitted: AdmittedRequest,
        team: Team,
        cost: Double,
        now: MonotonicTime,
    ): AdmissionEffect {
        val retryAfter = quotas.chargeOrRetryAfter(team.name, cost, now) ?: return AdmissionEffect.Route(admitted)
        return refuse(admitted.submission, RefusalReason.QuotaExceeded, retryAfter, team)
    }

    private fun admit(submission: Submission, route: Route, team: Team?): AdmittedRequest =
        AdmittedRequest(
            submission = submission,
            route = route,
            service = serviceOf(submission, route),
            team = team?.name,
            priority = team?.priority ?: route.priority,
            deadline = deadlineOf(submission, route),
        )

    private fun deadlineOf(submission: Submission, route: Route): MonotonicTime =
        submission.arrivedAt + minOf(submission.remainingTime ?: route.timeout, route.timeout)

    /**
     * Returns the service for the request, chosen by a hash of its id.
     *
     * A request for the rest of a stream goes to the service that the request went to with which the stream began.
     *
     * The services of the route receive requests in proportion to their weights.
     */
    private fun serviceOf(submission: Submission, route: Route): ServiceName {
        val total = route.services.sumOf { it.weight }.coerceAtLeast(1)
        val id = submission.takeUp?.beganAs ?: submission.requestId
        var point = Math.floorMod(id.hashCode() * HASH_MULTIPLIER, total)
        for (candidate in route.services) {
            point -= candidate.weight
            if (point < 0) return candidate.service
        }
        return route.services.last().service
    }

    private fun refuse(
        submission: Submission,
        reason: RefusalReason,
        retryAfter: Duration? = null,
        team: Team? = null,
    ): AdmissionEffect = AdmissionEffect.Refuse(submission, team?.name, Outcome.NotRun(reason, retryAfter))

    private companion object {
        /** If the store answers, a node reads its first configuration within a second of its start. */
        val CONFIGURATION_RETRY_AFTER: Duration = 1.seconds

        /** An odd multiplier that spreads the hash codes of similar ids: 2^32 divided by the golden ratio. */
        const val HASH_MULTIPLIER = -0x61c88647
    }
}
