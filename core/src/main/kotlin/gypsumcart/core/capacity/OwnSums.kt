package gypsumcart.core.capacity

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sums up the calls of this node and chooses what it tells of them. */
internal class OwnSums {
    private class Entry(now: MonotonicTime) {
        val sums = DecayingSums(CallSums.NONE, now)
        var inProgress = 0
        var waiting = 0
        var untoldChanges = 0
        var toldAt = now

        fun asOf(now: MonotonicTime): CallSums = sums
            .asOf(
                now,
            ).copy(inProgress = inProgress.toDouble(), waiting = waiting.toDouble())
    }

    private val entries = HashMap<InstanceTag, Entry>()

    fun add(instance: InstanceTag, call: CallSums, now: MonotonicTime): Unit =
        change(instance, now) { it.sums.add(call, now) }

    /** Changes the number of calls in progress, and of those whose response has not started. */
    fun count(instance: InstanceTag, inProgress: Int, waiting: Int, now: MonotonicTime): Unit =
        change(instance, now) {
            it.inProgress += inProgress
            it.waiting += waiting
        }

    private inline fun change(instance: InstanceTag, now: MonotonicTime, action: (Entry) -> Unit) {
        val entry = entries.getOrPut(instance) { Entry(now) }
        action(entry)
        entry.untoldChanges++
    }

    /** Calls [action] with the sums of each instance at [now], and forgets those that hardly count any more. */
    fun forEach(now: MonotonicTime, action: (InstanceTag, CallSums) -> Unit) {
        entries.entries.removeIf { (instance, entry) ->
            val sums = entry.asOf(now)
            action(instance, sums)
            sums.isNegligible && entry.untoldChanges == 0
        }
    }

    /** Returns the sums with the most changes that were not told yet, and those told last, if there is room. */
    fun report(now: MonotonicTime): CapacityReport {
        val news =
            entries.entries
                .filter { (_, entry) -> entry.untoldChanges > 0 || now - entry.toldAt <= REPEAT_TIME }
                .sortedByDescending { it.value.untoldChanges }
                .take(MAX_REPORTED)
        for ((_, entry) in news) {
            if (entry.untoldChanges > 0) entry.toldAt = now
            entry.untoldChanges = 0
        }
        return CapacityReport(news.associate { (instance, entry) -> instance to entry.asOf(now) })
    }

    private companion object {
        /** Bounds the bytes of a report, whatever the number of instances. */
        const val MAX_REPORTED = 12

        /** A report may be replaced by the next one before it reaches all nodes, so that sums are told twice. */
        val REPEAT_TIME: Duration = 0.6.seconds
    }
}
