package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import com.github.michaelbull.result.toResultOr
import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Represents a request to send.
 *
 * [HttpClient] adds `Host` if it is missing, and `Content-Length` if there is a body or the method usually has one.
 *
 * @property onNewConnection whether the request is sent on a connection of its own, which carries no other
 * @property traffic the kind of messages to which the response belongs
 * @property isWanted returns whether the request is still to be sent; called on the thread of the client, right before
 */
public class OutgoingRequest(
    public val method: String,
    public val target: String,
    public val headers: Headers,
    public val body: ByteArray,
    public val onNewConnection: Boolean = false,
    public val traffic: Traffic = Traffic.Forwarded,
    public val isWanted: () -> Boolean = { true },
)

/**
 * Identifies the destination of connections.
 *
 * @property peerId identifies the process at the address, so that its successor at the same address gets connections
 *   of its own; empty if all processes at the address share their connections
 */
public data class Endpoint(public val host: String, public val port: Int, public val peerId: String = "")

/**
 * Represents a connection that was established and has carried no request yet.
 *
 * @property isShareable whether it can carry several exchanges
 */
public class OpenedConnection private constructor(
    internal val socket: TcpConnection,
    internal val input: ByteReadChannel,
    internal val isShareable: Boolean,
) {
    /** Closes the connection; called on the thread of its loop. */
    public fun close(): Unit = socket.close()

    internal companion object {
        fun direct(socket: TcpConnection): OpenedConnection = OpenedConnection(socket, socket.input, isShareable = true)

        /** Returns the connection that a server carries over [socket]. */
        fun carried(socket: TcpConnection): OpenedConnection =
            OpenedConnection(socket, FramedInput(socket.input), isShareable = false)
    }
}

/** Establishes the connection for an exchange; called on the thread of the client. */
public fun interface Connector {
    /** Returns a new connection, or why there is none; nothing was sent then. */
    public suspend fun connect(): Result<OpenedConnection, ExchangeFailure>
}

/** Describes why an exchange ended without a complete response. */
public sealed class ExchangeFailure {
    /** No connection was established, so nothing was sent. */
    public data object NotConnected : ExchangeFailure()

    /** The request was no longer wanted when the connection was established, so nothing was sent. */
    public data object NotWanted : ExchangeFailure()

    /** The connection closed before the end of the response. */
    public data object ConnectionLost : ExchangeFailure()

    /** The received bytes are not a valid response, or do not fit in the memory for messages. */
    public data object Malformed : ExchangeFailure()
}

/**
 * Reads the body of a response.
 *
 * @property reservation holds the memory that the response takes, until the end of the exchange
 */
public class ResponseBody internal constructor(
    private val source: BodySource,
    public val reservation: Reservation,
) {
    internal var isComplete = false
        private set

    /** Whether the body has neither a length nor chunks, so that only the end of the connection ends it. */
    public val endsWithConnection: Boolean get() = source is BodySource.UntilClose

    /**
     * Reads some bytes into [buffer] and returns their number, or -1 at the end of a complete body.
     *
     * @throws IOException if the connection closes before the end of the body; callers must not catch it, because
     *   [HttpClient.exchange] converts it to [ExchangeFailure.ConnectionLost]
     */
    public suspend fun read(buffer: ByteArray): Int {
        val n = source.read(buffer, 0, buffer.size)
        if (n < 0) isComplete = true
        return n
    }

    internal suspend fun readPieces(maxBytes: Int): Result<BodyPieces, ReadFailure> =
        source.readPieces(maxBytes, reservation).onSuccess { isComplete = true }

    internal suspend fun discard(maxBytes: Int) {
        isComplete = source.discard(maxBytes)
    }
}

/**
 * Represents a response whose head was received and whose body can be read.
 *
 * @property isFirstOnConnection whether the connection carried no request before the one that this response was read
 *   for, so that the response can't belong to an earlier one
 */
public data class ReceivedResponse(
    public val head: ResponseHead,
    public val body: ResponseBody,
    public val isFirstOnConnection: Boolean,
)

/**
 * Sends requests over HTTP/1.1 and reuses idle connections; all of its work is done on the thread of [loop].
 *
 * @property connectTimeout limits the time for establishing a connection
 */
public class HttpClient(
    private val loop: SocketLoop,
    private val connectTimeout: Duration,
) {
    private class Connection(opened: OpenedConnection) {
        val socket = opened.socket
        val input = opened.input

        /** Whether later exchanges may use the connection too. */
        val isShareable = opened.isShareable
        var idleSince: TimeMark = TimeSource.Monotonic.markNow()
        var idleTimeout: Duration = DEFAULT_IDLE_TIMEOUT
        var isUsed = false

        /** Whether the connection is open and has no unread bytes, which would belong to no request. */
        val isOpenAndEmpty: Boolean get() = socket.input.isOpenAndEmpty()

        val isReusable: Boolean get() = idleSince.elapsedNow() < idleTimeout && isOpenAndEmpty

        fun close() = socket.close()
    }

    private val idleConnections = HashMap<Endpoint, ArrayDeque<Connection>>()

    /**
     * Sends [request] to [endpoint] and returns the result of [receive], which reads the response.
     *
     * Cancelling the call closes its connection.
     *
     * @param connector establishes a connection if there is no idle one to use
     */
    public suspend fun <T> exchange(
        endpoint: Endpoint,
        request: OutgoingRequest,
        connector: Connector = Connector { connect(endpoint) },
        receive: suspend (ReceivedResponse) -> T,
    ): Result<T, ExchangeFailure> = withContext(loop) { exchangeOnLoop(endpoint, request, connector, receive) }

    private suspend fun <T> exchangeOnLoop(
        endpoint: Endpoint,
        request: OutgoingRequest,
        connector: Connector,
        receive: suspend (ReceivedResponse) -> T,
    ): Result<T, ExchangeFailure> {
        val idle = if (request.onNewConnection) null else takeIdleOrNull(endpoint)
        val connection = idle ?: Connection(connector.connect().getOrElse { return Err(it) })
        var reusable = false
        val reservation = loop.memory.open(request.traffic)
        val trace = ExchangeTrace(endpoint)
        try {
            if (!request.isWanted()) return Err(ExchangeFailure.NotWanted)
            return coroutineScope {
                val writer = launch { connection.write(endpoint, request, trace) }
                val awaitRequestSent =
                    suspend {
                        writer.join()
                        trace.isRequestSent
                    }
                val result = connection.receive(request.method, reservation, trace, awaitRequestSent, receive)
                reusable = result.reusable && trace.isRequestSent && connection.isOpenAndEmpty
                coroutineContext.cancelChildren()
                trace.log()
                result.value
            }
        } catch (e: IOException) {
            trace.logCut(e)
            return Err(e.toExchangeFailure())
        } finally {
            reservation.close()
            val isKept = reusable && connection.isShareable && !request.onNewConnection
            if (isKept) addIdle(endpoint, connection) else connection.close()
        }
    }

    /** Closes the idle connections to [endpoint]. */
    public fun closeIdle(endpoint: Endpoint): Unit =
        loop.execute { idleConnections.remove(endpoint)?.forEach { it.close() } }

    /** Closes the idle connections to peers that are not in [peerIds]; keeps those to endpoints without a peer id. */
    public fun closeIdleExcept(peerIds: Set<String>): Unit =
        loop.execute {
            val stale = idleConnections.keys.filter { it.peerId.isNotEmpty() && it.peerId !in peerIds }
            for (endpoint in stale) idleConnections.remove(endpoint)?.forEach { it.close() }
        }

    private class Received<T>(val value: Result<T, ExchangeFailure>, val reusable: Boolean)

    private suspend fun <T> Connection.receive(
        method: String,
        reservation: Reservation,
        trace: ExchangeTrace,
        awaitRequestSent: suspend () -> Boolean,
        receive: suspend (ReceivedResponse) -> T,
    ): Received<T> {
        val isFirst = !isUsed
        trace.isFirstOnConnection = isFirst
        isUsed = true
        val head =
            input.readResponseHead(reservation).getOrElse {
                trace.headFailed(it)
                return Received(Err(it.toExchangeFailure()), false)
            }
        val source = input.bodySourceOrNull(head, method, awaitRequestSent)
        trace.headReceived(head, source)
        if (source == null) return Received(Err(ExchangeFailure.Malformed), false)
        val body = ResponseBody(source, reservation)
        val value = receive(ReceivedResponse(head, body, isFirst))
        trace.bodyReceived(body.isComplete)
        head.headers.keepAliveTimeoutOrNull()?.let { idleTimeout = it }
        val keepAlive = "close" !in head.headers.tokens("Connection")
        return Received(Ok(value), body.isComplete && source.isConnectionReusable && keepAlive)
    }

    private suspend fun Connection.write(endpoint: Endpoint, request: OutgoingRequest, trace: ExchangeTrace) {
        val builder = RequestResponseBuilder()
        builder.requestLine(HttpMethod(request.method), request.target, "HTTP/1.1")
        request.headers.fields.forEach { builder.headerLine(it.name, it.value) }
        if (request.headers["Host"] == null) builder.headerLine("Host", "${endpoint.host}:${endpoint.port}")
        if (request.body.isNotEmpty() || request.method in METHODS_WITH_BODY) {
            builder.headerLine("Content-Length", request.body.size.toString())
        }
        builder.emptyLine()
        val output = socket.output
        try {
            output.writePacket(builder.build())
            output.writeInPieces(request.body)
            output.flush()
            trace.sending = ExchangeTrace.Sending.DONE
        } catch (e: IOException) {
            trace.sending = ExchangeTrace.Sending.FAILED
            // The connection reports the failure to the reader where its input ends.
            log.debug("event=send_failed endpoint={}:{} error={}", endpoint.host, endpoint.port, e.message)
        }
    }

    private fun takeIdleOrNull(endpoint: Endpoint): Connection? {
        val idle = idleConnections[endpoint] ?: return null
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            if (connection.isReusable) return connection
            connection.close()
        }
        return null
    }

    /** Keeps a connection that carried nothing for a later exchange with [endpoint]. */
    public fun keepIdle(endpoint: Endpoint, connection: OpenedConnection): Unit =
        addIdle(endpoint, Connection(connection))

    /**
     * Connects to [endpoint]; called on the thread of the loop.
     *
     * The caller has to close the connection or to use it for an exchange.
     */
    public suspend fun connect(endpoint: Endpoint): Result<OpenedConnection, ExchangeFailure> {
        val start = TimeSource.Monotonic.markNow()
        var error = "timeout"
        val connection =
            try {
                withTimeoutOrNull(
                    connectTimeout,
                ) { OpenedConnection.direct(loop.connect(endpoint.host, endpoint.port)) }
            } catch (e: IOException) {
                error = e.message.orEmpty().replace(' ', '_')
                null
            }
        if (connection == null) logUnconnected(endpoint, error, start)
        return connection.toResultOr { ExchangeFailure.NotConnected }
    }

    /**
     * Connects to what [target] names, through the server at [carrier]; called on the thread of the loop.
     *
     * The caller has to close the connection or to use it for an exchange, after which it is closed.
     */
    public suspend fun connectThrough(
        carrier: Endpoint,
        target: String,
        timeout: Duration,
    ): Result<OpenedConnection, TunnelFailure> =
        try {
            withTimeoutOrNull(timeout) { openTunnel(carrier, target) } ?: Err(TunnelFailure.NoAnswer)
        } catch (e: IOException) {
            log.debug("event=tunnel_failed peer={}:{} error={}", carrier.host, carrier.port, e.message)
            Err(TunnelFailure.NoAnswer)
        }

    private suspend fun openTunnel(carrier: Endpoint, target: String): Result<OpenedConnection, TunnelFailure> {
        val socket = loop.connect(carrier.host, carrier.port)
        var isOpen = false
        try {
            val builder = RequestResponseBuilder()
            builder.requestLine(HttpMethod(CONNECT), target, "HTTP/1.1")
            builder.headerLine("Host", "${carrier.host}:${carrier.port}")
            builder.emptyLine()
            socket.output.writePacket(builder.build())
            socket.output.flush()
            val head = loop.memory.open(Traffic.Control).use { socket.input.readResponseHead(it) }
            val status = head.getOrElse { return Err(TunnelFailure.NoAnswer) }.status
            isOpen = status == TUNNEL_OPEN
            return if (isOpen) Ok(OpenedConnection.carried(socket)) else Err(TunnelFailure.Refused(status))
        } finally {
            if (!isOpen) socket.close()
        }
    }

    private fun logUnconnected(endpoint: Endpoint, error: String, start: TimeMark): Unit =
        log.info(
            "event=connect_failed peer={}:{} id={} error={} after_ms={}",
            endpoint.host,
            endpoint.port,
            endpoint.peerId.ifEmpty { null },
            error,
            start.elapsedNow().inWholeMilliseconds,
        )

    private fun addIdle(endpoint: Endpoint, connection: Connection) {
        connection.idleSince = TimeSource.Monotonic.markNow()
        val idle = idleConnections.getOrPut(endpoint, ::ArrayDeque)
        idle.addLast(connection)
        while (idle.size > 1 && !idle.first().isReusable) idle.removeFirst().close()
    }

    private companion object {
        private val log = LoggerFactory.getLogger(HttpClient::class.java)

        /**
         * The idle timeout of connections to a server that sends no `Keep-Alive: timeout`.
         *
         * Servers commonly close idle connections after 5 seconds.
         */
        val DEFAULT_IDLE_TIMEOUT: Duration = 4.seconds

        const val TUNNEL_OPEN = 200

        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}

/** The method of requests for a connection through a server. */
public const val CONNECT: String = "CONNECT"

/**
 * Returns the server's `Keep-Alive` timeout minus one second, or null if the server sends none.
 *
 * In the last second before the timeout, the server's close of the connection may already be in transit.
 */
private fun Headers.keepAliveTimeoutOrNull(): Duration? =
    tokens("Keep-Alive")
        .firstOrNull { it.startsWith("timeout=") }
        ?.removePrefix("timeout=")
        ?.toIntOrNull()
        ?.let { (it.seconds - 1.seconds).coerceAtLeast(Duration.ZERO) }

private fun ReadFailure.toExchangeFailure(): ExchangeFailure =
    when (this) {
        ReadFailure.Ended, ReadFailure.Truncated, ReadFailure.TooSlow -> ExchangeFailure.ConnectionLost
        ReadFailure.HeaderTooLarge, ReadFailure.BodyTooLarge -> ExchangeFailure.Malformed
        ReadFailure.NoMemory, ReadFailure.Malformed -> ExchangeFailure.Malformed
    }

private fun IOException.toExchangeFailure(): ExchangeFailure =
    when (this) {
        is MalformedMessageException -> ExchangeFailure.Malformed
        else -> ExchangeFailure.ConnectionLost
    }
