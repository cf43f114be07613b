package gypsumcart.core.dispatch

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.RequestDurations
import gypsumcart.core.RouteKey
import gypsumcart.core.StreamOrigin
import gypsumcart.core.Ticket
import gypsumcart.core.routing.HealthSignal
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.RoomSignal
import gypsumcart.core.routing.key
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Represents an input of the [Dispatch] decider. */
public sealed class DispatchEvent {
    /** Routing assigned a call to [backEnd]. */
    public data class Assigned(
        public val admitted: AdmittedRequest,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
    ) : DispatchEvent()

    /** A call ended with [result]. */
    public data class CallEnded(
        public val ticket: Ticket,
        public val attempt: AttemptNumber,
        public val result: CallResult,
    ) : DispatchEvent()

    /** The call to [instance] waits for a back end that responds to nobody. */
    public data class CallOverdue(public val ticket: Ticket, public val instance: InstanceKey) : DispatchEvent()

    /** Routing ended the request without a further call. */
    public data class Concluded(public val ticket: Ticket) : DispatchEvent()

    /** The node shuts down, so that admission needs to know how long requests take. */
    public data object Draining : DispatchEvent()

    /** The process is about to end: calls in flight are ended and no others made. */
    public data object Aborted : DispatchEvent()
}

/** Describes the result of one call to a back end. */
public sealed class CallResult {
    /** The client received the complete response of the back end. */
    public data class Answered(public val status: Int) : CallResult()

    /** The call failed; [progress] is the part of the response that the client has received. */
    public data class Failed(public val failure: CallFailure, public val progress: DeliveryProgress) : CallResult()

    /** The client disconnected before it received the complete response. */
    public data object ClientGone : CallResult()
}

/** Whether the response states a failure of the back end. */
private val CallResult.isError: Boolean
    get() =
        when (this) {
            is CallResult.Answered -> status >= FIRST_SERVER_ERROR
            is CallResult.Failed -> failure is CallFailure.ServerError
            CallResult.ClientGone -> false
        }

private const val FIRST_SERVER_ERROR = 500

/** What the result shows of the room at the back end. */
private val CallResult.room: RoomSignal
    get() =
        when (this) {
            is CallResult.Answered -> RoomSignal.FREED
            CallResult.ClientGone -> RoomSignal.OCCUPIED
            is CallResult.Failed ->
                when (val f = failure) {
                    is CallFailure.Declined -> if (f.status == UNAVAILABLE) RoomSignal.REJECTED else RoomSignal.FREED
                    is CallFailure.UnattributedRefusal ->
                        if (f.status == UNAVAILABLE) RoomSignal.REJECTED else RoomSignal.FREED
                    CallFailure.TimedOut, CallFailure.Aborted, CallFailure.InvalidResponse -> RoomSignal.OCCUPIED
                    CallFailure.CutOff -> RoomSignal.OCCUPIED
                    CallFailure.NoPath -> RoomSignal.FREED
                    CallFailure.ConnectFailed, CallFailure.Withheld, CallFailure.WrongInstance -> RoomSignal.FREED
                    CallFailure.Truncated -> RoomSignal.FREED
                    is CallFailure.NotResumed, is CallFailure.ServerError -> RoomSignal.FREED
                }
        }

/** The status with which a back end turns away a request for which it has no room. */
private const val UNAVAILABLE = 503

/** Describes how much of a response has been delivered to the client. */
public sealed class DeliveryProgress {
    /** Nothing was delivered. */
    public data object None : DeliveryProgress()

    /** The head was delivered, and the events up to the one with [lastEventId], which is null if none had an id. */
    public data class Started(public val lastEventId: String?) : DeliveryProgress()
}

/** Represents an output of the [Dispatch] decider. */
public sealed class DispatchEffect {
    /**
     * Calls [backEnd].
     *
     * @property resumeAfter the id of the event after which to resume the stream, or null to start from the beginning
     */
    public data class Call(
        public val admitted: AdmittedRequest,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
        public val resumeAfter: String?,
    ) : DispatchEffect()

    /** Ends a request without a further call and passes [outcome] to the client. */
    public data class Conclude(public val admitted: AdmittedRequest, public val outcome: Outcome) : DispatchEffect()

    /** Ends the call in flight for the request with [ticket]; its end is reported like that of any other call. */
    public data class Abort(public val ticket: Ticket) : DispatchEffect()

    /** Ends the call in flight for the request with [ticket], as timed out, if its response has not started. */
    public data class EndCall(public val ticket: Ticket) : DispatchEffect()

    /** Reports the [durations] of recent requests by route, those in progress included. */
    public data class ReportDurations(public val durations: Map<RouteKey, RequestDurations>) : DispatchEffect()

    /**
     * Releases the load that routing counts for a call, and reports what the call showed of the back end's health.
     *
     * @property isError whether the response states a failure of the back end
     * @property room what the end shows of the room at the back end
     */
    public data class Release(
        public val ticket: Ticket,
        public val instance: InstanceKey,
        public val health: HealthSignal,
        public val isError: Boolean = false,
        public val room: RoomSignal = RoomSignal.FREED,
    ) : DispatchEffect()

    /**
     * Requests a retry on an instance that is not in [excluded].
     *
     * @property fallbackOutcome the outcome of the request if routing cannot make another call
     */
    public data class Retry(
        public val admitted: AdmittedRequest,
        public val attempt: AttemptNumber,
        public val excluded: Set<InstanceKey>,
        public val fallbackOutcome: Outcome,
    ) : DispatchEffect()

    /**
     * Requests another back end for an attempt whose call was not sent, one that is not in [excluded].
     *
     * @property fallbackOutcome the outcome of the request if there is none
     */
    public data class Reassign(
        public val admitted: AdmittedRequest,
        public val attempt: AttemptNumber,
        public val excluded: Set<InstanceKey>,
        public val fallbackOutcome: Outcome,
    ) : DispatchEffect()
}

/** Decides after each call whether its request is complete, is retried or fails. */
public class Dispatch : Decider<DispatchEvent, DispatchEffect> {
    private class RequestState(var admitted: AdmittedRequest) {
        val calledInstances = HashSet<InstanceKey>()
        var attempt = AttemptNumber.FIRST

        /** The back end of the in-flight call, or null if there is no call in flight. */
        var backEnd: BackEnd? = null

        /** The number of calls on which a back end may have run the request. */
        var possibleRuns = 0

        /** The number of back ends that closed the connection before they started to respond. */
        var unstartedCuts = 0
        var lastEventId: String? = null

        /** Records that events of [writer] have reached the client, so that only its version may write further ones. */
        fun recordEvents(lastId: String?, writer: BackEnd) {
            lastEventId = lastId
            if (admitted.origin == StreamOrigin.Unwritten) {
                admitted = admitted.copy(origin = StreamOrigin.WrittenBy(writer.version))
            }
        }
    }

    private val requests = HashMap<Ticket, RequestState>()
    private val durations = DurationWindow()

    /** Whether the process is about to end. */
    private var aborted = false

    override fun decide(event: DispatchEvent, now: MonotonicTime): List<DispatchEffect> =
        when (event) {
            is DispatchEvent.Assigned -> startCall(event, now)

            is DispatchEvent.CallEnded -> endCall(event, now)

            is DispatchEvent.CallOverdue -> endOverdue(event)

            is DispatchEvent.Concluded -> {
                requests[event.ticket]?.let { end(it, now) }
                emptyList()
            }

            DispatchEvent.Draining -> listOf(reportDurations(now))

            DispatchEvent.Aborted -> abortCalls()
        }

    private fun reportDurations(now: MonotonicTime): DispatchEffect {
        val measured = HashMap(durations.durations(now))
        for (request in requests.values) {
            val elapsed = RequestDurations(0, now - request.admitted.submission.arrivedAt)
            measured.merge(request.admitted.route.key, elapsed, RequestDurations::plus)
        }
        return DispatchEffect.ReportDurations(measured)
    }

    private fun abortCalls(): List<DispatchEffect> {
        aborted = true
        return requests.values.filter { it.backEnd != null }.map { DispatchEffect.Abort(it.admitted.ticket) }
    }

    private fun startCall(event: DispatchEvent.Assigned, now: MonotonicTime): List<DispatchEffect> {
        val request = requests.getOrPut(event.admitted.ticket) { RequestState(event.admitted) }
        if (aborted) {
            end(request, now)
            val outcome =
                if (request.possibleRuns > 0) Outcome.Failed(CallFailure.Aborted) else Outcome.NotRun.STOPPING
            return listOf(
                DispatchEffect.Release(event.admitted.ticket, event.backEnd.key, HealthSignal.UNKNOWN),
                DispatchEffect.Conclude(request.admitted, outcome),
            )
        }
        request.attempt = event.attempt
        request.backEnd = event.backEnd
        request.calledInstances += event.backEnd.key
        return listOf(DispatchEffect.Call(request.admitted, request.attempt, event.backEnd, request.lastEventId))
    }

    private fun endCall(event: DispatchEvent.CallEnded, now: MonotonicTime): List<DispatchEffect> {
        val request = requests[event.ticket] ?: return emptyList()
        if (request.attempt != event.attempt) return emptyList()
        val backEnd = request.backEnd ?: return emptyList()
        request.backEnd = null
        val health = healthSignalOf(event.result)
        val release = DispatchEffect.Release(event.ticket, backEnd.key, health, event.result.isError, event.result.room)
        return listOf(release) + afterCall(request, backEnd, event.result, now)
    }

    private fun endOverdue(event: DispatchEvent.CallOverdue): List<DispatchEffect> {
        val request = requests[event.ticket] ?: return emptyList()
        val timedOut = CallResult.Failed(CallFailure.TimedOut, DeliveryProgress.None)
        val isCurrent = request.backEnd?.key == event.instance && request.lastEventId == null
        val endsWell = isCurrent && mayRetry(request, timedOut, runs = request.possibleRuns + 1)
        return if (endsWell) listOf(DispatchEffect.EndCall(event.ticket)) else emptyList()
    }

    private fun afterCall(
        request: RequestState,
        backEnd: BackEnd,
        result: CallResult,
        now: MonotonicTime,
    ): List<DispatchEffect> =
        when (result) {
            is CallResult.Answered, CallResult.ClientGone -> {
                end(request, now)
                emptyList()
            }

            is CallResult.Failed ->
                if (result.failure == CallFailure.Withheld) {
                    listOf(reassign(request, result))
                } else {
                    listOf(retryOrConclude(request, backEnd, result, now))
                }
        }

    private fun end(request: RequestState, now: MonotonicTime) {
        requests -= request.admitted.ticket
        durations.add(request.admitted.route.key, now - request.admitted.submission.arrivedAt, now)
    }

    /** A call that was not sent counts neither as an attempt nor against the retry budget. */
    private fun reassign(request: RequestState, result: CallResult.Failed): DispatchEffect =
        DispatchEffect.Reassign(
            request.admitted,
            request.attempt,
            request.calledInstances.toSet(),
            outcomeOf(request, result),
        )

    private fun retryOrConclude(
        request: RequestState,
        backEnd: BackEnd,
        result: CallResult.Failed,
        now: MonotonicTime,
    ): DispatchEffect {
        val outcome = outcomeOf(request, result)
        if (result.failure.mayHaveRun) request.possibleRuns++
        if (result.failure == CallFailure.Truncated && result.progress == DeliveryProgress.None) request.unstartedCuts++
        if (aborted || !mayRetry(request, result) || now >= request.admitted.deadline) {
            end(request, now)
            return DispatchEffect.Conclude(request.admitted, outcome)
        }
        (result.progress as? DeliveryProgress.Started)?.let { request.recordEvents(it.lastEventId, backEnd) }
        request.attempt = request.attempt.next()
        return DispatchEffect.Retry(request.admitted, request.attempt, request.calledInstances.toSet(), outcome)
    }

    private fun outcomeOf(request: RequestState, result: CallResult.Failed): Outcome =
        when {
            result.failure.mayHaveRun || request.possibleRuns > 0 -> Outcome.Failed(result.failure)
            result.failure == CallFailure.NoPath -> Outcome.NotRun(RefusalReason.NoBackEnd, NO_PATH_RETRY_AFTER)
            else -> Outcome.NotRun(RefusalReason.Declined, DECLINED_RETRY_AFTER)
        }

    /** Returns whether a request may be retried of which [runs] calls may have run. */
    private fun mayRetry(
        request: RequestState,
        result: CallResult.Failed,
        runs: Int = request.possibleRuns,
    ): Boolean {
        // No other back end is reached either.
        if (result.failure == CallFailure.NoPath) return false
        if (request.attempt.number >= request.admitted.route.maxAttempts + EXTRA_DECLINED_ATTEMPTS) return false
        if (!result.failure.mayHaveRun && result.progress == DeliveryProgress.None) return true
        if (runs >= request.admitted.route.maxAttempts) return false
        if (request.admitted.submission.prompt != null && request.unstartedCuts >= MAX_UNSTARTED_CUTS) return false
        return when (result.progress) {
            DeliveryProgress.None -> request.admitted.route.kind.isRetryable
            is DeliveryProgress.Started -> mayResume(request, result.progress)
        }
    }

    private fun mayResume(request: RequestState, progress: DeliveryProgress.Started): Boolean {
        val kind = request.admitted.route.kind
        return kind is CallKind.Streamed && kind.resumable && progress.lastEventId != null
    }

    private fun healthSignalOf(result: CallResult): HealthSignal =
        when (result) {
            is CallResult.Answered -> HealthSignal.HEALTHY
            CallResult.ClientGone -> HealthSignal.UNKNOWN
            is CallResult.Failed -> healthSignalOf(result.failure)
        }

    private fun healthSignalOf(failure: CallFailure): HealthSignal =
        when (failure) {
            is CallFailure.ServerError, is CallFailure.NotResumed -> HealthSignal.UNKNOWN
            CallFailure.Aborted, CallFailure.Withheld -> HealthSignal.UNKNOWN
            CallFailure.NoPath, CallFailure.CutOff -> HealthSignal.UNKNOWN
            CallFailure.Truncated -> HealthSignal.DISCONNECTED
            CallFailure.ConnectFailed, is CallFailure.Declined, CallFailure.WrongInstance -> HealthSignal.FAILING
            CallFailure.TimedOut, CallFailure.InvalidResponse -> HealthSignal.FAILING
            is CallFailure.UnattributedRefusal -> HealthSignal.FAILING
        }

    private companion object {
        /** A prompt whose request was cut before its start on two back ends in a row probably crashed both. */
        const val MAX_UNSTARTED_CUTS = 2

        /** Declined attempts that are allowed in addition to the route's `maxAttempts` before a request is given up. */
        const val EXTRA_DECLINED_ATTEMPTS = 1

        /** A back end that declined completes some of its queued requests in this time. */
        val DECLINED_RETRY_AFTER: Duration = 0.3.seconds

        /** About the time after which a node that is cut off tries to reach a back end again. */
        val NO_PATH_RETRY_AFTER: Duration = 1.seconds
    }
}
