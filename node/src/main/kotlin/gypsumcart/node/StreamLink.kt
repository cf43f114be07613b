package gypsumcart.node

import com.github.michaelbull.result.getOrElse
import gypsumcart.core.membership.ExchangeId
import gypsumcart.core.streams.StreamEffect
import gypsumcart.core.streams.StreamEvent
import gypsumcart.core.streams.StreamMessage
import gypsumcart.core.streams.StreamMessageResult
import gypsumcart.core.streams.StreamRecord
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
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Carries records of streams and questions for them between the stream duties of nodes, as requests and responses. */
internal class StreamLink(
    private val streams: EventSink<StreamEvent>,
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val metrics: Metrics,
) : RequestHandler {
    private val received = AtomicLong()
    private val answers = ConcurrentHashMap<ExchangeId, CompletableDeferred<List<StreamRecord>>>()

    /** Sends the message, and always reports its end to the stream duty, which sends no other one before. */
    fun send(effect: StreamEffect.Send) {
        scope.launch {
            var result: StreamMessageResult = StreamMessageResult.Failed
            try {
                result = exchange(effect)
            } finally {
                streams.reply(StreamEvent.MessageEnded(effect.peer.key, result))
            }
        }
    }

    /** Passes the known records to the message for which they were looked up. */
    fun respond(effect: StreamEffect.Respond) {
        answers[effect.exchange]?.complete(effect.records)
    }

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        val message =
            decodeStreamMessage(request.body).getOrElse { error ->
                metrics.countStreamMessage("received", "refused")
                log.warn("event=stream_message_refused error={}", error)
                response.send(ResponseHead(BAD_REQUEST, Headers.EMPTY), EMPTY)
                return
            }
        val known = lookUp(message)
        metrics.countStreamMessage("received", if (known == null) "no_answer" else "answered")
        if (known == null) {
            response.send(ResponseHead(UNAVAILABLE, Headers.EMPTY), EMPTY)
        } else {
            response.send(ResponseHead(OK, JSON), encodeStreamAnswer(known))
        }
    }

    /** Returns those records asked for that the stream duty knows, or null if it does not respond in time. */
    private suspend fun lookUp(message: StreamMessage): List<StreamRecord>? {
        val id = ExchangeId(received.incrementAndGet())
        val pending = CompletableDeferred<List<StreamRecord>>()
        answers[id] = pending
        return try {
            val accepted = streams.offer(StreamEvent.MessageReceived(id, message))
            if (accepted) withTimeoutOrNull(RESPONSE_TIMEOUT) { pending.await() } else null
        } finally {
            answers -= id
        }
    }

    private suspend fun exchange(effect: StreamEffect.Send): StreamMessageResult {
        val address = effect.peer.address
        val endpoint = Endpoint(address.host, address.port)
        val request =
            OutgoingRequest("POST", STREAMS_PATH, JSON, effect.message.encode(), traffic = Traffic.Control)
        val startedAt = clock.now()
        val exchange =
            withTimeoutOrNull(EXCHANGE_TIMEOUT) {
                client.exchange(endpoint, request) { (head, body) ->
                    head.status to body.readAtMost(MAX_PEER_MESSAGE_BYTES)
                }
            }
        val elapsed = clock.now() - startedAt
        if (exchange == null) {
            client.closeIdle(endpoint)
            return failed(effect, "no_answer", elapsed)
        }
        val (status, bytes) = exchange.getOrElse { return failed(effect, it.toString(), elapsed) }
        val records = bytes?.takeIf { status == OK }?.let(::decodeStreamAnswerOrNull)
        return when {
            status != OK -> failed(effect, "status_$status", elapsed)
            records == null -> failed(effect, "unreadable", elapsed)
            else -> StreamMessageResult.Answered(records).also { metrics.countStreamMessage("sent", "answered") }
        }
    }

    private fun failed(effect: StreamEffect.Send, cause: String, elapsed: Duration): StreamMessageResult {
        metrics.countStreamMessage("sent", "failed")
        log.info(
            "event=stream_message_failed peer={} incarnation={} records={} asked={} cause={} after_ms={}",
            effect.peer.key.node,
            effect.peer.key.incarnation,
            effect.message.toStore.size + effect.message.toKeep.size,
            effect.message.asked.size,
            cause,
            elapsed.inWholeMilliseconds,
        )
        return StreamMessageResult.Failed
    }

    private companion object {
        private val log = LoggerFactory.getLogger(StreamLink::class.java)
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503
        val JSON = Headers(listOf(HeaderField("Content-Type", "application/json")))
        val EMPTY = ByteArray(0)

        /** Many times the usual round trip, and short enough that a client that waits for the answer is not lost. */
        val EXCHANGE_TIMEOUT: Duration = 300.milliseconds

        /** The part of [EXCHANGE_TIMEOUT] within which the stream duty looks the records up. */
        val RESPONSE_TIMEOUT: Duration = 250.milliseconds
    }
}

/** The path of messages about streams on the port of the peer link. */
internal const val STREAMS_PATH: String = "/peer/streams"
