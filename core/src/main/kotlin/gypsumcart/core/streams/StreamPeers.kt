package gypsumcart.core.streams

import gypsumcart.core.Address
import gypsumcart.core.BackEndVersion
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.ZoneName
import gypsumcart.core.membership.NodeKey

/**
 * Describes a node that keeps records of streams for the others.
 *
 * @property key the process that keeps them; another process of the same node has none of them
 * @property address the address of its peer link
 */
public data class StreamPeer(public val key: NodeKey, public val address: Address, public val zone: ZoneName)

/**
 * Represents a message from one node to another that keeps records of streams.
 *
 * @property toStore records of streams that began at the sender, which the recipient keeps and writes to the store
 * @property toKeep records of streams that began at the sender, which the recipient keeps and another node writes
 * @property asked the streams whose records the sender asks for, named by the requests that began them
 */
public data class StreamMessage(
    public val toStore: List<StreamRecord> = emptyList(),
    public val toKeep: List<StreamRecord> = emptyList(),
    public val asked: List<RequestId> = emptyList(),
) {
    internal val hasRecords: Boolean get() = toStore.isNotEmpty() || toKeep.isNotEmpty()
}

/** Describes the result of a [StreamMessage]. */
public sealed class StreamMessageResult {
    /**
     * The recipient has taken the records.
     *
     * @property records those it knows of the records that it was asked for
     * @property versions the versions in use of the services of which it knows several
     */
    public data class Answered(
        public val records: List<StreamRecord>,
        public val versions: Map<ServiceName, Set<BackEndVersion?>> = emptyMap(),
    ) : StreamMessageResult()

    /** There was no answer; the recipient may have taken the records. */
    public data object Failed : StreamMessageResult()
}
