package gypsumcart.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Sink
import kotlinx.io.Source
import kotlinx.io.readAtMostTo
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.net.UnknownHostException
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel

/**
 * Represents an open TCP connection; used on the thread of its [loop] only.
 *
 * Reads from the socket only what a reader waits for, and writes when its writer flushes, so that a slow peer holds up
 * its counterpart instead of filling memory. A fast one gets its turn once in each round of the loop.
 */
internal class TcpConnection(private val loop: SocketLoop, private val channel: SocketChannel) {
    private val interest = loop.register(channel)
    private var isClosed = false

    /** The error that the writer received, which the system does not report to the reader again. */
    private var writeFailure: IOException? = null

    val input: SocketInput = SocketInput()
    val output: ByteWriteChannel = SocketOutput()

    fun close() {
        if (isClosed) return
        isClosed = true
        channel.close()
        interest.resumeAll()
    }

    /** Suspends until the connection that was begun is established. */
    suspend fun awaitConnected() {
        while (!channel.finishConnect()) interest.awaitWritable(SelectionKey.OP_CONNECT)
    }

    @OptIn(InternalAPI::class)
    inner class SocketInput : ByteReadChannel {
        private val received = Buffer()
        private var isEnded = false

        /** Whether the next read waits for the selector. */
        private var readsWhenReady = false

        override var closedCause: Throwable? = null
            private set

        override val isClosedForRead: Boolean get() = (isEnded || closedCause != null) && received.exhausted()

        override val readBuffer: Source
            get() {
                closedCause?.let { throw it }
                return received
            }

        /**
         * Reads once each time that the selector finds the socket readable.
         *
         * A reader that read on for as long as there are bytes would keep the loop from all other connections and
         * timers if its peer sends faster than it reads.
         */
        override suspend fun awaitContent(min: Int): Boolean {
            while (received.size < min) {
                closedCause?.let { throw it }
                if (isEnded) return false
                if (readsWhenReady) interest.awaitReadable()
                readsWhenReady = true
                readOnce()
            }
            return true
        }

        override fun cancel(cause: Throwable?) {
            if (closedCause == null && !isEnded) closedCause = cause ?: IOException("the connection was cancelled")
        }

        /** Reads what has arrived and returns whether the connection is open and no bytes are unread. */
        fun isOpenAndEmpty(): Boolean {
            if (isEnded || closedCause != null) return false
            return try {
                readOnce() == 0 && received.size == 0L
            } catch (_: IOException) {
                false
            }
        }

        /**
         * Returns the number of bytes read, or -1 at the end.
         *
         * The end after a failed write is that of a broken connection, whatever was received before.
         */
        private fun readOnce(): Int {
            val buffer = loop.transferBuffer.clear()
            val n =
                try {
                    channel.read(buffer).also { n -> if (n < 0) writeFailure?.let { throw it } }
                } catch (e: IOException) {
                    closedCause = e
                    throw e
                }
            if (n < 0) isEnded = true
            if (n > 0) received.append(buffer.flip())
            return n
        }
    }

    @OptIn(InternalAPI::class)
    private inner class SocketOutput : ByteWriteChannel {
        private val pending = Buffer()

        override var closedCause: Throwable? = null
            private set

        override val isClosedForWrite: Boolean get() = isClosed || closedCause != null

        override val writeBuffer: Sink
            get() {
                closedCause?.let { throw it }
                return pending
            }

        /** Returns when the socket has taken all bytes. */
        override suspend fun flush() {
            if (pending.exhausted()) return
            val bytes = ByteArray(pending.size.toInt())
            var length = 0
            while (!pending.exhausted()) length += pending.readAtMostTo(bytes, length, bytes.size)
            val buffer = ByteBuffer.wrap(bytes)
            try {
                while (buffer.position() < length) {
                    // Each write copies all that remains up to the limit, though the socket takes only a part of it.
                    buffer.limit(minOf(buffer.position() + MAX_WRITE_BYTES, length))
                    if (channel.write(buffer) == 0) interest.awaitWritable()
                }
            } catch (e: IOException) {
                closedCause = e
                writeFailure = e
                throw e
            }
        }

        override suspend fun flushAndClose() {
            flush()
            if (channel.isOpen) channel.shutdownOutput()
        }

        override fun cancel(cause: Throwable?) {
            if (closedCause == null) closedCause = cause ?: IOException("the connection was cancelled")
        }
    }
}

/** About what a socket takes at once. */
private const val MAX_WRITE_BYTES = 131_072

private fun Buffer.append(bytes: ByteBuffer) {
    val copy = ByteArray(bytes.remaining())
    bytes.get(copy)
    write(copy)
}

/**
 * Connects to [host] at [port]; a coroutine that is cancelled meanwhile closes the connection.
 *
 * @throws IOException if [host] is unknown or refuses the connection
 */
internal suspend fun SocketLoop.connect(host: String, port: Int): TcpConnection {
    val address = InetSocketAddress(host, port)
    if (address.isUnresolved) throw UnknownHostException(host)
    val channel = SocketChannel.open()
    channel.configureBlocking(false)
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
    val connection = TcpConnection(this, channel)
    var connected = false
    try {
        if (!channel.connect(address)) connection.awaitConnected()
        connected = true
    } finally {
        if (!connected) connection.close()
    }
    return connection
}

/** Accepts connections on one address; used on the thread of its [loop] only. */
internal class TcpListener(private val loop: SocketLoop, host: String, port: Int, backlog: Int) {
    private val channel =
        ServerSocketChannel.open().apply {
            configureBlocking(false)
            setOption(StandardSocketOptions.SO_REUSEADDR, true)
            bind(InetSocketAddress(host, port), backlog)
        }
    private val interest = loop.register(channel)

    val isClosed: Boolean get() = !channel.isOpen

    /** Returns the next connection, or null after [closeAfterAccepting]. */
    suspend fun acceptOrNull(): TcpConnection? {
        while (channel.isOpen) {
            val accepted =
                try {
                    acceptWaitingOrNull()
                } catch (_: ClosedChannelException) {
                    return null
                }
            if (accepted != null) return accepted
            interest.awaitReadable(SelectionKey.OP_ACCEPT)
        }
        return null
    }

    private fun acceptWaitingOrNull(): TcpConnection? {
        val accepted = channel.accept() ?: return null
        accepted.configureBlocking(false)
        accepted.setOption(StandardSocketOptions.TCP_NODELAY, true)
        return TcpConnection(loop, accepted)
    }

    /** Passes the connections that wait to be accepted to [accept] and closes the listener, which resets any others. */
    fun closeAfterAccepting(accept: (TcpConnection) -> Unit) {
        // A registered channel stays open until its selector runs, and clients would connect in vain until then.
        interest.key.cancel()
        loop.deregisterCancelled()
        try {
            while (true) accept(acceptWaitingOrNull() ?: break)
        } finally {
            channel.close()
            interest.resumeAll()
        }
    }
}
