package gypsumcart.core.streams

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.Ticket
import gypsumcart.core.membership.ExchangeId
import gypsumcart.core.membership.NodeKey
import kotlin.time.Duration

/** Whether the request asks for the rest of a stream that another back end can continue. */
public val AdmittedRequest.takesUpStream: Boolean
    get() = submission.takeUp != null && route.kind.isResumable

/** Whether a stream of this kind can be taken up. */
public val CallKind.isResumable: Boolean
    get() =
        when (this) {
            CallKind.Idempotent, CallKind.AtMostOnce -> false
            is CallKind.Streamed -> resumable
        }

/**
 * States which version of a service's software began a stream.
 *
 * @property beganAs the request whose response brought the first event
 * @property version the version of the back end that wrote it, or null if the back end states none
 */
public data class StreamRecord(
    public val beganAs: RequestId,
    public val service: ServiceName,
    public val version: BackEndVersion?,
)

/** Describes the result of a read of a stored [StreamRecord]. */
public sealed class RecordReadResult {
    /** The store holds [record], possibly of another stream. */
    public data class Found(public val record: StreamRecord) : RecordReadResult()

    /** The store holds no record. */
    public data object Absent : RecordReadResult()

    /** The store did not respond. */
    public data object Failed : RecordReadResult()
}

/** Describes the result of a check of the versions that are in use. */
public sealed class VersionCheck {
    /**
     * The store responded.
     *
     * @property versions those that the registry listed or the stored rows named after the check had been requested
     */
    public data class Confirmed(public val versions: Map<ServiceName, Set<BackEndVersion?>>) : VersionCheck()

    /** The store did not respond. */
    public data object Failed : VersionCheck()
}

/** Represents an input of the [StreamOrigins] decider. */
public sealed class StreamEvent {
    /** The registry lists [backEnds]. */
    public data class BackEndsListed(public val backEnds: List<BackEnd>) : StreamEvent()

    /** The registry stopped to respond, or responds again. */
    public data class RegistryChanged(public val isAvailable: Boolean) : StreamEvent()

    /**
     * The stored [versions] of services were read.
     *
     * @property isComplete whether these are all that are stored
     */
    public data class VersionsRead(
        public val versions: Map<ServiceName, Set<BackEndVersion?>>,
        public val isComplete: Boolean,
    ) : StreamEvent()

    /** The write of the [versions] of [service] ended. */
    public data class VersionsWritten(
        public val service: ServiceName,
        public val versions: Set<BackEndVersion?>,
        public val succeeded: Boolean,
    ) : StreamEvent()

    /** The store came back from an older copy, which may lack records, versions and back ends that were stored. */
    public data object StoreRestored : StreamEvent()

    /** A request passed admission that asks for the rest of a stream. */
    public data class TakenUp(public val admitted: AdmittedRequest) : StreamEvent()

    /** The first event of a stream arrived, which its client has not received yet. */
    public data class StreamBegan(public val record: StreamRecord) : StreamEvent()

    /** The client has the whole of the stream whose first event came in response to [beganAs]. */
    public data class StreamEnded(public val beganAs: RequestId) : StreamEvent()

    /** The read of a record for the request with [ticket] ended with [result]. */
    public data class RecordRead(public val ticket: Ticket, public val result: RecordReadResult) : StreamEvent()

    /** The check of the versions in use ended with [result]. */
    public data class VersionsChecked(public val result: VersionCheck) : StreamEvent()

    /** The write of records ended. */
    public data class RecordsWritten(public val succeeded: Boolean) : StreamEvent()

    /** The nodes that keep records of streams are now [peers], this one included if it does. */
    public data class PeersUpdated(public val peers: List<StreamPeer>) : StreamEvent()

    /** Another node sent [message], to which it waits for the response to [exchange]. */
    public data class MessageReceived(
        public val exchange: ExchangeId,
        public val message: StreamMessage,
    ) : StreamEvent()

    /** The message that was sent to [peer] was answered, or not. */
    public data class MessageEnded(public val peer: NodeKey, public val result: StreamMessageResult) : StreamEvent()

    /** The number of live nodes changed, or the [rank] of this one, which is the number of those with a lower id. */
    public data class RankUpdated(public val nodeCount: Int, public val rank: Int) : StreamEvent()

    /** A timer tick. */
    public data object Tick : StreamEvent()
}

/** Describes how the version that began a stream became known. */
public sealed class OriginSource {
    /** Only one version of the service was in use until after the take-up arrived. */
    public data object History : OriginSource()

    /** This node forwarded the first event. */
    public data object Memory : OriginSource()

    /** Another node keeps a record for the one that forwarded the first event. */
    public data object Peer : OriginSource()

    /** The store holds a record. */
    public data object Store : OriginSource()
}

/**
 * Describes how the version that began a stream was looked for.
 *
 * @property waited the time since the request arrived
 * @property reads the number of reads of the stream's record that have ended
 * @property lastRead the result of the last of them, or null if there was none
 * @property versionCount the number of versions that were in use as this node knows
 */
public data class OriginSearch(
    public val waited: Duration,
    public val reads: Int,
    public val lastRead: RecordReadResult?,
    public val versionCount: Int,
)

/** Represents an output of the [StreamOrigins] decider. */
public sealed class StreamEffect {
    /** Passes on a request whose origin is known by [source]. */
    public data class Route(public val admitted: AdmittedRequest, public val source: OriginSource) : StreamEffect()

    /** Ends a request without a call, after [search]. */
    public data class Refuse(
        public val admitted: AdmittedRequest,
        public val outcome: Outcome.NotRun,
        public val search: OriginSearch,
    ) : StreamEffect()

    /** Reads the record of the stream that began with [beganAs], for the request with [ticket]. */
    public data class ReadRecord(public val ticket: Ticket, public val beganAs: RequestId) : StreamEffect()

    /** Reads which versions of [services] are in use now; ends with [StreamEvent.VersionsChecked]. */
    public data class CheckVersions(public val services: Set<ServiceName>) : StreamEffect()

    /** Writes [records] together, the first of which has waited for [delay] since its stream began. */
    public data class WriteRecords(public val records: List<StreamRecord>, public val delay: Duration) : StreamEffect()

    /** Sends [message] to [peer]; ends with [StreamEvent.MessageEnded] before the next message to that node. */
    public data class Send(public val peer: StreamPeer, public val message: StreamMessage) : StreamEffect()

    /**
     * Answers the message of [exchange] with those of the records it asked for that this node knows.
     *
     * @property versions the versions in use of the services of which this node knows several
     */
    public data class Respond(
        public val exchange: ExchangeId,
        public val records: List<StreamRecord>,
        public val versions: Map<ServiceName, Set<BackEndVersion?>> = emptyMap(),
    ) : StreamEffect()

    /** Writes the [versions] of [service] that are in use. */
    public data class WriteVersions(
        public val service: ServiceName,
        public val versions: Set<BackEndVersion?>,
    ) : StreamEffect()

    /** Requests a [StreamEvent.Tick] at [time]. */
    public data class WakeAt(public val time: MonotonicTime) : StreamEffect()
}
