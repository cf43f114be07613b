package gypsumcart.core.streams

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEndVersion
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.Ticket
import gypsumcart.core.membership.NodeKey

/** Describes what a request that takes a stream up waits for. */
internal sealed class LookupState {
    /** The nodes in [unanswered] were asked for the record, which is read from the store at [until] at the latest. */
    data class AskingPeers(val unanswered: Set<NodeKey>, val until: MonotonicTime) : LookupState()

    /** The record is being read. */
    data object ReadingRecord : LookupState()

    /**
     * There is no record, or none is read, and the versions in use are to be checked.
     *
     * @property isRunning whether a check has started since
     * @property isLast whether the request is refused if they are several
     */
    data class CheckingVersions(val isRunning: Boolean, val isLast: Boolean) : LookupState()

    /** The record was not found, and is looked for once more at [until]. */
    data class AwaitingRecord(val until: MonotonicTime) : LookupState()
}

/** Tracks a request whose origin is being determined; it is refused at [giveUpAt]. */
internal class StreamLookup(
    val admitted: AdmittedRequest,
    val giveUpAt: MonotonicTime,
    var state: LookupState,
) {
    /** The number of times that the record was looked for and not found. */
    var rounds = 0

    /** The versions of the service that other nodes said are in use. */
    var toldVersions: Set<BackEndVersion?> = emptySet()

    var reads = 0
        private set
    var lastRead: RecordReadResult? = null
        private set

    val beganAs: RequestId? get() = admitted.submission.takeUp?.beganAs

    /** Whether its record is being read, or may be. */
    val mayReadRecord: Boolean get() = (state as? LookupState.CheckingVersions)?.isLast != true

    val dueTime: MonotonicTime
        get() =
            when (val current = state) {
                is LookupState.AskingPeers -> minOf(current.until, giveUpAt)
                is LookupState.AwaitingRecord -> minOf(current.until, giveUpAt)
                is LookupState.CheckingVersions, LookupState.ReadingRecord -> giveUpAt
            }

    fun recordRead(result: RecordReadResult) {
        reads++
        lastRead = result
    }
}

/** Holds the requests whose origins are being determined, and the check of versions that they share. */
internal class StreamLookups {
    private val lookups = LinkedHashMap<Ticket, StreamLookup>()
    private var isCheckRunning = false

    val isEmpty: Boolean get() = lookups.isEmpty()

    /** Whether another request may wait. */
    val hasRoom: Boolean get() = lookups.size < MAX_LOOKUPS

    /** Whether another request may wait whose record is read. */
    val hasRoomForRead: Boolean get() = hasRoom && lookups.values.count { it.mayReadRecord } < MAX_READS

    val nextDueTime: MonotonicTime? get() = lookups.values.minOfOrNull { it.dueTime }

    operator fun get(ticket: Ticket): StreamLookup? = lookups[ticket]

    fun add(lookup: StreamLookup) {
        lookups[lookup.admitted.ticket] = lookup
    }

    fun remove(lookup: StreamLookup) {
        lookups -= lookup.admitted.ticket
    }

    fun dueAt(now: MonotonicTime): List<StreamLookup> = lookups.values.filter { it.dueTime <= now }

    /** Returns the requests that take up one of the streams that [began]. */
    fun takingUp(began: Set<RequestId>): List<StreamLookup> = lookups.values.filter { it.beganAs in began }

    /** Starts a check for all requests that wait for one, unless one runs, which may have read before they came. */
    fun startCheckOrNull(): StreamEffect.CheckVersions? {
        if (isCheckRunning) return null
        val services = HashSet<ServiceName>()
        for (lookup in lookups.values) {
            val state = lookup.state as? LookupState.CheckingVersions ?: continue
            lookup.state = state.copy(isRunning = true)
            services += lookup.admitted.service
        }
        if (services.isEmpty()) return null
        isCheckRunning = true
        return StreamEffect.CheckVersions(services)
    }

    /** Ends the check and returns the requests that it was started for. */
    fun endCheck(): List<StreamLookup> {
        isCheckRunning = false
        return lookups.values.filter { (it.state as? LookupState.CheckingVersions)?.isRunning == true }
    }

    private companion object {
        /** Bounds the reads that a node has in progress. */
        const val MAX_READS = 256

        /** Bounds the requests that wait while one check serves them all. */
        const val MAX_LOOKUPS = 1_024
    }
}
