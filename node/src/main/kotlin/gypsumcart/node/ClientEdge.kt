package gypsumcart.node

import gypsumcart.core.AttemptNumber
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.Submission
import gypsumcart.core.Ticket
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.http.HttpRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseWriter
import gypsumcart.pipeline.Inlet
import gypsumcart.pipeline.MonotonicClock
import kotlinx.coroutines.channels.Channel
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tells the edge what to do for a request. */
internal sealed class EdgeCommand {
    /** Calls a back end. */
    data class Call(val call: DispatchEffect.Call) : EdgeCommand()

    /** Tells the client how its request ended. */
    data class Conclude(val outcome: Outcome) : EdgeCommand()
}

/** Holds the rings that the edge sends into. */
internal class EdgeOutlets(
    val admission: Inlet<AdmissionEvent>,
    val routing: Inlet<RoutingEvent>,
    val dispatch: Inlet<DispatchEvent>,
)

/** Turns requests of clients into events, and carries out what is decided on them. */
internal class ClientEdge(
    private val codec: CallCodec,
    private val exchanges: BackEndCalls,
    private val outlets: EdgeOutlets,
    private val clock: MonotonicClock,
    private val metrics: Metrics,
) : RequestHandler {
    private class Pending(val submission: Submission, val request: HttpRequest, val response: ResponseWriter) {
        val commands = Channel<EdgeCommand>(COMMANDS)
        val answer = AnswerWriter(response)
    }

    private val tickets = AtomicLong()
    private val pending = ConcurrentHashMap<Ticket, Pending>()

    @Volatile
    private var closed = false

    /** How many requests are in progress. */
    val inProgress: Int get() = pending.size

    /** Refuses all requests from now on; those in progress go on. */
    fun close() {
        closed = true
    }

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        val ticket = Ticket(tickets.incrementAndGet())
        val submission = codec.decode(request, ticket, clock.now())
        val entry = Pending(submission, request, response)
        val refusal = refusalOrNull(entry)
        if (refusal != null) {
            conclude(entry, Outcome.NotRun(refusal, ELSEWHERE_WAIT))
            return
        }
        var concluded = false
        try {
            do {
                concluded = carryOut(entry, entry.commands.receive())
            } while (!concluded)
        } finally {
            pending -= ticket
            if (!concluded) outlets.routing.reply(RoutingEvent.RequestCancelled(ticket))
        }
    }

    /** Hands a command to the request it is for; a call for a request whose client is gone ends at once. */
    fun deliver(ticket: Ticket, command: EdgeCommand) {
        val delivered = pending[ticket]?.commands?.trySend(command)?.isSuccess ?: false
        if (!delivered && command is EdgeCommand.Call) {
            end(ticket, command.call.attempt, CallResult.ClientGone)
        }
    }

    private fun refusalOrNull(entry: Pending): RefusalReason? =
        when {
            closed -> RefusalReason.Stopping
            pending.size >= MAX_IN_PROGRESS || !submit(entry) -> RefusalReason.Overloaded("edge")
            else -> null
        }

    private fun submit(entry: Pending): Boolean {
        pending[entry.submission.ticket] = entry
        val taken = outlets.admission.offer(AdmissionEvent.Submitted(entry.submission))
        if (!taken) pending -= entry.submission.ticket
        return taken
    }

    /** Carries out [command] and returns whether the request is concluded. */
    private suspend fun carryOut(entry: Pending, command: EdgeCommand): Boolean =
        when (command) {
            is EdgeCommand.Call -> call(entry, command.call)

            is EdgeCommand.Conclude -> {
                conclude(entry, command.outcome)
                true
            }
        }

    private suspend fun call(entry: Pending, call: DispatchEffect.Call): Boolean {
        var result: CallResult = CallResult.ClientGone
        try {
            result = exchanges.call(entry.request, call, entry.answer)
        } finally {
            end(entry.submission.ticket, call.attempt, result)
            countCall(entry.submission, call, result)
        }
        return result is CallResult.Answered
    }

    private fun end(ticket: Ticket, attempt: AttemptNumber, result: CallResult) {
        outlets.dispatch.reply(DispatchEvent.CallEnded(ticket, attempt, result))
    }

    private suspend fun conclude(entry: Pending, outcome: Outcome) {
        val after = clock.now() - entry.submission.arrivedAt
        metrics.countConcluded(outcome, after)
        log.info(
            "event=concluded request={} outcome={} after_ms={}",
            entry.submission.requestId,
            outcome.toLogWord(),
            after.inWholeMilliseconds,
        )
        entry.answer.conclude(codec.outcomeHead(outcome, entry.submission.requestId))
    }

    private fun countCall(submission: Submission, call: DispatchEffect.Call, result: CallResult) {
        val after = clock.now() - submission.arrivedAt
        metrics.countCall(call.backEnd.service, result, after)
        log.info(
            "event=call request={} team={} tokens={} attempt={} back_end={} service={} result={} after_ms={}",
            submission.requestId,
            call.admitted.team,
            submission.prompt?.let { it.tokens + it.maxNewTokens },
            call.attempt,
            call.backEnd.id,
            call.backEnd.service,
            result.toLogWord(),
            after.inWholeMilliseconds,
        )
    }

    private companion object {
        private val log = LoggerFactory.getLogger(ClientEdge::class.java)

        /** A request has one command under way at a time, and a conclusion may overtake nothing. */
        const val COMMANDS = 2

        /** Another node takes the request at once. */
        val ELSEWHERE_WAIT: Duration = 50.milliseconds
    }
}

/** The most requests in progress in one process: three times what a host of the smallest class serves at its peak. */
internal const val MAX_IN_PROGRESS: Int = 4_096
