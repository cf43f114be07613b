package gypsumcart.core.routing

import gypsumcart.core.CallKind
import gypsumcart.core.Features
import gypsumcart.core.LEDGER
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.prompt
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlacesTest {
    private val engines = List(10) { backEnd("e$it", slots = 16) }

    private fun routing(nodes: Int): Routing {
        val routing = Routing(RetryLimits(0.2, 8, 10.seconds), Features(sharedRoom = true))
        routing.decide(RoutingEvent.BackEndsListed(engines), at(0.seconds))
        routing.decide(RoutingEvent.NodeCountUpdated(nodes), at(0.seconds))
        return routing
    }

    private fun Routing.submit(number: Long, now: MonotonicTime): List<RoutingEffect> {
        val template = admitted(CallKind.AtMostOnce, number, prompt(100))
        val submission = template.submission.copy(arrivedAt = now)
        return decide(
            RoutingEvent.RequestAdmitted(template.copy(submission = submission, deadline = now + 2.seconds)),
            now,
        )
    }

    private fun Routing.assigned(requests: Int, now: MonotonicTime): Int =
        (1L..requests).count { n -> submit(n, now).any { it is RoutingEffect.Assign } }

    private fun Routing.report(total: Double, own: Double, now: MonotonicTime) {
        decide(RoutingEvent.FleetLoadMeasured(mapOf(LEDGER to FleetLoad(total, own))), now)
    }

    @Test
    fun `a node whose callers ask most gets most of the places, and the parts add up to the whole`() {
        val loads = listOf(2.0, 2.0, 2.0, 34.0)
        val parts =
            loads.map { own ->
                val routing = routing(nodes = 4)
                routing.report(loads.sum(), own, at(1.seconds))
                routing.assigned(100, at(1.seconds))
            }
        expectThat(parts.last()).isGreaterThan(3 * parts.first())
        expectThat(parts.first()).isGreaterThanOrEqualTo(4)
        // 160 slots at the utilization assumed at first, and at most one more for each node by rounding up.
        expectThat(parts.sum()).isLessThanOrEqualTo(72 + loads.size)
    }

    @Test
    fun `a node that has just started has a part before anybody calls it`() {
        val routing = routing(nodes = 36)
        routing.report(total = 300.0, own = 0.0, at(1.seconds))
        expectThat(routing.assigned(20, at(1.seconds))).isGreaterThanOrEqualTo(1)
    }

    @Test
    fun `more places are used while responses are early, and fewer when they are late`() {
        val room = ServiceRoom()
        var now = at(0.seconds)

        fun observe(latency: Double, reports: Int): Int {
            repeat(reports) {
                repeat(10) { room.addLatency(latency, now) }
                room.recordFull()
                room.update(FleetLoad(40.0, 40.0), now)
                now += 500.milliseconds
            }
            return room.limit(100, nodeCount = 1)
        }
        val first = room.limit(100, nodeCount = 1)
        val early = observe(latency = 0.3, reports = 6)
        expectThat(early).isGreaterThan(first)
        now += 7.seconds
        expectThat(observe(latency = 1.5, reports = 10)).isLessThan(first)
        now += 7.seconds
        expectThat(observe(latency = 0.3, reports = 30)).isEqualTo(100)
    }

    @Test
    fun `a request for which no back end is listed does not wait as for a place`() {
        val routing = Routing(RetryLimits(0.2, 8, 10.seconds), Features(sharedRoom = true))
        val sweep = routing.submit(1, at(1.seconds)).single() as RoutingEffect.SweepAt
        expectThat(sweep.time).isEqualTo(at(1.seconds) + 50.milliseconds)
    }

    @Test
    fun `a request that can't be served in time is refused at once, and those refused return one after the other`() {
        val routing = routing(nodes = 8)
        var now = at(1.seconds)
        var next = 0L
        // Calls end at five a second, each with a new one in its place.
        repeat(20) {
            val effects = routing.submit(++next, now)
            val backEnd = (effects.last() as RoutingEffect.Assign).backEnd
            now += 200.milliseconds
            routing.decide(
                RoutingEvent.CallReleased(
                    admitted(CallKind.AtMostOnce, next).ticket,
                    backEnd.key,
                    HealthSignal.HEALTHY,
                ),
                now,
            )
        }
        val outcomes =
            List(40) { routing.submit(++next, now) }
                .flatten()
                .filterIsInstance<RoutingEffect.Conclude>()
                .map { it.outcome as Outcome.NotRun }
        expectThat(outcomes.size).isGreaterThan(10)
        expectThat(outcomes.map { it.reason }.toSet()).isEqualTo(setOf(RefusalReason.Overloaded("routing")))
        val returns = outcomes.map { checkNotNull(it.retryAfter) }
        expectThat(returns).isEqualTo(returns.sorted())
        expectThat(returns.distinct().size).isGreaterThan(3)
    }
}
