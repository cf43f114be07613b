package gypsumcart.pipeline

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Accepts events for a duty. */
public interface EventSink<in E : Any> {
    /** Adds [event] if unreserved capacity is free, and returns whether it was added; never waits. */
    public fun offer(event: E): Boolean

    /** Adds [event], waiting for unreserved capacity. A duty may call this only for rings downstream of its own. */
    public fun put(event: E)

    /**
     * Adds the reply to a request that the receiving duty has outstanding. A reply may use the reserved capacity, so
     * this never waits.
     *
     * @throws IllegalStateException if the ring is full, because the receiving duty has more requests outstanding than
     * the reserved capacity allows for
     */
    public fun reply(event: E)
}

/**
 * Connects two duties by a bounded first-in, first-out queue; a thread that waits on either side is parked.
 *
 * Of the [capacity], room for [reservedCapacity] events is kept for replies, which flow upstream. The duty that reads
 * this ring keeps at most [reservedCapacity] requests outstanding, so a reply can always be added without waiting and
 * no two duties wait for each other.
 *
 * @property capacity the maximum number of events in the ring, replies included
 */
public class Ring<E : Any>(
    public val name: String,
    public val capacity: Int,
    private val reservedCapacity: Int = 0,
) : EventSink<E> {
    init {
        require(capacity > 0) { "capacity must be positive, was $capacity" }
        require(reservedCapacity in 0 until capacity) {
            "reserved capacity must be at least 0 and less than $capacity, was $reservedCapacity"
        }
    }

    private class Slot<E>(val event: E, val isReply: Boolean)

    private val queue = ArrayBlockingQueue<Slot<E>>(capacity)
    private val unreservedPermits = Semaphore(capacity - reservedCapacity)

    /** The number of events in the ring. */
    public val size: Int get() = queue.size

    override fun offer(event: E): Boolean {
        if (!unreservedPermits.tryAcquire()) return false
        if (queue.offer(Slot(event, isReply = false))) return true
        unreservedPermits.release()
        return false
    }

    override fun put(event: E) {
        unreservedPermits.acquire()
        queue.put(Slot(event, isReply = false))
    }

    override fun reply(event: E) {
        check(queue.offer(Slot(event, isReply = true))) {
            "ring $name is full: more replies than its reserved capacity of $reservedCapacity"
        }
    }

    /** Removes and returns the next event, waiting until there is one. */
    public fun take(): E = queue.take().release()

    /** Removes and returns the next event, or returns null if none arrives within [timeout]. */
    public fun takeOrNull(timeout: Duration): E? =
        queue.poll(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)?.release()

    private fun Slot<E>.release(): E {
        if (!isReply) unreservedPermits.release()
        return event
    }
}
