package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Forecasts the work that arrives per second, from its level and slope and from how far bursts went beyond its mean.
 *
 * A burst in progress uses up the reserve for bursts, so that the two are not added.
 */
internal class DemandForecast {
    private class Sample(val at: MonotonicTime, val work: Double)

    private val samples = ArrayDeque<Sample>()
    private val bursts = BurstRatios()
    private var startedAt: MonotonicTime? = null
    private var total = 0.0
    private var count = 0

    /** The mean since the first demand, without the pauses. */
    val mean: Double get() = if (count == 0) 0.0 else total / count

    /** How many times the mean of the recent past the demand may reach before ordered back ends serve. */
    val burstFactor: Double get() = bursts.quantile

    /** The level of the last seconds. */
    val level: Double get() = last(LEVEL_WINDOW).meanWork()

    /** Records that [work] arrives per second, where a back end serves [horizon] after its order. */
    fun observe(work: Double, horizon: Duration, now: MonotonicTime) {
        if (work > 0) {
            if (startedAt == null) startedAt = now
            total += work
            count++
        }
        samples.addLast(Sample(now, work))
        while (now - samples.first().at > BASE_WINDOW) samples.removeFirst()
        bursts.observe(level, base, horizon, now)
    }

    /** The mean of the recent past, from the first demand on. */
    private val base: Double
        get() {
            val started = startedAt ?: return 0.0
            return samples.filter { it.at >= started }.meanWork()
        }

    /** Returns the work per second to expect in [horizon], no less than now; a falling demand is not extrapolated. */
    fun expectedIn(horizon: Duration, now: MonotonicTime): Double {
        // The start of demand is a step, not a slope.
        val hasSlope = startedAt?.let { now - it > SLOPE_WINDOW } ?: false
        val rise = if (hasSlope) slope() * horizon.toDouble(DurationUnit.SECONDS) - level * NOISE else 0.0
        return maxOf(level + rise.coerceIn(0.0, level * MAX_RISE), base * burstFactor)
    }

    /** Returns the slope of the line that fits the last samples best, in work per second and second. */
    private fun slope(): Double {
        val last = last(SLOPE_WINDOW)
        val times = last.map { (it.at - last.first().at).toDouble(DurationUnit.SECONDS) }
        val meanTime = times.average()
        val meanWork = last.meanWork()
        val covariance = last.zip(times).sumOf { (sample, time) -> (time - meanTime) * (sample.work - meanWork) }
        val variance = times.sumOf { (it - meanTime) * (it - meanTime) }
        return if (variance > 0) covariance / variance else 0.0
    }

    private fun last(window: Duration): List<Sample> {
        val now = samples.lastOrNull()?.at ?: return emptyList()
        return samples.filter { now - it.at <= window }
    }

    private fun List<Sample>.meanWork(): Double = if (isEmpty()) 0.0 else sumOf { it.work } / size

    private companion object {
        /** Longer than a burst, so that the mean shows what a burst rises from. */
        val BASE_WINDOW: Duration = 20.seconds

        /** Longer than a short burst, so that the slope shows what goes on rather than one step. */
        val SLOPE_WINDOW: Duration = 8.seconds

        /** Evens out single long prompts. */
        val LEVEL_WINDOW: Duration = 2.seconds

        /** Random arrivals show a slope that announces about this part of the level, or less. */
        const val NOISE = 0.1

        /** The rise within the time of a boot that a slope may announce, as a fraction of the level. */
        const val MAX_RISE = 0.5
    }
}

/**
 * Learns how many times its mean demand reaches within the time until an ordered back end serves.
 *
 * The ratios start from an assumption that the observations of the day outweigh in time.
 */
internal class BurstRatios {
    private class Baseline(val at: MonotonicTime, val base: Double, var peak: Double)

    private val open = ArrayDeque<Baseline>()
    private val ratios = ArrayDeque<Double>().apply { repeat(ASSUMED_SAMPLES) { add(ASSUMED_RATIO) } }

    /** The ratio that few bursts exceed. */
    var quantile: Double = ASSUMED_RATIO
        private set

    /** Records the [level] of demand now, and its mean [base], that of the recent past. */
    fun observe(level: Double, base: Double, horizon: Duration, now: MonotonicTime) {
        open.forEach { it.peak = maxOf(it.peak, level) }
        while (open.isNotEmpty() && now - open.first().at >= horizon) {
            val ended = open.removeFirst()
            ratios.addLast((ended.peak / ended.base).coerceIn(1.0, MAX_RATIO))
            if (ratios.size > MAX_SAMPLES) ratios.removeFirst()
            quantile = ratios.sorted()[(ratios.size * QUANTILE).toInt()]
        }
        if (base > 0 && (open.isEmpty() || now - open.last().at >= SAMPLE_INTERVAL)) {
            open.addLast(Baseline(now, base, peak = level))
        }
    }

    private companion object {
        /** A usual burst of many users at once, assumed before any was seen. */
        const val ASSUMED_RATIO = 1.5

        /** The assumption weighs as much as a minute of observations. */
        const val ASSUMED_SAMPLES = 60

        /** A quarter of an hour. */
        const val MAX_SAMPLES = 900

        val SAMPLE_INTERVAL: Duration = 1.seconds

        /** One burst in ten may exceed the reserve, which the reserve for the loss of a zone then covers. */
        const val QUANTILE = 0.9

        /** The start of demand after a pause is no burst. */
        const val MAX_RATIO = 3.0
    }
}
