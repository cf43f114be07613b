package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Holds a request to be sent. */
public class OutgoingRequest(
    public val method: String,
    public val target: String,
    public val headers: Headers,
    public val body: ByteArray,
)

/**
 * Names where connections lead.
 *
 * @property peer tells apart the peers that have an address one after the other
 */
public data class Endpoint(public val host: String, public val port: Int, public val peer: String = "")

/** Says why an exchange gave no whole answer. */
public sealed class ExchangeFailure {
    /** No connection was made, so nothing was sent. */
    public data object NotConnected : ExchangeFailure()

    /** The connection ended before the end of the answer. */
    public data object Cut : ExchangeFailure()

    /** What came is not an answer. */
    public data object Malformed : ExchangeFailure()
}

/** Gives the bytes of an answer's body. */
public class Body internal constructor(private val source: BodySource) {
    internal var isWhole = false
        private set

    /**
     * Reads some bytes into [buffer] and returns how many, or -1 at the end of the whole body.
     *
     * @throws IOException if the connection ends before the body; to be left to [HttpClient.exchange]
     */
    public suspend fun read(buffer: ByteArray): Int {
        val n = source.read(buffer)
        if (n < 0) isWhole = true
        return n
    }
}

/** Makes exchanges over connections that are kept for further ones. */
public class HttpClient(
    private val selector: SelectorManager,
    private val connectTimeout: Duration,
) {
    private class Connection(val socket: Socket) {
        val input: ByteReadChannel = socket.openReadChannel()
        val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
        var idleSince: TimeMark = TimeSource.Monotonic.markNow()
        var idleLimit: Duration = DEFAULT_IDLE_LIMIT

        /** Whether the connection is open and holds no bytes that came unasked and belong to no request. */
        val isClean: Boolean get() = !input.isClosedForRead && input.availableForRead == 0

        val isReusable: Boolean get() = isClean && idleSince.elapsedNow() < idleLimit

        fun close() = socket.close()
    }

    private val idle = HashMap<Endpoint, ArrayDeque<Connection>>()

    /**
     * Sends [request] to [endpoint] and lets [receive] take the answer.
     *
     * Cancelling the exchange closes its connection.
     */
    public suspend fun <T> exchange(
        endpoint: Endpoint,
        request: OutgoingRequest,
        receive: suspend (ResponseHead, Body) -> T,
    ): Result<T, ExchangeFailure> {
        val connection = takeIdleOrNull(endpoint) ?: connectOrNull(endpoint) ?: return Err(ExchangeFailure.NotConnected)
        var reusable = false
        try {
            return coroutineScope {
                val writer = launch { connection.write(endpoint, request) }
                val result = connection.receive(request.method, receive)
                reusable = result.reusable && writer.isCompleted && connection.isClean
                coroutineContext.cancelChildren()
                result.value
            }
        } catch (e: IOException) {
            log.debug("event=exchange_cut endpoint={}:{} error={}", endpoint.host, endpoint.port, e.message)
            return Err(ExchangeFailure.Cut)
        } finally {
            if (reusable) keep(endpoint, connection) else connection.close()
        }
    }

    /** Closes the kept connections that lead to [endpoint]. */
    public fun dropIdle(endpoint: Endpoint) {
        idle.remove(endpoint)?.forEach { it.close() }
    }

    /** Closes the kept connections that lead to other peers than [peers]. */
    public fun retain(peers: Set<String>) {
        val gone = idle.keys.filter { it.peer.isNotEmpty() && it.peer !in peers }
        for (endpoint in gone) idle.remove(endpoint)?.forEach { it.close() }
    }

    private class Received<T>(val value: Result<T, ExchangeFailure>, val reusable: Boolean)

    private suspend fun <T> Connection.receive(
        method: String,
        receive: suspend (ResponseHead, Body) -> T,
    ): Received<T> {
        val head = input.readResponseHead().getOrElse { return Received(Err(it.toExchangeFailure()), false) }
        val source =
            input.bodyOrNull(head, method) ?: return Received(Err(ExchangeFailure.Malformed), false)
        val body = Body(source)
        val value = receive(head, body)
        head.headers.keepAliveOrNull()?.let { idleLimit = it }
        val stays = "close" !in head.headers.tokens("Connection")
        return Received(Ok(value), body.isWhole && source.keepsConnection && stays)
    }

    private suspend fun Connection.write(endpoint: Endpoint, request: OutgoingRequest) {
        val builder = RequestResponseBuilder()
        builder.requestLine(HttpMethod(request.method), request.target, "HTTP/1.1")
        request.headers.fields.forEach { builder.headerLine(it.name, it.value) }
        if (request.headers["Host"] == null) builder.headerLine("Host", "${endpoint.host}:${endpoint.port}")
        if (request.body.isNotEmpty() || request.method in METHODS_WITH_BODY) {
            builder.headerLine("Content-Length", request.body.size.toString())
        }
        builder.emptyLine()
        try {
            output.writePacket(builder.build())
            output.writeByteArray(request.body)
            output.flush()
        } catch (e: IOException) {
            // The reader sees the end of the connection too and reports it.
            log.debug("event=send_failed endpoint={}:{} error={}", endpoint.host, endpoint.port, e.message)
        }
    }

    private fun takeIdleOrNull(endpoint: Endpoint): Connection? {
        val kept = idle[endpoint] ?: return null
        while (kept.isNotEmpty()) {
            val connection = kept.removeLast()
            if (connection.isReusable) return connection
            connection.close()
        }
        return null
    }

    private suspend fun connectOrNull(endpoint: Endpoint): Connection? =
        try {
            withTimeoutOrNull(connectTimeout) {
                val address = InetSocketAddress(endpoint.host, endpoint.port)
                Connection(aSocket(selector).tcp().connect(address) { noDelay = true })
            }
        } catch (e: IOException) {
            log.debug("event=connect_failed endpoint={}:{} error={}", endpoint.host, endpoint.port, e.message)
            null
        }

    private fun keep(endpoint: Endpoint, connection: Connection) {
        connection.idleSince = TimeSource.Monotonic.markNow()
        val kept = idle.getOrPut(endpoint, ::ArrayDeque)
        kept.addLast(connection)
        while (kept.size > 1 && !kept.first().isReusable) kept.removeFirst().close()
    }

    private companion object {
        private val log = LoggerFactory.getLogger(HttpClient::class.java)

        /** How long a connection is kept when its peer does not say; peers commonly close after five seconds. */
        val DEFAULT_IDLE_LIMIT: Duration = 4.seconds

        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}

/** Returns how long the peer keeps an idle connection, less a second in which its close may be on its way. */
private fun Headers.keepAliveOrNull(): Duration? =
    tokens("Keep-Alive")
        .firstOrNull { it.startsWith("timeout=") }
        ?.removePrefix("timeout=")
        ?.toIntOrNull()
        ?.let { (it.seconds - 1.seconds).coerceAtLeast(Duration.ZERO) }

private fun ReadFailure.toExchangeFailure(): ExchangeFailure =
    when (this) {
        ReadFailure.Ended, ReadFailure.Truncated, ReadFailure.TooSlow -> ExchangeFailure.Cut
        ReadFailure.HeaderTooLarge, ReadFailure.BodyTooLarge, ReadFailure.Malformed -> ExchangeFailure.Malformed
    }
