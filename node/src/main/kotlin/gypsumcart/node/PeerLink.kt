package gypsumcart.node

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import gypsumcart.core.membership.ExchangeId
import gypsumcart.core.membership.ExchangeResult
import gypsumcart.core.membership.MembershipEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.PeerMessage
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
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Carries the messages between this node's membership duty and other nodes, as HTTP requests and responses. */
internal class PeerLink(
    private val membership: EventSink<MembershipEvent>,
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val metrics: Metrics,
) : RequestHandler {
    private sealed class Reply {
        class Accepted(val message: PeerMessage) : Reply()

        data object UnknownSender : Reply()
    }

    private val received = AtomicLong()
    private val codec = PeerCodec()
    private val replies = ConcurrentHashMap<ExchangeId, CompletableDeferred<Reply>>()

    /** Sends the message, and passes the result to the membership duty. */
    fun send(effect: MembershipEffect.Send) {
        scope.launch {
            val result = exchange(effect)
            metrics.countPeerExchange(succeeded = result is ExchangeResult.Answered)
            membership.offer(MembershipEvent.ExchangeEnded(effect.exchange, result))
        }
    }

    fun respond(effect: MembershipEffect.Respond) {
        replies[effect.exchange]?.complete(Reply.Accepted(effect.message))
    }

    fun refuse(effect: MembershipEffect.Refuse) {
        log.info("event=peer_refused peer={} incarnation={}", effect.sender.node, effect.sender.incarnation)
        replies[effect.exchange]?.complete(Reply.UnknownSender)
    }

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        val status =
            when {
                request.path != PATH -> NOT_FOUND

                else ->
                    codec.decode(request.body).fold(
                        { return answer(it, response) },
                        { error ->
                            log.warn("event=peer_message_unreadable error={}", error)
                            BAD_REQUEST
                        },
                    )
            }
        response.send(ResponseHead(status, Headers.EMPTY), EMPTY)
    }

    private suspend fun answer(message: PeerMessage, response: ResponseWriter) {
        val id = ExchangeId(received.incrementAndGet())
        val pending = CompletableDeferred<Reply>()
        replies[id] = pending
        val reply =
            try {
                val accepted = membership.offer(MembershipEvent.MessageReceived(id, message))
                if (accepted) withTimeoutOrNull(RESPONSE_TIMEOUT) { pending.await() } else null
            } finally {
                replies -= id
            }
        when (reply) {
            is Reply.Accepted -> response.send(ResponseHead(OK, BYTES), codec.encode(reply.message))
            Reply.UnknownSender -> response.send(ResponseHead(FORBIDDEN, Headers.EMPTY), EMPTY)
            null -> response.send(ResponseHead(UNAVAILABLE, Headers.EMPTY), EMPTY)
        }
    }

    private suspend fun exchange(effect: MembershipEffect.Send): ExchangeResult {
        val target = effect.target
        val endpoint = Endpoint(target.address.host, target.address.port)
        val body = codec.encode(effect.message)
        val request = OutgoingRequest("POST", PATH, BYTES, body, traffic = Traffic.Control)
        val exchange =
            withTimeoutOrNull(EXCHANGE_TIMEOUT) {
                client.exchange(endpoint, request) { (head, body) ->
                    head.status to body.readAtMost(MAX_PEER_MESSAGE_BYTES)
                }
            }
        if (exchange == null) {
            client.closeIdle(endpoint)
            return failed(target.key, "no_answer")
        }
        val (status, bytes) = exchange.getOrElse { return failed(target.key, it.toString()) }
        return when {
            status == FORBIDDEN -> failed(target.key, "refused", ExchangeResult.Refused)
            status != OK || bytes == null -> failed(target.key, "status_$status")
            else ->
                codec.decode(bytes).mapBoth(
                    { ExchangeResult.Answered(it) },
                    { failed(target.key, it.toString()) },
                )
        }
    }

    private fun failed(
        peer: NodeKey,
        cause: String,
        result: ExchangeResult = ExchangeResult.Failed,
    ): ExchangeResult {
        log.info("event=exchange_failed peer={} incarnation={} cause={}", peer.node, peer.incarnation, cause)
        return result
    }

    private companion object {
        private val log = LoggerFactory.getLogger(PeerLink::class.java)
        const val PATH = "/peer/exchange"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val FORBIDDEN = 403
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        val BYTES = Headers(listOf(HeaderField("Content-Type", "application/octet-stream")))
        val EMPTY = ByteArray(0)

        /** A hundred times the usual round trip, and short enough to try another relay within a second. */
        val EXCHANGE_TIMEOUT: Duration = 600.milliseconds

        /** The part of [EXCHANGE_TIMEOUT] within which the membership duty composes the response. */
        val RESPONSE_TIMEOUT: Duration = 500.milliseconds
    }
}

/** The maximum size of a message between nodes: about twice that of the reports of all nodes of a large fleet. */
internal const val MAX_PEER_MESSAGE_BYTES: Int = 1_048_576
