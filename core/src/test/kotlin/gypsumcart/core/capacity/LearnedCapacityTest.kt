package gypsumcart.core.capacity

import gypsumcart.core.Features
import gypsumcart.core.backEnd
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LearnedCapacityTest {
    private val threeSpeeds = List(42) { SPEEDS[it % SPEEDS.size] }

    private fun EngineFleet.meanShare(since: Duration, speed: Double): Double =
        shares(since).filterKeys { it.speed == speed }.values.average()

    @Test
    fun `three speeds, 81 nodes, a fast engine gets more prompts than a slow one`() {
        val fleet = EngineFleet(nodeCount = 81, threeSpeeds, noiseShare = 0.15)
        fleet.serve(20.seconds, perSecond = 500, prefixes = 400)
        val since = 10.seconds
        expectThat(fleet.meanShare(since, 1.6)).isGreaterThan(fleet.meanShare(since, 0.6) * 1.8)
    }

    @Test
    fun `three speeds, fewer requests are late than with equal weights and few prompts are read again`() {
        val (even, weighted) =
            listOf(Features.NONE, Features(learnedCapacity = true)).map { features ->
                EngineFleet(nodeCount = 81, threeSpeeds, features, noiseShare = 0.15)
                    .also { it.serve(20.seconds, perSecond = 450, prefixes = 400) }
            }
        expectThat(weighted.missedShare(8.seconds, TARGET)).isLessThan(even.missedShare(8.seconds, TARGET) * 0.6)
        expectThat(weighted.calls.count { it.at > 8.seconds && it.read }).isLessThan(weighted.calls.size / 40)
    }

    @Test
    fun `plain servers of which one is slow, it gets a smaller part`() {
        val fleet = EngineFleet(nodeCount = 36, listOf(1.4, 1.0, 0.6), base = 43.milliseconds, noiseShare = 0.15)
        fleet.serve(20.seconds, perSecond = 150)
        expectThat(fleet.shares(8.seconds).getValue(fleet.engines[2])).isLessThan(0.75)
    }

    @Test
    fun `change of speed, an engine that has become slow loses calls within seconds and gets them back`() {
        val fleet = EngineFleet(nodeCount = 81, List(20) { 1.0 })
        val changed = fleet.engines[3]
        fleet.serve(10.seconds, perSecond = 300, prefixes = 400)
        val before = fleet.shares(4.seconds).getValue(changed)
        changed.speed = 0.4
        fleet.serve(10.seconds, perSecond = 300, prefixes = 400)
        val during = fleet.shares(14.seconds).getValue(changed)
        changed.speed = 1.0
        fleet.serve(20.seconds, perSecond = 300, prefixes = 400)
        val after = fleet.shares(32.seconds).getValue(changed)
        expectThat(during).isLessThan(before * 0.7)
        expectThat(after).isGreaterThan(during * 1.2)
    }

    @Test
    fun `herd, nodes with the same stale reports do not all run to the same engine`() {
        val fleet = EngineFleet(nodeCount = 81, List(3) { 1.0 }, base = 43.milliseconds)
        fleet.serve(20.seconds, perSecond = 200)
        val worst =
            (5..18).maxOf { second ->
                val calls = fleet.calls.filter { it.at >= second.seconds && it.at < (second + 1).seconds }
                calls
                    .groupingBy { it.engine }
                    .eachCount()
                    .values
                    .max() * 3.0 / calls.size
            }
        expectThat(worst).isLessThan(1.4)
    }

    @Test
    fun `new engine, it starts with a small part`() {
        val fleet = EngineFleet(nodeCount = 20, List(9) { 1.0 })
        fleet.serve(8.seconds, perSecond = 300, prefixes = 400)
        val added = FakeEngine(backEnd("new", slots = 64), 1.0)
        fleet.add(added)
        fleet.serve(1.seconds, perSecond = 300, prefixes = 400)
        expectThat(fleet.shares(8.seconds).getValue(added)).isLessThan(0.6)
        fleet.serve(10.seconds, perSecond = 300, prefixes = 400)
        expectThat(fleet.shares(13.seconds).getValue(added)).isGreaterThan(0.6)
    }

    @Test
    fun `start, engines that are listed soon after the first ones get as much as if they had been among these`() {
        val shares =
            listOf(4, 5).map { listed ->
                val fleet = EngineFleet(nodeCount = 20, List(listed) { 1.0 })
                fleet.serve(1.seconds, perSecond = 200, prefixes = 400)
                if (listed == 4) fleet.add(FakeEngine(backEnd("e4", slots = 64), 1.0))
                fleet.serve(2.seconds, perSecond = 200, prefixes = 400)
                fleet.shares(1.seconds).getValue(fleet.engines.last())
            }
        expectThat(shares[0]).isGreaterThan(shares[1] * 0.85)
    }

    private companion object {
        val SPEEDS = listOf(0.6, 1.0, 1.6)
        val TARGET: Duration = 400.milliseconds
    }
}
