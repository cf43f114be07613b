package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tracks the highest load of the recent past, so that a short lull does not remove back ends. */
internal class PeakLoad {
    private class Sample(val load: Double, val at: MonotonicTime)

    /** The samples that may still become the peak, in order of time and of decreasing load. */
    private val samples = ArrayDeque<Sample>()

    val value: Double get() = samples.firstOrNull()?.load ?: 0.0

    fun add(load: Double, now: MonotonicTime) {
        while (samples.isNotEmpty() && samples.last().load <= load) samples.removeLast()
        while (samples.isNotEmpty() && now - samples.first().at > WINDOW) samples.removeFirst()
        samples.addLast(Sample(load, now))
    }

    private companion object {
        /** A little more than twice the time that a back end takes to boot. */
        val WINDOW: Duration = 10.seconds
    }
}
