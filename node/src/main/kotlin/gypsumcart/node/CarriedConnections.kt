package gypsumcart.node

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.key
import gypsumcart.http.Headers
import gypsumcart.http.HttpRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.http.ResponseWriter
import gypsumcart.http.Tunnel
import gypsumcart.http.TunnelFailure
import org.slf4j.LoggerFactory
import java.net.URLDecoder
import java.net.URLEncoder

/**
 * Carries connections of other nodes to back ends that this node reaches; used on the thread of the edge only.
 *
 * Only back ends that this node lists are reached, and directly, so that no connection passes more than one node.
 *
 * @property observe called with the heads of the responses that are carried
 */
internal class CarriedConnections(
    private val state: NodeState,
    private val connections: BackEndConnections,
    private val availability: StatedAvailability,
    private val observe: (BackEnd, ResponseHead) -> Unit,
) : RequestHandler {
    /** The number of connections that are carried or being established. */
    @Volatile
    var count: Int = 0
        private set

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        val backEnd = request.path.toInstanceOrNull()?.let { state.backEnds[it] }
        val status = refusalOrNull(backEnd)
        if (status != null || backEnd == null) {
            response.send(ResponseHead(status ?: UNKNOWN, Headers.EMPTY), ByteArray(0))
            return
        }
        count++
        var isCarrying = false
        try {
            val opened = connections.connectForOther(backEnd)
            // What the back end states may have changed meanwhile.
            val refusal = if (opened == null) UNREACHED else refusalOrNull(backEnd)
            if (opened == null || refusal != null) {
                opened?.close()
                response.send(ResponseHead(refusal ?: UNREACHED, Headers.EMPTY), ByteArray(0))
                return
            }
            isCarrying = true
            response.openTunnel(Tunnel(opened, { observe(backEnd, it) }) { count-- })
        } finally {
            if (!isCarrying) count--
        }
    }

    private fun refusalOrNull(backEnd: BackEnd?): Int? =
        when {
            state.stopping || connections.isCutOff || count > MAX_CARRIED -> NOT_CARRYING
            backEnd == null -> UNKNOWN
            backEnd.draining || !availability.acceptsCalls(backEnd) -> WITHHELD
            else -> null
        }.also { if (it != null) log.info("event=carry_refused back_end={} status={}", backEnd?.id, it) }

    internal companion object {
        private val log = LoggerFactory.getLogger(CarriedConnections::class.java)

        /** Leaves most of the descriptors and of the requests in progress to the node's own clients. */
        private const val MAX_CARRIED = 512

        /** The node stops, is cut off itself or carries as many connections as it may. */
        const val NOT_CARRYING = 503

        /** The back end is not listed. */
        const val UNKNOWN = 404

        /** The back end accepts no requests. */
        const val WITHHELD = 409

        /** The back end was not reached. */
        const val UNREACHED = 502
    }
}

/** Whether the back end accepts no requests. */
internal val TunnelFailure.isWithheld: Boolean
    get() = this == TunnelFailure.Refused(CarriedConnections.WITHHELD)

/** Whether the carrier would not carry a connection to any back end now. */
internal val TunnelFailure.isOfCarrier: Boolean
    get() =
        when (this) {
            TunnelFailure.NoAnswer -> true
            is TunnelFailure.Refused -> status != CarriedConnections.UNKNOWN && status != CarriedConnections.UNREACHED
        }

/** Returns the value that identifies the failure in log lines and metrics. */
internal fun TunnelFailure.toLogValue(): String =
    when (this) {
        TunnelFailure.NoAnswer -> "no_answer"
        is TunnelFailure.Refused ->
            when (status) {
                CarriedConnections.NOT_CARRYING -> "not_carrying"
                CarriedConnections.UNKNOWN -> "unknown"
                CarriedConnections.WITHHELD -> "withheld"
                CarriedConnections.UNREACHED -> "unreached"
                else -> "refused_$status"
            }
    }

/** Returns the path of a request for a connection to this instance of the back end. */
internal fun BackEnd.toCarriedPath(): String {
    val id = URLEncoder.encode(key.id.text, Charsets.UTF_8)
    return "$CARRIED_PATH$id/${key.incarnation.number}"
}

private fun String.toInstanceOrNull(): InstanceKey? {
    val parts = removePrefix(CARRIED_PATH).split('/')
    val incarnation = parts.getOrNull(1)?.toLongOrNull()
    if (!startsWith(CARRIED_PATH) || parts.size != 2 || incarnation == null) return null
    return InstanceKey(BackEndId(URLDecoder.decode(parts[0], Charsets.UTF_8)), Incarnation(incarnation))
}

private const val CARRIED_PATH = "/back-ends/"
