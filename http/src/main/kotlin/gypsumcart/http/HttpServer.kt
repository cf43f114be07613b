package gypsumcart.http

import com.github.michaelbull.result.getOrElse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/** Answers requests. */
public fun interface RequestHandler {
    /** Answers [request] through [reply]; cancelled when the client closes its connection. */
    public suspend fun handle(request: HttpRequest, reply: Reply)
}

/**
 * Serves HTTP/1.1 on one address.
 *
 * @property limits read anew for each message, so that they may change
 */
public class HttpServer(
    private val name: String,
    private val host: String,
    private val port: Int,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val limits: () -> MessageLimits,
    private val handler: RequestHandler,
) {
    private var listener: ServerSocket? = null

    @Volatile
    private var draining = false

    /** Begins to listen and to serve. */
    public suspend fun start() {
        val socket =
            aSocket(selector).tcp().bind(host, port) {
                backlogSize = BACKLOG
                reuseAddress = true
            }
        listener = socket
        scope.launch { accept(socket) }
    }

    /** Asks clients to close their connections from now on, by the answers to their requests. */
    public fun drain() {
        draining = true
    }

    /** Takes no new connections from now on. */
    public fun stopListening() {
        listener?.close()
    }

    private suspend fun accept(socket: ServerSocket) {
        while (scope.isActive && !socket.isDone()) {
            try {
                val connection = socket.accept()
                scope.launch { serve(connection) }
            } catch (e: IOException) {
                if (socket.isDone()) return
                log.warn("event=accept_failed server={} error={}", name, e.message)
                delay(ACCEPT_PAUSE)
            }
        }
    }

    private fun ServerSocket.isDone(): Boolean = socketContext.isCompleted || socketContext.isCancelled

    private suspend fun serve(socket: Socket) {
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            do {
                val another = serveNext(input, output)
            } while (another)
            output.flushAndClose()
        } catch (_: ClientGoneException) {
            log.debug("event=client_gone server={}", name)
        } catch (e: IOException) {
            log.debug("event=connection_lost server={} error={}", name, e.message)
        } finally {
            socket.close()
        }
    }

    /** Serves one request and returns whether another may follow. */
    private suspend fun serveNext(input: ByteReadChannel, output: ByteWriteChannel): Boolean {
        val limits = this.limits()
        val begun = withTimeoutOrNull(limits.idleTimeout) { input.awaitContent() } ?: false
        if (!begun) return false
        val request = input.readRequest(limits).getOrElse { return refuse(it, output) }
        val closesAfter = "close" in request.headers.tokens("Connection")
        val reply = Reply(output, request.method) { draining || closesAfter }
        handleWatched(request, reply, input)
        return reply.isEnded && reply.keepsConnection
    }

    private suspend fun handleWatched(request: HttpRequest, reply: Reply, input: ByteReadChannel) {
        coroutineScope {
            val work = launch { handler.handle(request, reply) }
            val watch = launch { if (!input.isOpen()) work.cancel(ClientGoneException()) }
            work.join()
            watch.cancel()
        }
    }

    /** Waits until the client sends more, or closes, and returns whether the connection is still open. */
    private suspend fun ByteReadChannel.isOpen(): Boolean =
        try {
            awaitContent()
        } catch (e: IOException) {
            log.debug("event=client_reset server={} error={}", name, e.message)
            false
        }

    private suspend fun refuse(failure: ReadFailure, output: ByteWriteChannel): Boolean {
        val status = failure.statusOrNull() ?: return false
        log.info("event=request_unreadable server={} reason={} status={}", name, failure::class.simpleName, status)
        Reply(output, "GET") { true }.whole(ResponseHead(status, Headers.EMPTY), ByteArray(0))
        return false
    }

    private companion object {
        private val log = LoggerFactory.getLogger(HttpServer::class.java)

        /** Connections that may wait to be accepted: a burst of all clients of a large host. */
        const val BACKLOG = 1_024

        /** How long to wait when the process has no descriptor left for a connection. */
        val ACCEPT_PAUSE = 20.milliseconds
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
