package gypsumcart.pipeline

import gypsumcart.core.MonotonicTime
import java.util.PriorityQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Reads the monotonic clock of this process; a test or a replay gives another one. */
public fun interface MonotonicClock {
    /** Returns the time now. */
    public fun now(): MonotonicTime

    public companion object {
        /** The clock of the virtual machine. */
        public val SYSTEM: MonotonicClock = MonotonicClock { MonotonicTime(System.nanoTime()) }
    }
}

/** Names one subscription to the timer service. */
@JvmInline
public value class TimerId internal constructor(internal val number: Long)

/** Tells subscribers when a time has come. */
public interface Timers {
    /** Calls [notify] once, [delay] from now, on the timer's thread; [notify] must not wait. */
    public fun after(delay: Duration, notify: () -> Unit): TimerId

    /** Calls [notify] again and again, [period] apart, on the timer's thread; [notify] must not wait. */
    public fun every(period: Duration, notify: () -> Unit): TimerId

    /** Ends a subscription; one that has ended already is left as it is. */
    public fun cancel(id: TimerId)
}

/** Keeps all subscriptions to time in one place, on one thread, which parks until the next one is due. */
public class TimerService(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    ringCapacity: Int = DEFAULT_CAPACITY,
) : Duty, Timers {
    override val name: String = "timer"

    private class Subscription(val id: TimerId, var due: MonotonicTime, val period: Duration?, val notify: () -> Unit)

    private sealed class Command {
        class Subscribe(val subscription: Subscription) : Command()

        class Cancel(val id: TimerId) : Command()
    }

    private val ring = Ring<Command>("timer", ringCapacity)
    private val ids = AtomicLong()
    private val queue = PriorityQueue<Subscription>(compareBy { it.due })
    private val live = HashMap<TimerId, Subscription>()

    @Volatile
    private var thread: Thread? = null

    override fun after(delay: Duration, notify: () -> Unit): TimerId = subscribe(delay, null, notify)

    override fun every(period: Duration, notify: () -> Unit): TimerId = subscribe(period, period, notify)

    override fun cancel(id: TimerId): Unit = ring.put(Command.Cancel(id))

    override fun start() {
        check(thread == null) { "the timer service was started before" }
        thread = thread(name = name, isDaemon = true, block = ::run)
    }

    override fun stop(limit: Duration) {
        val t = thread ?: return
        t.interrupt()
        t.join(limit.inWholeMilliseconds)
    }

    private fun subscribe(delay: Duration, period: Duration?, notify: () -> Unit): TimerId {
        val id = TimerId(ids.incrementAndGet())
        val due = clock.now() + delay
        ring.put(Command.Subscribe(Subscription(id, due, period, notify)))
        return id
    }

    private fun run() {
        try {
            while (!Thread.currentThread().isInterrupted) {
                nextCommandOrNull()?.let(::carryOut)
                notifyDue()
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun nextCommandOrNull(): Command? {
        val next = queue.peek() ?: return ring.take()
        val wait = next.due - clock.now()
        return ring.takeOrNull(wait.coerceAtLeast(Duration.ZERO))
    }

    private fun carryOut(command: Command) {
        when (command) {
            is Command.Subscribe -> {
                live[command.subscription.id] = command.subscription
                queue.add(command.subscription)
            }

            is Command.Cancel -> live.remove(command.id)?.let(queue::remove)
        }
    }

    private fun notifyDue() {
        val now = clock.now()
        while (true) {
            val next = queue.peek() ?: return
            if (next.due > now) return
            queue.remove()
            renewOrEnd(next, now)
            next.notify()
        }
    }

    private fun renewOrEnd(subscription: Subscription, now: MonotonicTime) {
        val period = subscription.period
        if (period == null) {
            live.remove(subscription.id)
            return
        }
        subscription.due = now + period
        queue.add(subscription)
    }

    private companion object {
        const val DEFAULT_CAPACITY = 65_536
    }
}
