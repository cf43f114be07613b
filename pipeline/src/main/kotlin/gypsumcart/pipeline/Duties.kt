package gypsumcart.pipeline

import gypsumcart.core.Decider
import org.slf4j.LoggerFactory
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Performs one job on a dedicated thread, which alone accesses the job's state. */
public interface Duty {
    /** The name of the duty and of its thread. */
    public val name: String

    /**
     * Starts the thread.
     *
     * @throws IllegalStateException if the duty has already been started
     */
    public fun start()

    /** Interrupts the thread and waits up to [timeout] for it to end. */
    public fun stop(timeout: Duration)
}

/** Returns a duty that passes the events of [ring] to [decider] and executes the resulting effects in order. */
public fun <E : Any, F> deciderDuty(
    ring: Ring<E>,
    decider: Decider<E, F>,
    clock: MonotonicClock,
    execute: (F) -> Unit,
): Duty = RingDuty(ring) { event -> decider.decide(event, clock.now()).forEach(execute) }

/**
 * Passes the events of one ring to [handle], one at a time, on one thread.
 *
 * If [handle] throws an exception, it is logged, the event is dropped and the duty continues with the next one.
 */
public class RingDuty<E : Any>(
    private val ring: Ring<E>,
    private val handle: (E) -> Unit,
) : Duty {
    override val name: String get() = ring.name

    @Volatile
    private var thread: Thread? = null

    override fun start() {
        check(thread == null) { "duty $name has already been started" }
        thread = thread(name = name, isDaemon = true, block = ::run)
    }

    override fun stop(timeout: Duration) {
        val t = thread ?: return
        t.interrupt()
        t.join(timeout.inWholeMilliseconds)
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

    @Suppress("TooGenericExceptionCaught") // One failed event must not end the thread that handles all others.
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
