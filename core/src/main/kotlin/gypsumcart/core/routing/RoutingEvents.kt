package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.Outcome
import gypsumcart.core.ServiceName
import gypsumcart.core.Ticket
import gypsumcart.core.capacity.CapacityReport
import gypsumcart.core.capacity.StandingChange
import gypsumcart.core.rollout.VersionRule
import gypsumcart.core.rollout.VersionUse

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

    /**
     * The call of an attempt was not sent, so that the attempt needs another back end, one that is not in [excluded].
     *
     * @property fallbackOutcome the outcome of the request if there is none
     */
    public data class ReassignmentRequested(
        public val admitted: AdmittedRequest,
        public val attempt: AttemptNumber,
        public val excluded: Set<InstanceKey>,
        public val fallbackOutcome: Outcome,
    ) : RoutingEvent()

    /**
     * The call to [instance] for the request with [ticket] ended.
     *
     * @property isError whether the response states a failure of the back end
     * @property room what the end shows of the room at the back end
     */
    public data class CallReleased(
        public val ticket: Ticket,
        public val instance: InstanceKey,
        public val health: HealthSignal,
        public val isError: Boolean = false,
        public val room: RoomSignal = RoomSignal.FREED,
    ) : RoutingEvent()

    /**
     * The first piece of a response to the request with [ticket] arrived from [instance].
     *
     * @property fraction the time since the request's arrival as a fraction of its latency target, or null if an
     *   earlier call for it failed
     */
    public data class FirstPieceReceived(
        public val ticket: Ticket,
        public val service: ServiceName,
        public val instance: InstanceKey,
        public val fraction: Double?,
    ) : RoutingEvent()

    /** The client of the request with [ticket] disconnected, so that the request no longer waits for a back end. */
    public data class RequestCancelled(public val ticket: Ticket) : RoutingEvent()

    /**
     * The number of live nodes, including this one, that share the retry budget and the batch slots was updated.
     *
     * @property rank the number of live nodes whose id is lower than that of this one
     */
    public data class NodeCountUpdated(public val nodeCount: Int, public val rank: Int = 0) : RoutingEvent()

    /** The load of each service on all nodes was measured from their reports. */
    public data class FleetLoadMeasured(public val loads: Map<ServiceName, FleetLoad>) : RoutingEvent()

    /** Another node reported [findings], whose ages count from [asOf]. */
    public data class FindingsReceived(
        public val findings: RoutingFindings,
        public val asOf: MonotonicTime,
    ) : RoutingEvent()

    /** Another [node] counted its calls up to [asOf] as [report] says. */
    public data class CapacityReported(
        public val node: NodeId,
        public val report: CapacityReport,
        public val asOf: MonotonicTime,
    ) : RoutingEvent()

    /** A response of [instance] to this node stated [statement]. */
    public data class LimitStated(
        public val instance: InstanceKey,
        public val statement: LimitStatement,
    ) : RoutingEvent()

    /** A response of [instance] to this node stated [statement]. */
    public data class BrittlenessStated(
        public val instance: InstanceKey,
        public val statement: BrittlenessStatement,
    ) : RoutingEvent()

    /** A response of [instance] to this node asked it for a pause, which ends at [until]. */
    public data class PauseStated(
        public val instance: InstanceKey,
        public val until: MonotonicTime,
    ) : RoutingEvent()

    /** The rules by which requests are divided between versions of their service are now [rules]. */
    public data class VersionsRuled(
        public val rules: List<VersionRule>,
        public val revision: Long,
    ) : RoutingEvent()

    /** The time given by [RoutingEffect.SweepAt], at which requests that have waited too long are ended. */
    public data object Sweep : RoutingEvent()

    /** A timer tick, on which this node's load is reported. */
    public data object ReportDue : RoutingEvent()

    /** The process is about to end, so that requests wait for back ends in vain. */
    public data object Aborted : RoutingEvent()
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
     * @property lostCapacity the capacity that limits of back ends take away, as a number of back ends
     * @property calls the number of calls in flight, which count against the capacity that this node may use
     * @property capacity what this node tells the others of its calls to each back end
     * @property waiting the number of requests that wait for a back end
     */
    public data class ReportLoad(
        public val load: Map<ServiceName, Double>,
        public val latency: Map<ServiceName, Double>,
        public val lostCapacity: Map<ServiceName, Double>,
        public val calls: Int,
        public val capacity: CapacityReport = CapacityReport.NONE,
        public val waiting: Int = 0,
    ) : RoutingEffect()

    /** Shares what this node has found out about back ends with the other nodes. */
    public data class ShareFindings(public val findings: RoutingFindings) : RoutingEffect()

    /** Reports what was done by the rules that divide requests between versions. */
    public data class VersionsUsed(public val uses: List<VersionUse>) : RoutingEffect()

    /** Reports that [instance] limits its requests to [requestsPerSecond], or no longer does if null. */
    public data class LimitChanged(
        public val instance: InstanceKey,
        public val requestsPerSecond: Double?,
    ) : RoutingEffect()

    /** Reports what became known of the brittle [instance] of [service]. */
    public data class BrittlenessChanged(
        public val service: ServiceName,
        public val instance: InstanceKey,
        public val change: BrittlenessChange,
    ) : RoutingEffect()

    /** Ends the call for the request with [ticket] to [instance], which responds to nobody, if it may be repeated. */
    public data class EndCall(public val ticket: Ticket, public val instance: InstanceKey) : RoutingEffect()

    /** Reports that [instance] was ejected or has returned. */
    public data class StandingChanged(
        public val instance: InstanceKey,
        public val change: StandingChange,
    ) : RoutingEffect()

    /** Reports that a prompt part was quarantined, or no longer is. */
    public data class QuarantineChanged(public val change: QuarantineChange) : RoutingEffect()
}
