package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tracks the highest value of the last [window]. */
internal class SlidingMaximum(private val window: Duration) {
    private class Sample(val amount: Double, val at: MonotonicTime)

    /** The samples that may still become the maximum, in order of time and of decreasing amount. */
    private val samples = ArrayDeque<Sample>()

    val value: Double get() = samples.firstOrNull()?.amount ?: 0.0

    fun add(amount: Double, now: MonotonicTime) {
        while (samples.isNotEmpty() && samples.last().amount <= amount) samples.removeLast()
        while (samples.isNotEmpty() && now - samples.first().at > window) samples.removeFirst()
        samples.addLast(Sample(amount, now))
    }
}

/** Tracks the highest load of the recent past, so that a short lull does not remove back ends. */
internal class PeakLoad {
    private val loads = SlidingMaximum(WINDOW)

    val value: Double get() = loads.value

    fun add(load: Double, now: MonotonicTime): Unit = loads.add(load, now)

    private companion object {
        /** A little more than twice the time that a back end takes to boot. */
        val WINDOW: Duration = 10.seconds
    }
}
