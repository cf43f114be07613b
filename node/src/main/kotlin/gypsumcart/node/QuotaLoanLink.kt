package gypsumcart.node

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import gypsumcart.core.LoanRequestId
import gypsumcart.core.NodeId
import gypsumcart.core.TeamName
import gypsumcart.core.admission.AdmissionEffect
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.admission.LOAN_LIFE
import gypsumcart.core.admission.LoanAnswer
import gypsumcart.http.Endpoint
import gypsumcart.http.HeaderField
import gypsumcart.http.Headers
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpRequest
import gypsumcart.http.OutgoingRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.http.ResponseWriter
import gypsumcart.http.Traffic
import gypsumcart.http.readAtMost
import gypsumcart.pipeline.EventSink
import gypsumcart.pipeline.MonotonicClock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Represents a request for a loan; [node] names the borrower in log lines. */
@Serializable
private class WireLoan(val node: String, val team: String, val needed: Double, val wanted: Double)

/** Represents the answer: what was granted, or the time to return if that is null. */
@Serializable
private class WireLoanAnswer(val granted: Double? = null, val retryAfterMs: Double? = null)

/** Carries requests for loans of quota between the admission duties of nodes, as HTTP requests and responses. */
internal class QuotaLoanLink(
    private val node: NodeId,
    private val admission: EventSink<AdmissionEvent>,
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val metrics: Metrics,
) : RequestHandler {
    private val received = AtomicLong()
    private val answers = ConcurrentHashMap<LoanRequestId, CompletableDeferred<LoanAnswer>>()
    private val askedLines = LineBudget(clock)
    private val answeredLines = LineBudget(clock)

    /** Asks the lender, and passes its answer to the admission duty. */
    fun ask(effect: AdmissionEffect.AskLoan) {
        scope.launch {
            val startedAt = clock.now()
            val answer = exchange(effect)
            val elapsed = clock.now() - startedAt
            // If the ring is full, the requests that wait are refused when their time is over.
            admission.offer(AdmissionEvent.LoanAnswered(effect.loan, effect.team, answer))
            record(effect, answer, elapsed)
        }
    }

    /** Passes the lender's answer to the request for which it was decided. */
    fun answer(effect: AdmissionEffect.AnswerLoan) {
        answers[effect.request]?.complete(effect.answer)
    }

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        val loan =
            decode(WireLoan.serializer(), request.body).getOrElse { error ->
                log.warn("event=loan_unreadable error={}", error.detail)
                response.send(ResponseHead(BAD_REQUEST, Headers.EMPTY), EMPTY)
                return
            }
        val answer = decide(loan)
        recordAnswer(loan, answer)
        if (answer == null) {
            response.send(ResponseHead(UNAVAILABLE, Headers.EMPTY), EMPTY)
        } else {
            val body = JsonBodies.encode(WireLoanAnswer.serializer(), answer.toWire()).encodeToByteArray()
            response.send(ResponseHead(OK, JSON), body)
        }
    }

    /** Returns the answer of the admission duty, or null if it gives none in time. */
    private suspend fun decide(loan: WireLoan): LoanAnswer? {
        val id = LoanRequestId(received.incrementAndGet())
        val pending = CompletableDeferred<LoanAnswer>()
        answers[id] = pending
        return try {
            val event = AdmissionEvent.LoanAsked(id, TeamName(loan.team), loan.needed, loan.wanted)
            if (admission.offer(event)) withTimeoutOrNull(LOAN_LIFE) { pending.await() } else null
        } finally {
            answers -= id
        }
    }

    private suspend fun exchange(effect: AdmissionEffect.AskLoan): LoanAnswer {
        val address = effect.lender.address
        val endpoint = Endpoint(address.host, address.port)
        val loan = WireLoan(node.text, effect.team.text, effect.needed, effect.wanted)
        val body = JsonBodies.encode(WireLoan.serializer(), loan).encodeToByteArray()
        val request = OutgoingRequest("POST", LOAN_PATH, JSON, body, traffic = Traffic.Control)
        val exchange =
            withTimeoutOrNull(LOAN_LIFE) {
                client.exchange(endpoint, request) { (head, body) -> head.status to body.readAtMost(MAX_ANSWER_BYTES) }
            }
        if (exchange == null) client.closeIdle(endpoint)
        val (status, bytes) = exchange?.getOrElse { null } ?: return LoanAnswer.NoAnswer
        if (status != OK || bytes == null) return LoanAnswer.NoAnswer
        return decode(WireLoanAnswer.serializer(), bytes).mapBoth({ it.toAnswer() }, { LoanAnswer.NoAnswer })
    }

    private fun record(effect: AdmissionEffect.AskLoan, answer: LoanAnswer, elapsed: Duration) {
        val result = if (elapsed >= LOAN_LIFE) "late" else answer.toLogValue()
        metrics.countLoan("asked", result)
        askedLines.spend { suppressed ->
            log.info(
                "event=loan_asked team={} lender={} needed={} wanted={} result={} granted={} after_ms={} suppressed={}",
                effect.team,
                effect.lender.node,
                effect.needed,
                effect.wanted,
                result,
                (answer as? LoanAnswer.Granted)?.amount,
                elapsed.inWholeMilliseconds,
                suppressed,
            )
        }
    }

    private fun recordAnswer(loan: WireLoan, answer: LoanAnswer?) {
        val result = (answer ?: LoanAnswer.NoAnswer).toLogValue()
        metrics.countLoan("answered", result)
        answeredLines.spend { suppressed ->
            log.info(
                "event=loan_answered team={} borrower={} needed={} wanted={} result={} retry_after_ms={} suppressed={}",
                loan.team,
                loan.node,
                loan.needed,
                loan.wanted,
                result,
                (answer as? LoanAnswer.Refused)?.retryAfter?.inWholeMilliseconds,
                suppressed,
            )
        }
    }

    private companion object {
        private val log = LoggerFactory.getLogger(QuotaLoanLink::class.java)
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503
        val JSON = Headers(listOf(HeaderField("Content-Type", "application/json")))
        val EMPTY = ByteArray(0)

        /** Many times the size of an answer. */
        const val MAX_ANSWER_BYTES = 4_096
    }
}

/** The path of requests for loans on the port of the peer link. */
internal const val LOAN_PATH: String = "/peer/loan"

private fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): Result<T, JsonError> =
    JsonBodies.decode(serializer, bytes.decodeToString())

private fun LoanAnswer.toWire(): WireLoanAnswer =
    when (this) {
        is LoanAnswer.Granted -> WireLoanAnswer(granted = amount)
        is LoanAnswer.Refused -> WireLoanAnswer(retryAfterMs = retryAfter.toDouble(DurationUnit.MILLISECONDS))
        LoanAnswer.NoAnswer -> WireLoanAnswer()
    }

private fun WireLoanAnswer.toAnswer(): LoanAnswer =
    when {
        granted != null && granted > 0 && granted.isFinite() -> LoanAnswer.Granted(granted)
        retryAfterMs != null && retryAfterMs.isFinite() -> LoanAnswer.Refused(retryAfterMs.milliseconds)
        else -> LoanAnswer.NoAnswer
    }

/** Returns the value that identifies the answer in log lines and metrics. */
private fun LoanAnswer.toLogValue(): String =
    when (this) {
        is LoanAnswer.Granted -> "granted"
        is LoanAnswer.Refused -> "refused"
        LoanAnswer.NoAnswer -> "no_answer"
    }

/** Bounds the number of log lines of one kind; is used by one thread. */
private class LineBudget(private val clock: MonotonicClock) {
    private var periodStart = clock.now()
    private var lines = 0
    private var suppressed = 0

    /** Calls [write] with the number of lines that were left out since the last one, unless too many were written. */
    fun spend(write: (Int) -> Unit) {
        val now = clock.now()
        if (now - periodStart >= PERIOD) {
            periodStart = now
            lines = 0
        }
        if (lines >= MAX_LINES) {
            suppressed++
            return
        }
        lines++
        write(suppressed)
        suppressed = 0
    }

    private companion object {
        val PERIOD: Duration = 1_000.milliseconds

        /** Shows each team's loans on a quiet day, and no more than a tenth of the lines on a busy one. */
        const val MAX_LINES = 10
    }
}
