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
    fun `a duty goes on after an event whose handling throws`() {
        val done = CountDownLatch(1)
        val ring = Ring<Int>("faulty", capacity = 3)
        val duty = RingDuty(ring) { if (it == 1) error("broken event") else done.countDown() }
        duty.start()
        ring.put(1)
        ring.put(2)
        expectThat(done.await(5, TimeUnit.SECONDS)).isTrue()
        duty.stop(1.seconds)
    }

    @Test
    fun `a duty that waits uses no processor time`() {
        val ids = CountDownLatch(1)
        var id = 0L
        val ring = Ring<Int>("idle", capacity = 1)
        val duty =
            RingDuty(ring) {
                id = Thread.currentThread().id
                ids.countDown()
            }
        duty.start()
        ring.put(1)
        ids.await()
        val threads = ManagementFactory.getThreadMXBean()
        Thread.sleep(50)
        val before = threads.getThreadCpuTime(id)
        Thread.sleep(300)
        val spent = threads.getThreadCpuTime(id) - before
        duty.stop(1.seconds)
        expectThat(spent).isLessThan(3.milliseconds.inWholeNanoseconds)
    }

    @Test
    fun `the timer service notifies in the order of the times and leaves out what was cancelled`() {
        val fired = ArrayBlockingQueue<String>(4)
        val timers = TimerService()
        timers.start()
        timers.after(80.milliseconds) { fired.add("second") }
        val cancelled = timers.after(40.milliseconds) { fired.add("cancelled") }
        timers.after(20.milliseconds) { fired.add("first") }
        timers.cancel(cancelled)
        val both = List(2) { fired.poll(5, TimeUnit.SECONDS) }
        timers.stop(1.seconds)
        expectThat(both).isEqualTo(listOf("first", "second"))
    }

    @Test
    fun `a periodic subscription is notified until it is cancelled`() {
        val three = CountDownLatch(3)
        val timers = TimerService()
        timers.start()
        val id = timers.every(10.milliseconds) { three.countDown() }
        expectThat(three.await(5, TimeUnit.SECONDS)).isTrue()
        timers.cancel(id)
        timers.stop(1.seconds)
    }
}
