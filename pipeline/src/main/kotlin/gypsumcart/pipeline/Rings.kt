package gypsumcart.pipeline

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Takes events on their way to a duty. */
public interface Inlet<in E : Any> {
    /** Adds [event] if there is room for new work, and returns whether there was. */
    public fun offer(event: E): Boolean

    /** Adds [event], waiting for room; only for rings further down the flow than the calling duty's own. */
    public fun put(event: E)

    /**
     * Adds the answer to something that the answer's receiver has outstanding; uses the reserved room, never waits.
     *
     * @throws IllegalStateException if the receiver had more outstanding than the reserved room
     */
    public fun reply(event: E)
}

/**
 * Joins two duties: a bounded first-in first-out ring whose waiting ends park.
 *
 * Of its [capacity] events, [reserved] are kept for answers that flow upstream. The sender of the questions keeps no
 * more than [reserved] of them outstanding, so an answer always finds room and no two duties wait for each other.
 */
public class Ring<E : Any>(
    public val name: String,
    public val capacity: Int,
    private val reserved: Int = 0,
) : Inlet<E> {
    init {
        require(capacity > 0) { "capacity $capacity isn't positive" }
        require(reserved in 0 until capacity) { "reserved room $reserved isn't within 0 until $capacity" }
    }

    private class Slot<E>(val event: E, val isReply: Boolean)

    private val queue = ArrayBlockingQueue<Slot<E>>(capacity)
    private val newWork = Semaphore(capacity - reserved)

    /** How many events wait. */
    public val size: Int get() = queue.size

    override fun offer(event: E): Boolean {
        if (!newWork.tryAcquire()) return false
        if (queue.offer(Slot(event, isReply = false))) return true
        newWork.release()
        return false
    }

    override fun put(event: E) {
        newWork.acquire()
        queue.put(Slot(event, isReply = false))
    }

    override fun reply(event: E) {
        check(queue.offer(Slot(event, isReply = true))) { "ring $name has more answers than its room of $reserved" }
    }

    /** Removes and returns the next event, waiting for one. */
    public fun take(): E = queue.take().release()

    /** Removes and returns the next event, or null when none came within [limit]. */
    public fun takeOrNull(limit: Duration): E? =
        queue.poll(limit.inWholeNanoseconds, TimeUnit.NANOSECONDS)?.release()

    private fun Slot<E>.release(): E {
        if (!isReply) newWork.release()
        return event
    }
}
