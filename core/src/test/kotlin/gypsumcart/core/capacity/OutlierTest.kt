package gypsumcart.core.capacity

import gypsumcart.core.CallKind
import gypsumcart.core.Features
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OutlierTest {
    private fun EngineFleet.callsTo(engine: FakeEngine, from: Duration, until: Duration): Int =
        calls.count { it.engine === engine && it.at >= from && it.at < until }

    private fun EngineFleet.ejections(engine: FakeEngine): List<StandingChange.Ejected> =
        standings.filter { it.engine === engine }.mapNotNull { it.change as? StandingChange.Ejected }

    @Test
    fun `errors, an engine that answers at once with errors loses its calls instead of attracting them`() {
        val (even, learned) =
            listOf(Features.NONE, Features(learnedCapacity = true)).map { features ->
                val fleet = EngineFleet(nodeCount = 36, List(6) { 1.0 }, features)
                fleet.serve(5.seconds, perSecond = 150)
                fleet.engines[2].failing = true
                fleet.serve(10.seconds, perSecond = 150)
                fleet.callsTo(fleet.engines[2], 9.seconds, 15.seconds)
            }
        expectThat(learned).isLessThan(even / 5)
    }

    @Test
    fun `all grey, no engine is ejected if all of them are slow or fail`() {
        val fleet = EngineFleet(nodeCount = 36, List(6) { 1.0 })
        fleet.serve(5.seconds, perSecond = 150)
        fleet.engines.forEach { it.speed = 0.2 }
        fleet.serve(10.seconds, perSecond = 150)
        fleet.engines.forEach { it.failing = true }
        fleet.serve(10.seconds, perSecond = 150)
        expectThat(fleet.standings.filter { it.change is StandingChange.Ejected }).isEmpty()
    }

    @Test
    fun `many bad, never more than a third of the engines is ejected`() {
        val fleet = EngineFleet(nodeCount = 9, List(9) { 1.0 })
        fleet.serve(5.seconds, perSecond = 150)
        fleet.engines.take(4).forEach { it.failing = true }
        fleet.serve(5.seconds, perSecond = 150)
        expectThat(fleet.mostEjected()).isEqualTo(3)
    }

    @Test
    fun `dark, calls that may be repeated go elsewhere soon and hardly any more are sent`() {
        val fleet = EngineFleet(nodeCount = 81, List(20) { 1.0 })
        val resumable = CallKind.Streamed(resumable = true, maxPause = 1.seconds)
        fleet.serve(8.seconds, perSecond = 300, prefixes = 400, kind = resumable)
        val dark = fleet.engines[3]
        dark.dark = true
        fleet.serve(10.seconds, perSecond = 300, prefixes = 400, kind = resumable)
        expectThat(fleet.endedCalls).isNotEmpty().all { isLessThan(18.seconds) }
        expectThat(fleet.endedCalls.first()).isLessThan(10.5.seconds)
        expectThat(fleet.callsTo(dark, 12.seconds, 18.seconds)).isLessThan(20)
    }

    @Test
    fun `dark, calls that must not be repeated are left alone and hardly any more are sent`() {
        val fleet = EngineFleet(nodeCount = 81, List(20) { 1.0 })
        fleet.serve(8.seconds, perSecond = 300, prefixes = 400)
        val dark = fleet.engines[3]
        dark.dark = true
        fleet.serve(10.seconds, perSecond = 300, prefixes = 400)
        expectThat(fleet.endedCalls).isEmpty()
        expectThat(fleet.callsTo(dark, 12.seconds, 18.seconds)).isLessThan(20)
    }

    @Test
    fun `return, a dark engine that has recovered gets calls again after one trial call`() {
        val fleet = EngineFleet(nodeCount = 20, List(9) { 1.0 })
        fleet.serve(8.seconds, perSecond = 200, prefixes = 400)
        val dark = fleet.engines[3]
        dark.dark = true
        fleet.serve(6.seconds, perSecond = 200, prefixes = 400)
        dark.dark = false
        fleet.serve(20.seconds, perSecond = 200, prefixes = 400)
        expectThat(fleet.callsTo(dark, 28.seconds, 34.seconds)).isGreaterThan(40)
    }

    @Test
    fun `grey, an engine that is far slower than its weight can make up for is ejected`() {
        val fleet = EngineFleet(nodeCount = 36, List(6) { 1.0 }, base = 50.milliseconds)
        fleet.serve(5.seconds, perSecond = 200)
        val grey = fleet.engines[2]
        grey.speed = 0.05
        fleet.serve(20.seconds, perSecond = 200)
        expectThat(fleet.ejections(grey)).isNotEmpty()
        val ejected = fleet.standings.filter { it.change is StandingChange.Ejected }.map { it.engine }
        expectThat(ejected.distinct()).isEqualTo(listOf(grey))
        // A fifth of an equal part of the calls.
        expectThat(fleet.callsTo(grey, 15.seconds, 25.seconds)).isLessThan(200 * 10 / 6 / 5)
    }

    @Test
    fun `flap, each ejection in succession lasts longer`() {
        val fleet = EngineFleet(nodeCount = 20, List(6) { 1.0 }, base = 50.milliseconds)
        val flapping = fleet.engines[1]
        fleet.serve(4.seconds, perSecond = 200)
        repeat(6) {
            flapping.failing = true
            fleet.serve(5.seconds, perSecond = 200)
            flapping.failing = false
            fleet.serve(4.seconds, perSecond = 200)
        }
        val times = fleet.ejections(flapping).map { it.time }
        expectThat(times.max()).isGreaterThan(times.min() * 2)
    }
}
