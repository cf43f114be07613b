package gypsumcart.node

import com.github.michaelbull.result.fold
import gypsumcart.core.BackEnd
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.TeamName
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.routing.key
import gypsumcart.http.Endpoint
import gypsumcart.http.EventStreamSplitter
import gypsumcart.http.ExchangeFailure
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpRequest
import gypsumcart.http.OutgoingRequest
import gypsumcart.http.ResponseBody
import gypsumcart.http.ResponseHead
import gypsumcart.http.withoutHopByHop
import gypsumcart.pipeline.MonotonicClock
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

/** Makes the calls to back ends and passes their answers on. */
internal class BackEndCalls(
    private val codec: CallCodec,
    private val client: HttpClient,
    private val clock: MonotonicClock,
    private val began: (TeamName, MonotonicTime) -> Unit,
) {
    /** Makes one call and passes the answer on to [answer] as it comes. */
    suspend fun call(request: HttpRequest, call: DispatchEffect.Call, answer: AnswerWriter): CallResult {
        val timeLeft = call.admitted.deadline - clock.now()
        if (!timeLeft.isPositive()) return CallResult.Failed(CallFailure.ConnectFailed, answer.progress)
        val headers = codec.callHeaders(request, call, timeLeft)
        val outgoing = OutgoingRequest(request.method, request.target, headers, request.body)
        val endpoint = Endpoint(call.backEnd.address.host, call.backEnd.address.port, call.backEnd.peerName)
        val exchange =
            withTimeoutOrNull(timeLeft) {
                client.exchange(endpoint, outgoing) { head, body -> take(call, head, body, answer) }
            }
        if (exchange == null) {
            client.closeIdle(endpoint)
            return CallResult.Failed(CallFailure.TimedOut, answer.progress)
        }
        return exchange.fold({ it }, { CallResult.Failed(it.toCallFailure(), answer.progress) })
    }

    private suspend fun take(
        call: DispatchEffect.Call,
        head: ResponseHead,
        body: ResponseBody,
        answer: AnswerWriter,
    ): CallResult {
        val id = checkNotNull(call.admitted.submission.requestId) { "a call was made for a request without an id" }
        return when (val kind = codec.kindOf(head, id)) {
            AnswerKind.Answer -> pass(call, head, body, answer)

            is AnswerKind.Declined -> {
                body.readWhole()
                CallResult.Failed(CallFailure.Declined(kind.status), answer.progress)
            }

            AnswerKind.WrongInstance -> CallResult.Failed(CallFailure.WrongInstance, answer.progress)

            AnswerKind.Foreign -> CallResult.Failed(CallFailure.InvalidResponse, answer.progress)
        }
    }

    private suspend fun pass(
        call: DispatchEffect.Call,
        head: ResponseHead,
        body: ResponseBody,
        answer: AnswerWriter,
    ): CallResult {
        val streams = call.admitted.route.kind is CallKind.Streamed
        return when {
            streams && head.isSuccess -> passEvents(call, head, body, answer)
            else -> passWhole(call, head, body, answer)
        }
    }

    private suspend fun passWhole(
        call: DispatchEffect.Call,
        head: ResponseHead,
        body: ResponseBody,
        answer: AnswerWriter,
    ): CallResult {
        countBegin(call)
        val bytes = body.readWhole()
        val passed = ResponseHead(head.status, head.headers.withoutHopByHop())
        if (head.status >= FIRST_SERVER_ERROR && call.admitted.route.kind.isRetryable) {
            answer.keep(passed, bytes)
            return CallResult.Failed(CallFailure.ServerError(head.status), answer.progress)
        }
        answer.whole(passed, bytes)
        return CallResult.Answered(head.status)
    }

    private suspend fun passEvents(
        call: DispatchEffect.Call,
        head: ResponseHead,
        body: ResponseBody,
        answer: AnswerWriter,
    ): CallResult {
        val events = EventStreamSplitter()
        val buffer = ByteArray(BUFFER_BYTES)
        var begun = false
        while (true) {
            val n = body.read(buffer)
            if (n < 0) break
            val whole = events.append(buffer, n)
            if (whole.isEmpty()) continue
            if (!begun) countBegin(call)
            begun = true
            answer.start(ResponseHead(head.status, head.headers.withoutHopByHop()))
            answer.events(whole, events.lastEventId)
        }
        if (!begun || events.hasIncompleteEvent) return CallResult.Failed(CallFailure.InvalidResponse, answer.progress)
        answer.end()
        return CallResult.Answered(head.status)
    }

    /** A resumed run counts as the one that began before. */
    private fun countBegin(call: DispatchEffect.Call) {
        val team = call.admitted.team ?: return
        if (call.resumeAfter == null) began(team, clock.now())
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** Most pieces of a stream, and most whole answers, fit one buffer. */
        const val BUFFER_BYTES = 4_096
    }
}

/** A name that tells this start of the back end apart from others at its address. */
internal val BackEnd.peerName: String get() = "${key.id}/${key.incarnation}"

private suspend fun ResponseBody.readWhole(): ByteArray {
    val whole = ByteArrayOutputStream()
    val buffer = ByteArray(WHOLE_BUFFER_BYTES)
    while (true) {
        val n = read(buffer)
        if (n < 0) return whole.toByteArray()
        whole.write(buffer, 0, n)
    }
}

private fun ExchangeFailure.toCallFailure(): CallFailure =
    when (this) {
        ExchangeFailure.NotConnected -> CallFailure.ConnectFailed
        ExchangeFailure.ConnectionLost -> CallFailure.Truncated
        ExchangeFailure.Malformed -> CallFailure.InvalidResponse
    }

private const val WHOLE_BUFFER_BYTES = 4_096
