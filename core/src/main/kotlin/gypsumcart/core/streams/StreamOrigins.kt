package gypsumcart.core.streams

import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import gypsumcart.core.membership.NodeKey

/**
 * Determines which version began the stream that a client takes up, and keeps the records that other nodes need for it.
 *
 * The streams that began at this node are known. For the others, the version is the one in the stream's record, which
 * other nodes and the store keep while several versions are in use, or the only one that was in use lately if there is
 * no record. Another node may have heard of a new version before this one, and its record may not have arrived yet; so
 * the only version counts after a check that started after the request had arrived. A request whose origin remains
 * unknown is refused.
 *
 * @param self this process, or null if it has no link to other nodes
 */
public class StreamOrigins(private val self: NodeKey? = null) : Decider<StreamEvent, StreamEffect> {
    private val memory = StreamMemory()
    private val versions = VersionsInUse()
    private val replication = RecordReplication(self)
    private val writer = RecordWriter(memory)
    private val takeUps = TakeUps(memory, versions, replication)
    private var nodeCount = 1
    private var wakeUpAt: MonotonicTime? = null

    override fun decide(event: StreamEvent, now: MonotonicTime): List<StreamEffect> {
        val effects = handle(event, now)
        val messages = replication.dueMessages(now)
        val due = listOfNotNull(takeUps.startCheckOrNull(), writer.dueWriteOrNull(now), wakeUpOrNull(now))
        return effects + messages + due
    }

    private fun handle(event: StreamEvent, now: MonotonicTime): List<StreamEffect> =
        when (event) {
            is StreamEvent.BackEndsListed -> {
                versions.list(event.backEnds, now)
                refreshVersions(now)
            }

            is StreamEvent.RegistryChanged -> noEffects { versions.changeRegistry(event.isAvailable, now) }

            StreamEvent.StoreRestored ->
                noEffects {
                    memory.expire(now)
                    memory.storeAgain()
                    versions.recordRestore(now)
                }

            is StreamEvent.VersionsRead -> {
                versions.read(event, now)
                refreshVersions(now)
            }

            is StreamEvent.VersionsWritten -> {
                versions.endWrite(event)
                versions.dueWrites(now)
            }

            is StreamEvent.TakenUp -> listOfNotNull(takeUps.begin(event.admitted, now))

            is StreamEvent.StreamBegan -> noEffects { addOwn(event.record, now) }

            is StreamEvent.StreamEnded ->
                noEffects {
                    memory.end(event.beganAs)
                    replication.drop(event.beganAs)
                }

            is StreamEvent.RecordRead -> listOfNotNull(takeUps.endRead(event, now))

            is StreamEvent.VersionsChecked -> takeUps.endCheck(event.result, now)

            is StreamEvent.RecordsWritten -> noEffects { writer.end(event.succeeded, now) }

            is StreamEvent.PeersUpdated ->
                noEffects {
                    if (replication.update(event.peers)) shareOwn(versions.servicesWithSeveral, now)
                    divideWrites()
                }

            is StreamEvent.MessageReceived -> receive(event, now)

            is StreamEvent.MessageEnded -> endMessage(event, now)

            is StreamEvent.RankUpdated -> {
                nodeCount = event.nodeCount
                versions.isWriter = event.rank == 0
                divideWrites()
                versions.dueWrites(now)
            }

            StreamEvent.Tick -> {
                wakeUpAt = wakeUpAt?.takeIf { it > now }
                memory.expire(now)
                replication.giveLateToOthers(now).forEach(memory::store)
                refreshVersions(now) + takeUps.continueDue(now)
            }
        }

    private inline fun noEffects(change: () -> Unit): List<StreamEffect> {
        change()
        return emptyList()
    }

    private fun refreshVersions(now: MonotonicTime): List<StreamEffect> {
        val changed = versions.refresh(now)
        if (changed.isNotEmpty()) shareOwn(changed, now)
        return versions.dueWrites(now)
    }

    private fun addOwn(record: StreamRecord, now: MonotonicTime) {
        memory.expire(now)
        if (memory.add(record, isOwn = true, now) && versions.areSeveral(record.service)) share(record, now)
    }

    private fun shareOwn(services: Set<ServiceName>, now: MonotonicTime) {
        memory.ownRecords(services).forEach { share(it, now) }
    }

    private fun share(record: StreamRecord, now: MonotonicTime) {
        if (replication.add(record, now)) memory.store(record)
    }

    /** While this node does not keep the records of others, it writes its own if nobody takes them. */
    private fun divideWrites(): Unit = writer.share(replication.writerCountOrNull ?: nodeCount)

    private fun receive(event: StreamEvent.MessageReceived, now: MonotonicTime): List<StreamEffect> {
        val message = event.message
        memory.expire(now)
        val records = message.toStore + message.toKeep
        records.forEach { memory.add(it, isOwn = false, now) }
        message.toStore.forEach(memory::store)
        val known = message.asked.mapNotNull(memory::recordOrNull)
        val several = if (message.asked.isEmpty()) emptyMap() else versions.several
        return takeUps.continueWith(records, OriginSource.Peer, now) +
            StreamEffect.Respond(event.exchange, known, several)
    }

    private fun endMessage(event: StreamEvent.MessageEnded, now: MonotonicTime): List<StreamEffect> {
        val ended = replication.end(event.peer, event.result, now)
        ended.toStore.forEach(memory::store)
        val answer = event.result as? StreamMessageResult.Answered
        takeUps.learnVersions(ended.asked, answer?.versions.orEmpty())
        return takeUps.continueWith(answer?.records.orEmpty(), OriginSource.Peer, now) +
            takeUps.endQuestion(event.peer, ended.asked)
    }

    /** Requests a tick for the next due time, unless one has been requested that comes no later. */
    private fun wakeUpOrNull(now: MonotonicTime): StreamEffect? {
        val next =
            listOfNotNull(takeUps.nextDueTime, writer.nextDueTime, replication.nextDueTime).minOrNull() ?: return null
        if (wakeUpAt?.let { it in now..next } == true) return null
        wakeUpAt = next
        return StreamEffect.WakeAt(next)
    }
}
