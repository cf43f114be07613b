package gypsumcart.node

import com.github.michaelbull.result.fold
import gypsumcart.core.BackEnd
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.TeamName
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DeliveryProgress
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.routing.key
import gypsumcart.core.streams.takesUpStream
import gypsumcart.http.EventStreamSplitter
import gypsumcart.http.ExchangeFailure
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpRequest
import gypsumcart.http.OutgoingRequest
import gypsumcart.http.ReceivedResponse
import gypsumcart.http.ResponseBody
import gypsumcart.http.ResponseHead
import gypsumcart.http.discardAtMost
import gypsumcart.http.readPiecesAtMost
import gypsumcart.http.withoutHopByHop
import gypsumcart.pipeline.MonotonicClock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Makes upstream calls and forwards their responses to clients.
 *
 * @property onFirstPiece called when the first event of a streamed response arrives
 * @property onRequestStarted called with the team and the current time when a back end starts to respond to a request
 *   of a team, except if the call resumes a stream
 */
internal class BackEndCalls(
    private val codec: CallCodec,
    private val client: HttpClient,
    private val connections: BackEndConnections,
    private val clock: MonotonicClock,
    private val limits: StatedLimits,
    private val brittleness: StatedBrittleness,
    private val availability: StatedAvailability,
    private val responseLimits: ResponseLimits,
    private val onFirstPiece: (DispatchEffect.Call, MonotonicTime) -> Unit,
    private val onRequestStarted: (TeamName, MonotonicTime) -> Unit,
) {
    private val refusalsWithoutId = RefusalsWithoutId(clock)

    /**
     * Makes one upstream call and forwards its response to [response] as it arrives.
     *
     * A call that exceeds the remaining time of the request is cancelled, and the idle connections to its back end are
     * closed.
     */
    suspend fun call(request: HttpRequest, call: DispatchEffect.Call, response: ForwardedResponse): CallResult {
        val remainingTime = call.admitted.deadline - clock.now()
        if (!remainingTime.isPositive()) return CallResult.Failed(CallFailure.ConnectFailed, response.progress)
        if (!availability.acceptsCalls(call.backEnd)) return CallResult.Failed(CallFailure.Withheld, response.progress)
        val headers = codec.callHeaders(request, call, remainingTime)
        val needsNewConnection = refusalsWithoutId.areExpectedFrom(call.backEnd.key)
        val connection = connections.CallConnection(call.backEnd)
        var isSent = false
        val outgoing =
            OutgoingRequest(request.method, request.target, headers, request.body, needsNewConnection) {
                isSent = availability.acceptsCalls(call.backEnd)
                if (isSent) connection.recordSent()
                isSent
            }
        val exchange =
            withTimeoutOrNull(remainingTime) {
                connection.use({ mayRunAgain(call, response) }) {
                    client.exchange(call.backEnd.endpoint, outgoing, connection) {
                        connection.recordReceived()
                        handleResponse(call, it, response, connection)
                    }
                }
            }
        if (exchange == null) {
            logTimeout(call, isSent, remainingTime)
            client.closeIdle(call.backEnd.endpoint)
            return CallResult.Failed(timeoutFailure(isSent, connection), response.progress)
        }
        return exchange.fold(
            { it },
            {
                if (it == ExchangeFailure.ConnectionLost) connection.recordLost()
                CallResult.Failed(failureOf(it, connection), response.progress)
            },
        )
    }

    private fun timeoutFailure(isSent: Boolean, connection: BackEndConnections.CallConnection): CallFailure =
        when {
            !isSent -> failureOf(ExchangeFailure.NotConnected, connection)
            connection.isLost -> CallFailure.CutOff
            else -> CallFailure.TimedOut
        }

    private fun failureOf(failure: ExchangeFailure, connection: BackEndConnections.CallConnection): CallFailure =
        if (failure == ExchangeFailure.NotConnected && connection.lacksPath) {
            CallFailure.NoPath
        } else {
            failure.toCallFailure()
        }

    /** Returns whether a call may be ended and made again elsewhere. */
    private fun mayRunAgain(call: DispatchEffect.Call, response: ForwardedResponse): Boolean {
        val route = call.admitted.route
        if (!route.kind.isRetryable || call.attempt.number >= route.maxAttempts) return false
        return when (val progress = response.progress) {
            DeliveryProgress.None -> true
            is DeliveryProgress.Started -> progress.lastEventId != null
        }
    }

    /** Logs whether a call that ran out of time was waiting for a connection or for its response. */
    private fun logTimeout(call: DispatchEffect.Call, isSent: Boolean, elapsed: Duration): Unit =
        log.info(
            "event=call_timed_out request={} attempt={} back_end={} incarnation={} sent={} after_ms={}",
            call.admitted.submission.requestId,
            call.attempt,
            call.backEnd.id,
            call.backEnd.incarnation,
            isSent,
            elapsed.inWholeMilliseconds,
        )

    private suspend fun handleResponse(
        call: DispatchEffect.Call,
        received: ReceivedResponse,
        response: ForwardedResponse,
        connection: BackEndConnections.CallConnection,
    ): CallResult {
        val (head, body) = received
        val id = checkNotNull(call.admitted.submission.requestId) { "a call was made for a request without an id" }
        val kind = codec.classify(head, id, call.backEnd.id)
        if (kind !is ResponseKind.Valid) logRefusal(call, received, kind)
        if (kind.isRefusal && kind.id == ResponseId.NONE) refusalsWithoutId.record(call.backEnd.key)
        if (!kind.isAttributedTo(received)) {
            return CallResult.Failed(kind.unattributedFailure(head.status), response.progress)
        }
        if (kind !is ResponseKind.WrongInstance) {
            availability.observe(call.backEnd, codec.availabilityStatements(head))
        }
        return when (kind) {
            ResponseKind.Valid -> {
                observeRoom(call, head)
                forward(call, head, body, response, connection)
            }

            is ResponseKind.Declined -> {
                observeRoom(call, head)
                // A body that is left unread closes the connection.
                if (kind.id == ResponseId.OWN) discard(body)
                CallResult.Failed(CallFailure.Declined(kind.status), response.progress)
            }

            is ResponseKind.WrongInstance -> CallResult.Failed(CallFailure.WrongInstance, response.progress)

            is ResponseKind.Unconfirmed -> {
                observeRoom(call, head)
                reportStart(call)
                discard(body)
                val isResumed = response.isStarted
                val failure =
                    if (isResumed) CallFailure.NotResumed(kind.status) else CallFailure.ServerError(kind.status)
                CallResult.Failed(failure, response.progress)
            }

            is ResponseKind.Invalid -> CallResult.Failed(CallFailure.InvalidResponse, response.progress)
        }
    }

    /** Notes what the back end says of the requests that it has room for. */
    private fun observeRoom(call: DispatchEffect.Call, head: ResponseHead) {
        limits.observe(call.backEnd, codec.limitStatementOrNull(head))
        brittleness.observe(call.backEnd, codec.brittlenessStatementOrNull(head))
    }

    /** Logs a refusal or an invalid response, with what shows whether it belongs to its request. */
    private fun logRefusal(call: DispatchEffect.Call, received: ReceivedResponse, kind: ResponseKind) {
        log.info(
            "event=refusal_received request={} attempt={} back_end={} incarnation={} status={} kind={} bears_id={} " +
                "connection={} once={}",
            call.admitted.submission.requestId,
            call.attempt,
            call.backEnd.id,
            call.backEnd.incarnation,
            received.head.status,
            kind.toLogValue(),
            kind.id.toLogValue(),
            if (received.isFirstOnConnection) "new" else "reused",
            !call.admitted.route.kind.isRetryable,
        )
    }

    private suspend fun forward(
        call: DispatchEffect.Call,
        head: ResponseHead,
        body: ResponseBody,
        response: ForwardedResponse,
        connection: BackEndConnections.CallConnection,
    ): CallResult {
        val streams = call.admitted.route.kind is CallKind.Streamed
        return when {
            streams && head.isSuccess -> forwardEvents(call, head, body, response, connection)
            response.isStarted -> failResumption(head, body, response)
            else -> forwardWhole(call, head, body, response)
        }
    }

    /** Drops a response that is no stream, since the client has already received the head of one. */
    private suspend fun failResumption(
        head: ResponseHead,
        body: ResponseBody,
        response: ForwardedResponse,
    ): CallResult {
        discard(body)
        return CallResult.Failed(CallFailure.NotResumed(head.status), response.progress)
    }

    /** Reads a body that nobody needs, so that its connection can be used again; a failure costs no more than that. */
    private suspend fun discard(body: ResponseBody) {
        try {
            withTimeoutOrNull(DISCARD_TIMEOUT) { body.discardAtMost(MAX_DISCARDED_BYTES) }
        } catch (e: IOException) {
            log.debug("event=body_discarded error={}", e.message)
        }
    }

    private suspend fun forwardWhole(
        call: DispatchEffect.Call,
        head: ResponseHead,
        body: ResponseBody,
        response: ForwardedResponse,
    ): CallResult {
        reportStart(call)
        val content =
            body.readPiecesAtMost(responseLimits.maxBodyBytes)
                ?: return CallResult.Failed(CallFailure.InvalidResponse, response.progress)
        val forwardedHead = ResponseHead(head.status, head.headers.withoutHopByHop())
        if (head.status >= FIRST_SERVER_ERROR && call.admitted.route.kind.isRetryable) {
            response.storeFallback(forwardedHead, content, body.reservation)
            return CallResult.Failed(CallFailure.ServerError(head.status), response.progress)
        }
        response.send(forwardedHead, content)
        return CallResult.Answered(head.status)
    }

    private suspend fun forwardEvents(
        call: DispatchEffect.Call,
        head: ResponseHead,
        body: ResponseBody,
        response: ForwardedResponse,
        connection: BackEndConnections.CallConnection,
    ): CallResult {
        val events = EventStreamSplitter(responseLimits.maxEventBytes, body.reservation, call.lastEventId)
        val buffer = ByteArray(EVENT_BUFFER_BYTES)
        var started = false
        while (true) {
            val n = body.read(buffer)
            if (n < 0) break
            connection.recordReceived()
            val complete = events.append(buffer, n)
            if (complete.isNotEmpty() && !events.isOversized) {
                if (!started) {
                    reportStart(call)
                    onFirstPiece(call, clock.now())
                }
                started = true
                response.startStream(ResponseHead(head.status, head.headers.withoutHopByHop()))
                response.writeEvents(complete, events.lastEventId)
            }
            val isUnreadable = events.isOversized || events.isOutOfOrder
            if (isUnreadable) return CallResult.Failed(CallFailure.InvalidResponse, response.progress)
        }
        val isCut = events.hasIncompleteEvent || !started && body.endsWithConnection
        if (isCut) return CallResult.Failed(CallFailure.Truncated, response.progress)
        if (!started) return CallResult.Failed(CallFailure.InvalidResponse, response.progress)
        response.endStream()
        return CallResult.Answered(head.status)
    }

    /** Reports that a team's request started, unless the call resumes one whose start was reported before. */
    private fun reportStart(call: DispatchEffect.Call) {
        val team = call.admitted.team ?: return
        if (call.resumeAfter == null) onRequestStarted(team, clock.now())
    }

    private companion object {
        private val log = LoggerFactory.getLogger(BackEndCalls::class.java)

        /** More than the body of a usual error response; a longer one is worth less than its connection. */
        const val MAX_DISCARDED_BYTES = 65_536

        /** Short, because the request waits meanwhile; the body of a usual error response arrives with its head. */
        val DISCARD_TIMEOUT: Duration = 50.milliseconds

        const val FIRST_SERVER_ERROR = 500

        /** Large enough for most chunks of a stream. */
        const val EVENT_BUFFER_BYTES = 4_096
    }
}

/** The id of the last event that the client has, or null if the response starts with the first one. */
private val DispatchEffect.Call.lastEventId: String?
    get() =
        resumeAfter ?: admitted.submission.takeUp
            ?.lastEventId
            .takeIf { admitted.takesUpStream }

/** Identifies this instance of the back end among all that start at the same address. */
internal val BackEnd.peerId: String get() = "${key.id}/${key.incarnation}"

/**
 * Returns whether a response of this kind belongs to the request that it was read for.
 *
 * One that bears no id may be a late copy of a response to an earlier request on its connection, if there was one.
 */
private fun ResponseKind.isAttributedTo(received: ReceivedResponse): Boolean =
    when (id) {
        ResponseId.OWN -> true
        ResponseId.NONE -> received.isFirstOnConnection
        ResponseId.OTHER -> false
    }

private fun ResponseKind.unattributedFailure(status: Int): CallFailure =
    if (isRefusal) CallFailure.UnattributedRefusal(status) else CallFailure.InvalidResponse

/** Whether the response states that a request did not run. */
private val ResponseKind.isRefusal: Boolean
    get() =
        when (this) {
            is ResponseKind.Declined, is ResponseKind.WrongInstance -> true
            is ResponseKind.Unconfirmed, is ResponseKind.Invalid, ResponseKind.Valid -> false
        }

private fun ExchangeFailure.toCallFailure(): CallFailure =
    when (this) {
        ExchangeFailure.NotConnected -> CallFailure.ConnectFailed
        ExchangeFailure.NotWanted -> CallFailure.Withheld
        ExchangeFailure.ConnectionLost -> CallFailure.Truncated
        ExchangeFailure.Malformed -> CallFailure.InvalidResponse
    }
