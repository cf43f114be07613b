package gypsumcart.core.streams

import gypsumcart.core.BackEndVersion
import gypsumcart.core.LEDGER
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.Ticket
import gypsumcart.core.at
import org.junit.jupiter.api.RepeatedTest
import org.junit.jupiter.api.RepetitionInfo
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs three nodes with one store while versions come and go, nodes and all of them restart, and the store is away.
 *
 * The registry's changes reach the nodes up to a second apart. Clients take a stream up 150 ms after its start at the
 * earliest, by when its node has stored the record if the store responds.
 */
class StreamOriginsPropertyTest {
    private class Stream(val id: String, val version: BackEndVersion?, val beganAt: MonotonicTime, val nodeStart: Int)

    private class Action(val at: MonotonicTime, val number: Int, val run: () -> Unit)

    /** Runs one start of a node; [start] numbers the starts of all nodes. */
    private inner class Node(val rank: Int, val start: Int) {
        private val origins = StreamOrigins()

        /** The versions that this node has heard of, and to which it sends new requests. */
        var heard: Set<BackEndVersion?> = emptySet()
            private set

        fun hear() {
            heard = listed
            decide(listed(listed))
        }

        fun decide(event: StreamEvent) {
            if (nodes[rank] !== this) return
            origins.decide(event, now).forEach(::execute)
        }

        private fun execute(effect: StreamEffect) {
            when (effect) {
                is StreamEffect.Route ->
                    outcomes[effect.admitted.ticket] =
                        listOf(effect).routedVersions().single() to true
                is StreamEffect.Refuse -> outcomes[effect.admitted.ticket] = null to false
                is StreamEffect.WakeAt -> schedule(effect.time - now) { decide(StreamEvent.Tick) }
                is StreamEffect.ReadRecord ->
                    answer(effect) { StreamEvent.RecordRead(effect.ticket, readRecord(effect.beganAs)) }
                is StreamEffect.CheckVersions -> answer(effect) { StreamEvent.VersionsChecked(checkVersions()) }
                is StreamEffect.WriteRecords ->
                    answer(
                        effect,
                    ) { StreamEvent.RecordsWritten(writeRecords(effect.records)) }
                is StreamEffect.Send, is StreamEffect.Respond -> error("no node keeps records for others here")
                is StreamEffect.WriteVersions ->
                    answer(effect) {
                        if (isStoreAvailable) storedVersions[effect.service] = effect.versions
                        StreamEvent.VersionsWritten(effect.service, effect.versions, isStoreAvailable)
                    }
            }
        }

        /** The store acts on a call even if its caller has been killed, unless the call had not left. */
        private fun answer(effect: StreamEffect, act: () -> StreamEvent) {
            val result = lazy(act)
            if (effect !is StreamEffect.ReadRecord && effect !is StreamEffect.CheckVersions) result.value
            schedule(random.nextInt(2, 15).milliseconds) { decide(result.value) }
        }
    }

    private lateinit var random: Random
    private var now = at(0.seconds)
    private val actions = PriorityQueue<Action>(compareBy({ it.at }, { it.number }))
    private var actionCount = 0
    private var starts = 0
    private val nodes = arrayOfNulls<Node>(3)
    private var listed: Set<BackEndVersion?> = setOf(V1)
    private val records = HashMap<Int, StreamRecord>()
    private val storedVersions = HashMap<ServiceName, Set<BackEndVersion?>>()
    private var isStoreAvailable = true
    private var storeChanges = 0
    private var storeLostUntil = at(0.seconds)
    private val streams = HashMap<String, Stream>()
    private val outcomes = HashMap<Ticket, Pair<BackEndVersion?, Boolean>>()

    private fun schedule(delay: Duration, run: () -> Unit) {
        actions += Action(now + delay.coerceAtLeast(Duration.ZERO), actionCount++, run)
    }

    private fun readRecord(beganAs: RequestId): RecordReadResult =
        when {
            !isStoreAvailable -> RecordReadResult.Failed
            else -> records[slotOf(beganAs)]?.let(RecordReadResult::Found) ?: RecordReadResult.Absent
        }

    private fun checkVersions(): VersionCheck =
        if (isStoreAvailable) {
            VersionCheck.Confirmed(mapOf(LEDGER to listed + storedVersions[LEDGER].orEmpty()))
        } else {
            VersionCheck.Failed
        }

    private fun writeRecords(written: List<StreamRecord>): Boolean {
        if (!isStoreAvailable) return false
        written.forEach { records[slotOf(it.beganAs)] = it }
        return true
    }

    /** A small number of slots, so that records replace each other. */
    private fun slotOf(id: RequestId): Int = Math.floorMod(id.text.hashCode(), SLOTS)

    private fun startNode(rank: Int) {
        val node = Node(rank, starts++)
        nodes[rank] = node
        schedule(random.nextInt(20).milliseconds) { node.hear() }
        schedule(random.nextInt(20).milliseconds) { node.decide(StreamEvent.RankUpdated(nodes.size, rank)) }
        schedule(random.nextInt(10, 40).milliseconds) { readVersions(node) }
        schedule(1.seconds) { tick(node) }
    }

    private fun readVersions(node: Node) {
        if (isStoreAvailable) {
            node.decide(StreamEvent.VersionsRead(HashMap(storedVersions), isComplete = true))
        } else {
            schedule(300.milliseconds) { readVersions(node) }
        }
    }

    private fun tick(node: Node) {
        if (nodes[node.rank] !== node) return
        node.decide(StreamEvent.Tick)
        schedule(1.seconds) { tick(node) }
    }

    private fun changeVersions() {
        if (!isStoreAvailable) return
        listed = listOf(setOf(V1), setOf(V1, V2), setOf(V2), setOf(V1, V2, null)).random(random)
        for (node in nodes) schedule(random.nextInt(1_000).milliseconds) { node?.hear() }
    }

    private fun loseStore() {
        setStore(isAvailable = false)
        schedule(random.nextInt(300, 3_000).milliseconds) {
            // The store may come back from a copy without the rows of the last seconds.
            if (random.nextBoolean()) {
                val lost = records.filterValues { now - streams.getValue(it.beganAs.text).beganAt < 5.seconds }.keys
                lost.forEach { records -= it }
            }
            storeLostUntil = now
            setStore(isAvailable = true)
        }
    }

    private fun setStore(isAvailable: Boolean) {
        isStoreAvailable = isAvailable
        storeChanges++
        for (node in nodes) {
            schedule(random.nextInt(10).milliseconds) { node?.decide(StreamEvent.RegistryChanged(isAvailable)) }
        }
    }

    private fun beginStream() {
        val node = nodes.random(random) ?: return
        val version =
            node.heard
                .toList()
                .ifEmpty { return }
                .random(random)
        val stream = Stream("s-${streams.size}", version, now, node.start)
        streams[stream.id] = stream
        node.decide(StreamEvent.StreamBegan(record(stream.id, stream.version)))
        if (random.nextInt(4) == 0) {
            schedule(random.nextInt(400).milliseconds) { node.decide(StreamEvent.StreamEnded(RequestId(stream.id))) }
        }
        if (random.nextBoolean()) schedule(random.nextInt(150, 4_000).milliseconds) { takeUp(stream, isFirst = true) }
    }

    private fun takeUp(stream: Stream, isFirst: Boolean) {
        val node = nodes.random(random) ?: return
        val request = takeUp(stream.id, actionCount++.toLong(), now, random.nextInt(300, 3_000).milliseconds)
        val isKnown = stream.nodeStart == node.start || isStored(stream)
        val isCalm = isStoreAvailable && now - storeLostUntil > 1.seconds
        val changesBefore = storeChanges
        node.decide(StreamEvent.TakenUp(request))
        schedule(1_100.milliseconds) {
            val outcome = outcomes[request.ticket]
            if (nodes[node.rank] !== node) return@schedule
            takeUps++
            when {
                outcome == null -> failures += "${stream.id} got no answer"
                outcome.second && outcome.first != stream.version -> failures += "${stream.id} joined at $now"
                !outcome.second && isKnown && isCalm && storeChanges == changesBefore && isStored(stream) ->
                    failures += "${stream.id} refused at $now"
            }
            if (outcome?.second == true) routed++
            if (isFirst) schedule(random.nextInt(500).milliseconds) { takeUp(stream, isFirst = false) }
        }
    }

    private fun isStored(stream: Stream): Boolean = records[slotOf(RequestId(stream.id))]?.beganAs?.text == stream.id

    private val failures = ArrayList<String>()
    private var takeUps = 0
    private var routed = 0

    // Guards against any order of events in which a stream goes on at another version, or a recorded one does not.
    @RepeatedTest(50)
    fun `no stream goes on at another version, and a recorded one goes on`(repetition: RepetitionInfo) {
        random = Random(repetition.currentRepetition)
        nodes.indices.forEach(::startNode)
        repeat(600) { schedule(random.nextInt(60_000).milliseconds) { beginStream() } }
        repeat(12) { schedule(random.nextInt(60_000).milliseconds) { changeVersions() } }
        repeat(6) { schedule(random.nextInt(60_000).milliseconds) { startNode(random.nextInt(nodes.size)) } }
        repeat(2) { schedule(random.nextInt(60_000).milliseconds) { nodes.indices.forEach(::startNode) } }
        repeat(2) { schedule(random.nextInt(60_000).milliseconds) { if (isStoreAvailable) loseStore() } }
        while (now < at(70.seconds)) {
            val action = actions.poll() ?: break
            now = action.at
            action.run()
        }
        expectThat(failures).isEmpty()
        expectThat(takeUps).isGreaterThan(200)
        expectThat(routed * 2).isGreaterThan(takeUps)
        expectThat(storedVersions.keys).isEqualTo(hashSetOf(LEDGER))
    }

    private companion object {
        const val SLOTS = 200
    }
}
