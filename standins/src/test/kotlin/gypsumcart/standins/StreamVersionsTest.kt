package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Breaks off streams while back ends of several software versions serve; the nodes or the clients have them resumed.
 *
 * Each back end writes its version into the data of its events, so that the client sees which versions wrote a stream.
 */
class StreamVersionsTest {
    private val random = Random(SEED)
    private val fleet = VersionedFleet(nodeCount = 3, BACK_ENDS, EVENTS, SERVICE, random)

    @AfterEach
    fun close(): Unit = fleet.close()

    /** Begins streams at all nodes, whose clients have read [READ] events; each version has begun at least 12. */
    private fun beginStreams(): List<ClientStream> {
        val plans = List(STREAMS) { fleet.nodes[it % fleet.nodes.size] to fleet.newId() }
        val streams = plans.mapInParallel { (node, id) -> ClientStream(StreamAttempt(node, id).read(READ)) }
        expectThat(streams.map { it.first.status }).all { isEqualTo(200) }
        expectThat(streams.map { it.events.size }).all { isGreaterThanOrEqualTo(READ) }
        expectThat(streams.filter { it.first.isWhole }).isEmpty()
        for (version in fleet.versions) {
            expectThat(streams.count { it.versions == listOf(version) }).isGreaterThanOrEqualTo(LEAST_TAKE_UPS)
        }
        return streams
    }

    /** Has the clients leave and take their streams up at other nodes, and read up to [count] events of the rest. */
    private fun takeUp(streams: List<ClientStream>, count: Int = EVENTS): List<ClientStream> {
        streams.forEach { it.attempts.last().leave() }
        val plans = streams.map { Triple(it, fleet.nodes.random(random), fleet.newId()) }
        return plans.mapInParallel { (stream, node, id) ->
            stream.takeUp(node, id, minOf(count, EVENTS - stream.events.last().id + 1))
        }
    }

    /** Expects that at least half of the last take-ups went on to the end, for each version in [versions]. */
    private fun expectHalfWhole(streams: List<ClientStream>, versions: Collection<String> = fleet.versions) {
        for (version in versions) {
            val begun = streams.filter { it.events.first().version == version }
            val whole = begun.count { it.attempts.last().isWhole }
            expectThat(begun.size).isGreaterThanOrEqualTo(LEAST_TAKE_UPS)
            expectThat(whole * 2)
                .describedAs("twice the streams of $version that went on: %s")
                .isGreaterThanOrEqualTo(begun.size)
        }
    }

    /** Lets every second stream break off after [READ] events, and expects that at least half of these are resumed. */
    private fun streamsResumedWithinResponse(): List<ClientStream> {
        val plans = List(2 * STREAMS) { fleet.nodes[it % fleet.nodes.size] to fleet.newId() }
        val brokenOff = plans.map { it.second }.filterIndexed { i, _ -> i % 2 == 0 }.toSet()
        for (backEnd in fleet.backEnds) backEnd.firstTruncation = { id -> READ.takeIf { id in brokenOff } }
        val streams =
            plans.chunked(BATCH).flatMap { batch ->
                batch.mapInParallel { (node, id) -> ClientStream(StreamAttempt(node, id).read(EVENTS + 1)) }
            }
        val requests = fleet.backEnds.flatMap { it.executedRequests }
        val resumed = requests.filter { it.headers["Last-Event-Id"] == "$READ" }.map { it.requestId }.toSet()
        expectThat(resumed - brokenOff).isEmpty()
        expectThat(resumed.size * 2).isGreaterThanOrEqualTo(brokenOff.size)
        return streams.filter { it.first.id in brokenOff }
    }

    // Guards against a response whose later events come from another software version than its first ones (ORDER).
    @ParameterizedTest
    @ValueSource(ints = [2, 3])
    fun `a stream that breaks off is resumed within its response only at the version that began it`(maxAttempts: Int) {
        fleet.start(listOf("v1", "v2"), 5.milliseconds, maxAttempts)
        val streams = streamsResumedWithinResponse()
        expectNoneJoined(streams)
        expectHalfWhole(streams)
    }

    // Guards against a client's take-up at any node that goes on at another software version (ORDER, LOST).
    @Test
    fun `a stream that its client takes up at any node goes on only at the version that began it`() {
        fleet.start(listOf("v1", "v2"), 20.milliseconds)
        val once = takeUp(beginStreams(), READ)
        fleet.expectOthersRejected(once)
        val wentOn =
            once.filter {
                it.takeUps
                    .last()
                    .events
                    .isNotEmpty()
            }
        expectThat(wentOn.size * 2).isGreaterThanOrEqualTo(STREAMS)
        val streams = takeUp(wentOn)
        expectNoneJoined(streams)
        fleet.expectOthersRejected(streams)
        expectHalfWhole(streams)
    }

    // Guards against take-ups that go on at another software version since the nodes forgot the stream (ORDER, LOST).
    @Test
    fun `after all nodes were killed a stream goes on only at the version that began it`() {
        fleet.start(listOf("v1", "v2"), 100.milliseconds)
        val begun = beginStreams()
        Thread.sleep(SETTLING_MILLIS)
        fleet.restartNodes()
        val streams = takeUp(begun)
        expectNoneJoined(streams)
        fleet.expectOthersRejected(streams)
        expectHalfWhole(streams)
    }

    // Guards against streams of a version that has left going on at another one after a kill of all nodes (ORDER).
    @Test
    fun `after all nodes were killed a stream whose version has left is rejected at once`() {
        fleet.start(listOf("v1", "v2"), 100.milliseconds)
        val begun = beginStreams()
        Thread.sleep(SETTLING_MILLIS)
        fleet.restartNodes { fleet.removeBackEnds("v1") }
        val streams = takeUp(begun)
        expectNoneJoined(streams)
        fleet.expectOthersRejected(streams)
        expectThat(streams.filter { it.versions == listOf("v1") && it.attempts.last().status != 503 }).isEmpty()
        expectHalfWhole(streams, listOf("v2"))
    }

    // Guards against take-ups that are answered by whatever version serves while the store can't be asked (ORDER).
    @Test
    fun `while the store is unavailable a stream goes on only at the version that began it`() {
        fleet.start(listOf("v1", "v2"), 20.milliseconds)
        val begun = beginStreams()
        fleet.store.fault = StoreFault.Unavailable
        Thread.sleep(OUTAGE_MILLIS)
        val streams = takeUp(begun)
        expectNoneJoined(streams)
        fleet.expectOthersRejected(streams)
    }

    // Guards against streams that are left incomplete although all back ends have the version that began them.
    @ParameterizedTest
    @ValueSource(ints = [2, 3])
    fun `with a single version in service streams that break off are resumed within their response`(maxAttempts: Int) {
        fleet.start(listOf("v1"), 5.milliseconds, maxAttempts)
        val streams = streamsResumedWithinResponse()
        expectThat(streams.map { it.first.isWhole }).all { isEqualTo(true) }
        expectNoneJoined(streams)
    }

    // Guards against take-ups that are rejected although all back ends have the version that began them (LOST).
    @Test
    fun `with a single version in service all streams that clients take up go on`() {
        fleet.start(listOf("v1"), 20.milliseconds)
        val streams = takeUp(takeUp(beginStreams(), READ))
        expectThat(streams.map { it.attempts.last().isWhole }).all { isEqualTo(true) }
        expectNoneJoined(streams)
    }

    // Guards against take-ups that are rejected after a restart although all back ends have their version (LOST).
    @Test
    fun `with a single version in service all streams go on after all nodes were killed`() {
        fleet.start(listOf("v1"), 100.milliseconds)
        val begun = beginStreams()
        Thread.sleep(SETTLING_MILLIS)
        fleet.restartNodes()
        val streams = takeUp(begun)
        expectThat(streams.map { it.attempts.last().isWhole }).all { isEqualTo(true) }
        expectNoneJoined(streams)
    }

    private companion object {
        const val SEED = 52
        const val SERVICE = "drafts"

        /** Enough for all streams at once. */
        const val BACK_ENDS = 8
        const val EVENTS = 30
        const val STREAMS = 48
        const val BATCH = 12

        /** The number of events that clients read before they leave. */
        const val READ = 3

        /** The number of take-ups from which the rule LOST holds. */
        const val LEAST_TAKE_UPS = 12

        /** Longer than a node takes to store what must survive it. */
        const val SETTLING_MILLIS = 1_000L
        const val OUTAGE_MILLIS = 300L
    }
}
