package gypsumcart.http

import com.github.michaelbull.result.getOrElse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Responds to requests of clients. */
public fun interface RequestHandler {
    /** Responds to [request] through [response]; is cancelled when the client closes its connection. */
    public suspend fun handle(request: HttpRequest, response: ResponseWriter)
}

/**
 * Serves HTTP/1.1 on one address; all of its work is done on the thread of [loop].
 *
 * @property name identifies the server in log lines
 * @property limits called for each request, so that the limits may change while the server runs
 * @property traffic the kind of messages to which the requests belong
 */
public class HttpServer(
    private val name: String,
    private val host: String,
    private val port: Int,
    private val loop: SocketLoop,
    private val scope: CoroutineScope,
    private val limits: () -> MessageLimits,
    private val handler: RequestHandler,
    private val traffic: Traffic = Traffic.Forwarded,
) {
    private sealed class Phase {
        /** Waits for a request. */
        data object Idle : Phase()

        /** Has received a part of a request. */
        data object Reading : Phase()

        /** Handles a request and writes its response. */
        data object Handling : Phase()

        /** A response was sent before the request had been read. */
        data object Refused : Phase()
    }

    private class ServedConnection(val socket: TcpConnection) {
        var phase: Phase = Phase.Idle
    }

    private var listener: TcpListener? = null

    /** The open connections with their coroutines; used on the loop's thread only. */
    private val connections = HashMap<ServedConnection, Job>()

    @Volatile
    private var draining = false

    /**
     * Binds the address and starts to accept connections.
     *
     * @throws IOException if the address cannot be bound
     */
    public suspend fun start(): Unit =
        withContext(loop) {
            val opened = TcpListener(loop, host, port, BACKLOG)
            listener = opened
            scope.launch(loop) { acceptConnections(opened) }
        }

    /** Closes each connection once its requests are answered; the last response carries `Connection: close`. */
    public fun drain() {
        draining = true
    }

    /**
     * Stops listening, ends all connections and returns when they are closed.
     *
     * Serves what arrives on open connections for up to [closeTimeout]. Then closes idle connections without reading
     * from them, and answers requests that have not arrived completely with [refusal]. After [closeTimeout] once more,
     * closes the others.
     */
    public suspend fun finish(closeTimeout: Duration, refusal: ResponseHead): Unit =
        withContext(loop) {
            drain()
            stopListening()
            awaitConnections(closeTimeout)
            connections.keys.toList().forEach { endUnserved(it, refusal) }
            awaitConnections(closeTimeout)
            connections.keys.toList().forEach { it.socket.close() }
        }

    /** Closes the listener after it has accepted the connections that wait, so that their requests are answered. */
    private fun stopListening() {
        val open = listener?.takeUnless { it.isClosed } ?: return
        try {
            open.closeAfterAccepting(::serve)
        } catch (e: IOException) {
            log.warn("event=accept_failed server={} error={}", name, e.message)
        }
    }

    private suspend fun awaitConnections(closeTimeout: Duration) {
        withTimeoutOrNull(closeTimeout) { connections.values.toList().joinAll() }
    }

    private fun endUnserved(connection: ServedConnection, refusal: ResponseHead) {
        when (connection.phase) {
            Phase.Idle -> connection.socket.close()

            Phase.Reading -> {
                connection.phase = Phase.Refused
                scope.launch(loop) { refuse(connection.socket.output, refusal) }
            }

            Phase.Handling, Phase.Refused -> Unit
        }
    }

    /** Sends [refusal] and no more; the client may still be sending, and a close with unread bytes would reset it. */
    private suspend fun refuse(output: ByteWriteChannel, refusal: ResponseHead) {
        try {
            loop.memory.open(traffic).use { ResponseWriter(output, "GET", it) { true }.send(refusal, ByteArray(0)) }
            output.flushAndClose()
        } catch (_: ClientDisconnectedException) {
            log.debug("event=client_gone server={}", name)
        } catch (e: IOException) {
            log.debug("event=connection_lost server={} error={}", name, e.message)
        }
    }

    private suspend fun acceptConnections(listener: TcpListener) {
        while (scope.isActive) {
            try {
                val connection = listener.acceptOrNull() ?: return
                serve(connection)
            } catch (e: IOException) {
                if (listener.isClosed) return
                log.warn("event=accept_failed server={} error={}", name, e.message)
                delay(ACCEPT_RETRY_DELAY)
            }
        }
    }

    private fun serve(socket: TcpConnection) {
        val connection = ServedConnection(socket)
        connections[connection] = scope.launch(loop) { serveConnection(connection) }
    }

    private suspend fun serveConnection(connection: ServedConnection) {
        try {
            do {
                val mayContinue = serveRequest(connection)
            } while (mayContinue)
            connection.socket.output.flushAndClose()
        } catch (_: ClientDisconnectedException) {
            log.debug("event=client_gone server={}", name)
        } catch (e: IOException) {
            log.debug("event=connection_lost server={} error={}", name, e.message)
        } finally {
            connection.socket.close()
            connections -= connection
        }
    }

    /** Serves one request and returns whether the connection may carry another. */
    private suspend fun serveRequest(connection: ServedConnection): Boolean {
        val input = connection.socket.input
        val output = connection.socket.output
        val limits = this.limits()
        connection.phase = Phase.Idle
        val hasContent = withTimeoutOrNull(limits.idleTimeout) { input.awaitContent() } ?: false
        if (!hasContent) return false
        return loop.memory.open(traffic).use { serveRequest(connection, limits, it) }
    }

    private suspend fun serveRequest(
        connection: ServedConnection,
        limits: MessageLimits,
        reservation: Reservation,
    ): Boolean {
        val input = connection.socket.input
        val output = connection.socket.output
        connection.phase = Phase.Reading
        val read = input.readRequest(limits, reservation)
        if (connection.phase == Phase.Refused) return false
        connection.phase = Phase.Handling
        val request = read.getOrElse { return reject(it, output, reservation) }
        val closeRequested = "close" in request.headers.tokens("Connection")
        // While the server drains, requests that have arrived behind this one are answered before the close.
        val response =
            ResponseWriter(output, request.method, reservation) {
                closeRequested || draining && input.availableForRead == 0
            }
        try {
            handleUntilDisconnect(request, response, input)
            if (response.isEnded) response.tunnel?.carry(connection.socket, loop.memory)
        } finally {
            response.tunnel?.close()
        }
        return response.isEnded && response.isConnectionReusable
    }

    /** Calls the handler and cancels it if the client disconnects. */
    private suspend fun handleUntilDisconnect(
        request: HttpRequest,
        response: ResponseWriter,
        input: ByteReadChannel,
    ) {
        coroutineScope {
            val handling = launch { handler.handle(request, response) }
            val watcher = launch { if (!input.awaitMore()) handling.cancel(ClientDisconnectedException()) }
            handling.join()
            watcher.cancel()
        }
    }

    /** Waits until the client sends more bytes or disconnects, and returns whether it is still connected. */
    private suspend fun ByteReadChannel.awaitMore(): Boolean =
        try {
            awaitContent()
        } catch (e: IOException) {
            log.debug("event=client_reset server={} error={}", name, e.message)
            false
        }

    private suspend fun reject(failure: ReadFailure, output: ByteWriteChannel, reservation: Reservation): Boolean {
        val status = failure.statusOrNull() ?: return false
        log.info("event=request_unreadable server={} reason={} status={}", name, failure::class.simpleName, status)
        ResponseWriter(output, "GET", reservation) { true }.send(ResponseHead(status, Headers.EMPTY), ByteArray(0))
        return false
    }

    private companion object {
        private val log = LoggerFactory.getLogger(HttpServer::class.java)

        /** Limits the connections waiting to be accepted; all clients of a large host may connect at once. */
        const val BACKLOG = 1_024

        /** The delay after a failed accept, which happens when the process has no file descriptor left. */
        val ACCEPT_RETRY_DELAY = 20.milliseconds
    }
}

private fun ReadFailure.statusOrNull(): Int? =
    when (this) {
        ReadFailure.Ended, ReadFailure.Truncated -> null
        ReadFailure.TooSlow -> HTTP_REQUEST_TIMEOUT
        ReadFailure.HeaderTooLarge -> HTTP_HEADER_TOO_LARGE
        ReadFailure.BodyTooLarge -> HTTP_BODY_TOO_LARGE
        ReadFailure.NoMemory -> HTTP_UNAVAILABLE
        ReadFailure.Malformed -> HTTP_BAD_REQUEST
    }

private const val HTTP_BAD_REQUEST = 400
private const val HTTP_REQUEST_TIMEOUT = 408
private const val HTTP_BODY_TOO_LARGE = 413
private const val HTTP_HEADER_TOO_LARGE = 431
private const val HTTP_UNAVAILABLE = 503
