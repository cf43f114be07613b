package gypsumcart.pipeline

import gypsumcart.core.Decider
import org.slf4j.LoggerFactory
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Does one job on a thread of its own, which owns the job's state. */
public interface Duty {
    /** The name of the duty and of its thread. */
    public val name: String

    /** Starts the thread; called once. */
    public fun start()

    /** Asks the thread to end and waits for it, at most [limit]. */
    public fun stop(limit: Duration)
}

/** Returns a duty that lets [decider] decide on the events of [ring] and carries out the effects in their order. */
public fun <E : Any, F> deciderDuty(
    ring: Ring<E>,
    decider: Decider<E, F>,
    clock: MonotonicClock,
    carryOut: (F) -> Unit,
): Duty = RingDuty(ring) { event -> decider.decide(event, clock.now()).forEach(carryOut) }

/**
 * Hands the events of one ring to [handle], one after the other, on one thread.
 *
 * An event whose handling throws is logged and dropped; the duty goes on with the next one.
 */
public class RingDuty<E : Any>(
    private val ring: Ring<E>,
    private val handle: (E) -> Unit,
) : Duty {
    override val name: String get() = ring.name

    @Volatile
    private var thread: Thread? = null

    override fun start() {
        check(thread == null) { "duty $name was started before" }
        thread = thread(name = name, isDaemon = true, block = ::run)
    }

    override fun stop(limit: Duration) {
        val t = thread ?: return
        t.interrupt()
        t.join(limit.inWholeMilliseconds)
    }

    private fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val event = takeOrNull() ?: return
            handleSafely(event)
        }
    }

    private fun takeOrNull(): E? =
        try {
            ring.take()
        } catch (_: InterruptedException) {
            null
        }

    @Suppress("TooGenericExceptionCaught") // One faulty event must not end the thread that all others depend on.
    private fun handleSafely(event: E) {
        try {
            handle(event)
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        } catch (e: Exception) {
            log.error("event=duty_fault duty={} kind={}", name, event::class.simpleName, e)
        }
    }

    private companion object {
        private val log = LoggerFactory.getLogger(RingDuty::class.java)
    }
}
