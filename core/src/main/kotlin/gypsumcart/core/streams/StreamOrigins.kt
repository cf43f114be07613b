package gypsumcart.core.streams

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEndVersion
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Determines which version began the stream that a client takes up, and keeps the records that other nodes need for it.
 *
 * The streams that began at this node are known. For the others, the version is the one in the stream's record, or the
 * only one that was in use lately if there is no record. Another node may have heard of a new version before this one,
 * and not have stored the record yet; so the only version counts after a check that started after the request had
 * arrived. A request whose origin remains unknown is refused.
 */
public class StreamOrigins : Decider<StreamEvent, StreamEffect> {
    private val lookups = StreamLookups()

    private val history = VersionHistory()
    private val memory = StreamMemory()
    private val rows = VersionRows()
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
        handle(event, now) + listOfNotNull(lookups.startCheckOrNull(), recordWriteOrNull(now), wakeUpOrNull(now))

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

            is StreamEvent.TakenUp -> listOfNotNull(takeUp(event.admitted, now))

            is StreamEvent.StreamBegan ->
                noEffects {
                    memory.expire(now)
                    memory.add(event.record, isToBeStored = inUse[event.record.service].isSeveral, now)
                }

            is StreamEvent.StreamEnded -> noEffects { memory.end(event.beganAs) }

            is StreamEvent.RecordRead -> listOfNotNull(endRead(event, now))

            is StreamEvent.VersionsChecked -> lookups.endCheck().mapNotNull { endCheck(it, event.result, now) }

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

            is StreamEvent.PeersUpdated, is StreamEvent.MessageReceived, is StreamEvent.MessageEnded -> emptyList()

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
        return versionChanges + lookups.dueAt(now).map { continueLookup(it, now) }
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

    private fun takeUp(admitted: AdmittedRequest, now: MonotonicTime): StreamEffect? {
        val beganAs = admitted.submission.takeUp?.beganAs
        val own = beganAs?.let(memory::recordOrNull)
        return when {
            own != null -> route(admitted, own, OriginSource.Memory, now)

            admitted.deadline <= now -> refuse(admitted, RefusalReason.OriginUnknown, retryAfter = null, now)

            beganAs != null && lookups.hasRoomForRead -> {
                addLookup(admitted, LookupState.ReadingRecord(isLast = false), now)
                StreamEffect.ReadRecord(admitted.ticket, beganAs)
            }

            knowsOneVersion(admitted.service, now) && lookups.hasRoom ->
                null.also { addLookup(admitted, LookupState.CheckingVersions(isRunning = false, isLast = true), now) }

            beganAs == null -> refuseUnknown(admitted, isFinal = inUse[admitted.service].isSeveral, now)

            else -> refuse(admitted, RefusalReason.Overloaded("streams"), RETRY_AFTER, now)
        }
    }

    private fun addLookup(admitted: AdmittedRequest, state: LookupState, now: MonotonicTime) {
        lookups.add(StreamLookup(admitted, minOf(admitted.deadline, now + MAX_LOOKUP), state))
    }

    private fun knowsOneVersion(service: ServiceName, now: MonotonicTime): Boolean =
        knowsAllVersions(now) && inUse[service]?.size == 1

    /** Returns whether no version can be in use that this node would not have heard of if it were in step. */
    private fun knowsAllVersions(now: MonotonicTime): Boolean =
        rows.isRead && isListed && isRegistryAvailable && !isRestoring(now) && upToDateFrom?.let { it > now } != true

    private fun isRestoring(now: MonotonicTime): Boolean = restoredUntil?.let { it > now } ?: false

    private fun route(
        admitted: AdmittedRequest,
        record: StreamRecord,
        source: OriginSource,
        now: MonotonicTime,
    ): StreamEffect =
        if (record.service == admitted.service) {
            route(admitted, record.version, source)
        } else {
            refuse(admitted, RefusalReason.OriginGone, retryAfter = null, now)
        }

    private fun route(admitted: AdmittedRequest, version: BackEndVersion?, source: OriginSource): StreamEffect =
        StreamEffect.Route(admitted.copy(origin = StreamOrigin.WrittenBy(version)), source)

    private fun refuse(
        admitted: AdmittedRequest,
        reason: RefusalReason,
        retryAfter: Duration?,
        now: MonotonicTime,
        lookup: StreamLookup? = null,
    ): StreamEffect {
        val search =
            OriginSearch(
                waited = now - admitted.submission.arrivedAt,
                reads = lookup?.reads ?: 0,
                lastRead = lookup?.lastRead,
                versionCount = inUse[admitted.service].orEmpty().size,
            )
        return StreamEffect.Refuse(admitted, Outcome.NotRun(reason, retryAfter), search)
    }

    private fun endRead(event: StreamEvent.RecordRead, now: MonotonicTime): StreamEffect? {
        val lookup = lookups[event.ticket] ?: return null
        val state = lookup.state as? LookupState.ReadingRecord ?: return null
        lookup.recordRead(event.result)
        val service = lookup.admitted.service
        val record = (event.result as? RecordReadResult.Found)?.record?.takeIf { it.beganAs == lookup.beganAs }
        val isAbsent = record == null && event.result != RecordReadResult.Failed
        return when {
            record != null -> route(lookup.admitted, record, OriginSource.Store, now).also { lookups.remove(lookup) }

            isAbsent && knowsOneVersion(service, now) ->
                null.also { lookup.state = LookupState.CheckingVersions(isRunning = false, state.isLast) }

            else -> awaitWriteOrGiveUp(lookup, state.isLast, isFinal = isAbsent && inUse[service].isSeveral, now)
        }
    }

    private fun endCheck(lookup: StreamLookup, result: VersionCheck, now: MonotonicTime): StreamEffect? {
        val isLast = (lookup.state as? LookupState.CheckingVersions)?.isLast ?: return null
        val service = lookup.admitted.service
        val versions =
            when (result) {
                is VersionCheck.Confirmed -> inUse[service].orEmpty() + result.versions[service].orEmpty()
                VersionCheck.Failed -> emptySet()
            }
        if (versions.size != 1 || !knowsAllVersions(now)) {
            return awaitWriteOrGiveUp(lookup, isLast, isFinal = versions.isSeveral, now)
        }
        lookups.remove(lookup)
        return route(lookup.admitted, versions.single(), OriginSource.History)
    }

    private fun awaitWriteOrGiveUp(
        lookup: StreamLookup,
        isLast: Boolean,
        isFinal: Boolean,
        now: MonotonicTime,
    ): StreamEffect? {
        val readAgainAt = now + WRITE_DELAY
        if (isLast || readAgainAt >= lookup.giveUpAt) return giveUp(lookup, isFinal, now)
        lookup.state = LookupState.AwaitingWrite(readAgainAt)
        return null
    }

    private fun continueLookup(lookup: StreamLookup, now: MonotonicTime): StreamEffect {
        val beganAs = lookup.beganAs
        if (beganAs == null || lookup.giveUpAt <= now) return giveUp(lookup, isFinal = false, now)
        lookup.state = LookupState.ReadingRecord(isLast = true)
        return StreamEffect.ReadRecord(lookup.admitted.ticket, beganAs)
    }

    private fun giveUp(lookup: StreamLookup, isFinal: Boolean, now: MonotonicTime): StreamEffect {
        lookups.remove(lookup)
        return refuseUnknown(lookup.admitted, isFinal, now, lookup)
    }

    /** Refuses the request, for good if no record of its stream was stored although several versions are in use. */
    private fun refuseUnknown(
        admitted: AdmittedRequest,
        isFinal: Boolean,
        now: MonotonicTime,
        lookup: StreamLookup? = null,
    ): StreamEffect {
        // Records that a copy of the store lacks are written again.
        val retryAfter = RETRY_AFTER.takeUnless { isFinal && !isRestoring(now) }
        return refuse(admitted, RefusalReason.OriginUnknown, retryAfter, now, lookup)
    }

    private fun recordWriteOrNull(now: MonotonicTime): StreamEffect? {
        if (!memory.isWriteDue || nextWriteAt?.let { it > now } == true) return null
        nextWriteAt = now + writePause
        val records = memory.takeBatch()
        return StreamEffect.WriteRecords(records, memory.ageOf(records.first(), now))
    }

    /** Requests a tick for the next due time, unless one has been requested that comes no later. */
    private fun wakeUpOrNull(now: MonotonicTime): StreamEffect? {
        val nextWrite = nextWriteAt?.takeIf { memory.isWriteDue }
        val next = listOfNotNull(lookups.nextDueTime, nextWrite).minOrNull() ?: return null
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

        /** Short, because another node can know the origin. */
        val RETRY_AFTER: Duration = 300.milliseconds
    }
}
