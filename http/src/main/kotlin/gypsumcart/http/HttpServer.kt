package gypsumcart.http

import com.github.michaelbull.result.getOrElse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.slf4j.LoggerFactory
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
 */
public class HttpServer(
    private val name: String,
    private val host: String,
    private val port: Int,
    private val loop: SocketLoop,
    private val scope: CoroutineScope,
    private val limits: () -> MessageLimits,
    private val handler: RequestHandler,
) {
    private var listener: TcpListener? = null

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

    /** Closes each connection after its next response, which carries `Connection: close`. */
    public fun drain() {
        draining = true
    }

    /** Stops accepting connections; open ones are still served. */
    public fun stopListening() {
        loop.execute { listener?.close() }
    }

    private suspend fun acceptConnections(listener: TcpListener) {
        while (scope.isActive) {
            try {
                val connection = listener.acceptOrNull() ?: return
                scope.launch(loop) { serveConnection(connection) }
            } catch (e: IOException) {
                if (listener.isClosed) return
                log.warn("event=accept_failed server={} error={}", name, e.message)
                delay(ACCEPT_RETRY_DELAY)
            }
        }
    }

    private suspend fun serveConnection(socket: TcpConnection) {
        try {
            val input = socket.input
            val output = socket.output
            do {
                val mayContinue = serveRequest(input, output)
            } while (mayContinue)
            output.flushAndClose()
        } catch (_: ClientDisconnectedException) {
            log.debug("event=client_gone server={}", name)
        } catch (e: IOException) {
            log.debug("event=connection_lost server={} error={}", name, e.message)
        } finally {
            socket.close()
        }
    }

    /** Serves one request and returns whether the connection may carry another. */
    private suspend fun serveRequest(input: ByteReadChannel, output: ByteWriteChannel): Boolean {
        val limits = this.limits()
        val hasContent = withTimeoutOrNull(limits.idleTimeout) { input.awaitContent() } ?: false
        if (!hasContent) return false
        val request = input.readRequest(limits).getOrElse { return reject(it, output) }
        val closeRequested = "close" in request.headers.tokens("Connection")
        val response = ResponseWriter(output, request.method) { draining || closeRequested }
        handleUntilDisconnect(request, response, input)
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

    private suspend fun reject(failure: ReadFailure, output: ByteWriteChannel): Boolean {
        val status = failure.statusOrNull() ?: return false
        log.info("event=request_unreadable server={} reason={} status={}", name, failure::class.simpleName, status)
        ResponseWriter(output, "GET") { true }.send(ResponseHead(status, Headers.EMPTY), ByteArray(0))
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
        ReadFailure.Malformed -> HTTP_BAD_REQUEST
    }

private const val HTTP_BAD_REQUEST = 400
private const val HTTP_REQUEST_TIMEOUT = 408
private const val HTTP_BODY_TOO_LARGE = 413
private const val HTTP_HEADER_TOO_LARGE = 431
