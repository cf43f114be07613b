package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Keeps the highest load of the recent past, so that back ends are not taken away in a short lull. */
internal class PeakLoad {
    private class Sample(val load: Double, val at: MonotonicTime)

    /** Falls from front to back, so that the front is the peak. */
    private val samples = ArrayDeque<Sample>()

    val value: Double get() = samples.firstOrNull()?.load ?: 0.0

    fun add(load: Double, now: MonotonicTime) {
        while (samples.isNotEmpty() && samples.last().load <= load) samples.removeLast()
        while (samples.isNotEmpty() && now - samples.first().at > SPAN) samples.removeFirst()
        samples.addLast(Sample(load, now))
    }

    private companion object {
        /** Twice what a back end takes to boot, and a little more. */
        val SPAN: Duration = 10.seconds
    }
}
