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
import kotlin.coroutines.cancellation.CancellationException
import kotlin.time.Duration.Companion.milliseconds

/** Says how a back end treats one request. */
public sealed class BackEndFault {
    /** It declines the request. */
    public data object Decline : BackEndFault()

    /** It runs the request and ends the connection instead of answering. */
    public data object LoseAnswer : BackEndFault()

    /** It answers with an error of its own. */
    public data object Fail : BackEndFault()

    /** It says nothing. */
    public data object Silent : BackEndFault()

    /** It ends the connection behind [events] events of a stream. */
    public data class CutStream(public val events: Int) : BackEndFault()

    /** It answers a request that was not asked. */
    public data object AnswerAnother : BackEndFault()
}

/** Holds a request that a back end ran. */
public data class RunRequest(
    public val id: String,
    public val target: String,
    public val team: String?,
    public val body: String,
    public val headers: Headers,
)

/** Stands in for a replica of a service: echoes plain requests and streams [events] events to others. */
public class StandInBackEnd(public val id: String, private val events: Int = 5) : RequestHandler {
    private val ran = CopyOnWriteArrayList<RunRequest>()
    private val abandoned = CopyOnWriteArrayList<String>()
    private val faults = ConcurrentLinkedDeque<BackEndFault>()

    /** The requests that it ran, in their order. */
    public val runs: List<RunRequest> get() = ran

    /** The ids of requests whose connection closed while they ran. */
    public val abandonedRuns: List<String> get() = abandoned

    /** Treats the next requests as [next] say, one each. */
    public fun expect(vararg next: BackEndFault) {
        faults.addAll(next)
    }

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        val name = request.headers["X-Attempt-Id"].orEmpty()
        val expected = request.headers["X-Expect-Instance"]
        val fault = faults.poll()
        when {
            expected != null && expected != id -> response.send(ResponseHead(MISDIRECTED, Headers.EMPTY), EMPTY)

            fault == BackEndFault.Decline -> {
                response.send(ResponseHead(UNAVAILABLE, Headers(listOf(HeaderField("X-Not-Executed", "1")))), EMPTY)
            }

            else -> run(request, name, fault, response)
        }
    }

    private suspend fun run(request: HttpRequest, name: String, fault: BackEndFault?, response: ResponseWriter) {
        ran +=
            RunRequest(
                name,
                request.target,
                request.headers["X-Tenant"],
                request.body.decodeToString(),
                request.headers,
            )
        try {
            when (fault) {
                BackEndFault.LoseAnswer -> Unit

                BackEndFault.Silent -> awaitCancellation()

                BackEndFault.Fail -> response.send(ResponseHead(SERVER_ERROR, signed(name)), EMPTY)

                BackEndFault.AnswerAnother -> response.send(ResponseHead(OK, signed("another")), EMPTY)

                else ->
                    if ("stream" in request.target) {
                        stream(request, name, (fault as? BackEndFault.CutStream)?.events, response)
                    } else {
                        response.send(
                            ResponseHead(OK, signed(name)),
                            "$id:${request.body.decodeToString()}".toByteArray(),
                        )
                    }
            }
        } catch (e: CancellationException) {
            abandoned += name
            throw e
        }
    }

    private suspend fun stream(request: HttpRequest, name: String, cutAfter: Int?, response: ResponseWriter) {
        val from = request.headers["Last-Event-Id"]?.toInt() ?: 0
        response.startChunked(ResponseHead(OK, signed(name) + listOf(HeaderField("Content-Type", "text/event-stream"))))
        for (event in from + 1..events) {
            if (cutAfter != null && event > from + cutAfter) {
                // Part of an event, and then the connection ends.
                response.writeChunk("id: $event\nda".toByteArray())
                return
            }
            response.writeChunk("id: $event\ndata: $event\n\n".toByteArray())
            delay(EVENT_PAUSE)
        }
        response.endChunked()
    }

    private fun signed(name: String): Headers =
        Headers(listOf(HeaderField("X-Attempt-Id", name), HeaderField("X-Response-Signature", "signed-$id")))

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
        const val SERVER_ERROR = 500
        const val UNAVAILABLE = 503
        val EMPTY = ByteArray(0)
        val EVENT_PAUSE = 5.milliseconds
    }
}
