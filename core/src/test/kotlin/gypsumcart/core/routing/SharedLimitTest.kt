package gypsumcart.core.routing

import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class SharedLimitTest {
    /** Returns the most calls that [engine] got in four seconds from [since] on. */
    private fun ServingFleet.mostCalls(engine: String, since: Duration): Int {
        val times = calledEngines.filter { (time, id) -> id.text == engine && time >= since }.map { it.first }
        return times.maxOfOrNull { start -> times.count { it >= start && it < start + WINDOW } } ?: 0
    }

    /** What the limit allows in four seconds, with the tolerance of the users' rule. */
    private fun allowed(limit: Double): Int = (limit * WINDOW.inWholeSeconds * 1.5 + 5).toInt()

    // Guards against nodes that exceed the stated limit of a back end together (LIMIT in the capped day).
    @Test
    fun `four nodes together keep the limit that a back end states`() {
        val serving = ServingFleet()
        serving.limitOf = { if (it.text == "e1") 3.5 else null }
        val since = serving.fleet.now + 3.seconds
        val sent = serving.serve(15.seconds, perSecond = 80)
        expectThat(serving.mostCalls("e1", since)).isLessThanOrEqualTo(allowed(3.5)).isGreaterThan(8)
        expectThat(serving.answered(sent)).isGreaterThan(sent.size * 95 / 100)
    }

    @Test
    fun `many nodes together keep limits of which each has less than one request in four seconds`() {
        val serving = ServingFleet(zoneSizes = listOf(8, 8, 7, 7, 8), engines = 12)
        serving.limitOf = { if (it.text.length == 2) 2.3 else null }
        val since = serving.fleet.now + 3.seconds
        serving.serve(15.seconds, perSecond = 120)
        for (engine in List(10) { "e$it" }) {
            expectThat(serving.mostCalls(engine, since)).isLessThanOrEqualTo(allowed(2.3)).isGreaterThan(3)
        }
    }

    @Test
    fun `a limit holds while nodes restart and are cut off, and for those that learn of it from others`() {
        val serving = ServingFleet()
        serving.limitOf = { if (it.text in setOf("e1", "e2")) 3.0 else null }
        val since = serving.fleet.now + 3.seconds
        serving.serve(6.seconds)
        val restarted =
            serving.fleet.nodes
                .first()
                .id
        serving.fleet.restart(restarted)
        serving.addServer(serving.fleet.node(restarted.text))
        serving.serve(6.seconds)
        expectThat(
            serving
                .server(restarted.text)
                .limited
                .map { it.id.text }
                .toSet(),
        ).isEqualTo(setOf("e1", "e2"))
        serving.fleet.isolate(
            serving.fleet.nodes
                .first()
                .id,
        )
        serving.serve(8.seconds)
        expectThat(serving.mostCalls("e1", since)).isLessThanOrEqualTo(allowed(3.0))
        expectThat(serving.mostCalls("e2", since)).isLessThanOrEqualTo(allowed(3.0))
    }

    @Test
    fun `a limit that changes or ends is followed by all nodes`() {
        val serving = ServingFleet()
        serving.limitOf = { if (it.text == "e1") 2.0 else null }
        serving.serve(8.seconds)
        expectThat(serving.fleet.nodes).all { get { serving.server(id.text).limited.size }.isEqualTo(1) }
        serving.limitOf = { null }
        serving.serve(8.seconds)
        expectThat(serving.fleet.nodes).all { get { serving.server(id.text).limited }.isEmpty() }
        val since = serving.fleet.now
        serving.serve(4.seconds, perSecond = 80)
        expectThat(serving.mostCalls("e1", since)).isGreaterThan(allowed(2.0))
    }

    @Test
    fun `a back end that accepts nothing is still asked now and then, and found when its limit ends`() {
        val serving = ServingFleet()
        serving.limitOf = { if (it.text == "e1") 0.0 else null }
        val since = serving.fleet.now + 3.seconds
        serving.serve(12.seconds)
        expectThat(serving.mostCalls("e1", since)).isLessThanOrEqualTo(allowed(0.0))
        serving.limitOf = { null }
        serving.serve(15.seconds)
        expectThat(serving.fleet.nodes).all { get { serving.server(id.text).limited }.isEmpty() }
    }

    @Test
    fun `what exceeds the limits of all back ends is refused at once and told when to return`() {
        val serving = ServingFleet(engines = 2)
        serving.limitOf = { 2.0 }
        serving.serve(2.seconds, perSecond = 8)
        val sent = serving.serve(6.seconds, perSecond = 8)
        serving.run(1.seconds)
        val refusals = sent.mapNotNull { serving.endings.getValue(it).outcome as? Outcome.NotRun }
        expectThat(refusals.size).isGreaterThan(sent.size / 4)
        expectThat(refusals).all {
            get { reason }.isEqualTo(RefusalReason.BackEndsLimited)
            get { retryAfter }.isNotNull()
        }
        expectThat(refusals.map { it.retryAfter }.distinct().size).isGreaterThan(refusals.size / 2)
        expectThat(serving.answered(sent)).isGreaterThan(8)
    }

    @Test
    fun `a request waits for the next call that a limit allows if it comes soon enough`() {
        val serving = ServingFleet(zoneSizes = listOf(1), engines = 1)
        serving.limitOf = { 40.0 }
        serving.serve(2.seconds, perSecond = 20)
        val sent = List(24) { serving.send("z0-1", promptOf("system", "subject")) }
        val refusedAtOnce = sent.count { it in serving.endings }
        expectThat(refusedAtOnce).isLessThan(sent.size)
        serving.run(1.seconds)
        expectThat(serving.answered(sent)).isGreaterThan(20)
    }

    @Test
    fun `the parts of all nodes add up to the limit, whatever their number and the position of the back end`() {
        for (nodeCount in 1..60) {
            for (limit in listOf(0.3, 1.0, 2.9, 7.5, 60.0)) {
                val parts =
                    (0 until nodeCount).map { rank ->
                        val limiter = CallLimiter(position = 0.7)
                        limiter.hear(LimitStatement.Limited(limit), at(1.seconds))
                        limiter.rateOf(NodePlace(nodeCount, rank))
                    }
                val total = maxOf(limit, 0.5)
                expectThat(parts.sum()).isLessThanOrEqualTo(total + 1e-9).isGreaterThan(total - 1e-9)
                expectThat(parts.count { it > 0 }).isLessThanOrEqualTo((maxOf(limit, 0.5) + 1).toInt())
            }
        }
    }

    @Test
    fun `a limit of half of what a back end would get takes half a back end away, a higher one nothing`() {
        val limiters = List(4) { CallLimiter() }
        expectThat(limiters.lostCapacity(usualRate = 6.0)).isEqualTo(0.0)
        limiters[0].hear(LimitStatement.Limited(3.0), at(1.seconds))
        limiters[1].hear(LimitStatement.Limited(0.0), at(1.seconds))
        limiters[2].hear(LimitStatement.Limited(50.0), at(1.seconds))
        expectThat(limiters.lostCapacity(usualRate = 6.0)).isEqualTo(1.5)
        expectThat(limiters.lostCapacity(usualRate = 0.0)).isEqualTo(0.0)
    }

    @Test
    fun `one response that omits the limit does not end it`() {
        val limiter = CallLimiter()
        limiter.hear(LimitStatement.Limited(2.0), at(1.seconds))
        limiter.hear(LimitStatement.Unlimited, at(3.seconds))
        limiter.hear(LimitStatement.Limited(2.0), at(3.1.seconds))
        limiter.hear(LimitStatement.Unlimited, at(3.2.seconds))
        limiter.hear(LimitStatement.Unlimited, at(3.3.seconds))
        expectThat(limiter.isLimited).isTrue()
        limiter.hear(LimitStatement.Unlimited, at(4.2.seconds))
        expectThat(limiter.isLimited).isEqualTo(false)
    }

    private companion object {
        val WINDOW = 4.seconds
    }
}
