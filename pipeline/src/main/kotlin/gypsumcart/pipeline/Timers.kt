package gypsumcart.pipeline

import gypsumcart.core.MonotonicTime
import org.slf4j.LoggerFactory
import java.util.PriorityQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Reads a monotonic clock; tests and replays can supply their own in place of [SYSTEM]. */
public fun interface MonotonicClock {
    /** Returns the current time. */
    public fun now(): MonotonicTime

    public companion object {
        /** The monotonic clock of the Java virtual machine. */
        public val SYSTEM: MonotonicClock = MonotonicClock { MonotonicTime(System.nanoTime()) }
    }
}

/** Identifies a timer of a [TimerService]. */
@JvmInline
public value class TimerId internal constructor(internal val number: Long)

/** Schedules callbacks. */
public interface Timers {
    /** Calls [callback] once, [delay] from now, on the timer thread; [callback] must not block. */
    public fun after(delay: Duration, callback: () -> Unit): TimerId

    /** Calls [callback] every [period], first after one period, on the timer thread; [callback] must not block. */
    public fun every(period: Duration, callback: () -> Unit): TimerId

    /** Cancels a timer; has no effect if the timer has already ended. */
    public fun cancel(id: TimerId)
}

/** Runs all timers on one thread, which is parked until the next timer is due. */
public class TimerService(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    ringCapacity: Int = DEFAULT_RING_CAPACITY,
) : Duty, Timers {
    override val name: String = "timer"

    private class Timer(
        val id: TimerId,
        var dueTime: MonotonicTime,
        val period: Duration?,
        val callback: () -> Unit,
    )

    private sealed class Command {
        class Schedule(val timer: Timer) : Command()

        class Cancel(val id: TimerId) : Command()
    }

    private val ring = Ring<Command>("timer", ringCapacity)
    private val lastId = AtomicLong()
    private val timersByDueTime = PriorityQueue<Timer>(compareBy { it.dueTime })
    private val timersById = HashMap<TimerId, Timer>()

    @Volatile
    private var thread: Thread? = null

    override fun after(delay: Duration, callback: () -> Unit): TimerId = schedule(delay, null, callback)

    override fun every(period: Duration, callback: () -> Unit): TimerId = schedule(period, period, callback)

    override fun cancel(id: TimerId): Unit = ring.put(Command.Cancel(id))

    override fun start() {
        check(thread == null) { "the timer service has already been started" }
        thread = thread(name = name, isDaemon = true, block = ::run)
    }

    override fun stop(timeout: Duration) {
        val t = thread ?: return
        t.interrupt()
        t.join(timeout.inWholeMilliseconds)
    }

    private fun schedule(delay: Duration, period: Duration?, callback: () -> Unit): TimerId {
        val id = TimerId(lastId.incrementAndGet())
        val dueTime = clock.now() + delay
        ring.put(Command.Schedule(Timer(id, dueTime, period, callback)))
        return id
    }

    private fun run() {
        try {
            while (!Thread.currentThread().isInterrupted) {
                nextCommandOrNull()?.let(::execute)
                fireDueTimers()
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun nextCommandOrNull(): Command? {
        val next = timersByDueTime.peek() ?: return ring.take()
        val timeUntilDue = next.dueTime - clock.now()
        return ring.takeOrNull(timeUntilDue.coerceAtLeast(Duration.ZERO))
    }

    private fun execute(command: Command) {
        when (command) {
            is Command.Schedule -> {
                timersById[command.timer.id] = command.timer
                timersByDueTime.add(command.timer)
            }

            is Command.Cancel -> timersById.remove(command.id)?.let(timersByDueTime::remove)
        }
    }

    private fun fireDueTimers() {
        val now = clock.now()
        while (true) {
            val next = timersByDueTime.peek() ?: return
            if (next.dueTime > now) return
            timersByDueTime.remove()
            rescheduleOrRemove(next, now)
            call(next)
        }
    }

    @Suppress("TooGenericExceptionCaught") // One failed callback must not end the thread that calls all others.
    private fun call(timer: Timer) {
        try {
            timer.callback()
        } catch (e: Exception) {
            log.error("event=timer_fault timer={}", timer.id, e)
        }
    }

    private fun rescheduleOrRemove(timer: Timer, now: MonotonicTime) {
        val period = timer.period
        if (period == null) {
            timersById.remove(timer.id)
            return
        }
        timer.dueTime = now + period
        timersByDueTime.add(timer)
    }

    private companion object {
        private val log = LoggerFactory.getLogger(TimerService::class.java)
        const val DEFAULT_RING_CAPACITY = 65_536
    }
}
