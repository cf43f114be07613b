package gypsumcart.standins

import gypsumcart.http.HeaderField
import gypsumcart.http.Headers
import gypsumcart.http.HttpRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.http.ResponseWriter
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.cancellation.CancellationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Describes a fault of a back end in the handling of one request. */
public sealed class BackEndFault {
    /** Declines the request with status 503, its id and `X-Not-Executed`. */
    public data object Decline : BackEndFault()

    /** Declines the request like [Decline], with [retryAfter] as the value of `Retry-After`. */
    public data class AskForPause(public val retryAfter: String) : BackEndFault()

    /** Runs the request and closes the connection without a response. */
    public data object LoseResponse : BackEndFault()

    /** Runs the request and responds with status 500. */
    public data object ServerError : BackEndFault()

    /** Runs the request and never responds. */
    public data object Hang : BackEndFault()

    /** Closes the connection in the middle of a stream, after [eventCount] complete events. */
    public data class TruncateStream(public val eventCount: Int) : BackEndFault()

    /** Runs the request and responds with the id of another request. */
    public data object WrongRequestId : BackEndFault()
}

/** Represents a request that a back end ran. */
public data class ExecutedRequest(
    public val requestId: String,
    public val target: String,
    public val team: String?,
    public val body: String,
    public val headers: Headers,
)

/**
 * Simulates a replica of a service, as a test double.
 *
 * If the target of a request contains `stream`, streams the events from 1, or from the one after `Last-Event-Id`, to
 * [eventCount], one each [eventInterval], with [eventData] as their data, or their ids if it is null. Responds to any
 * other request with [id] and the body of the request.
 */
public class StandInBackEnd(
    public val id: String,
    private val eventCount: Int = 5,
    private val eventInterval: Duration = EVENT_INTERVAL,
    private val eventData: String? = null,
) : RequestHandler {
    private val executed = CopyOnWriteArrayList<ExecutedRequest>()
    private val cancelled = CopyOnWriteArrayList<String>()
    private val faults = ConcurrentLinkedDeque<BackEndFault>()

    /** The value of the `Server-Limit` field in all responses, or null if they have none. */
    @Volatile
    public var requestLimit: String? = null

    /** The value of the `Server-Leaving` field in all responses, rejections too, or null if they have none. */
    @Volatile
    public var leaving: String? = null

    /** Returns the number of events after which a stream that starts here, and does not resume, breaks off, or null. */
    @Volatile
    public var firstTruncation: (requestId: String) -> Int? = { null }

    /** Whether it falls silent: it reads no request and writes nothing, and goes on where it was when this ends. */
    @Volatile
    public var isSilent: Boolean = false

    private val received = AtomicInteger()
    private val running = AtomicInteger()

    /** The number of requests that are being run. */
    public val runningRequests: Int get() = running.get()

    /** The number of requests that were received, rejected ones too. */
    public val receivedRequests: Int get() = received.get()

    /** The requests that were run, in the order in which they started. */
    public val executedRequests: List<ExecutedRequest> get() = executed

    /** The ids of the requests whose connection closed while they ran. */
    public val cancelledRequestIds: List<String> get() = cancelled

    /** Applies [nextFaults] to the next requests, one fault to each request in the given order. */
    public fun injectFaults(vararg nextFaults: BackEndFault) {
        faults.addAll(nextFaults)
    }

    /** Drops the faults that no request has met yet. */
    public fun clearFaults(): Unit = faults.clear()

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        awaitSilenceEnd()
        received.incrementAndGet()
        val requestId = request.headers["X-Attempt-Id"].orEmpty()
        val expected = request.headers["X-Expect-Instance"]
        val fault = faults.poll()
        when {
            expected != null && expected != id -> {
                val fields = listOf(HeaderField("X-Attempt-Id", requestId), HeaderField("X-Instance-Id", id))
                response.send(ResponseHead(MISDIRECTED_REQUEST, Headers(fields)), EMPTY)
            }

            fault == BackEndFault.Decline -> decline(requestId, response)

            fault is BackEndFault.AskForPause ->
                decline(requestId, response, listOf(HeaderField("Retry-After", fault.retryAfter)))

            else -> execute(request, requestId, fault, response)
        }
    }

    private suspend fun awaitSilenceEnd() {
        while (isSilent) delay(SILENCE_CHECK_INTERVAL)
    }

    private suspend fun decline(
        requestId: String,
        response: ResponseWriter,
        extraFields: List<HeaderField> = emptyList(),
    ) {
        val fields = listOf(HeaderField("X-Attempt-Id", requestId), HeaderField("X-Not-Executed", "1"))
        response.send(ResponseHead(SERVICE_UNAVAILABLE, Headers(fields + extraFields + statements())), EMPTY)
    }

    private suspend fun execute(
        request: HttpRequest,
        requestId: String,
        fault: BackEndFault?,
        response: ResponseWriter,
    ) {
        executed +=
            ExecutedRequest(
                requestId,
                request.target,
                request.headers["X-Tenant"],
                request.body.decodeToString(),
                request.headers,
            )
        running.incrementAndGet()
        try {
            when (fault) {
                BackEndFault.LoseResponse -> Unit

                BackEndFault.Hang -> awaitCancellation()

                BackEndFault.ServerError ->
                    response.send(ResponseHead(INTERNAL_SERVER_ERROR, responseHeaders(requestId)), EMPTY)

                BackEndFault.WrongRequestId -> response.send(ResponseHead(OK, responseHeaders("another")), EMPTY)

                else ->
                    if ("stream" in request.target) {
                        stream(request, requestId, (fault as? BackEndFault.TruncateStream)?.eventCount, response)
                    } else {
                        response.send(
                            ResponseHead(OK, responseHeaders(requestId)),
                            "$id:${request.body.decodeToString()}".toByteArray(),
                        )
                    }
            }
        } catch (e: CancellationException) {
            cancelled += requestId
            throw e
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun stream(request: HttpRequest, requestId: String, truncateAfter: Int?, response: ResponseWriter) {
        val lastEventId = request.headers["Last-Event-Id"]?.toInt() ?: 0
        val firstTruncation = if (lastEventId == 0) firstTruncation(requestId) else null
        val truncateAt = (truncateAfter ?: firstTruncation)?.plus(lastEventId)
        val headers = responseHeaders(requestId) + listOf(HeaderField("Content-Type", "text/event-stream"))
        response.startChunked(ResponseHead(OK, headers))
        for (event in lastEventId + 1..eventCount) {
            awaitSilenceEnd()
            if (truncateAt != null && event > truncateAt) {
                // Writes a part of the next event; returning without endChunked closes the connection.
                response.writeChunk("id: $event\nda".toByteArray())
                return
            }
            response.writeChunk("id: $event\ndata: ${eventData ?: event}\n\n".toByteArray())
            delay(eventInterval)
        }
        response.endChunked()
    }

    private fun responseHeaders(requestId: String): Headers =
        Headers(
            listOf(
                HeaderField("X-Attempt-Id", requestId),
                HeaderField("X-Response-Signature", "signed-$id"),
            ) + statements(),
        )

    private fun statements(): List<HeaderField> =
        listOfNotNull(
            requestLimit?.let { HeaderField("Server-Limit", it) },
            leaving?.let { HeaderField("Server-Leaving", it) },
        )

    private companion object {
        const val OK = 200
        const val MISDIRECTED_REQUEST = 421
        const val INTERNAL_SERVER_ERROR = 500
        const val SERVICE_UNAVAILABLE = 503
        val EMPTY = ByteArray(0)
        val EVENT_INTERVAL = 5.milliseconds
        val SILENCE_CHECK_INTERVAL = 5.milliseconds
    }
}
