package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.prompt
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RoutingTest {
    private val routing = Routing(RetryLimits(ratio = 0.2, extra = 8, window = 10.seconds))
    private val start = at(1.seconds)

    private fun listBackEnds(vararg backEnds: BackEnd): List<RoutingEffect> =
        routing.decide(RoutingEvent.BackEndsListed(backEnds.toList()), start)

    private fun assign(admitted: AdmittedRequest, now: MonotonicTime = start): BackEnd =
        (routing.decide(RoutingEvent.RequestAdmitted(admitted), now).single() as RoutingEffect.Assign).backEnd

    private fun retry(admitted: AdmittedRequest, excluded: BackEnd, now: MonotonicTime = start): RoutingEffect =
        routing
            .decide(
                RoutingEvent.RetryRequested(
                    admitted,
                    AttemptNumber(2),
                    setOf(excluded.key),
                    Outcome.Failed(CallFailure.Truncated),
                ),
                now,
            ).single()

    @Test
    fun `a request is refused if no back end is listed before its waiting time ends`() {
        val request = admitted(CallKind.Idempotent)
        val waits = routing.decide(RoutingEvent.RequestAdmitted(request), at(0.milliseconds))
        expectThat(waits).containsExactly(RoutingEffect.SweepAt(at(50.milliseconds)))
        expectThat(routing.decide(RoutingEvent.Sweep, at(40.milliseconds))).isEmpty()
        val effects = routing.decide(RoutingEvent.Sweep, at(60.milliseconds))
        val outcome = (effects.single() as RoutingEffect.Conclude).outcome
        expectThat((outcome as Outcome.NotRun).reason).isEqualTo(RefusalReason.NoBackEnd)
    }

    @Test
    fun `a waiting request is assigned when a back end is listed`() {
        routing.decide(RoutingEvent.RequestAdmitted(admitted(CallKind.Idempotent)), start)
        expectThat(listBackEnds(backEnd("x")).single()).isA<RoutingEffect.Assign>()
        expectThat(routing.decide(RoutingEvent.Sweep, at(9.seconds))).isEmpty()
    }

    @Test
    fun `waiting requests are refused with a promise when the process is about to end`() {
        val request = admitted(CallKind.AtMostOnce)
        routing.decide(RoutingEvent.RequestAdmitted(request), start)
        val refused = RoutingEffect.Conclude(request, Outcome.NotRun.STOPPING)
        expectThat(routing.decide(RoutingEvent.Aborted, start)).containsExactly(refused)
        expectThat(routing.decide(RoutingEvent.Sweep, at(9.seconds))).isEmpty()
    }

    @Test
    fun `requests beyond the node's share of the batch slots are refused when they have waited too long`() {
        listBackEnds(backEnd("x"), backEnd("y"))
        routing.decide(RoutingEvent.NodeCountUpdated(2), start)
        val assigned =
            List(9) { admitted(CallKind.Idempotent, it.toLong(), prompt(100)) }
                .map { routing.decide(RoutingEvent.RequestAdmitted(it), at(0.seconds)).single() }
                .count { it is RoutingEffect.Assign }
        expectThat(assigned).isEqualTo(3)
        val refusal = routing.decide(RoutingEvent.Sweep, at(60.milliseconds)).first() as RoutingEffect.Conclude
        expectThat((refusal.outcome as Outcome.NotRun).reason).isEqualTo(RefusalReason.Overloaded("routing"))
    }

    @Test
    fun `a freed batch slot goes to the most urgent waiting request`() {
        listBackEnds(backEnd("x"))
        routing.decide(RoutingEvent.NodeCountUpdated(3), start)
        val running = admitted(CallKind.Idempotent, 1, prompt(100))
        assign(running)
        routing.decide(
            RoutingEvent.RequestAdmitted(admitted(CallKind.Idempotent, 2, prompt(100)).copy(priority = 3)),
            start,
        )
        routing.decide(
            RoutingEvent.RequestAdmitted(admitted(CallKind.Idempotent, 3, prompt(100)).copy(priority = 0)),
            start,
        )
        val released = RoutingEvent.CallReleased(running.ticket, backEnd("x").key, HealthSignal.HEALTHY)
        val next = routing.decide(released, start).single() as RoutingEffect.Assign
        expectThat(next.admitted.priority).isEqualTo(0)
    }

    @Test
    fun `a draining back end is assigned no new requests`() {
        listBackEnds(backEnd("x", draining = true), backEnd("y"))
        val chosen = List(6) { assign(admitted(CallKind.Idempotent, it.toLong())).id.text }
        expectThat(chosen.toSet()).isEqualTo(setOf("y"))
    }

    @Test
    fun `requests without a prompt are spread evenly over the back ends`() {
        listBackEnds(backEnd("x"), backEnd("y"), backEnd("z"))
        val chosen = List(9) { assign(admitted(CallKind.Idempotent, it.toLong())).id.text }
        expectThat(
            chosen
                .groupingBy { it }
                .eachCount()
                .values
                .toSet(),
        ).isEqualTo(setOf(3))
    }

    @Test
    fun `requests with equal prompts go to one back end until its load is far above that of the others`() {
        listBackEnds(backEnd("x", slots = 64), backEnd("y", slots = 64), backEnd("z", slots = 64))
        val chosen = List(12) { assign(admitted(CallKind.Idempotent, it.toLong(), prompt(4_096))).id.text }
        expectThat(chosen.take(2).toSet()).hasSize(1)
        expectThat(chosen.toSet().size).isGreaterThan(1)
    }

    @Test
    fun `a prompt goes to the same back end as before after another one joined and left`() {
        listBackEnds(backEnd("x"), backEnd("y"))
        val request = admitted(CallKind.Idempotent, 1, prompt(100))
        val before = assign(request)
        routing.decide(RoutingEvent.CallReleased(request.ticket, before.key, HealthSignal.HEALTHY), start)
        listBackEnds(backEnd("x"), backEnd("y"), backEnd("z"))
        listBackEnds(backEnd("x"), backEnd("y"))
        expectThat(assign(admitted(CallKind.Idempotent, 2, prompt(100)))).isEqualTo(before)
    }

    @Test
    fun `two consecutive failures eject a back end, which is still called if it is the only one`() {
        listBackEnds(backEnd("x"), backEnd("y"))
        repeat(2) {
            val ticket = admitted(CallKind.Idempotent, 100L + it).ticket
            routing.decide(RoutingEvent.CallReleased(ticket, backEnd("x").key, HealthSignal.FAILING), start)
        }
        val chosen = List(4) { assign(admitted(CallKind.Idempotent, it.toLong())).id.text }
        expectThat(chosen.toSet()).isEqualTo(setOf("y"))
        listBackEnds(backEnd("x"))
        expectThat(assign(admitted(CallKind.Idempotent, 9)).id.text).isEqualTo("x")
    }

    // Guards against a back end that was silent for a moment being ejected for long by the calls that waited there.
    @Test
    fun `failures of calls that began before an ejection do not prolong it`() {
        listBackEnds(backEnd("x"))
        val waiting = List(6) { admitted(CallKind.Idempotent, 100L + it) }
        waiting.forEach { assign(it) }
        listBackEnds(backEnd("x"), backEnd("y"))
        val failedAt = start + 1.seconds
        for (request in waiting) {
            routing.decide(
                RoutingEvent.CallReleased(request.ticket, backEnd("x").key, HealthSignal.FAILING),
                failedAt,
            )
        }
        val during = List(2) { assign(admitted(CallKind.Idempotent, it.toLong()), failedAt + 900.milliseconds) }
        expectThat(during.map { it.id.text }.toSet()).isEqualTo(setOf("y"))
        val later = List(4) { assign(admitted(CallKind.Idempotent, 10L + it), failedAt + 1.seconds) }
        expectThat(later.map { it.id.text }.toSet()).isEqualTo(setOf("x", "y"))
    }

    // Guards against a back end that is down being tried as often as one that was silent for a moment.
    @Test
    fun `a failure of a call that began after an ejection doubles the next one`() {
        listBackEnds(backEnd("x"), backEnd("y"))
        repeat(2) { failAt("x", 100L + it, start) }
        val second = start + 1.seconds
        val trial = List(4) { admitted(CallKind.Idempotent, 10L + it) }.first { assign(it, second).id.text == "x" }
        val failedAt = second + 100.milliseconds
        failAt("x", trial.ticket.number, failedAt)
        val during = List(4) { assign(admitted(CallKind.Idempotent, 20L + it), failedAt + 1_900.milliseconds) }
        expectThat(during.map { it.id.text }.toSet()).isEqualTo(setOf("y"))
    }

    private fun failAt(id: String, number: Long, now: MonotonicTime) {
        val ticket = admitted(CallKind.Idempotent, number).ticket
        routing.decide(RoutingEvent.CallReleased(ticket, backEnd(id).key, HealthSignal.FAILING), now)
    }

    @Test
    fun `a restarted back end does not inherit the ejection of its previous instance`() {
        val first = backEnd("x", incarnation = 1)
        listBackEnds(first)
        repeat(2) {
            val ticket = admitted(CallKind.Idempotent, 100L + it).ticket
            routing.decide(RoutingEvent.CallReleased(ticket, first.key, HealthSignal.FAILING), start)
        }
        listBackEnds(backEnd("x", incarnation = 2), backEnd("y"))
        val chosen = List(4) { assign(admitted(CallKind.Idempotent, it.toLong())).id.text }
        expectThat(chosen.toSet()).isEqualTo(setOf("x", "y"))
    }

    @Test
    fun `a retry goes to another back end`() {
        listBackEnds(backEnd("x"), backEnd("y"))
        val request = admitted(CallKind.Idempotent)
        val first = assign(request)
        val second = retry(request, first) as RoutingEffect.Assign
        expectThat(second.backEnd).isNotEqualTo(first)
    }

    @Test
    fun `retries stay within this node's share of the retry budget`() {
        listBackEnds(backEnd("x"), backEnd("y"))
        routing.decide(RoutingEvent.NodeCountUpdated(4), start)
        val requests = List(50) { admitted(CallKind.Idempotent, it.toLong()) }
        requests.forEach { assign(it) }
        val retries = requests.count { retry(it, backEnd("x")) is RoutingEffect.Assign }
        expectThat(retries).isGreaterThan(0).isLessThanOrEqualTo((0.2 * 50 + 8 / 4).toInt())
    }

    @Test
    fun `a request that cannot be retried ends with the outcome of its first call`() {
        listBackEnds(backEnd("x"))
        val request = admitted(CallKind.Idempotent)
        val conclusion = retry(request, assign(request)) as RoutingEffect.Conclude
        expectThat(conclusion.outcome).isEqualTo(Outcome.Failed(CallFailure.Truncated))
    }

    private fun reassign(admitted: AdmittedRequest, excluded: BackEnd): RoutingEffect =
        routing
            .decide(
                RoutingEvent.ReassignmentRequested(
                    admitted,
                    AttemptNumber.FIRST,
                    setOf(excluded.key),
                    Outcome.NotRun(RefusalReason.Declined, null),
                ),
                start,
            ).single()

    @Test
    fun `calls that were not sent go to other back ends without drawing on the retry budget`() {
        listBackEnds(backEnd("x"), backEnd("y"))
        val requests = List(50) { admitted(CallKind.Idempotent, it.toLong()) }
        val others = requests.map { reassign(it, assign(it)) }
        expectThat(others.filterNot { it is RoutingEffect.Assign }).isEmpty()
    }

    @Test
    fun `a request whose call was not sent waits for another back end like a new one`() {
        listBackEnds(backEnd("x"))
        val request = admitted(CallKind.Idempotent)
        expectThat(reassign(request, assign(request))).isA<RoutingEffect.SweepAt>()
        expectThat(listBackEnds(backEnd("x"), backEnd("y")).single())
            .isA<RoutingEffect.Assign>()
            .get { backEnd }
            .isEqualTo(backEnd("y"))
    }

    private fun pause(backEnd: BackEnd, until: MonotonicTime, now: MonotonicTime = start): List<RoutingEffect> =
        routing.decide(RoutingEvent.PauseStated(backEnd.key, until), now)

    private fun isAssigned(number: Long, now: MonotonicTime): Boolean {
        val request = admitted(CallKind.Idempotent, number)
        val arrived = request.copy(submission = request.submission.copy(arrivedAt = now), deadline = now + 1.seconds)
        return routing.decide(RoutingEvent.RequestAdmitted(arrived), now).any { it is RoutingEffect.Assign }
    }

    @Test
    fun `the pause that ends last is in force, and time that a freeze has skipped counts`() {
        listBackEnds(backEnd("x"))
        pause(backEnd("x"), at(4.seconds))
        pause(backEnd("x"), at(6.seconds), at(2.seconds))
        pause(backEnd("x"), at(3.seconds), at(2.5.seconds))
        expectThat(isAssigned(1, at(5.9.seconds))).isEqualTo(false)
        expectThat(isAssigned(2, at(6.seconds))).isEqualTo(true)
        pause(backEnd("x"), at(20.seconds), at(7.seconds))
        expectThat(isAssigned(3, at(90.seconds))).isEqualTo(true)
    }

    @Test
    fun `an ejected back end that pauses is not called although it is the only one`() {
        listBackEnds(backEnd("x"))
        repeat(2) {
            val ticket = admitted(CallKind.Idempotent, 100L + it).ticket
            routing.decide(RoutingEvent.CallReleased(ticket, backEnd("x").key, HealthSignal.FAILING), start)
        }
        pause(backEnd("x"), at(9.seconds))
        expectThat(isAssigned(1, at(5.seconds))).isEqualTo(false)
    }

    @Test
    fun `requests that wait when the last back end pauses are refused, unless it ends soon enough`() {
        listBackEnds(backEnd("x"))
        val running = admitted(CallKind.Idempotent, 1, prompt(100))
        routing.decide(RoutingEvent.NodeCountUpdated(3), start)
        assign(running)
        routing.decide(RoutingEvent.RequestAdmitted(admitted(CallKind.Idempotent, 2, prompt(100))), at(0.seconds))
        expectThat(pause(backEnd("x"), at(40.milliseconds), at(10.milliseconds))).isEmpty()
        val refusal = pause(backEnd("x"), at(3.seconds), at(20.milliseconds)).single() as RoutingEffect.Conclude
        expectThat(refusal.outcome).isEqualTo(Outcome.NotRun(RefusalReason.BackEndsPaused, 2.98.seconds))
    }
}
