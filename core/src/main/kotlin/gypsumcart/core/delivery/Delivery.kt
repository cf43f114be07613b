package gypsumcart.core.delivery

import gypsumcart.core.Chunk
import gypsumcart.core.Decider
import gypsumcart.core.FailureReason
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceAnswer
import gypsumcart.core.Submission
import gypsumcart.core.SubscriberId
import gypsumcart.core.TeamName
import kotlin.time.Duration

/** Tells the delivery filter what happened. */
public sealed class DeliveryEvent {
    /** A request was accepted; [subscriber] waits for its answer. */
    public data class Opened(public val submission: Submission, public val subscriber: SubscriberId) : DeliveryEvent()

    /** [subscriber], of [team], wants the answer of [request] from the piece numbered [from] on. */
    public data class Joined(
        public val request: RequestId,
        public val team: TeamName,
        public val subscriber: SubscriberId,
        public val from: Int,
    ) : DeliveryEvent()

    /** [subscriber] has passed on all that it got and wants what follows, from the piece numbered [from] on. */
    public data class Pulled(public val subscriber: SubscriberId, public val from: Int) : DeliveryEvent()

    /** [subscriber]'s connection is gone. */
    public data class Left(public val subscriber: SubscriberId) : DeliveryEvent()

    /** A submission was refused. */
    public data class Refused(public val subscriber: SubscriberId, public val outcome: Outcome) : DeliveryEvent()

    /** A piece of the answer came. */
    public data class ChunkArrived(public val request: RequestId, public val chunk: Chunk) : DeliveryEvent()

    /** The request ended. */
    public data class Finished(
        public val request: RequestId,
        public val outcome: Outcome,
        public val answer: ServiceAnswer?,
    ) : DeliveryEvent()

    /** The time came to drop records that are kept no longer. */
    public data object Sweep : DeliveryEvent()
}

/** Says what the delivery filter wants done. */
public sealed class DeliveryEffect {
    /** Gives [batch] to [subscriber], which asks again when it has passed it on. */
    public data class Give(public val subscriber: SubscriberId, public val batch: Batch) : DeliveryEffect()

    /** Tells the admission filter that a request ended. */
    public data class End(public val request: RequestId) : DeliveryEffect()

    /** Tells the admission filter that records were dropped. */
    public data class Expire(public val requests: List<RequestId>) : DeliveryEffect()
}

/** Holds what a subscriber is given at once. */
public sealed class Batch {
    /** The submission isn't taken. */
    public data class Refusal(public val outcome: Outcome) : Batch()

    /** The request [request] was accepted; its answer follows. */
    public data class Acceptance(public val request: RequestId) : Batch()

    /** Pieces of the answer, in order, and the end if it was reached. */
    public data class Pieces(public val chunks: List<Chunk>, public val ending: Ending?) : Batch()
}

/** Holds how a request ended. */
public data class Ending(public val outcome: Outcome, public val answer: ServiceAnswer?)

/**
 * Keeps the answers of requests and gives them, whole and in order, to all subscribers.
 *
 * A subscriber is given one batch at a time and asks for the next, so that a slow one holds back nobody and costs no
 * memory beyond the record that all of them share.
 *
 * @property keepEnded how long the record of an ended request is kept for callers that come back
 */
public class Delivery(private val keepEnded: Duration) : Decider<DeliveryEvent, DeliveryEffect> {
    private class Record(val request: RequestId, val team: TeamName) {
        val chunks = ArrayList<Chunk>()
        val subscribers = LinkedHashSet<SubscriberId>()
        var ending: Ending? = null
        var endedAt = MonotonicTime(0)
    }

    private class Position(val record: Record, var from: Int, var waits: Boolean)

    private val records = HashMap<RequestId, Record>()
    private val ended = ArrayDeque<Record>()
    private val positions = HashMap<SubscriberId, Position>()

    override fun decide(event: DeliveryEvent, now: MonotonicTime): List<DeliveryEffect> =
        when (event) {
            is DeliveryEvent.Opened -> open(event)
            is DeliveryEvent.Joined -> join(event)
            is DeliveryEvent.Pulled -> pull(event)
            is DeliveryEvent.Left -> leave(event.subscriber)
            is DeliveryEvent.Refused -> refuse(event.subscriber, event.outcome)
            is DeliveryEvent.ChunkArrived -> append(event)
            is DeliveryEvent.Finished -> finish(event, now)
            DeliveryEvent.Sweep -> sweep(now)
        }

    private fun open(event: DeliveryEvent.Opened): List<DeliveryEffect> {
        val record = Record(event.submission.id, event.submission.identity.team)
        records[record.request] = record
        return subscribe(record, event.subscriber, from = 0)
    }

    private fun join(event: DeliveryEvent.Joined): List<DeliveryEffect> {
        val record =
            records[event.request]
                ?: return refuse(event.subscriber, Outcome.Failed(FailureReason.NoRecord))
        return subscribe(record, event.subscriber, event.from)
    }

    private fun subscribe(record: Record, subscriber: SubscriberId, from: Int): List<DeliveryEffect> {
        record.subscribers += subscriber
        positions[subscriber] = Position(record, from, waits = false)
        return listOf(DeliveryEffect.Give(subscriber, Batch.Acceptance(record.request)))
    }

    private fun pull(event: DeliveryEvent.Pulled): List<DeliveryEffect> {
        val position = positions[event.subscriber] ?: return emptyList()
        position.from = event.from
        position.waits = true
        return listOfNotNull(giveOrNull(event.subscriber, position))
    }

    private fun giveOrNull(subscriber: SubscriberId, position: Position): DeliveryEffect? {
        val record = position.record
        val hasPieces = position.from < record.chunks.size
        if (!position.waits || !hasPieces && record.ending == null) return null
        position.waits = false
        val pieces = if (hasPieces) record.chunks.subList(position.from, record.chunks.size).toList() else emptyList()
        return DeliveryEffect.Give(subscriber, Batch.Pieces(pieces, record.ending))
    }

    private fun leave(subscriber: SubscriberId): List<DeliveryEffect> {
        val position = positions.remove(subscriber) ?: return emptyList()
        position.record.subscribers -= subscriber
        return emptyList()
    }

    private fun refuse(subscriber: SubscriberId, outcome: Outcome): List<DeliveryEffect> =
        listOf(DeliveryEffect.Give(subscriber, Batch.Refusal(outcome)))

    private fun append(event: DeliveryEvent.ChunkArrived): List<DeliveryEffect> {
        val record = records[event.request] ?: return emptyList()
        if (record.ending != null || event.chunk.index != record.chunks.size) return emptyList()
        record.chunks += event.chunk
        return giveAll(record)
    }

    private fun finish(event: DeliveryEvent.Finished, now: MonotonicTime): List<DeliveryEffect> {
        val record = records[event.request] ?: return emptyList()
        if (record.ending != null) return emptyList()
        record.ending = Ending(event.outcome, event.answer)
        record.endedAt = now
        ended.addLast(record)
        return giveAll(record) + DeliveryEffect.End(record.request)
    }

    private fun giveAll(record: Record): List<DeliveryEffect> =
        record.subscribers.mapNotNull { giveOrNull(it, positions.getValue(it)) }

    private fun sweep(now: MonotonicTime): List<DeliveryEffect> {
        val expired = ArrayList<RequestId>()
        while (ended.isNotEmpty() && now - ended.first().endedAt >= keepEnded) {
            val record = ended.removeFirst()
            records -= record.request
            expired += record.request
        }
        return if (expired.isEmpty()) emptyList() else listOf(DeliveryEffect.Expire(expired))
    }
}
