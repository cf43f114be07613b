package gypsumcart.http

import com.github.michaelbull.result.onSuccess
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.EOFException
import kotlinx.io.IOException
import kotlinx.io.Source
import kotlinx.io.readByteArray
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Describes why a connection through another server was not established; nothing was sent on it. */
public sealed class TunnelFailure {
    /** The server that was to carry the connection did not respond in time. */
    public data object NoAnswer : TunnelFailure()

    /** The server responded with [status]. */
    public data class Refused(public val status: Int) : TunnelFailure()
}

/**
 * Carries the bytes of a client to another server and back, after [ResponseWriter.openTunnel].
 *
 * @property connection leads to the other server and is closed with the tunnel
 * @property onResponseHead called with the head of the first response, if it can be read
 * @property onClosed called once when the tunnel has ended
 */
public class Tunnel(
    internal val connection: OpenedConnection,
    internal val onResponseHead: (ResponseHead) -> Unit,
    internal val onClosed: () -> Unit,
) {
    /** Closes the connection of a tunnel. */
    internal fun close() {
        connection.close()
        onClosed()
    }

    /**
     * Carries bytes until one side closes its connection; the other connection is closed by the caller.
     *
     * @throws IOException if a connection fails
     */
    internal suspend fun carry(near: TcpConnection, memory: MemoryBudget): Unit =
        coroutineScope {
            val response =
                launch {
                    sendFrames(near.output, memory)
                    delay(CLOSE_TIMEOUT)
                    near.close()
                }
            if (forwardRequest(near.input)) response.cancel() else response.join()
        }

    /** Returns true at the end of [input], or false if the other server takes no more and may still respond. */
    private suspend fun forwardRequest(input: ByteReadChannel): Boolean {
        while (true) {
            val bytes = input.readSomeOrNull() ?: return true
            try {
                connection.socket.output.writeInPieces(bytes)
                connection.socket.output.flush()
            } catch (e: IOException) {
                log.debug("event=tunnel_request_cut error={}", e.message)
                return false
            }
        }
    }

    private suspend fun sendFrames(output: ByteWriteChannel, memory: MemoryBudget) {
        val head = HeadObserver(memory, onResponseHead)
        while (true) {
            val bytes = connection.socket.input.readSomeOrNull() ?: break
            head.observe(bytes)
            output.writeFrame(bytes)
        }
        output.writeFrame(ByteArray(0))
    }

    private companion object {
        val log = LoggerFactory.getLogger(Tunnel::class.java)

        /** How long the client may take to close its connection after the end of the response. */
        val CLOSE_TIMEOUT: Duration = 1.seconds
    }
}

/** Passes the head of the first response in a sequence of bytes to [onHead]. */
private class HeadObserver(private val memory: MemoryBudget, private val onHead: (ResponseHead) -> Unit) {
    private val collected = Buffer()
    private var isOver = false

    suspend fun observe(bytes: ByteArray) {
        if (isOver) return
        collected.write(bytes)
        val head = collected.copy().readByteArray()
        val isComplete = head.indexOfHeadEnd() >= 0
        isOver = isComplete || head.size > MAX_HEAD_BYTES
        if (!isComplete) return
        collected.clear()
        memory.open(Traffic.Forwarded).use { ByteReadChannel(head).readResponseHead(it).onSuccess(onHead) }
    }

    private companion object {
        /** More than the head of a usual response; a longer one is carried without being read. */
        const val MAX_HEAD_BYTES = 16_384
    }
}

private fun ByteArray.indexOfHeadEnd(): Int =
    (0..size - HEAD_END.size).firstOrNull { start -> HEAD_END.indices.all { this[start + it] == HEAD_END[it] } } ?: -1

private val HEAD_END = "\r\n\r\n".encodeToByteArray()

/** Returns the bytes that are there, after waiting for the first, or null at the end. */
@OptIn(InternalAPI::class)
private suspend fun ByteReadChannel.readSomeOrNull(): ByteArray? {
    if (!awaitContent()) return null
    val some = Buffer()
    readBuffer.readAtMostTo(some, MAX_FRAME_BYTES.toLong())
    return some.readByteArray()
}

/** Writes [bytes] after their number; a frame without bytes is the end of the connection. */
@OptIn(InternalAPI::class)
private suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeBuffer.writeShort(bytes.size.toShort())
    writeBuffer.write(bytes)
    flush()
}

/**
 * Reads what a [Tunnel] carries back.
 *
 * The end of the carried connection is a frame of its own, so that a tunnel that breaks off is not taken for it.
 */
internal class FramedInput(private val source: ByteReadChannel) : ByteReadChannel {
    private val received = Buffer()
    private var remaining = 0L
    private var isEnded = false

    override var closedCause: Throwable? = null
        private set

    override val isClosedForRead: Boolean get() = (isEnded || closedCause != null) && received.exhausted()

    @InternalAPI
    override val readBuffer: Source
        get() {
            closedCause?.let { throw it }
            return received
        }

    override suspend fun awaitContent(min: Int): Boolean {
        while (received.size < min) {
            closedCause?.let { throw it }
            if (isEnded) return false
            try {
                readSome()
            } catch (e: IOException) {
                closedCause = e
                throw e
            }
        }
        return true
    }

    @OptIn(InternalAPI::class)
    private suspend fun readSome() {
        if (remaining == 0L) {
            if (!source.awaitContent(FRAME_HEAD_BYTES)) throw EOFException(BROKEN)
            remaining = source.readBuffer.readShort().toLong() and MAX_SHORT
            isEnded = remaining == 0L
            if (isEnded) return
        }
        if (!source.awaitContent()) throw EOFException(BROKEN)
        remaining -= source.readBuffer.readAtMostTo(received, remaining)
    }

    override fun cancel(cause: Throwable?) {
        if (closedCause == null && !isEnded) closedCause = cause ?: IOException("the connection was cancelled")
    }

    private companion object {
        const val FRAME_HEAD_BYTES = 2
        const val MAX_SHORT = 0xffffL
        const val BROKEN = "the tunnel broke off"
    }
}

/** About what a socket takes at once; the length of a frame has two bytes. */
private const val MAX_FRAME_BYTES = 16_384
