package gypsumcart.node

import gypsumcart.core.AttemptNumber
import gypsumcart.core.CallFailure
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.Submission
import gypsumcart.core.Ticket
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DeliveryProgress
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.http.HttpRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseWriter
import gypsumcart.pipeline.EventSink
import gypsumcart.pipeline.MonotonicClock
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.coroutines.cancellation.CancellationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Represents a step that the deciders chose for a request. */
internal sealed class EdgeCommand {
    /** Makes an upstream call. */
    data class Call(val call: DispatchEffect.Call) : EdgeCommand()

    /** Ends the request and sends [outcome] to the client. */
    data class Conclude(val outcome: Outcome) : EdgeCommand()
}

/** Groups the rings into which the edge puts events. */
internal class EdgeRings(
    val admission: EventSink<AdmissionEvent>,
    val routing: EventSink<RoutingEvent>,
    val dispatch: EventSink<DispatchEvent>,
)

/**
 * Handles client requests: submits them to admission and executes the commands that the deciders return.
 *
 * A request that the edge cannot submit is refused at once.
 *
 * @property onCallEnded called with each call that ended, its result and whether a part of the response was forwarded
 */
internal class ClientEdge(
    private val codec: CallCodec,
    private val calls: BackEndCalls,
    private val rings: EdgeRings,
    private val clock: MonotonicClock,
    private val metrics: Metrics,
    private val onCallEnded: (DispatchEffect.Call, CallResult, Boolean) -> Unit = { _, _, _ -> },
) : RequestHandler {
    private inner class PendingRequest(
        val submission: Submission,
        val request: HttpRequest,
        writer: ResponseWriter,
    ) {
        /** Reports each call that was passed on but not received as ended, as its slot would never be released. */
        val commands =
            Channel<EdgeCommand>(
                MAX_QUEUED_COMMANDS,
                onUndeliveredElement = { reportUndelivered(submission.ticket, it) },
            )
        val response = ForwardedResponse(writer)

        /** Whether the request has received a call, which may have been sent to a back end. */
        var isCalled = false

        @Volatile
        private var aborted = false

        @Volatile
        private var ended: Job? = null

        @Volatile
        private var runningCall: Job? = null

        /** Ends the call in progress, and any that starts later. */
        fun abort() {
            aborted = true
            runningCall?.cancel()
        }

        /** Ends the call in progress unless its response has started; it counts as timed out. */
        fun endUnstartedCall() {
            val call = runningCall ?: return
            if (response.isStarted) return
            ended = call
            call.cancel()
        }

        /** Returns the result of [call], or the failure if [abort] or [endUnstartedCall] ends it first. */
        suspend fun runUnlessAborted(call: suspend () -> CallResult): CallResult {
            var result: CallResult? = null
            try {
                coroutineScope {
                    runningCall = coroutineContext.job
                    result =
                        if (aborted) CallResult.Failed(CallFailure.ConnectFailed, response.progress) else call()
                }
            } catch (e: CancellationException) {
                currentCoroutineContext().ensureActive()
                if (!aborted && ended !== runningCall) throw e
            }
            val failure = if (aborted) CallFailure.Aborted else CallFailure.TimedOut
            return result ?: CallResult.Failed(failure, response.progress)
        }
    }

    private val tickets = AtomicLong()
    private val pendingRequests = ConcurrentHashMap<Ticket, PendingRequest>()

    @Volatile
    private var closed = false

    /** The number of requests in progress. */
    val inProgress: Int get() = pendingRequests.size

    /** Refuses new requests from now on; those in progress continue. */
    fun close() {
        closed = true
    }

    /** Ends the call of the request with [ticket], so that it fails. */
    fun abort(ticket: Ticket) {
        pendingRequests[ticket]?.abort()
    }

    /** Ends the call of the request with [ticket] as timed out, unless its response has started. */
    fun endUnstartedCall(ticket: Ticket) {
        pendingRequests[ticket]?.endUnstartedCall()
    }

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        val ticket = Ticket(tickets.incrementAndGet())
        val submission = codec.decode(request, ticket, clock.now())
        val pending = PendingRequest(submission, request, response)
        val refusal = submitOrRefuse(pending)
        if (refusal != null) {
            conclude(pending, Outcome.NotRun(refusal, REFUSED_RETRY_AFTER))
            return
        }
        var concluded = false
        try {
            do {
                concluded = execute(pending, pending.commands.receive())
            } while (!concluded)
        } finally {
            pendingRequests -= ticket
            pending.commands.cancel()
            if (!concluded) cancel(pending)
        }
    }

    /** Ends a request whose client has left; if it has received no call until now, none is sent. */
    private fun cancel(pending: PendingRequest) {
        val ticket = pending.submission.ticket
        rings.routing.reply(RoutingEvent.RequestCancelled(ticket))
        if (!pending.isCalled) rings.admission.offer(AdmissionEvent.Settled(ticket))
    }

    /**
     * Passes [command] to the request with [ticket].
     *
     * A call that its request does not receive, because the client has disconnected, is reported as ended.
     */
    fun deliver(ticket: Ticket, command: EdgeCommand) {
        val delivered = pendingRequests[ticket]?.commands?.trySend(command)?.isSuccess ?: false
        if (!delivered) reportUndelivered(ticket, command)
    }

    private fun reportUndelivered(ticket: Ticket, command: EdgeCommand) {
        when (command) {
            is EdgeCommand.Call -> reportCallEnded(ticket, command.call.attempt, CallResult.ClientGone)
            is EdgeCommand.Conclude -> Unit
        }
    }

    /** Submits the request to admission and returns null, or returns the reason if it is refused. */
    private fun submitOrRefuse(pending: PendingRequest): RefusalReason? =
        when {
            closed -> RefusalReason.Stopping
            pendingRequests.size >= MAX_IN_PROGRESS || !trySubmit(pending) -> RefusalReason.Overloaded("edge")
            else -> null
        }

    private fun trySubmit(pending: PendingRequest): Boolean {
        pendingRequests[pending.submission.ticket] = pending
        val accepted = rings.admission.offer(AdmissionEvent.Submitted(pending.submission))
        if (!accepted) pendingRequests -= pending.submission.ticket
        return accepted
    }

    /** Executes [command] and returns whether the request has ended. */
    private suspend fun execute(pending: PendingRequest, command: EdgeCommand): Boolean =
        when (command) {
            is EdgeCommand.Call -> call(pending, command.call)

            is EdgeCommand.Conclude -> {
                conclude(pending, command.outcome)
                true
            }
        }

    private suspend fun call(pending: PendingRequest, call: DispatchEffect.Call): Boolean {
        var result: CallResult = CallResult.ClientGone
        pending.isCalled = true
        try {
            result = pending.runUnlessAborted { calls.call(pending.request, call, pending.response) }
        } finally {
            reportCallEnded(pending.submission.ticket, call.attempt, result)
            recordCall(pending.submission, call, result)
            onCallEnded(call, result, pending.response.isStarted)
        }
        return result is CallResult.Answered
    }

    private fun reportCallEnded(ticket: Ticket, attempt: AttemptNumber, result: CallResult) {
        rings.dispatch.reply(DispatchEvent.CallEnded(ticket, attempt, result))
    }

    private suspend fun conclude(pending: PendingRequest, outcome: Outcome) {
        val elapsed = clock.now() - pending.submission.arrivedAt
        metrics.recordConcluded(outcome, elapsed)
        log.info(
            "event=concluded request={} outcome={} after_ms={}",
            pending.submission.requestId,
            outcome.toLogValue(),
            elapsed.inWholeMilliseconds,
        )
        pending.response.conclude(codec.outcomeHead(outcome, pending.submission.requestId))
    }

    private fun recordCall(submission: Submission, call: DispatchEffect.Call, result: CallResult) {
        val elapsed = clock.now() - submission.arrivedAt
        metrics.recordCall(call.backEnd.service, result, elapsed)
        log.info(
            "event=call request={} team={} tokens={} attempt={} back_end={} service={} version={} resumed_after={} " +
                "result={} after_ms={}",
            submission.requestId,
            call.admitted.team,
            submission.prompt?.let { it.tokens + it.maxNewTokens },
            call.attempt,
            call.backEnd.id,
            call.backEnd.service,
            call.backEnd.version,
            call.resumeAfter,
            result.toLogValue(),
            elapsed.inWholeMilliseconds,
        )
        if (result is CallResult.Failed && result.failure == CallFailure.Truncated) logCut(submission, call, result)
    }

    /** Logs what may explain that a back end closed the connection in the middle of a call. */
    private fun logCut(submission: Submission, call: DispatchEffect.Call, result: CallResult.Failed) {
        val parts = submission.prompt?.parts ?: return
        log.info(
            "event=call_cut request={} back_end={} incarnation={} started={} parts={}",
            submission.requestId,
            call.backEnd.id,
            call.backEnd.incarnation,
            result.progress != DeliveryProgress.None,
            parts.take(MAX_LOGGED_PARTS).joinToString(",") { it.id.text.take(MAX_LOGGED_PART_CHARS) },
        )
    }

    private companion object {
        private val log = LoggerFactory.getLogger(ClientEdge::class.java)

        /** A request has at most one outstanding command; a conclusion queues behind it and never overtakes it. */
        const val MAX_QUEUED_COMMANDS = 2

        /** Bounds the log line of a call, since clients choose the parts of their prompts. */
        const val MAX_LOGGED_PARTS = 16
        const val MAX_LOGGED_PART_CHARS = 64

        /** Short, because another node can accept the request at once. */
        val REFUSED_RETRY_AFTER: Duration = 50.milliseconds
    }
}

/** The maximum number of requests in progress in one process: three times the peak of a host of the smallest class. */
internal const val MAX_IN_PROGRESS: Int = 4_096
