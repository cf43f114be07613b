package gypsumcart.core.routing

import gypsumcart.core.AttemptNumber
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against back ends that fall over because nodes together send more than they have room for (LIMIT). */
class BrittleBackEndsTest {
    /** What the users' rule allows in one time in which a service of [backEnds] back ends is brittle. */
    private fun allowedFalls(backEnds: Int): Int = 2 + backEnds / 10

    /** Serves for 20 s while the back ends are brittle, and returns the fraction of requests that were answered. */
    private fun BrittleFleet.serveBrittle(load: Double): Double {
        serve(5.seconds, load)
        turnBrittle()
        val sent = serve(20.seconds, load)
        fleet.runUntil(fleet.now + 1.seconds)
        return sent.count { it in answered }.toDouble() / sent.count()
    }

    private fun BrittleFleet.expectServes(load: Double, least: Double) {
        expectThat(serveBrittle(load)).isGreaterThan(least)
        expectThat(falls.size).isLessThanOrEqualTo(allowedFalls(6))
    }

    @Test
    fun `brittle back ends at full load stay up, and the room that is left stays in use`() {
        BrittleFleet().expectServes(load = 1.0, least = 0.8)
    }

    @Test
    fun `brittle back ends at more than twice their load stay up, and the room that is left stays in use`() {
        BrittleFleet().expectServes(load = 2.3, least = 0.36)
    }

    @Test
    fun `few and many nodes keep back ends up that can turn away few or many requests`() {
        for (zones in listOf(listOf(1), listOf(2, 1, 1), listOf(4, 4, 4))) {
            for (tolerance in listOf(1, 3, 10)) {
                val service = BrittleService(tolerance = tolerance)
                BrittleFleet(service, zones).expectServes(load = 0.5, least = 0.9)
                BrittleFleet(service, zones).expectServes(load = 1.0, least = 0.7)
                BrittleFleet(service, zones).expectServes(load = 2.3, least = 0.36)
            }
        }
    }

    @Test
    fun `slow and fast back ends, large ones and those that keep nothing waiting stay up and in use`() {
        val services =
            listOf(
                BrittleService(speeds = listOf(0.4, 0.6, 1.0, 1.0, 1.5, 2.0)),
                BrittleService(speeds = List(3) { 1.0 }, slots = 6, work = 60.milliseconds),
                BrittleService(speeds = List(4) { 1.0 }, slots = 64, work = 1.seconds),
                BrittleService(brittleQueue = 0),
                BrittleService(contactTime = 500.milliseconds),
            )
        for (service in services) {
            BrittleFleet(service, listOf(2, 1, 1)).expectServes(load = 0.5, least = 0.97)
            BrittleFleet(service, listOf(2, 1, 1)).expectServes(load = 1.0, least = 0.8)
            BrittleFleet(service, listOf(2, 1, 1)).expectServes(load = 2.3, least = 0.36)
        }
    }

    @Test
    fun `brittle back ends stay up while nodes restart, leave and are cut off from the others`() {
        for (zones in listOf(listOf(2, 1, 1), listOf(4, 4, 4))) {
            for (load in listOf(1.0, 2.3)) {
                val restarting = BrittleFleet(zoneSizes = zones)
                for (second in 6..24 step 3) {
                    restarting.fleet.schedule(second.seconds) {
                        restarting.restart(
                            restarting.fleet.nodes
                                .first()
                                .id,
                        )
                    }
                }
                restarting.expectServes(load, least = 0.76 / load)
                val shrinking = BrittleFleet(zoneSizes = zones)
                shrinking.fleet.schedule(10.seconds) { shrinking.removeNode() }
                shrinking.fleet.schedule(16.seconds) { shrinking.removeNode() }
                shrinking.expectServes(load, least = 0.7 / load)
                val cut = BrittleFleet(zoneSizes = zones)
                cut.fleet.schedule(10.seconds) { cut.fleet.isolate(cut.fleet.nodes[1].id) }
                cut.expectServes(load, least = 0.76 / load)
            }
        }
    }

    @Test
    fun `brittle back ends stay up while others of their service end and come back`() {
        for ((load, least) in mapOf(0.5 to 0.9, 1.0 to 0.7, 2.3 to 0.3)) {
            val serving = BrittleFleet()
            for (i in 0..6) serving.fleet.schedule((6 + 3 * i).seconds) { serving.stopReplica(i % 6) }
            serving.expectServes(load, least)
        }
    }

    @Test
    fun `nodes learn that back ends are brittle before any has turned a request away`() {
        val serving = BrittleFleet()
        serving.turnBrittle()
        serving.serve(2.seconds, load = 0.1)
        serving.fleet.runUntil(serving.fleet.now + 1.seconds)
        val brittle = serving.changes.filter { it.second == BrittlenessChange.TurnedBrittle(3) }
        expectThat(brittle).hasSize(18)
        serving.turnSturdy()
        serving.serve(8.seconds, load = 0.3)
        expectThat(serving.changes.filter { it.second == BrittlenessChange.TurnedSturdy }).hasSize(18)
    }

    // Guards against brittleness that ends by a single response, or never.
    @Test
    fun `one response that omits that a back end is brittle does not end it`() {
        val brittleness = Brittleness()
        val start = at(1.seconds)
        brittleness.hear(BrittlenessStatement.Brittle(3), start)
        expectThat(brittleness.hear(BrittlenessStatement.Sturdy, start + 2.seconds)).isEqualTo(false)
        expectThat(brittleness.toleranceOrNull(start + 2.seconds)).isEqualTo(3)
        expectThat(brittleness.hear(BrittlenessStatement.Sturdy, start + 3.seconds)).isEqualTo(true)
        expectThat(brittleness.toleranceOrNull(start + 3.seconds)).isEqualTo(null)
        brittleness.hear(BrittlenessStatement.Brittle(4), start + 4.seconds)
        expectThat(brittleness.toleranceOrNull(start + 60.seconds)).isEqualTo(null)
    }

    @Test
    fun `a back end that has yet to say anything is taken for as brittle as others of its service`() {
        val service = ServiceBrittleness()
        val (known, unknown) = List(2) { Brittleness().also { it.service = service } }
        val start = at(1.seconds)
        known.hear(BrittlenessStatement.Brittle(3), start)
        expectThat(unknown.toleranceOrNull(start + 5.seconds)).isEqualTo(3)
        expectThat(unknown.toleranceOrNull(start + 15.seconds)).isEqualTo(null)
        unknown.hear(BrittlenessStatement.Sturdy, start + 5.seconds)
        expectThat(unknown.toleranceOrNull(start + 5.seconds)).isEqualTo(null)
    }

    @Test
    fun `the parts of all nodes add up to the slots of a back end, whatever their number and its position`() {
        for (nodeCount in 1..40) {
            for (slots in listOf(1, 4, 6, 64)) {
                val parts = List(nodeCount) { NodePlace(nodeCount, it).partOf(slots, position = 0.7) }
                expectThat(parts.sum()).isEqualTo(slots)
                expectThat(parts.max() - parts.min()).isLessThanOrEqualTo(1)
            }
        }
    }

    // Guards against nodes that exceed the slots together while they learn at different times how many they are.
    @Test
    fun `a part shrinks at once and grows when all nodes know of the change`() {
        val part = SettledPart()
        val start = at(1.seconds)
        expectThat(part.update(4, start)).isEqualTo(4)
        expectThat(part.update(2, start + 100.milliseconds)).isEqualTo(2)
        expectThat(part.update(5, start + 200.milliseconds)).isEqualTo(2)
        expectThat(part.update(5, start + 2.1.seconds)).isEqualTo(2)
        expectThat(part.update(5, start + 2.3.seconds)).isEqualTo(5)
    }

    private val routing = Routing(RetryLimits(ratio = 0.2, extra = 8, window = 10.seconds))
    private val start = at(20.seconds)

    private fun decide(event: RoutingEvent, now: MonotonicTime = start): List<RoutingEffect> =
        routing.decide(event, now)

    private fun request(number: Long, priority: Int = 2, now: MonotonicTime = start) =
        admitted(CallKind.Idempotent, number).let {
            it.copy(
                submission = it.submission.copy(arrivedAt = now),
                priority = priority,
                deadline = now + 1.5.seconds,
            )
        }

    private fun send(number: Long, priority: Int = 2, now: MonotonicTime = start): List<RoutingEffect> =
        decide(RoutingEvent.RequestAdmitted(request(number, priority, now)), now)

    private fun end(
        number: Long,
        room: RoomSignal = RoomSignal.FREED,
        health: HealthSignal = HealthSignal.HEALTHY,
        now: MonotonicTime = start,
    ): List<RoutingEffect> =
        decide(
            RoutingEvent.CallReleased(request(number).ticket, backEnd("x").key, health, isError = false, room),
            now,
        )

    private fun listBrittle(slots: Int = 4, tolerance: Int = 1) {
        decide(RoutingEvent.BackEndsListed(listOf(backEnd("x", slots = slots))))
        decide(RoutingEvent.BrittlenessStated(backEnd("x").key, BrittlenessStatement.Brittle(tolerance)))
    }

    // Guards against all nodes' requests at once at a back end that has just come back.
    @Test
    fun `a brittle back end that has just started gets one call, and one more at once for each that it answers`() {
        listBrittle()
        expectThat(send(1).single()).isA<RoutingEffect.Assign>()
        expectThat(send(2).filterIsInstance<RoutingEffect.Assign>()).isEmpty()
        expectThat(end(1).filterIsInstance<RoutingEffect.Assign>()).hasSize(1)
        expectThat(send(3).single()).isA<RoutingEffect.Assign>()
        expectThat(send(4).filterIsInstance<RoutingEffect.Assign>()).isEmpty()
    }

    @Test
    fun `the most urgent request has the room that becomes free, and is not refused for those that wait`() {
        listBrittle()
        send(1)
        (2L..9L).forEach { send(it, priority = 5) }
        expectThat(send(10, priority = 0).filterIsInstance<RoutingEffect.Conclude>()).isEmpty()
        val assigned = end(1).filterIsInstance<RoutingEffect.Assign>()
        expectThat(assigned.map { it.admitted.ticket.number }.take(1)).containsExactly(10L)
    }

    @Test
    fun `a node that was turned away sends nothing for a second, and refuses what can't wait that long`() {
        listBrittle()
        send(1)
        val rejection = end(1, RoomSignal.REJECTED, HealthSignal.FAILING)
        expectThat(rejection.filterIsInstance<RoutingEffect.BrittlenessChanged>().map { it.change })
            .containsExactly(BrittlenessChange.Rejected)
        val refused = send(2, now = start + 500.milliseconds).filterIsInstance<RoutingEffect.Conclude>().single()
        expectThat(refused.outcome)
            .isA<Outcome.NotRun>()
            .get { retryAfter }
            .isNotNull()
            .isGreaterThan(700.milliseconds)
        val later = send(3, now = start + 1.3.seconds)
        expectThat(later.filterIsInstance<RoutingEffect.Assign>()).hasSize(1)
    }

    // Guards against a slot that is counted as free while the back end still works for a caller that has left.
    @Test
    fun `a call that its caller gave up uses its place for a while`() {
        listBrittle()
        send(1)
        end(1, RoomSignal.OCCUPIED, HealthSignal.UNKNOWN)
        expectThat(send(2).filterIsInstance<RoutingEffect.Assign>()).isEmpty()
        expectThat(send(3, now = start + 1.1.seconds).filterIsInstance<RoutingEffect.Assign>()).hasSize(1)
    }

    @Test
    fun `a rejected request is not sent to another back end of which this node uses its part`() {
        val (x, y) = listOf(backEnd("x", slots = 1), backEnd("y", slots = 1))
        decide(RoutingEvent.BackEndsListed(listOf(x, y)))
        listOf(x, y).forEach {
            decide(RoutingEvent.BrittlenessStated(it.key, BrittlenessStatement.Brittle(1)))
        }
        val called = listOf(send(1), send(2)).map { (it.single() as RoutingEffect.Assign).backEnd }
        val rejected = request(1)
        val declined = Outcome.NotRun(RefusalReason.Declined, null)
        decide(
            RoutingEvent.CallReleased(
                rejected.ticket,
                called[0].key,
                HealthSignal.FAILING,
                room = RoomSignal.REJECTED,
            ),
        )
        val attempt = AttemptNumber(2)
        val effects = decide(RoutingEvent.RetryRequested(rejected, attempt, setOf(called[0].key), declined))
        expectThat(effects).containsExactly(RoutingEffect.Conclude(rejected, declined))
    }

    @Test
    fun `the fall of a brittle back end is reported once`() {
        listBrittle()
        send(1)
        val fall = end(1, health = HealthSignal.DISCONNECTED).filterIsInstance<RoutingEffect.BrittlenessChanged>()
        expectThat(fall.map { it.change }).contains(BrittlenessChange.Fell)
        send(2)
        val second = end(2, health = HealthSignal.DISCONNECTED)
        expectThat(second.filterIsInstance<RoutingEffect.BrittlenessChanged>()).isEmpty()
    }
}
