package gypsumcart.http

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.disposeOnCancellation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.slf4j.LoggerFactory
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.CancelledKeyException
import java.nio.channels.ClosedSelectorException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.TreeSet
import java.util.concurrent.ArrayBlockingQueue
import kotlin.concurrent.thread
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/**
 * Runs coroutines, their timers and the sockets that they wait for on one thread.
 *
 * The thread sleeps in the selector until a socket is ready, a timer is due or another thread dispatches a coroutine.
 * A coroutine that continues after a socket became ready therefore runs without a hand-over between threads.
 *
 * @property memory bounds what the messages on all connections hold in memory
 */
@OptIn(InternalCoroutinesApi::class)
public class SocketLoop(
    name: String,
    public val memory: MemoryBudget = MemoryBudget.ofHeap(),
) : CoroutineDispatcher(), Delay {
    private class Timer(val dueNanos: Long, val order: Long, val block: Runnable) : Comparable<Timer> {
        override fun compareTo(other: Timer): Int {
            val byTime = (dueNanos - other.dueNanos).compareTo(0)
            return if (byTime != 0) byTime else order.compareTo(other.order)
        }
    }

    private val selector = Selector.open()
    private val dispatchedHere = ArrayDeque<Runnable>()
    private val dispatchedElsewhere = ArrayBlockingQueue<Runnable>(MAX_DISPATCHED)
    private val timers = TreeSet<Timer>()
    private var lastTimer = 0L

    /** Whether the thread is or is about to be in the selector, so that a dispatch has to wake it up. */
    @Volatile
    private var sleeping = false

    private val loopThread = thread(name = name, isDaemon = true, start = false, block = ::run)

    /** Receives the bytes of a socket before they are copied to its connection; used on the loop's thread only. */
    internal val transferBuffer: ByteBuffer = ByteBuffer.allocateDirect(TRANSFER_BYTES)

    init {
        loopThread.start()
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (Thread.currentThread() === loopThread) {
            dispatchedHere.addLast(block)
        } else {
            dispatchedElsewhere.put(block)
            if (sleeping) selector.wakeup()
        }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val handle = schedule(timeMillis) { continuation.resume(Unit) }
        continuation.disposeOnCancellation(handle)
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        schedule(timeMillis, block)

    private fun schedule(timeMillis: Long, block: Runnable): DisposableHandle {
        val dueNanos = System.nanoTime() + timeMillis.coerceAtMost(MAX_DELAY_MILLIS) * NANOS_PER_MILLI
        if (Thread.currentThread() === loopThread) {
            val timer = Timer(dueNanos, ++lastTimer, block)
            timers += timer
            return DisposableHandle { execute { timers -= timer } }
        }
        val handle = ForeignTimer()
        execute {
            if (!handle.disposed) Timer(dueNanos, ++lastTimer, block).let { handle.timer = it.also(timers::add) }
        }
        return handle
    }

    /** A timer that another thread scheduled; the loop's thread adds it when it gets to it. */
    private inner class ForeignTimer : DisposableHandle {
        var timer: Timer? = null

        @Volatile
        var disposed = false

        override fun dispose() {
            disposed = true
            execute { timer?.let(timers::remove) }
        }
    }

    /** Runs [action] on the thread of the loop: at once if this is it, otherwise soon. */
    public fun execute(action: () -> Unit) {
        if (Thread.currentThread() === loopThread) action() else dispatch(this, Runnable(action))
    }

    /** Ends the thread; coroutines that are still on it do not continue. */
    public fun close() {
        selector.close()
    }

    /** Registers [channel], which must be in non-blocking mode; called on the loop's thread. */
    internal fun register(channel: SelectableChannel): SocketInterest =
        SocketInterest().also { it.key = channel.register(selector, 0, it) }

    /** Deregisters the channels of cancelled keys, which the selector otherwise does when it runs next. */
    internal fun deregisterCancelled() {
        selector.selectNow(::resumeWaiters)
    }

    private fun run() {
        while (selector.isOpen) {
            runDispatched()
            runDueTimers()
            select()
        }
    }

    private fun runDispatched() {
        repeat(MAX_TASKS_PER_ROUND) {
            val task = dispatchedHere.removeFirstOrNull() ?: dispatchedElsewhere.poll() ?: return
            runSafely(task)
        }
    }

    private fun runDueTimers() {
        val now = System.nanoTime()
        while (timers.isNotEmpty() && timers.first().dueNanos - now <= 0) runSafely(timers.pollFirst().block)
    }

    @Suppress("TooGenericExceptionCaught") // One failed task must not end the thread that runs all others.
    private fun runSafely(task: Runnable) {
        try {
            task.run()
        } catch (e: Exception) {
            log.error("event=task_failed loop={}", loopThread.name, e)
        }
    }

    private fun select() {
        sleeping = true
        try {
            val waitMillis = waitMillis()
            if (waitMillis == 0L) selector.selectNow(::resumeWaiters) else selector.select(::resumeWaiters, waitMillis)
        } catch (e: IOException) {
            log.error("event=select_failed loop={}", loopThread.name, e)
        } catch (_: ClosedSelectorException) {
            log.debug("event=loop_closed loop={}", loopThread.name)
        } finally {
            sleeping = false
        }
    }

    /** Returns how long the thread may sleep: 0 if there is something to run. */
    private fun waitMillis(): Long {
        if (dispatchedHere.isNotEmpty() || dispatchedElsewhere.isNotEmpty()) return 0
        val nanos = (timers.firstOrNull() ?: return MAX_SLEEP_MILLIS).dueNanos - System.nanoTime()
        if (nanos <= 0) return 0
        return ((nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI).coerceAtMost(MAX_SLEEP_MILLIS)
    }

    private fun resumeWaiters(key: SelectionKey) {
        try {
            (key.attachment() as SocketInterest).resumeReady(key.readyOps())
        } catch (_: CancelledKeyException) {
            log.debug("event=key_cancelled loop={}", loopThread.name)
        }
    }

    private companion object {
        private val log = LoggerFactory.getLogger(SocketLoop::class.java)

        /** More than the coroutines that can be waiting for another thread at once. */
        const val MAX_DISPATCHED = 65_536

        /** Bounds the time for which ready sockets wait for dispatched coroutines. */
        const val MAX_TASKS_PER_ROUND = 256

        /** Large enough for most messages. */
        const val TRANSFER_BYTES = 16_384

        const val NANOS_PER_MILLI = 1_000_000L
        const val MAX_SLEEP_MILLIS = 60_000L

        /** A year; longer delays would overflow the time of a timer. */
        const val MAX_DELAY_MILLIS = 31_536_000_000L
    }
}

/** Lets coroutines wait until a socket is ready; used on the thread of its loop only. */
internal class SocketInterest {
    lateinit var key: SelectionKey
    private var reader: CancellableContinuation<Unit>? = null
    private var writer: CancellableContinuation<Unit>? = null

    /** Waits until the socket can be read from, or accepts a connection. */
    suspend fun awaitReadable(operation: Int = SelectionKey.OP_READ): Unit =
        suspendCancellableCoroutine { continuation ->
            reader = continuation
            continuation.invokeOnCancellation { if (reader === continuation) reader = null }
            addInterest(operation)
        }

    /** Waits until the socket can be written to, or is connected. */
    suspend fun awaitWritable(operation: Int = SelectionKey.OP_WRITE): Unit =
        suspendCancellableCoroutine { continuation ->
            writer = continuation
            continuation.invokeOnCancellation { if (writer === continuation) writer = null }
            addInterest(operation)
        }

    private fun addInterest(operation: Int) {
        if (!key.isValid) return resumeAll()
        val operations = key.interestOps()
        if (operations and operation == 0) key.interestOps(operations or operation)
    }

    /** Interest in reading is kept while someone waits for it again and again, which saves system calls. */
    fun resumeReady(operations: Int) {
        val isReadable = operations and READ_OPERATIONS != 0
        val isWritable = operations and WRITE_OPERATIONS != 0
        val waitingReader = reader
        if (isReadable) {
            reader = null
            if (waitingReader == null) key.interestOps(key.interestOps() and READ_OPERATIONS.inv())
            waitingReader?.resume(Unit)
        }
        if (isWritable) {
            val waitingWriter = writer
            writer = null
            key.interestOps(key.interestOps() and WRITE_OPERATIONS.inv())
            waitingWriter?.resume(Unit)
        }
    }

    /** Resumes those who wait, whose next operation on the closed socket fails. */
    fun resumeAll() {
        val waiting = listOfNotNull(reader, writer)
        reader = null
        writer = null
        waiting.forEach { it.resume(Unit) }
    }

    private companion object {
        const val READ_OPERATIONS = SelectionKey.OP_READ or SelectionKey.OP_ACCEPT
        const val WRITE_OPERATIONS = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT
    }
}
