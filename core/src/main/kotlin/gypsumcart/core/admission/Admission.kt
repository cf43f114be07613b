package gypsumcart.core.admission

import gypsumcart.core.Admitted
import gypsumcart.core.Configuration
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.Route
import gypsumcart.core.ServiceName
import gypsumcart.core.Submission
import gypsumcart.core.Team
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tells the admission filter what happened. */
public sealed class AdmissionEvent {
    /** A configuration is in force from now on. */
    public data class Configured(public val configuration: Configuration) : AdmissionEvent()

    /** A client sent a request. */
    public data class Submitted(public val submission: Submission) : AdmissionEvent()

    /** A quota is divided among [peers] and this node from now on. */
    public data class PeersHeard(public val peers: QuotaPeers) : AdmissionEvent()

    /** The other nodes can read that teams use so much through this one. */
    public data class PeersTold(public val use: Map<TeamName, QuotaUse>) : AdmissionEvent()

    /** The time came to say what teams use through this node. */
    public data object ReportDue : AdmissionEvent()
}

/** Says what the admission filter wants done. */
public sealed class AdmissionEffect {
    /** Finds a back end for an admitted request. */
    public data class Route(public val admitted: Admitted) : AdmissionEffect()

    /** Tells the client that its request won't run. */
    public data class Refuse(
        public val submission: Submission,
        public val team: TeamName?,
        public val outcome: Outcome.NotRun,
    ) : AdmissionEffect()

    /** Says what teams use through this node. */
    public data class Report(public val use: Map<TeamName, QuotaUse>) : AdmissionEffect()
}

/**
 * Decides which requests go on to a back end, and to which service.
 *
 * @param quotaBounds by which teams' quotas are counted
 */
public class Admission(quotaBounds: QuotaBounds) : Decider<AdmissionEvent, AdmissionEffect> {
    private val quotas = Quotas(quotaBounds)
    private var configuration: Configuration? = null

    override fun decide(event: AdmissionEvent, now: MonotonicTime): List<AdmissionEffect> =
        when (event) {
            is AdmissionEvent.Configured -> configure(event.configuration, now)

            is AdmissionEvent.Submitted -> listOf(submit(event.submission, now))

            is AdmissionEvent.PeersHeard -> {
                quotas.hearPeers(event.peers, now)
                emptyList()
            }

            is AdmissionEvent.PeersTold -> {
                quotas.noteTold(event.use)
                emptyList()
            }

            AdmissionEvent.ReportDue -> listOf(AdmissionEffect.Report(quotas.use(now)))
        }

    private fun configure(configuration: Configuration, now: MonotonicTime): List<AdmissionEffect> {
        this.configuration = configuration
        quotas.configure(configuration.teams, now)
        return emptyList()
    }

    private fun submit(submission: Submission, now: MonotonicTime): AdmissionEffect {
        val configuration =
            this.configuration ?: return refuse(submission, RefusalReason.NoConfiguration, CONFIGURATION_WAIT)
        val route =
            configuration.routeOrNull(submission.host, submission.path)
                ?: return refuse(submission, RefusalReason.NoRoute)
        val team = submission.key?.let(configuration::teamOrNull)
        if (team == null && configuration.teams.isNotEmpty() && !route.isPublic) {
            return refuse(submission, RefusalReason.UnknownKey)
        }
        if (submission.request == null) return refuse(submission, RefusalReason.NoRequestId)
        return spend(submission, route, team, now)
    }

    private fun spend(submission: Submission, route: Route, team: Team?, now: MonotonicTime): AdmissionEffect {
        val quota = team?.quota
        if (quota != null) {
            val wait = quotas.spendOrWait(team.name, quota.unit.costOf(submission.prompt), now)
            if (wait != null) return refuse(submission, RefusalReason.QuotaExceeded, wait, team)
        }
        return AdmissionEffect.Route(admit(submission, route, team))
    }

    private fun admit(submission: Submission, route: Route, team: Team?): Admitted {
        val timeLeft = submission.timeLeft ?: route.timeout
        return Admitted(
            submission = submission,
            route = route,
            service = serviceOf(submission, route),
            team = team?.name,
            rank = team?.rank ?: route.rank,
            due = submission.arrivedAt + minOf(timeLeft, route.timeout),
        )
    }

    /** Returns the service that the request's id falls to, so that equal shares of ids go by the weights. */
    private fun serviceOf(submission: Submission, route: Route): ServiceName {
        val total = route.services.sumOf { it.weight }.coerceAtLeast(1)
        var point = Math.floorMod(submission.request.hashCode() * HASH_SPREAD, total)
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
        /** A node reads its first configuration within a second of its start, if the store answers. */
        val CONFIGURATION_WAIT: Duration = 1.seconds

        /** An odd multiplier that spreads hash codes of similar ids (2 to the 32nd over the golden ratio). */
        const val HASH_SPREAD = -0x61c88647
    }
}

/** Returns the request's name, for the log. */
public val AdmissionEffect.Refuse.ticket: Ticket get() = submission.ticket
