package gypsumcart.core.shutdown

import gypsumcart.core.MonotonicTime
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ShutdownTest {
    /** Stops a node and returns the effects other than checks, with their times. */
    private fun effectsOfStop(
        grace: Duration = 8.seconds,
        inProgress: (Duration) -> Int,
    ): List<Pair<MonotonicTime, ShutdownEffect>> {
        val shutdown = Shutdown(ShutdownLimits(grace, acceptance = 2.5.seconds))
        val effects = ArrayList<Pair<MonotonicTime, ShutdownEffect>>()
        var now: MonotonicTime? = at(0.seconds)
        var event: ShutdownEvent = ShutdownEvent.Requested
        while (now != null) {
            val time = now
            val decided = shutdown.decide(event, time)
            effects += decided.filterNot { it is ShutdownEffect.CheckAt }.map { time to it }
            now = decided.filterIsInstance<ShutdownEffect.CheckAt>().singleOrNull()?.time
            event = ShutdownEvent.Checked(inProgress((now ?: time) - at(0.seconds)))
        }
        return effects
    }

    @Test
    fun `an idle node finishes soon after it has refused requests`() {
        val effects = effectsOfStop { 0 }
        expectThat(effects.map { (time, effect) -> time to effect::class.simpleName }).isEqualTo(
            listOf(at(0.seconds) to "Drain", at(2.5.seconds) to "RefuseRequests", at(2.8.seconds) to "Finish"),
        )
    }

    // Guards against a process that ends before a slow machine has written the last refusals.
    @Test
    fun `a node that finishes early may use the rest of the grace period for it`() {
        val finish = effectsOfStop { 0 }.last().second as ShutdownEffect.Finish
        expectThat(finish.processEndsAt).isGreaterThan(at(7.5.seconds)).isLessThan(at(8.seconds))
    }

    @Test
    fun `a busy node finishes when its last request has ended`() {
        val effects = effectsOfStop { if (it < 4.seconds) 1 else 0 }
        expectThat(effects.last().first).isEqualTo(at(4.3.seconds))
    }

    // Guards against requests in progress that are cut without an answer when the process ends (LOST).
    @Test
    fun `requests that are still in progress are ended in time to answer them`() {
        val effects = effectsOfStop { 1 }
        val (abortedAt, aborted) = effects[2]
        expectThat(aborted).isEqualTo(ShutdownEffect.AbortRequests)
        expectThat(abortedAt).isEqualTo((effects.first().second as ShutdownEffect.Drain).callsEndAt)
        expectThat((effects.last().second as ShutdownEffect.Finish).processEndsAt).isLessThan(at(8.seconds))
    }

    @Test
    fun `a short grace period is used for calls as far as a long one`() {
        val drain = effectsOfStop(grace = 3.seconds) { 1 }.first().second as ShutdownEffect.Drain
        expectThat(drain.callsEndAt).isEqualTo(at(2_500.milliseconds))
    }

    @Test
    fun `a second request to stop and a check before the first have no effect`() {
        val shutdown = Shutdown(ShutdownLimits(8.seconds, 2.5.seconds))
        expectThat(shutdown.decide(ShutdownEvent.Checked(0), at(0.seconds))).isEmpty()
        shutdown.decide(ShutdownEvent.Requested, at(1.seconds))
        expectThat(shutdown.decide(ShutdownEvent.Requested, at(2.seconds))).isEmpty()
    }
}
