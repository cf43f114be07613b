package gypsumcart.core.streams

import gypsumcart.core.BackEndVersion
import gypsumcart.core.LEDGER
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestId
import gypsumcart.core.Ticket
import gypsumcart.core.at
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
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
 * Runs a fleet with one store while a release brings back ends of new versions and single nodes are out of step.
 *
 * A node that is out of step hears nothing of the registry while its other calls go on, can't reach the store, or
 * stands still. Clients take streams up at any node, from a few milliseconds after their start.
 */
class OutOfStepNodesTest {
    /** Describes what keeps a node from following the others. */
    private sealed class Trouble {
        /** Changes of the registry arrive after [until]; nothing tells the node. */
        data class Deaf(val until: MonotonicTime) : Trouble()

        /** Calls fail until [until], and changes of the registry arrive later still. */
        data class CutOff(val until: MonotonicTime) : Trouble()

        /** The node does nothing until [until]; its clock stops if [stopsClock]. */
        data class Paused(val until: MonotonicTime, val stopsClock: Boolean) : Trouble()
    }

    private class Stream(val id: String, val version: BackEndVersion?, val beganAt: MonotonicTime)

    private class Action(val at: MonotonicTime, val number: Int, val run: () -> Unit)

    private inner class Node(val rank: Int) {
        private val origins = StreamOrigins()
        private var trouble: Trouble? = null
        private var stoppedTime = Duration.ZERO
        private val localNow get() = now - stoppedTime

        /** The versions that this node has heard of, and to which it sends new requests. */
        var heard: Set<BackEndVersion?> = emptySet()
            private set
        var calmSince = now
            private set
        var troubleCount = 0
            private set
        val isInTrouble get() = trouble != null
        val isPaused get() = trouble is Trouble.Paused
        private val isCutOff get() = trouble is Trouble.CutOff

        fun start() {
            val versions = listed
            heard = versions
            decide(listed(versions))
            decide(stored(storedVersions))
            decide(StreamEvent.RankUpdated(nodes.size, rank))
            schedule(random.nextInt(1_000).milliseconds) { tick() }
        }

        private fun tick() {
            decide(StreamEvent.Tick)
            schedule(1.seconds) { tick() }
        }

        /** Delivers the current list, or a later one, after the time that the registry's feed takes. */
        fun hear() {
            val heardAt =
                when (val current = trouble) {
                    null -> now
                    is Trouble.Deaf -> current.until
                    is Trouble.CutOff -> current.until + FEED_RETRY
                    is Trouble.Paused -> current.until
                }
            schedule(heardAt - now + random.nextInt(MAX_FEED_MILLIS).milliseconds) {
                if (trouble != null) return@schedule hear()
                heard = listed
                decide(listed(listed))
            }
        }

        fun begin(newTrouble: Trouble, until: MonotonicTime) {
            if (trouble != null) return
            trouble = newTrouble
            troubleCount++
            val beganAt = now
            schedule(until - now) {
                trouble = null
                calmSince = now
                if (newTrouble is Trouble.Paused && newTrouble.stopsClock) stoppedTime += now - beganAt
                val waiting = inbox.shuffled(random)
                inbox.clear()
                waiting.forEach(::decide)
            }
        }

        private val inbox = ArrayList<StreamEvent>()

        /** Decides an event, or has it wait until the node runs again; different connections keep no common order. */
        fun decide(event: StreamEvent) {
            if (isPaused) {
                inbox += event
                return
            }
            origins.decide(event, localNow).forEach(::execute)
        }

        private fun execute(effect: StreamEffect) {
            when (effect) {
                is StreamEffect.Route ->
                    outcomes[effect.admitted.ticket] = listOf(effect).routedVersions().single() to true

                is StreamEffect.Refuse -> outcomes[effect.admitted.ticket] = null to false

                is StreamEffect.WakeAt -> schedule(effect.time - localNow) { decide(StreamEvent.Tick) }

                is StreamEffect.ReadRecord ->
                    call({ readRecord(effect.beganAs) }) {
                        StreamEvent.RecordRead(effect.ticket, it ?: RecordReadResult.Failed)
                    }

                is StreamEffect.CheckVersions ->
                    call({ VersionCheck.Confirmed(mapOf(LEDGER to listed + storedVersions)) }) {
                        StreamEvent.VersionsChecked(it ?: VersionCheck.Failed)
                    }

                is StreamEffect.WriteRecords ->
                    call({ effect.records.forEach { records[it.beganAs] = it } }) {
                        StreamEvent.RecordsWritten(it != null)
                    }

                is StreamEffect.Send, is StreamEffect.Respond -> error("no node keeps records for others here")

                is StreamEffect.WriteVersions ->
                    call({ storedVersions = effect.versions }) {
                        StreamEvent.VersionsWritten(effect.service, effect.versions, it != null)
                    }
            }
        }

        /** Calls the store, which acts before the response is on its way; the result is null if it is out of reach. */
        private fun <T : Any> call(act: () -> T, toEvent: (T?) -> StreamEvent) {
            schedule(callTime()) {
                val result = if (isCutOff) null else act()
                schedule(callTime()) { decide(toEvent(result)) }
            }
        }

        private fun callTime() = (
            if (random.nextInt(20) ==
                0
            ) {
                random.nextInt(100)
            } else {
                random.nextInt(1, 8)
            }
        ).milliseconds
    }

    private lateinit var random: Random
    private lateinit var nodes: List<Node>
    private var now = at(0.seconds)
    private val actions = PriorityQueue<Action>(compareBy({ it.at }, { it.number }))
    private var actionCount = 0

    /** The versions of the back ends in the registry, and of those that take new requests. */
    private var listed: Set<BackEndVersion?> = setOf(V1)
    private var serving: Set<BackEndVersion?> = setOf(V1)
    private val records = HashMap<RequestId, StreamRecord>()
    private var storedVersions: Set<BackEndVersion?> = emptySet()
    private val outcomes = HashMap<Ticket, Pair<BackEndVersion?, Boolean>>()
    private val failures = ArrayList<String>()
    private var streams = 0
    private var takeUps = 0

    /** The take-ups at nodes in step while one version has been in use all the time, and those of them that went on. */
    private var calmTakeUps = 0
    private var calmRouted = 0

    private fun schedule(delay: Duration, run: () -> Unit) {
        actions += Action(now + delay.coerceAtLeast(Duration.ZERO), actionCount++, run)
    }

    private fun readRecord(beganAs: RequestId): RecordReadResult =
        records[beganAs]?.let(RecordReadResult::Found) ?: RecordReadResult.Absent

    /** Brings back ends of [version]; those that leave take no new requests before they are removed. */
    private fun release(version: BackEndVersion) {
        serving = serving + version
        listed = listed + version
        nodes.forEach { it.hear() }
        schedule(random.nextInt(2_000, 8_000).milliseconds) {
            serving = setOf(if (random.nextBoolean()) version else V1)
            schedule(1.seconds) {
                listed = serving
                nodes.forEach { it.hear() }
            }
        }
    }

    private fun disturbNode() {
        val until = now + random.nextInt(200, 4_000).milliseconds
        val trouble =
            when (random.nextInt(4)) {
                0 -> Trouble.Deaf(until)
                1 -> Trouble.CutOff(until)
                else -> Trouble.Paused(until, stopsClock = random.nextBoolean())
            }
        // The node with the lowest id stays in step, as it writes the versions that are in use.
        nodes.drop(1).random(random).begin(trouble, until)
    }

    private fun beginStream() {
        val node = nodes.filterNot { it.isPaused }.random(random)
        val version =
            node.heard
                .intersect(serving)
                .toList()
                .ifEmpty { return }
                .random(random)
        val stream = Stream("s-${streams++}", version, now)
        node.decide(StreamEvent.StreamBegan(record(stream.id, version)))
        val delay = if (random.nextBoolean()) random.nextInt(5, 120) else random.nextInt(120, 3_000)
        schedule(delay.milliseconds) { takeUp(stream) }
    }

    private fun takeUp(stream: Stream) {
        val node = nodes.random(random)
        val request = takeUp(stream.id, actionCount++.toLong(), now, 20.seconds)
        val isInStep = !node.isInTrouble && now - node.calmSince > 3.seconds
        val troublesBefore = node.troubleCount
        node.decide(StreamEvent.TakenUp(request))
        takeUps++
        schedule(6.seconds) {
            val outcome = outcomes[request.ticket]
            val isCalm = isInStep && troublesBefore == node.troubleCount && now < at(RELEASES_FROM)
            if (isCalm) calmTakeUps++
            when {
                outcome == null -> failures += "${stream.id} got no answer"
                outcome.second && outcome.first != stream.version -> failures += "${stream.id} joined at $now"
                isCalm && outcome.second -> calmRouted++
            }
        }
    }

    // Guards against streams of a version that a node out of step has not heard of going on at the only one it knows.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `a node that is out of step during a release joins no stream to another version`(nodeCount: Int, seed: Int) {
        random = Random(seed)
        nodes = List(nodeCount) { Node(it) }
        nodes.forEach { it.start() }
        repeat(3_000) { schedule(random.nextInt(DAY_MILLIS).milliseconds) { beginStream() } }
        for (i in 0 until RELEASES) {
            val version = BackEndVersion("r$i")
            schedule(RELEASES_FROM + RELEASE_INTERVAL * i) { release(version) }
            repeat(2) { schedule(RELEASES_FROM + RELEASE_INTERVAL * i - 500.milliseconds) { disturbNode() } }
        }
        repeat(30) { schedule(random.nextInt(DAY_MILLIS).milliseconds) { disturbNode() } }
        while (now < at(DAY_MILLIS.milliseconds + 10.seconds)) {
            val action = actions.poll() ?: break
            now = action.at
            action.run()
        }
        expectThat(failures).isEmpty()
        expectThat(nodes.sumOf { it.troubleCount }).isGreaterThan(20)
        expectThat(takeUps).isGreaterThan(2_000)
        expectThat(calmTakeUps).isGreaterThan(30)
        expectThat(calmRouted).isEqualTo(calmTakeUps)
    }

    private companion object {
        /** A node combines the changes of the registry over up to this time. */
        const val MAX_FEED_MILLIS = 500

        /** The time from the end of a cut until the feed has noticed that its connection is dead. */
        val FEED_RETRY = 2.seconds
        const val DAY_MILLIS = 300_000
        const val RELEASES = 5
        val RELEASES_FROM = 20.seconds

        /** Longer than a version counts as in use after it has left. */
        val RELEASE_INTERVAL = 50.seconds

        @JvmStatic
        fun fleets() = listOf(3, 40).flatMap { nodes -> (1..20).map { arrayOf<Any>(nodes, it) } }
    }
}
