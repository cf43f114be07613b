package gypsumcart.pipeline

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Takes events on their way to a duty. */
public interface Inlet<in E : Any> {
    /** Adds [event] if there is room for new work, and returns whether there was. */
    public fun offer(event: E): Boolean

    /** Adds [event], waiting for room; only for rings further down the flow than the calling duty's own. */
    public fun put(event: E)

    /** Adds the answer to something that the calling duty's upstream has outstanding; uses the reserved room too. */
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

    private val queue = ArrayBlockingQueue<E>(capacity)

    /** How many events wait. */
    public val size: Int get() = queue.size

    override fun offer(event: E): Boolean = queue.size < capacity - reserved && queue.offer(event)

    override fun put(event: E): Unit = queue.put(event)

    override fun reply(event: E) {
        check(queue.offer(event)) { "ring $name has more answers than its reserved room $reserved" }
    }

    /** Removes and returns the next event, waiting for one. */
    public fun take(): E = queue.take()

    /** Removes and returns the next event, or null when none came within [limit]. */
    public fun takeOrNull(limit: Duration): E? = queue.poll(limit.inWholeNanoseconds, TimeUnit.NANOSECONDS)

    /** Moves the events that wait, at most [limit] of them, to [target] and returns how many those were. */
    public fun drainTo(target: MutableCollection<in E>, limit: Int): Int = queue.drainTo(target, limit)
}
