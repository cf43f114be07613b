package gypsumcart.core.streams

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides when the records of [memory] that this node has to store are written. */
internal class RecordWriter(private val memory: StreamMemory) {
    private var pause = MIN_PAUSE
    private var nextAt: MonotonicTime? = null

    /** The time of the next write, or null if none is due then. */
    val nextDueTime: MonotonicTime? get() = nextAt?.takeIf { memory.isWriteDue }

    /** Divides the writes that all nodes may make among [writerCount] of them. */
    fun share(writerCount: Int) {
        pause = maxOf(MIN_PAUSE, 1.seconds * writerCount / MAX_WRITES_PER_SECOND)
    }

    fun end(succeeded: Boolean, now: MonotonicTime) {
        memory.endBatch(succeeded)
        if (!succeeded) nextAt = now + maxOf(pause, FAILURE_PAUSE)
    }

    fun dueWriteOrNull(now: MonotonicTime): StreamEffect? {
        if (!memory.isWriteDue || nextAt?.let { it > now } == true) return null
        nextAt = now + pause
        val records = memory.takeBatch()
        return StreamEffect.WriteRecords(records, memory.ageOf(records.first(), now))
    }

    private companion object {
        /** Keeps the writes of up to five nodes within [MAX_WRITES_PER_SECOND]. */
        val MIN_PAUSE: Duration = 100.milliseconds

        /** What all nodes together may add to the writes of the store. */
        const val MAX_WRITES_PER_SECOND = 50

        /** Bounds the calls while the store declines them. */
        val FAILURE_PAUSE: Duration = 1.seconds
    }
}
