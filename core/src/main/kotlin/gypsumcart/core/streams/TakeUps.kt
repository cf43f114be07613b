package gypsumcart.core.streams

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEndVersion
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.membership.NodeKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Determines the origins of the requests that take streams up.
 *
 * A record is looked for in this node's memory, at the nodes that keep records, and in the store, in this order, and
 * again while it may still come and the client waits.
 */
internal class TakeUps(
    private val memory: StreamMemory,
    private val versions: VersionsInUse,
    private val replication: RecordReplication,
) {
    private val lookups = StreamLookups()

    val nextDueTime: MonotonicTime? get() = lookups.nextDueTime

    fun startCheckOrNull(): StreamEffect? = lookups.startCheckOrNull()

    /** Routes or refuses the request, or begins to look for its origin. */
    fun begin(admitted: AdmittedRequest, now: MonotonicTime): StreamEffect? {
        val beganAs = admitted.submission.takeUp?.beganAs
        val known = beganAs?.let(memory::recordOrNull)
        return when {
            known != null -> route(admitted, known, OriginSource.Memory, now)

            admitted.deadline <= now -> refuse(admitted, RefusalReason.OriginUnknown, retryAfter = null, now)

            beganAs != null && lookups.hasRoomForRead ->
                search(addLookup(admitted, LookupState.ReadingRecord, now), beganAs, now)

            versions.knowsOne(admitted.service, now) && lookups.hasRoom ->
                null.also { addLookup(admitted, LookupState.CheckingVersions(isRunning = false, isLast = true), now) }

            beganAs == null -> refuseUnknown(admitted, versions.areSeveral(admitted.service), now)

            else -> refuse(admitted, RefusalReason.Overloaded("streams"), RETRY_AFTER, now)
        }
    }

    /** Routes the requests that wait for one of [records]. */
    fun continueWith(records: List<StreamRecord>, source: OriginSource, now: MonotonicTime): List<StreamEffect> {
        if (records.isEmpty()) return emptyList()
        val known = records.associateBy { it.beganAs }
        return lookups.takingUp(known.keys).map { lookup ->
            lookups.remove(lookup)
            route(lookup.admitted, known.getValue(checkNotNull(lookup.beganAs)), source, now)
        }
    }

    /** Notes the versions that another node knows, for the requests that take up streams that [asked] began. */
    fun learnVersions(asked: List<RequestId>, told: Map<ServiceName, Set<BackEndVersion?>>) {
        if (told.isEmpty()) return
        for (lookup in lookups.takingUp(asked.toSet())) {
            lookup.toldVersions += told[lookup.admitted.service].orEmpty()
        }
    }

    /** Ends the question to [peer] for the streams that [asked] began, whose records were not among its answers. */
    fun endQuestion(peer: NodeKey, asked: List<RequestId>): List<StreamEffect> =
        lookups.takingUp(asked.toSet()).mapNotNull { lookup ->
            val state = lookup.state as? LookupState.AskingPeers ?: return@mapNotNull null
            val unanswered = state.unanswered - peer
            lookup.state = state.copy(unanswered = unanswered)
            if (unanswered.isEmpty()) read(lookup, checkNotNull(lookup.beganAs)) else null
        }

    fun endRead(event: StreamEvent.RecordRead, now: MonotonicTime): StreamEffect? {
        val lookup = lookups[event.ticket]?.takeIf { it.state == LookupState.ReadingRecord } ?: return null
        lookup.recordRead(event.result)
        val record = (event.result as? RecordReadResult.Found)?.record?.takeIf { it.beganAs == lookup.beganAs }
        val isAbsent = record == null && event.result != RecordReadResult.Failed
        return when {
            record != null -> {
                lookups.remove(lookup)
                route(lookup.admitted, record, OriginSource.Store, now)
            }

            isAbsent && versions.knowsOne(lookup.admitted.service, now) ->
                null.also { lookup.state = LookupState.CheckingVersions(isRunning = false, isLast = false) }

            else -> awaitRecordOrGiveUp(lookup, now)
        }
    }

    fun endCheck(result: VersionCheck, now: MonotonicTime): List<StreamEffect> =
        lookups.endCheck().mapNotNull { endCheck(it, result, now) }

    private fun endCheck(lookup: StreamLookup, result: VersionCheck, now: MonotonicTime): StreamEffect? {
        val isLast = (lookup.state as? LookupState.CheckingVersions)?.isLast ?: return null
        val service = lookup.admitted.service
        val inUse =
            when (result) {
                is VersionCheck.Confirmed ->
                    versions[service] + result.versions[service].orEmpty() + lookup.toldVersions

                VersionCheck.Failed -> emptySet()
            }
        return when {
            inUse.size == 1 && versions.knowsAll(now) -> {
                lookups.remove(lookup)
                route(lookup.admitted, inUse.single(), OriginSource.History)
            }

            isLast -> giveUp(lookup, areSeveral = inUse.size > 1, now)
            else -> awaitRecordOrGiveUp(lookup, now)
        }
    }

    /** Continues the searches for which a pause is over, and refuses the requests that have waited for too long. */
    fun continueDue(now: MonotonicTime): List<StreamEffect> =
        lookups.dueAt(now).mapNotNull { lookup ->
            val beganAs = lookup.beganAs
            when {
                beganAs == null || lookup.giveUpAt <= now -> giveUp(lookup, areSeveral = false, now)
                lookup.state is LookupState.AskingPeers -> read(lookup, beganAs)
                else -> search(lookup, beganAs, now)
            }
        }

    private fun addLookup(admitted: AdmittedRequest, state: LookupState, now: MonotonicTime): StreamLookup {
        val lookup = StreamLookup(admitted, minOf(admitted.deadline, now + MAX_SEARCH), state)
        lookups.add(lookup)
        return lookup
    }

    /**
     * Asks the nodes that keep records, or else reads the store.
     *
     * They are asked too while one version is known, as both the registry and the store may lack the second one after a
     * return from an older copy.
     */
    private fun search(lookup: StreamLookup, beganAs: RequestId, now: MonotonicTime): StreamEffect? {
        val asked = replication.ask(beganAs, now)
        if (asked.isEmpty()) return read(lookup, beganAs)
        lookup.state = LookupState.AskingPeers(asked, now + RecordReplication.ANSWER_TIME)
        return null
    }

    private fun read(lookup: StreamLookup, beganAs: RequestId): StreamEffect {
        lookup.state = LookupState.ReadingRecord
        return StreamEffect.ReadRecord(lookup.admitted.ticket, beganAs)
    }

    private fun awaitRecordOrGiveUp(lookup: StreamLookup, now: MonotonicTime): StreamEffect? {
        val pause = minOf(FIRST_PAUSE * (1 shl minOf(lookup.rounds, MAX_DOUBLINGS)), MAX_PAUSE)
        // Without the store no node can write a record late or hear of a second version, so none comes by a long wait.
        val isHopeless = lookup.lastRead == RecordReadResult.Failed && lookup.rounds >= MAX_ROUNDS_WITHOUT_STORE
        if (isHopeless || now + pause >= lookup.giveUpAt) return giveUp(lookup, areSeveral = false, now)
        lookup.rounds++
        lookup.state = LookupState.AwaitingRecord(now + pause)
        return null
    }

    private fun giveUp(lookup: StreamLookup, areSeveral: Boolean, now: MonotonicTime): StreamEffect {
        lookups.remove(lookup)
        return refuseUnknown(lookup.admitted, areSeveral, now, lookup)
    }

    /** Refuses the request, for good if it names no stream and several versions are in use. */
    private fun refuseUnknown(
        admitted: AdmittedRequest,
        areSeveral: Boolean,
        now: MonotonicTime,
        lookup: StreamLookup? = null,
    ): StreamEffect {
        // The record of a stream that is named may still come, as its node may be out of reach for a moment.
        val isFinal = areSeveral && admitted.submission.takeUp?.beganAs == null
        return refuse(admitted, RefusalReason.OriginUnknown, RETRY_AFTER.takeUnless { isFinal }, now, lookup)
    }

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
                versionCount = versions[admitted.service].size,
            )
        return StreamEffect.Refuse(admitted, Outcome.NotRun(reason, retryAfter), search)
    }

    private companion object {
        /** Within this time a small fleet's nodes have stored the record of a stream. */
        val FIRST_PAUSE: Duration = 150.milliseconds

        val MAX_PAUSE: Duration = 400.milliseconds

        /** Enough for a record that was on its way to another node. */
        const val MAX_ROUNDS_WITHOUT_STORE = 1

        /** Reaches [MAX_PAUSE]. */
        const val MAX_DOUBLINGS = 2

        /** Less than clients wait for a first event, so that they have time left for another node. */
        val MAX_SEARCH: Duration = 900.milliseconds

        /** Short, because another node can know the origin. */
        val RETRY_AFTER: Duration = 300.milliseconds
    }
}
