package gypsumcart.core.capacity

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sums up the calls of this node and chooses what it tells of them. */
internal class OwnSums {
    private class Entry(now: MonotonicTime) {
        val sums = DecayingSums(CallSums.NONE, now)
        var untoldCalls = 0
        var toldAt = now
    }

    private val entries = HashMap<InstanceTag, Entry>()

    fun add(instance: InstanceTag, call: CallSums, now: MonotonicTime) {
        val entry = entries.getOrPut(instance) { Entry(now) }
        entry.sums.add(call, now)
        entry.untoldCalls++
    }

    /** Calls [action] with the sums of each instance at [now], and forgets those that hardly count any more. */
    fun forEach(now: MonotonicTime, action: (InstanceTag, CallSums) -> Unit) {
        entries.entries.removeIf { (instance, entry) ->
            val sums = entry.sums.asOf(now)
            action(instance, sums)
            sums.calls < MIN_CALLS && entry.untoldCalls == 0
        }
    }

    /** Returns the sums with the most calls that were not told yet, and those that were told last, if there is room. */
    fun report(now: MonotonicTime): CapacityReport {
        val news =
            entries.entries
                .filter { (_, entry) -> entry.untoldCalls > 0 || now - entry.toldAt <= REPEAT_TIME }
                .sortedByDescending { it.value.untoldCalls }
                .take(MAX_REPORTED)
        for ((_, entry) in news) {
            if (entry.untoldCalls > 0) entry.toldAt = now
            entry.untoldCalls = 0
        }
        return CapacityReport(news.associate { (instance, entry) -> instance to entry.sums.asOf(now) })
    }

    private companion object {
        /** Bounds the bytes of a report, whatever the number of instances. */
        const val MAX_REPORTED = 12

        /** A report may be replaced by the next one before it reaches all nodes, so that sums are told twice. */
        val REPEAT_TIME: Duration = 0.6.seconds
    }
}

/** The number of calls below which sums are forgotten, since they no longer change the estimate of a busy instance. */
internal const val MIN_CALLS: Double = 0.1
