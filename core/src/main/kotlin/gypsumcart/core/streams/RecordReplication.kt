package gypsumcart.core.streams

import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestId
import gypsumcart.core.membership.NodeKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Has the records of this node's streams kept by two other nodes, in different zones if possible, and asks for those of
 * other nodes.
 *
 * One of the two nodes also writes the record to the store. A message leaves as soon as the one before it has been
 * answered, so that records are sent one by one while there are few, and together while there are many. If an answer is
 * late, other nodes get the records too, as that node may be out of reach.
 *
 * @param self this process, or null if it has no link to other nodes
 */
internal class RecordReplication(private val self: NodeKey?) {
    /** Holds records in the order in which they came; the eldest yield. */
    private class RecordQueue : LinkedHashMap<RequestId, StreamRecord>() {
        override fun removeEldestEntry(eldest: Map.Entry<RequestId, StreamRecord>): Boolean = size > MAX_WAITING
    }

    private class Link(val peer: StreamPeer) {
        val toStore = RecordQueue()
        val toKeep = RecordQueue()
        val asked = LinkedHashSet<RequestId>()
        var sent: StreamMessage? = null

        /** When the message that is on its way will be late, or null if there is none or it is late. */
        var lateFrom: MonotonicTime? = null
        var pausedUntil: MonotonicTime? = null

        /** Whether a message has been on its way for so long that its records have been given to others. */
        val isLate: Boolean get() = sent != null && lateFrom == null

        private val hasWaitingRecords: Boolean get() = toStore.isNotEmpty() || toKeep.isNotEmpty()

        /** Whether records wait, or are on their way. */
        val hasRecords: Boolean get() = hasWaitingRecords || sent?.hasRecords ?: false

        fun isUsable(now: MonotonicTime): Boolean = !isLate && pausedUntil?.let { it <= now } ?: true

        /** Returns the next message, or null while one is on its way or nothing waits. */
        fun nextMessageOrNull(now: MonotonicTime): StreamMessage? {
            if (sent != null || !hasWaitingRecords && asked.isEmpty()) return null
            val message =
                StreamMessage(
                    toStore.values.take(MAX_RECORDS),
                    toKeep.values.take(MAX_RECORDS),
                    asked.take(MAX_QUESTIONS),
                )
            message.toStore.forEach { toStore -= it.beganAs }
            message.toKeep.forEach { toKeep -= it.beganAs }
            asked -= message.asked.toSet()
            sent = message
            lateFrom = now + ANSWER_TIME
            return message
        }
    }

    /**
     * Describes what follows from the end of a message.
     *
     * @property asked the questions that the message had
     * @property toStore the records that this node has to write to the store, as no other one takes them
     */
    class Ended(val asked: List<RequestId>, val toStore: List<StreamRecord>)

    /** The nodes that keep records, in the order in which this node prefers them. */
    private var recorders: List<StreamPeer> = emptyList()
    private val links = LinkedHashMap<NodeKey, Link>()

    /** The number of nodes that write records to the store, or null if this node is none of them. */
    val writerCountOrNull: Int? get() = recorders.size.takeIf { recorders.any { it.key == self } }

    /** When the next message will be late, or null if none is on its way. */
    val nextDueTime: MonotonicTime? get() = links.values.mapNotNull { it.lateFrom }.minOrNull()

    /**
     * Replaces the nodes that keep records by a choice from [peers].
     *
     * Returns whether the records of this node's streams must be added again, since others are to keep them.
     */
    fun update(peers: List<StreamPeer>): Boolean {
        if (self == null) return false
        val before = recorders.targets()
        recorders = peers.chooseRecorders().preferredBy(self.node)
        val others = recorders.filter { it.key != self }.associateBy { it.key }
        val hadRecords = links.values.any { it.peer.key !in others && it.hasRecords }
        links.keys.retainAll(others.keys)
        others.forEach { (key, peer) -> links.getOrPut(key) { Link(peer) } }
        return hadRecords || recorders.targets() != before
    }

    /** Has [record] kept by other nodes, and returns whether this node has to write it to the store. */
    fun add(record: StreamRecord, now: MonotonicTime): Boolean {
        val (writer, keeper) = usable(now).targets()
        if (keeper != null) links[keeper.key]?.toKeep?.set(record.beganAs, record)
        if (writer == null || writer.key == self) return true
        links.getValue(writer.key).toStore[record.beganAs] = record
        return false
    }

    /** Drops the record of a stream that nobody will take up, if it has not been sent. */
    fun drop(beganAs: RequestId) {
        for (link in links.values) {
            link.toStore -= beganAs
            link.toKeep -= beganAs
        }
    }

    /** Asks all nodes that keep records for that of the stream that [beganAs] began; returns the nodes. */
    fun ask(beganAs: RequestId, now: MonotonicTime): Set<NodeKey> {
        val asked = links.values.filter { it.isUsable(now) }
        asked.forEach { it.asked += beganAs }
        return asked.mapTo(HashSet()) { it.peer.key }
    }

    /** Ends the message to [peer]; if it was not answered, other nodes get its records. */
    fun end(peer: NodeKey, result: StreamMessageResult, now: MonotonicTime): Ended {
        val link = links[peer]
        val message = link?.sent ?: return Ended(emptyList(), emptyList())
        val ended =
            when (result) {
                is StreamMessageResult.Answered -> Ended(message.asked, emptyList())

                StreamMessageResult.Failed -> {
                    link.pausedUntil = now + PAUSE
                    val asked = message.asked + link.asked
                    link.asked.clear()
                    Ended(asked, if (link.isLate) emptyList() else giveToOthers(link, now))
                }
            }
        link.sent = null
        link.lateFrom = null
        return ended
    }

    /** Gives the records of messages that are late to other nodes too; returns those that this node has to store. */
    fun giveLateToOthers(now: MonotonicTime): List<StreamRecord> {
        val late = links.values.filter { link -> link.lateFrom?.let { it <= now } ?: false }
        late.forEach { it.lateFrom = null }
        return late.flatMap { giveToOthers(it, now) }
    }

    /** Returns the messages that are due now. */
    fun dueMessages(now: MonotonicTime): List<StreamEffect.Send> =
        links.values.mapNotNull { link -> link.nextMessageOrNull(now)?.let { StreamEffect.Send(link.peer, it) } }

    /** Gives the records that [link] has sent without an answer, or has waiting, to usable nodes. */
    private fun giveToOthers(link: Link, now: MonotonicTime): List<StreamRecord> {
        val toStore = link.sent?.toStore.orEmpty() + link.toStore.values
        val toKeep = link.sent?.toKeep.orEmpty() + link.toKeep.values
        link.toStore.clear()
        link.toKeep.clear()
        toKeep.forEach { keepElsewhere(it, now) }
        return toStore.filter { add(it, now) }
    }

    private fun keepElsewhere(record: StreamRecord, now: MonotonicTime) {
        val (_, keeper) = usable(now).targets()
        if (keeper != null) links[keeper.key]?.toKeep?.set(record.beganAs, record)
    }

    private fun usable(now: MonotonicTime): List<StreamPeer> =
        recorders.filter { it.key == self || links[it.key]?.isUsable(now) ?: false }

    /** Returns the node that writes a record to the store and the one that keeps it too, the latter in another zone. */
    private fun List<StreamPeer>.targets(): Pair<StreamPeer?, StreamPeer?> {
        val writer = firstOrNull() ?: return null to null
        val others = drop(1)
        return writer to (others.firstOrNull { it.zone != writer.zone } ?: others.firstOrNull())
    }

    companion object {
        /** Several round trips to a node of another zone; later answers still count. */
        val ANSWER_TIME: Duration = 100.milliseconds

        /** More than the streams that a node begins at its share of the peak while clients wait for them. */
        private const val MAX_WAITING = 4_096

        /** The number of rows that the store accepts in one transaction. */
        private const val MAX_RECORDS = 100

        /** The number of reads of records that a node has in progress at most. */
        private const val MAX_QUESTIONS = 256

        /** How long a node that did not answer gets no messages. */
        private val PAUSE: Duration = 1.seconds
    }
}
