package gypsumcart.core.streams

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEndVersion
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.Ticket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Determines which version began the stream that a client takes up, and keeps the records that other nodes need for it.
 *
 * The streams that began at this node are known. For the others, the version is the only one that was in use lately, or
 * the one in the stream's record. A request whose origin remains unknown is refused.
 */
public class StreamOrigins : Decider<StreamEvent, StreamEffect> {
    /** Describes what a request waits for. */
    private sealed class Wait {
        /** The stored versions have not been read since the process started. */
        data object ForVersions : Wait()

        /** The record is being read; [isLast] says that it is for the second time. */
        data class ForRecord(val isLast: Boolean) : Wait()

        /** The record was not found, and is read once more at [until]. */
        data class ForWrite(val until: MonotonicTime) : Wait()
    }

    private class Lookup(val admitted: AdmittedRequest, val giveUpAt: MonotonicTime, var wait: Wait) {
        val dueTime: MonotonicTime get() = (wait as? Wait.ForWrite)?.until?.let { minOf(it, giveUpAt) } ?: giveUpAt
    }

    private val history = VersionHistory()
    private val memory = StreamMemory()
    private val rows = VersionRows()
    private val lookups = LinkedHashMap<Ticket, Lookup>()
    private var inUse: Map<ServiceName, Set<BackEndVersion?>> = emptyMap()

    private var isListed = false
    private var isRegistryAvailable = true

    /** When the changes that the registry has made while it did not respond will have been listed. */
    private var upToDateFrom: MonotonicTime? = null

    private var writePause = MIN_WRITE_PAUSE
    private var nextWriteAt: MonotonicTime? = null

    /** Whether this node has the lowest id of all live ones. */
    private var isLowest = false

    private var wakeUpAt: MonotonicTime? = null

    override fun decide(event: StreamEvent, now: MonotonicTime): List<StreamEffect> =
        handle(event, now) + listOfNotNull(recordWriteOrNull(now), wakeUpOrNull(now))

    private fun handle(event: StreamEvent, now: MonotonicTime): List<StreamEffect> =
        when (event) {
            is StreamEvent.BackEndsListed -> {
                isListed = true
                history.list(event.backEnds, now)
                refreshVersions(now)
            }

            is StreamEvent.RegistryChanged ->
                noEffects {
                    isRegistryAvailable = event.isAvailable
                    upToDateFrom = now + LISTING_DELAY
                }

            is StreamEvent.VersionsRead -> readVersions(event, now)

            is StreamEvent.VersionsWritten -> {
                rows.endWrite(event)
                versionWrites(now)
            }

            is StreamEvent.TakenUp -> listOfNotNull(takeUp(event.admitted, now))

            is StreamEvent.StreamBegan ->
                noEffects {
                    memory.expire(now)
                    memory.add(event.record, isToBeStored = inUse[event.record.service].isSeveral, now)
                }

            is StreamEvent.StreamEnded -> noEffects { memory.end(event.beganAs) }

            is StreamEvent.RecordRead -> listOfNotNull(endRead(event, now))

            is StreamEvent.RecordsWritten ->
                noEffects {
                    memory.endBatch(event.succeeded)
                    if (!event.succeeded) nextWriteAt = now + maxOf(writePause, FAILED_WRITE_PAUSE)
                }

            is StreamEvent.RankUpdated -> {
                writePause = maxOf(MIN_WRITE_PAUSE, 1.seconds * event.nodeCount / MAX_WRITES_PER_SECOND)
                isLowest = event.rank == 0
                versionWrites(now)
            }

            StreamEvent.Tick -> tick(now)
        }

    private inline fun noEffects(change: () -> Unit): List<StreamEffect> {
        change()
        return emptyList()
    }

    private val Set<BackEndVersion?>?.isSeveral: Boolean get() = this != null && size > 1

    private fun tick(now: MonotonicTime): List<StreamEffect> {
        wakeUpAt = wakeUpAt?.takeIf { it > now }
        memory.expire(now)
        val versionChanges = refreshVersions(now)
        val due = lookups.values.filter { it.dueTime <= now }
        return versionChanges + due.mapNotNull { continueLookup(it, now) }
    }

    private fun readVersions(event: StreamEvent.VersionsRead, now: MonotonicTime): List<StreamEffect> {
        val isFirst = event.isComplete && !rows.isRead
        rows.read(event)
        // The row may be from before a restart of all nodes, and its versions may have been in use until then.
        if (isFirst) event.versions.forEach { (service, versions) -> history.retain(service, versions, now) }
        val versionChanges = refreshVersions(now)
        if (!isFirst) return versionChanges
        val waiting = lookups.values.filter { it.wait == Wait.ForVersions }
        return versionChanges + waiting.mapNotNull { startOver(it, now) }
    }

    private fun refreshVersions(now: MonotonicTime): List<StreamEffect> {
        val before = inUse
        inUse = history.versionsInUse(now)
        inUse.forEach { (service, versions) ->
            if (versions.isSeveral && !before[service].isSeveral) memory.storeAll(service)
        }
        return versionWrites(now)
    }

    private fun versionWrites(now: MonotonicTime): List<StreamEffect> =
        if (isLowest) rows.dueWrites(inUse, now) else emptyList()

    private fun takeUp(admitted: AdmittedRequest, now: MonotonicTime): StreamEffect? {
        originOrNull(admitted, now)?.let { return it }
        if (admitted.deadline <= now) return refuse(admitted, RefusalReason.OriginUnknown, retryAfter = null)
        if (lookups.size >= MAX_LOOKUPS) return refuse(admitted, RefusalReason.Overloaded("streams"), RETRY_AFTER)
        val lookup = Lookup(admitted, minOf(admitted.deadline, now + MAX_LOOKUP), Wait.ForVersions)
        lookups[admitted.ticket] = lookup
        return if (rows.isRead) read(lookup, isLast = false) else null
    }

    private fun startOver(lookup: Lookup, now: MonotonicTime): StreamEffect? =
        originOrNull(lookup.admitted, now)?.also { lookups -= lookup.admitted.ticket } ?: read(lookup, isLast = false)

    /** Returns what to do with a request whose stream's origin is known, or null if the store is to be asked. */
    private fun originOrNull(admitted: AdmittedRequest, now: MonotonicTime): StreamEffect? {
        val known =
            admitted.submission.takeUp
                ?.beganAs
                ?.let(memory::recordOrNull)
        if (known != null) return route(admitted, known, OriginSource.Memory)
        val versions = inUse[admitted.service].orEmpty()
        if (!knowsAllVersions(now) || versions.size != 1) return null
        return route(admitted, versions.single(), OriginSource.History)
    }

    /** Returns whether no version can be in use that this node has not heard of. */
    private fun knowsAllVersions(now: MonotonicTime): Boolean =
        rows.isRead && isListed && isRegistryAvailable && upToDateFrom?.let { it > now } != true

    private fun route(admitted: AdmittedRequest, record: StreamRecord, source: OriginSource): StreamEffect =
        if (record.service == admitted.service) {
            route(admitted, record.version, source)
        } else {
            refuse(admitted, RefusalReason.OriginGone, retryAfter = null)
        }

    private fun route(admitted: AdmittedRequest, version: BackEndVersion?, source: OriginSource): StreamEffect =
        StreamEffect.Route(admitted.copy(origin = StreamOrigin.WrittenBy(version)), source)

    private fun refuse(admitted: AdmittedRequest, reason: RefusalReason, retryAfter: Duration?): StreamEffect =
        StreamEffect.Refuse(admitted, Outcome.NotRun(reason, retryAfter))

    /** Reads the record, unless the client does not name the stream. */
    private fun read(lookup: Lookup, isLast: Boolean): StreamEffect {
        val beganAs =
            lookup.admitted.submission.takeUp
                ?.beganAs ?: return giveUp(lookup, isAbsent = true)
        lookup.wait = Wait.ForRecord(isLast)
        return StreamEffect.ReadRecord(lookup.admitted.ticket, beganAs)
    }

    private fun endRead(event: StreamEvent.RecordRead, now: MonotonicTime): StreamEffect? {
        val lookup = lookups[event.ticket] ?: return null
        val wait = lookup.wait as? Wait.ForRecord ?: return null
        val record = (event.result as? RecordReadResult.Found)?.record
        if (record != null &&
            record.beganAs ==
            lookup.admitted.submission.takeUp
                ?.beganAs
        ) {
            lookups -= event.ticket
            return route(lookup.admitted, record, OriginSource.Store)
        }
        val readAgainAt = now + WRITE_DELAY
        if (wait.isLast || readAgainAt >= lookup.giveUpAt) {
            return giveUp(lookup, isAbsent = event.result != RecordReadResult.Failed)
        }
        lookup.wait = Wait.ForWrite(readAgainAt)
        return null
    }

    private fun continueLookup(lookup: Lookup, now: MonotonicTime): StreamEffect? {
        if (lookup.giveUpAt <= now) return giveUp(lookup, isAbsent = false)
        return when (lookup.wait) {
            is Wait.ForWrite ->
                originOrNull(lookup.admitted, now)?.also { lookups -= lookup.admitted.ticket }
                    ?: read(lookup, isLast = true)

            Wait.ForVersions, is Wait.ForRecord -> null
        }
    }

    /** Refuses the request; if no record is there, although one would have been stored, it makes no sense to repeat it. */
    private fun giveUp(lookup: Lookup, isAbsent: Boolean): StreamEffect {
        lookups -= lookup.admitted.ticket
        val isFinal = isAbsent && inUse[lookup.admitted.service].isSeveral
        return refuse(lookup.admitted, RefusalReason.OriginUnknown, RETRY_AFTER.takeUnless { isFinal })
    }

    private fun recordWriteOrNull(now: MonotonicTime): StreamEffect? {
        if (!memory.isWriteDue || nextWriteAt?.let { it > now } == true) return null
        nextWriteAt = now + writePause
        return StreamEffect.WriteRecords(memory.takeBatch())
    }

    /** Requests a tick for the next due time, unless one has been requested that comes no later. */
    private fun wakeUpOrNull(now: MonotonicTime): StreamEffect? {
        val nextWrite = nextWriteAt?.takeIf { memory.isWriteDue }
        val next = (lookups.values.map { it.dueTime } + listOfNotNull(nextWrite)).minOrNull() ?: return null
        if (wakeUpAt?.let { it in now..next } == true) return null
        wakeUpAt = next
        return StreamEffect.WakeAt(next)
    }

    private companion object {
        /** Keeps the writes of up to five nodes within [MAX_WRITES_PER_SECOND]. */
        val MIN_WRITE_PAUSE: Duration = 100.milliseconds

        /** What all nodes together may add to the writes of the store. */
        const val MAX_WRITES_PER_SECOND = 50

        /** Bounds the calls while the store declines them. */
        val FAILED_WRITE_PAUSE: Duration = 1.seconds

        /** Within this time a small fleet's nodes have stored the record of a stream. */
        val WRITE_DELAY: Duration = 150.milliseconds

        /** Within this time changes of the registry have become a list of back ends. */
        val LISTING_DELAY: Duration = 200.milliseconds

        /** Less than clients wait for a first event. */
        val MAX_LOOKUP: Duration = 1.seconds

        /** Bounds the reads that a node has in progress. */
        const val MAX_LOOKUPS = 256

        /** Short, because another node can know the origin. */
        val RETRY_AFTER: Duration = 300.milliseconds
    }
}
