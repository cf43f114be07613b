package gypsumcart.core.streams

import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import kotlin.time.Duration

/** Holds the records of the streams of this node and of those that it keeps for others. */
internal class StreamMemory {
    private class KnownStream(val record: StreamRecord, val beganAt: MonotonicTime, val isOwn: Boolean) {
        /** Whether it is for this node to write the record to the store. */
        var isForStore = false

        /** Whether the client has the whole stream. */
        var isEnded = false

        /** Whether the store has the record. */
        var isStored = false

        val needsNoRecord: Boolean get() = isEnded || isStored
    }

    /** The streams in the order in which they began; the eldest yield. */
    private val streams =
        object : LinkedHashMap<RequestId, KnownStream>() {
            override fun removeEldestEntry(eldest: Map.Entry<RequestId, KnownStream>): Boolean = size > MAX_STREAMS
        }

    /** The records to store, in the order in which the streams began; the eldest yield. */
    private var queue = newQueue()

    private var batch: List<StreamRecord> = emptyList()

    /** Whether the store may lose the batch although it acknowledges it. */
    private var isBatchDoubtful = false

    /** Whether records wait to be stored and none are being stored. */
    val isWriteDue: Boolean get() = queue.isNotEmpty() && batch.isEmpty()

    fun recordOrNull(beganAs: RequestId): StreamRecord? = streams[beganAs]?.record

    /** Returns the time since the stream of [record] began, or zero if it is no longer known. */
    fun ageOf(record: StreamRecord, now: MonotonicTime): Duration =
        streams[record.beganAs]?.let { now - it.beganAt } ?: Duration.ZERO

    /**
     * Adds the record of a stream that began at this node, or [isOwn] is false; the first one of a request stays.
     *
     * Returns whether the record was added.
     */
    fun add(record: StreamRecord, isOwn: Boolean, now: MonotonicTime): Boolean =
        record.beganAs.text.length <= MAX_ID_LENGTH &&
            streams.putIfAbsent(record.beganAs, KnownStream(record, now, isOwn)) == null

    /** Has the record stored, if the stream is known and its record is not stored yet. */
    fun store(record: StreamRecord) {
        val stream = streams[record.beganAs] ?: return
        stream.isForStore = true
        if (!stream.needsNoRecord && stream.record !in batch) queue[record.beganAs] = stream.record
    }

    /** Returns the records of the streams of [services] that began at this node and whose clients may take them up. */
    fun ownRecords(services: Set<ServiceName>): List<StreamRecord> =
        streams.values.filter { it.isOwn && !it.isEnded && it.record.service in services }.map { it.record }

    /** Marks the stream as one that its client has received; it stays known, as the client may have lost the end. */
    fun end(beganAs: RequestId) {
        streams[beganAs]?.isEnded = true
        queue -= beganAs
    }

    /** Has the records that this node had stored stored again, as the store may have lost them. */
    fun storeAgain() {
        streams.values.forEach { it.isStored = false }
        isBatchDoubtful = batch.isNotEmpty()
        streams.values.filter { it.isForStore }.forEach { store(it.record) }
    }

    /** Returns the next records to store; [endBatch] must be called before the next ones can be taken. */
    fun takeBatch(): List<StreamRecord> {
        batch = queue.values.take(MAX_BATCH)
        batch.forEach { queue -= it.beganAs }
        return batch
    }

    /** Ends the write of the current batch; if it failed, its records are to be stored again. */
    fun endBatch(succeeded: Boolean) {
        val records = batch
        val isStored = succeeded && !isBatchDoubtful
        batch = emptyList()
        isBatchDoubtful = false
        if (isStored) {
            records.forEach { streams[it.beganAs]?.isStored = true }
            return
        }
        val later = queue
        queue = newQueue()
        val missing = records.filterNot { streams[it.beganAs]?.needsNoRecord ?: true }
        (missing + later.values).forEach { queue[it.beganAs] = it }
    }

    /** Removes the streams whose clients no longer wait. */
    fun expire(now: MonotonicTime) {
        val eldest = streams.values.iterator()
        while (eldest.hasNext()) {
            val stream = eldest.next()
            if (now - stream.beganAt < VersionHistory.RETENTION) return
            eldest.remove()
            queue -= stream.record.beganAs
        }
    }

    private fun newQueue() =
        object : LinkedHashMap<RequestId, StreamRecord>() {
            override fun removeEldestEntry(eldest: Map.Entry<RequestId, StreamRecord>): Boolean = size > MAX_QUEUED
        }

    private companion object {
        /** More than a node keeps of itself and of others in the retention time at its share of the peak. */
        const val MAX_STREAMS = 32_768

        const val MAX_QUEUED = 1_000

        /** Bounds what clients can make a node keep; far longer than usual ids. */
        const val MAX_ID_LENGTH = 200

        /** The number of rows that the store accepts in one transaction. */
        const val MAX_BATCH = 100
    }
}
