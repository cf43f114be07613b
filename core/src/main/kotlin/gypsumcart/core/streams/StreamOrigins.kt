package gypsumcart.core.streams

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEndVersion
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.Ticket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Determines which version began the stream that a client takes up, and keeps the records that other nodes need for it.
 *
 * The streams that began at this node are known. For the others, the version is the one in the stream's record, or the
 * only one that was in use lately if there is no record. The record goes first because another node may have heard of
 * a new version before this one. A request whose origin remains unknown is refused.
 */
public class StreamOrigins : Decider<StreamEvent, StreamEffect> {
    /** Describes what a request waits for. */
    private sealed class Wait {
        /** The record is being read; [isLast] says that it is for the second time. */
        data class ForRecord(val isLast: Boolean) : Wait()

        /** The record was not found, and is read once more at [until]. */
        data class ForWrite(val until: MonotonicTime) : Wait()
    }

    private class Lookup(val admitted: AdmittedRequest, val beganAs: RequestId, val giveUpAt: MonotonicTime) {
        var wait: Wait = Wait.ForRecord(isLast = false)

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

    /** When what a copy of the store lacked will have been written again. */
    private var restoredUntil: MonotonicTime? = null

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
                    upToDateFrom = now + SETTLING_TIME
                }

            StreamEvent.StoreRestored ->
                noEffects {
                    memory.expire(now)
                    memory.storeAgain(inUse.filterValues { it.isSeveral }.keys)
                    restoredUntil = now + RESTORE_TIME
                }

            is StreamEvent.VersionsRead -> readVersions(event, now)

            is StreamEvent.VersionsWritten -> {
                rows.endWrite(event)
                versionWrites(now)
            }

            is StreamEvent.TakenUp -> listOf(takeUp(event.admitted, now))

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
        return versionChanges + due.map { continueLookup(it, now) }
    }

    private fun readVersions(event: StreamEvent.VersionsRead, now: MonotonicTime): List<StreamEffect> {
        val isFirst = event.isComplete && !rows.isRead
        rows.read(event)
        // The row may be from before a restart of all nodes, and its versions may have been in use until then.
        if (isFirst) event.versions.forEach { (service, versions) -> history.retain(service, versions, now) }
        return refreshVersions(now)
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

    private fun takeUp(admitted: AdmittedRequest, now: MonotonicTime): StreamEffect {
        val beganAs = admitted.submission.takeUp?.beganAs
        val own = beganAs?.let(memory::recordOrNull)
        return when {
            own != null -> route(admitted, own, OriginSource.Memory)
            admitted.deadline <= now -> refuse(admitted, RefusalReason.OriginUnknown, retryAfter = null)
            beganAs == null -> routeByHistoryOrNull(admitted, now) ?: refuseUnknown(admitted, isAbsent = true, now)
            lookups.size >= MAX_LOOKUPS ->
                routeByHistoryOrNull(admitted, now)
                    ?: refuse(admitted, RefusalReason.Overloaded("streams"), RETRY_AFTER)

            else -> {
                val lookup = Lookup(admitted, beganAs, minOf(admitted.deadline, now + MAX_LOOKUP))
                lookups[admitted.ticket] = lookup
                StreamEffect.ReadRecord(admitted.ticket, beganAs)
            }
        }
    }

    private fun routeByHistoryOrNull(admitted: AdmittedRequest, now: MonotonicTime): StreamEffect? {
        val versions = inUse[admitted.service].orEmpty()
        if (!knowsAllVersions(now) || versions.size != 1) return null
        return route(admitted, versions.single(), OriginSource.History)
    }

    /** Returns whether no version can be in use that this node has not heard of. */
    private fun knowsAllVersions(now: MonotonicTime): Boolean =
        rows.isRead && isListed && isRegistryAvailable && !isRestoring(now) && upToDateFrom?.let { it > now } != true

    private fun isRestoring(now: MonotonicTime): Boolean = restoredUntil?.let { it > now } ?: false

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

    private fun endRead(event: StreamEvent.RecordRead, now: MonotonicTime): StreamEffect? {
        val lookup = lookups[event.ticket] ?: return null
        val wait = lookup.wait as? Wait.ForRecord ?: return null
        val record = (event.result as? RecordReadResult.Found)?.record?.takeIf { it.beganAs == lookup.beganAs }
        val isAbsent = record == null && event.result != RecordReadResult.Failed
        val routed =
            when {
                record != null -> route(lookup.admitted, record, OriginSource.Store)
                isAbsent -> routeByHistoryOrNull(lookup.admitted, now)
                else -> null
            }
        val readAgainAt = now + WRITE_DELAY
        return when {
            routed != null -> routed.also { lookups -= event.ticket }
            wait.isLast || readAgainAt >= lookup.giveUpAt -> giveUp(lookup, isAbsent, now)
            else -> null.also { lookup.wait = Wait.ForWrite(readAgainAt) }
        }
    }

    private fun continueLookup(lookup: Lookup, now: MonotonicTime): StreamEffect {
        if (lookup.giveUpAt <= now) return giveUp(lookup, isAbsent = false, now)
        lookup.wait = Wait.ForRecord(isLast = true)
        return StreamEffect.ReadRecord(lookup.admitted.ticket, lookup.beganAs)
    }

    private fun giveUp(lookup: Lookup, isAbsent: Boolean, now: MonotonicTime): StreamEffect {
        lookups -= lookup.admitted.ticket
        return refuseUnknown(lookup.admitted, isAbsent, now)
    }

    /** Refuses the request, for good if there is no record although one would have been stored. */
    private fun refuseUnknown(admitted: AdmittedRequest, isAbsent: Boolean, now: MonotonicTime): StreamEffect {
        val isFinal = isAbsent && inUse[admitted.service].isSeveral && !isRestoring(now)
        return refuse(admitted, RefusalReason.OriginUnknown, RETRY_AFTER.takeUnless { isFinal })
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

        /**
         * Within this time after the store responds again, its changes have become a list of back ends, and other nodes
         * have stored the records that waited.
         */
        val SETTLING_TIME: Duration = 1.5.seconds

        /** Within this time back ends and nodes have written again what a copy of the store lacked. */
        val RESTORE_TIME: Duration = 2.5.seconds

        /** Less than clients wait for a first event. */
        val MAX_LOOKUP: Duration = 1.seconds

        /** Bounds the reads that a node has in progress. */
        const val MAX_LOOKUPS = 256

        /** Short, because another node can know the origin. */
        val RETRY_AFTER: Duration = 300.milliseconds
    }
}
