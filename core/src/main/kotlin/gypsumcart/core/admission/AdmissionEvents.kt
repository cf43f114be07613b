package gypsumcart.core.admission

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.Configuration
import gypsumcart.core.LoanId
import gypsumcart.core.LoanRequestId
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RequestDurations
import gypsumcart.core.RouteKey
import gypsumcart.core.ServiceName
import gypsumcart.core.Submission
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket
import gypsumcart.core.replicas.Arrivals

/** Represents an input of the [Admission] decider. */
public sealed class AdmissionEvent {
    /** A configuration came into force. */
    public data class Configured(public val configuration: Configuration) : AdmissionEvent()

    /** A client submitted a request. */
    public data class Submitted(public val submission: Submission) : AdmissionEvent()

    /** The state of the other nodes, among which quotas are divided, was updated to [peers]. */
    public data class PeersUpdated(public val peers: QuotaPeers) : AdmissionEvent()

    /** A report with [use], the use of quotas through this node, was written where the other nodes can read it. */
    public data class UsePublished(public val use: Map<TeamName, QuotaUse>) : AdmissionEvent()

    /** The node shuts down; its calls end at [callsEndAt] at the latest. */
    public data class Draining(public val callsEndAt: MonotonicTime) : AdmissionEvent()

    /** Recent requests through this node took the times in [durations], by route. */
    public data class DurationsMeasured(public val durations: Map<RouteKey, RequestDurations>) : AdmissionEvent()

    /** The admitted request with [ticket] has ended, and it is proven that it neither ran nor will run. */
    public data class Settled(public val ticket: Ticket) : AdmissionEvent()

    /**
     * Another node asks for a loan of the quota of [team].
     *
     * @property needed the least amount that is of use to it, in the unit of the quota
     * @property wanted the amount that it could spend, at least [needed]
     */
    public data class LoanAsked(
        public val request: LoanRequestId,
        public val team: TeamName,
        public val needed: Double,
        public val wanted: Double,
    ) : AdmissionEvent()

    /** The request of this node for [loan] ended with [answer]. */
    public data class LoanAnswered(
        public val loan: LoanId,
        public val team: TeamName,
        public val answer: LoanAnswer,
    ) : AdmissionEvent()

    /** The time given by [AdmissionEffect.CheckLoansAt], at which requests have waited too long for a loan. */
    public data object CheckLoans : AdmissionEvent()

    /** A timer tick, on which the use of quotas through this node is reported. */
    public data object ReportDue : AdmissionEvent()
}

/** Represents an output of the [Admission] decider. */
public sealed class AdmissionEffect {
    /** Passes an admitted request on to be routed to a back end. */
    public data class Route(public val admitted: AdmittedRequest) : AdmissionEffect()

    /** Responds to the client that its request was refused and will not run. */
    public data class Refuse(
        public val submission: Submission,
        public val team: TeamName?,
        public val outcome: Outcome.NotRun,
    ) : AdmissionEffect()

    /**
     * Asks [lender] for a loan of the quota of [team]; its end is reported by [AdmissionEvent.LoanAnswered].
     *
     * @property needed the least amount that is of use, in the unit of the quota
     * @property wanted the amount that could be spent, at least [needed]
     */
    public data class AskLoan(
        public val loan: LoanId,
        public val lender: Lender,
        public val team: TeamName,
        public val needed: Double,
        public val wanted: Double,
    ) : AdmissionEffect()

    /** Answers another node's [request] for a loan of the quota of [team]. */
    public data class AnswerLoan(
        public val request: LoanRequestId,
        public val team: TeamName,
        public val answer: LoanAnswer,
    ) : AdmissionEffect()

    /** Requests an [AdmissionEvent.CheckLoans] at [time], when a request will have waited too long for a loan. */
    public data class CheckLoansAt(public val time: MonotonicTime) : AdmissionEffect()

    /** Reports the use of quotas through this node, by team, and what arrives within them for each service. */
    public data class Report(
        public val use: Map<TeamName, QuotaUse>,
        public val arrivals: Map<ServiceName, Arrivals> = emptyMap(),
    ) : AdmissionEffect()
}

/** Identifies the refused request within the process. */
public val AdmissionEffect.Refuse.ticket: Ticket get() = submission.ticket
