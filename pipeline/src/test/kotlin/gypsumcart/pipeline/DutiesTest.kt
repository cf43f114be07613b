package gypsumcart.pipeline

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.lang.management.ManagementFactory
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DutiesTest {
    @Test
    fun `a duty handles events in order on its own thread`() {
        val handled = ArrayBlockingQueue<Pair<Int, String>>(3)
        val ring = Ring<Int>("numbers", capacity = 3)
        val duty = RingDuty(ring) { handled.add(it to Thread.currentThread().name) }
        duty.start()
        (1..3).forEach(ring::put)
        val all = List(3) { handled.poll(5, TimeUnit.SECONDS) }
        duty.stop(1.seconds)
        expectThat(all).containsExactly(1 to "numbers", 2 to "numbers", 3 to "numbers")
    }

    @Test
    fun `a duty handles the next event after one whose handling throws`() {
        val secondHandled = CountDownLatch(1)
        val ring = Ring<Int>("faulty", capacity = 3)
        val duty = RingDuty(ring) { if (it == 1) error("broken event") else secondHandled.countDown() }
        duty.start()
        ring.put(1)
        ring.put(2)
        expectThat(secondHandled.await(5, TimeUnit.SECONDS)).isTrue()
        duty.stop(1.seconds)
    }

    @Test
    fun `a duty that waits for an event uses almost no CPU time`() {
        val started = CountDownLatch(1)
        var threadId = 0L
        val ring = Ring<Int>("idle", capacity = 1)
        val duty =
            RingDuty(ring) {
                threadId = Thread.currentThread().id
                started.countDown()
            }
        duty.start()
        ring.put(1)
        started.await()
        val threads = ManagementFactory.getThreadMXBean()
        Thread.sleep(50)
        val cpuTimeBefore = threads.getThreadCpuTime(threadId)
        Thread.sleep(300)
        val cpuTime = threads.getThreadCpuTime(threadId) - cpuTimeBefore
        duty.stop(1.seconds)
        expectThat(cpuTime).isLessThan(3.milliseconds.inWholeNanoseconds)
    }

    @Test
    fun `timers fire in order of their due times and a cancelled timer does not fire`() {
        val fired = ArrayBlockingQueue<String>(4)
        val timers = TimerService()
        timers.start()
        timers.after(80.milliseconds) { fired.add("second") }
        val cancelled = timers.after(40.milliseconds) { fired.add("cancelled") }
        timers.after(20.milliseconds) { fired.add("first") }
        timers.cancel(cancelled)
        val firstTwo = List(2) { fired.poll(5, TimeUnit.SECONDS) }
        timers.stop(1.seconds)
        expectThat(firstTwo).isEqualTo(listOf("first", "second"))
    }

    @Test
    fun `timers fire after one whose callback throws`() {
        val fired = CountDownLatch(1)
        val timers = TimerService()
        timers.start()
        timers.after(5.milliseconds) { error("the callback fails") }
        timers.after(10.milliseconds) { fired.countDown() }
        expectThat(fired.await(5, TimeUnit.SECONDS)).isTrue()
        timers.stop(1.seconds)
    }

    @Test
    fun `a periodic timer fires until it is cancelled`() {
        val threeCalls = CountDownLatch(3)
        val timers = TimerService()
        timers.start()
        val id = timers.every(10.milliseconds) { threeCalls.countDown() }
        expectThat(threeCalls.await(5, TimeUnit.SECONDS)).isTrue()
        timers.cancel(id)
        timers.stop(1.seconds)
    }
}
