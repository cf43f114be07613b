package gypsumcart.standins

import java.io.IOException
import java.net.BindException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/** Describes what a link does with connections. */
enum class LinkMode {
    /** Carries all connections. */
    SERVES,

    /** Carries nothing on open connections and doesn't answer new ones. */
    HANGS,

    /** Has reset the open connections and refuses new ones. */
    RESETS,

    /** Resets open connections when something is sent on them, and refuses new ones. */
    RESETS_ON_USE,

    /** Carries open connections and refuses new ones. */
    REFUSES_NEW,
}

/** Forwards the connections to the local port [port] to a target, as a link that can be cut does. */
internal class CuttableLink(val port: Int, private val targetPort: Int) : AutoCloseable {
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()
    private val fillers = CopyOnWriteArrayList<Socket>()
    private val lock = ReentrantLock()
    private val modeChanged = lock.newCondition()

    @Volatile
    private var mode = LinkMode.SERVES

    @Volatile
    private var listener: ServerSocket? = null

    init {
        listen()
    }

    /** The number of connections that are open. */
    val openConnections: Int get() = sockets.size / 2

    fun switchTo(next: LinkMode) {
        if (next == mode) return
        mode = next
        when (next) {
            LinkMode.SERVES -> {
                listener?.close()
                fillers.forEach { it.close() }
                fillers.clear()
                listen()
            }

            LinkMode.HANGS -> {
                listener?.close()
                hang()
            }

            LinkMode.RESETS, LinkMode.RESETS_ON_USE, LinkMode.REFUSES_NEW -> listener?.close()
        }
        if (next == LinkMode.RESETS) sockets.toList().forEach(::reset)
        lock.withLock { modeChanged.signalAll() }
    }

    override fun close() {
        switchTo(LinkMode.RESETS)
        fillers.forEach { it.close() }
    }

    private fun listen() {
        val opened = bind(BACKLOG)
        listener = opened
        thread(isDaemon = true) { accept(opened) }
    }

    /** Binds the port, which a listener that was closed may hold for a moment. */
    private fun bind(backlog: Int): ServerSocket {
        val deadline = System.nanoTime() + MAX_BIND_NANOS
        while (true) {
            try {
                return ServerSocket(port, backlog, LOOPBACK)
            } catch (e: BindException) {
                if (System.nanoTime() > deadline) throw e
                Thread.sleep(1)
            }
        }
    }

    /** Fills the queue of connections that nobody accepts, so that further ones get no answer. */
    private fun hang() {
        listener = bind(backlog = 1)
        repeat(HANGING_BACKLOG) {
            val filler = Socket()
            fillers += filler
            thread(isDaemon = true) {
                try {
                    filler.connect(InetSocketAddress(LOOPBACK, port), 60_000)
                } catch (_: IOException) {
                    filler.close()
                }
            }
        }
        Thread.sleep(FILLING_MILLIS)
    }

    private fun accept(from: ServerSocket) {
        while (!from.isClosed) {
            val near = runCatching { from.accept() }.getOrNull() ?: return
            thread(isDaemon = true) { forward(near) }
        }
    }

    private fun forward(near: Socket) {
        val far = runCatching { Socket(LOOPBACK, targetPort) }.getOrNull() ?: return reset(near)
        sockets += near
        sockets += far
        listOf(near, far).forEach { it.tcpNoDelay = true }
        thread(isDaemon = true) { copy(far, near) }
        copy(near, far)
    }

    private fun copy(from: Socket, to: Socket) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val n = from.getInputStream().read(buffer)
                awaitCarrying()
                if (n < 0) break
                if (mode == LinkMode.RESETS_ON_USE) throw IOException("the link is cut")
                to.getOutputStream().write(buffer, 0, n)
            }
            to.shutdownOutput()
            if (from.isOutputShutdown) listOf(from, to).forEach(::end)
        } catch (_: IOException) {
            listOf(from, to).forEach(::reset)
        }
    }

    private fun awaitCarrying() {
        lock.withLock { while (mode == LinkMode.HANGS) modeChanged.await() }
    }

    private fun end(socket: Socket) {
        sockets -= socket
        socket.close()
    }

    private fun reset(socket: Socket) {
        sockets -= socket
        runCatching { socket.setSoLinger(true, 0) }
        socket.close()
    }

    private companion object {
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
        const val BACKLOG = 200

        /** More than the system's queue for a backlog of one. */
        const val HANGING_BACKLOG = 4
        const val FILLING_MILLIS = 20L
        const val MAX_BIND_NANOS = 1_000_000_000L
        const val BUFFER_BYTES = 16_384
    }
}
