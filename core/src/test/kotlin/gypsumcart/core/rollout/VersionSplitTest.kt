package gypsumcart.core.rollout

import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallKind
import gypsumcart.core.LEDGER
import gypsumcart.core.OrderNumber
import gypsumcart.core.Outcome
import gypsumcart.core.StreamOrigin
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.routing.HealthSignal
import gypsumcart.core.routing.RetryLimits
import gypsumcart.core.routing.Routing
import gypsumcart.core.routing.RoutingEffect
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.routing.key
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

class VersionSplitTest {
    private val old = List(6) { backEnd("old-$it").copy(version = V1) }
    private val new = List(6) { backEnd("new-$it").copy(version = V2) }
    private val routing = Routing(RetryLimits(1.0, 1_000, 10.seconds))

    private fun rule(mode: VersionMode) {
        routing.decide(RoutingEvent.BackEndsListed(old + new), at(1.seconds))
        routing.decide(
            RoutingEvent.VersionsRuled(listOf(VersionRule(LEDGER, OrderNumber(1), V2, mode)), 1),
            at(1.seconds),
        )
    }

    private fun assign(number: Long): BackEnd {
        val effects = routing.decide(RoutingEvent.RequestAdmitted(admitted(CallKind.Idempotent, number)), at(1.seconds))
        val chosen = effects.filterIsInstance<RoutingEffect.Assign>().single().backEnd
        routing.decide(
            RoutingEvent.CallReleased(admitted(CallKind.Idempotent, number).ticket, chosen.key, HealthSignal.HEALTHY),
            at(1.seconds),
        )
        return chosen
    }

    private fun retry(number: Long, excluded: BackEnd): BackEnd {
        val request = admitted(CallKind.Idempotent, number)
        val event =
            RoutingEvent.RetryRequested(request, AttemptNumber(2), setOf(excluded.key), Outcome.NotRun.STOPPING)
        val chosen =
            routing
                .decide(event, at(1.seconds))
                .filterIsInstance<RoutingEffect.Assign>()
                .single()
                .backEnd
        routing.decide(RoutingEvent.CallReleased(request.ticket, chosen.key, HealthSignal.HEALTHY), at(1.seconds))
        return chosen
    }

    @Test
    fun `a retry stays with the version of its request, unless that is the new one and has failed`() {
        rule(VersionMode.Divided(share = 0.5, exposedShare = 1.0, exposedExtra = 100))
        val first = (1L..200).associateWith(::assign)
        expectThat(first.values.count { it.version == V2 }).isGreaterThan(60)
        for ((number, backEnd) in first) expectThat(retry(number, backEnd).version).isEqualTo(V1)
    }

    @Test
    fun `a node never sends more to the new version than its part of what may be exposed`() {
        rule(VersionMode.Divided(share = 0.9, exposedShare = 0.1, exposedExtra = 20))
        val exposed = (1L..500).count { assign(it).version == V2 }
        expectThat(exposed).isGreaterThan(50).isLessThanOrEqualTo(60)
    }

    @Test
    fun `few new back ends get the share, so that each is loaded as it will be by all requests`() {
        rule(VersionMode.Divided(share = 0.34, exposedShare = 1.0, exposedExtra = 100))
        val used = (1L..300).map(::assign).filter { it.version == V2 }.distinct()
        expectThat(used.size).isEqualTo(2)
    }

    @Test
    fun `a back end that has just started gets no share before it works at full speed`() {
        val cold = new.map { it.copy(warmsUpIn = if (it.id.text == "new-3") 0.seconds else 5.seconds) }
        routing.decide(RoutingEvent.BackEndsListed(old + cold), at(1.seconds))
        val mode = VersionMode.Divided(share = 0.5, exposedShare = 1.0, exposedExtra = 100)
        routing.decide(
            RoutingEvent.VersionsRuled(listOf(VersionRule(LEDGER, OrderNumber(1), V2, mode)), 1),
            at(1.seconds),
        )
        val used = (1L..100).map(::assign).filter { it.version == V2 }
        expectThat(used).all { get { id.text }.isEqualTo("new-3") }
    }

    @Test
    fun `a barred version gets nothing, and a rule of a roll-out that has ended leaves another one`() {
        val rule = VersionRule(LEDGER, OrderNumber(1), V2, VersionMode.New, barred = setOf(V1), isSettled = true)
        routing.decide(RoutingEvent.BackEndsListed(old + new), at(1.seconds))
        routing.decide(RoutingEvent.VersionsRuled(listOf(rule), 1), at(1.seconds))
        expectThat((1L..50).map { assign(it).version }).all { isEqualTo(V2) }
        routing.decide(RoutingEvent.BackEndsListed(listOf(old[0], old[1].copy(version = V3))), at(1.seconds))
        expectThat((51L..60).map { assign(it).version }).all { isEqualTo(V3) }
    }

    /** Resumes a stream that [origin] began, and returns the version of the call or null if there is none. */
    private fun resume(number: Long, origin: BackEndVersion): BackEndVersion? {
        val request = admitted(CallKind.Idempotent, number).copy(origin = StreamOrigin.WrittenBy(origin))
        val event = RoutingEvent.RetryRequested(request, AttemptNumber(2), emptySet(), Outcome.NotRun.STOPPING)
        val effects = routing.decide(event, at(1.seconds))
        val chosen = effects.filterIsInstance<RoutingEffect.Assign>().singleOrNull()?.backEnd ?: return null
        routing.decide(RoutingEvent.CallReleased(request.ticket, chosen.key, HealthSignal.HEALTHY), at(1.seconds))
        return chosen.version
    }

    // Guards against streams that a roll-out's draw, or a failure at the new version, sends to the other one (ORDER).
    @Test
    fun `while requests are divided a stream goes on at its version, whatever the draw`() {
        rule(VersionMode.Divided(share = 0.5, exposedShare = 1.0, exposedExtra = 1_000))
        for (version in listOf(V1, V2)) {
            expectThat((1L..100).map { resume(it, version) }).all { isEqualTo(version) }
        }
    }

    // Guards against resumed streams that exceed what may be exposed to the new version (EXPOSURE).
    @Test
    fun `streams that go on at the new version count against what may be exposed`() {
        rule(VersionMode.Divided(share = 0.5, exposedShare = 0.1, exposedExtra = 20))
        val resumed = (1L..100).mapNotNull { resume(it, V2) }
        expectThat(resumed.size).isGreaterThan(5).isLessThanOrEqualTo(10)
    }

    // Guards against streams that go on at a version that gets nothing, or at another one instead (ROUTE, ORDER).
    @Test
    fun `where a mode leaves one version, the streams of the other one break off`() {
        for ((mode, left) in listOf(VersionMode.Old to V1, VersionMode.New to V2)) {
            for (isSettled in listOf(false, true)) {
                val rule = VersionRule(LEDGER, OrderNumber(1), V2, mode, isSettled = isSettled)
                routing.decide(RoutingEvent.BackEndsListed(old + new), at(1.seconds))
                routing.decide(RoutingEvent.VersionsRuled(listOf(rule), 1), at(1.seconds))
                val resumed = listOf(V1, V2).associateWith { resume(1, it) }
                expectThat(resumed.values.filterNotNull()).containsExactly(left)
                expectThat(resumed[left]).isEqualTo(left)
            }
        }
    }

    // Guards against streams that go on at a version that was given up (ROUTE).
    @Test
    fun `a stream does not go on at a barred version`() {
        val mode = VersionMode.Divided(share = 0.5, exposedShare = 1.0, exposedExtra = 100)
        val rule = VersionRule(LEDGER, OrderNumber(1), V2, mode, barred = setOf(V3))
        val barred = backEnd("barred").copy(version = V3)
        routing.decide(RoutingEvent.BackEndsListed(old + new + barred), at(1.seconds))
        routing.decide(RoutingEvent.VersionsRuled(listOf(rule), 1), at(1.seconds))
        expectThat(listOf(V1, V2, V3).map { resume(1, it) }).containsExactly(V1, V2, null)
    }
}
