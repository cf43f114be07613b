package gypsumcart.core.capacity

import gypsumcart.core.at
import gypsumcart.core.backEnd
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.PriorityQueue
import kotlin.math.abs
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Compares rules by which weights could follow from the same sums; docs/design/capacity.md has the results. */
class CapacityExperimentTest {
    /** What a node knows of an engine: calls a second, their mean latency in seconds, and those in progress. */
    private class Seen(val rate: Double, val latency: Double, val inProgress: Int)

    /** A rule with the weights of one node. */
    private sealed class Rule(engines: Int) {
        val weights = DoubleArray(engines) { 1.0 }

        /** The calls in progress beyond which a part of the requests passes an engine over; null without a bound. */
        open fun boundOrNull(mean: Double): Double? = (mean + 3) * 1.5

        fun update(seen: List<Seen>) {
            val mean = seen.sumOf { it.rate * it.latency } / seen.sumOf { it.rate }
            seen.forEachIndexed { i, engine -> weights[i] = next(weights[i], engine, mean).coerceIn(0.25, 3.0) }
        }

        abstract fun next(weight: Double, seen: Seen, mean: Double): Double

        class Even(engines: Int) : Rule(engines) {
            override fun boundOrNull(mean: Double): Double? = null

            override fun next(weight: Double, seen: Seen, mean: Double): Double = 1.0
        }

        class InverseLatency(engines: Int) : Rule(engines) {
            override fun next(weight: Double, seen: Seen, mean: Double): Double = mean / seen.latency
        }

        /** The rule of the program. */
        class SmoothedInverse(engines: Int) : Rule(engines) {
            override fun next(weight: Double, seen: Seen, mean: Double): Double =
                weight.pow(0.9) * (mean / seen.latency).pow(0.1)
        }

        class Unbounded(engines: Int) : Rule(engines) {
            override fun boundOrNull(mean: Double): Double? = null

            override fun next(weight: Double, seen: Seen, mean: Double): Double =
                weight.pow(0.9) * (mean / seen.latency).pow(0.1)
        }

        class Gradient(engines: Int) : Rule(engines) {
            override fun next(weight: Double, seen: Seen, mean: Double): Double =
                weight * (mean / seen.latency).pow(0.1)
        }

        /** Takes an engine for a queue with one server: its speed is its rate and the inverse of its latency. */
        class QueueFit(engines: Int) : Rule(engines) {
            override fun next(weight: Double, seen: Seen, mean: Double): Double =
                (seen.rate + 1 / seen.latency) / (MEAN_RATE + 1 / mean)
        }

        class Aimd(engines: Int) : Rule(engines) {
            override fun next(weight: Double, seen: Seen, mean: Double): Double =
                if (seen.latency > TARGET.toDouble(DurationUnit.SECONDS)) weight * 0.8 else weight + 0.05
        }
    }

    private class Result(val late: Double, val lateAfterChange: Double, val moved: Double)

    /** Serves by weighted draws of 81 nodes, which see sums of all nodes as of a second ago. */
    private class Trial(perSecond: Int, createRule: (Int) -> Rule) {
        private val random = Random(11)
        private val engines = List(42) { FakeEngine(backEnd("e$it"), SPEEDS[it % SPEEDS.size]) }
        private val sums = engines.map { DecayingSums(CallSums.NONE, at(Duration.ZERO)) }
        private val history = ArrayDeque<List<Seen>>()
        private val rules = List(81) { createRule(engines.size) }
        private val ends = PriorityQueue<Triple<Duration, FakeEngine, Duration>>(compareBy { it.first })
        private val gap = 1.seconds / perSecond
        private var moved = 0.0
        private var latest = emptyList<Seen>()
        private val records = ArrayList<Pair<Duration, Duration>>()

        fun run(): Result {
            var now = Duration.ZERO
            var tick = 0
            while (now < END) {
                now += gap * random.nextDouble() * 2
                finishCalls(now)
                while (TICK * tick < now) step(tick++)
                if (now > CHANGE) engines[4].speed = 0.4
                call(rules[random.nextInt(rules.size)], now)
            }
            val steady = records.filter { it.first in 8.seconds..CHANGE }
            val changed = records.filter { it.first > CHANGE + 5.seconds }
            return Result(steady.lateShare(), changed.lateShare(), moved / (tick - STEADY_TICK))
        }

        private fun List<Pair<Duration, Duration>>.lateShare() = count { it.second > TARGET } / size.toDouble()

        private fun finishCalls(now: Duration) {
            while (ends.isNotEmpty() && ends.peek().first <= now) {
                val (end, engine, latency) = ends.poll()
                engine.inProgress--
                val call = CallSums(1.0, latency.toDouble(DurationUnit.SECONDS))
                sums[engines.indexOf(engine)].add(call, at(end))
            }
        }

        /** Each node updates its weights every tenth step, at a time of its own. */
        private fun step(tick: Int) {
            val now = at(TICK * tick)
            engines.forEach { if (tick % 12 == 0) it.noise = if (random.nextDouble() < 0.15) 2.5 else 1.0 }
            history.addLast(
                sums.mapIndexed { i, sum ->
                    val (calls, latency) = sum.asOf(now)
                    Seen((calls + 0.1) / 4, (latency + 5 * 0.25) / (calls + 5), engines[i].inProgress)
                },
            )
            if (history.size <= STALE_TICKS) return
            val seen = history.removeFirst()
            latest = seen
            rules.forEachIndexed { i, rule ->
                if (tick % 10 != i % 10) return@forEachIndexed
                val before = rule.weights.copyOf()
                rule.update(seen)
                if (tick > STEADY_TICK && i == 0) moved += before.movedTo(rule.weights)
            }
        }

        /** Returns the part of all draws, or of all prompt prefixes, that changes its engine. */
        private fun DoubleArray.movedTo(after: DoubleArray): Double =
            indices.sumOf { abs(this[it] / sum() - after[it] / after.sum()) } / 2

        private fun draw(rule: Rule): Int {
            var left = random.nextDouble() * rule.weights.sum()
            return maxOf(rule.weights.indexOfFirst { weight -> (left - weight).also { left = it } <= 0 }, 0)
        }

        private fun isPassedOver(rule: Rule, i: Int): Boolean {
            if (latest.isEmpty()) return false
            val bound = rule.boundOrNull(latest.sumOf { it.inProgress }.toDouble() / engines.size) ?: return false
            return random.nextDouble() > (bound / latest[i].inProgress).pow(2)
        }

        private fun call(rule: Rule, now: Duration) {
            val drawn = generateSequence { draw(rule) }.take(MAX_DRAWS)
            val engine = engines[drawn.firstOrNull { !isPassedOver(rule, it) } ?: draw(rule)]
            val latency = engine.timeOfCall(200.milliseconds)
            engine.inProgress++
            records += now to latency
            ends += Triple(now + latency, engine, latency)
        }
    }

    @Test
    fun `the smoothed inverse of the latency is late less often than other rules and moves few prompts`() {
        val rules =
            listOf<(Int) -> Rule>(
                Rule::SmoothedInverse,
                Rule::Unbounded,
                Rule::Even,
                Rule::InverseLatency,
                Rule::Gradient,
                Rule::QueueFit,
                Rule::Aimd,
            )
        val results = rules.map { rule -> LOADS.map { Trial(it, rule).run() } }
        val late = results.map { trials -> trials.sumOf { it.late + it.lateAfterChange } }
        expectThat(late.first()).isEqualTo(late.min())
        val moved = results.map { trials -> trials.sumOf { it.moved } }
        expectThat(moved.first()).isLessThan(moved[RULES.indexOf("inverse")] * 0.5)
    }

    private companion object {
        val SPEEDS = listOf(0.6, 1.0, 1.6)
        val RULES = listOf("smoothed inverse", "unbounded", "even", "inverse", "gradient", "queue", "aimd")

        /** Requests a second: 0.4, 0.6 and 0.8 of what the engines can do. */
        val LOADS = listOf(600, 900, 1_200)
        val TARGET: Duration = 400.milliseconds
        val END: Duration = 40.seconds
        val CHANGE: Duration = 25.seconds
        val TICK: Duration = 50.milliseconds
        const val MAX_DRAWS = 4
        const val STALE_TICKS = 20
        const val STEADY_TICK = 200
        const val MEAN_RATE = 20.0
    }
}
