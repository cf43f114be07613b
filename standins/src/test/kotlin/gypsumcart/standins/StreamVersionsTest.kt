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
import strikt.assertions.isLessThan
import java.io.IOException
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Breaks off streams while back ends of several software versions serve; the nodes or the clients have them resumed.
 *
 * Each back end writes its version into the data of its events, so that the client sees which versions wrote a stream.
 */
class StreamVersionsTest {
    private val fleet = StandInFleet()
    private val random = Random(SEED)
    private val backEnds = HashMap<String, List<StandInBackEnd>>()
    private var nodes = emptyList<RunningNode>()

    @AfterEach
    fun close(): Unit = nodes.forEach { it.kill() }

    private fun start(versions: List<String>, eventInterval: Duration, maxAttempts: Int = 2) {
        fleet.configure(
            version = 1,
            listOf(ConfiguredRoute("/stream/", "streaming", SERVICE, maxAttempts, resumable = true, 8_000)),
        )
        for (version in versions) {
            backEnds[version] =
                List(BACK_ENDS / versions.size) { StandInBackEnd("$version-$it", EVENTS, eventInterval, version) }
            backEnds.getValue(version).forEach { fleet.startBackEnd(SERVICE, it, version) }
        }
        startNodes()
    }

    private fun startNodes() {
        nodes = List(3) { fleet.startNode("node-$it") }
        for (node in nodes) awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    /** Ends all nodes at once, lets [meanwhile] happen, and starts them again with nothing but the store's contents. */
    private fun restartNodes(meanwhile: () -> Unit = {}) {
        nodes.forEach { it.kill() }
        meanwhile()
        startNodes()
    }

    private data class Event(val id: Int, val version: String)

    /** One request of a client, whose response is read as far as the client wants it. */
    private class Attempt(node: RunningNode, val id: String, extraHeaders: String = "") {
        private val address = node.settings.clients
        private val socket = Socket(address.substringBefore(':'), address.substringAfter(':').toInt())
        private val sent = TimeSource.Monotonic.markNow()
        private val text = StringBuilder()

        /** The time from the request to the end of the response, or to the last event that was read. */
        var duration = Duration.ZERO
            private set
        val status get() = text.split(' ', limit = 3).getOrNull(1)?.toIntOrNull() ?: 0
        val events get() = EVENT.findAll(text).map { Event(it.groupValues[1].toInt(), it.groupValues[2]) }.toList()
        val isWhole get() = status == 200 && text.endsWith("0\r\n\r\n")

        init {
            socket.soTimeout = 4_000
            socket.getOutputStream().send(
                "POST /stream/1 HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $id\r\nX-Deadline-Ms: 8000\r\n" +
                    "Api-Key: key-1\r\n${extraHeaders}Content-Length: 2\r\nConnection: close\r\n\r\nhi",
            )
        }

        /** Reads until [count] events or the end of the response have been received. */
        fun read(count: Int): Attempt {
            val bytes = ByteArray(4_096)
            while (events.size < count) {
                val read =
                    try {
                        socket.getInputStream().read(bytes)
                    } catch (_: IOException) {
                        -1
                    }
                if (read < 0) break
                text.append(bytes.decodeToString(0, read))
            }
            duration = sent.elapsedNow()
            return this
        }

        fun leave(): Unit = socket.close()
    }

    /** One stream over the attempts of its client. */
    private class Stream(val attempts: List<Attempt>) {
        constructor(first: Attempt) : this(listOf(first))

        val first get() = attempts.first()
        val takeUps get() = attempts.drop(1)
        val events get() = attempts.flatMap { it.events }
        val versions get() = events.map { it.version }.distinct()
    }

    private fun newId() = random
        .nextLong()
        .toULong()
        .toString(16)
        .padStart(16, '0')

    private fun <T, R> List<T>.mapInParallel(transform: (T) -> R): List<R> {
        val threads = Executors.newFixedThreadPool(size)
        try {
            return threads.invokeAll(map { Callable { transform(it) } }).map { it.get() }
        } finally {
            threads.shutdownNow()
        }
    }

    /** Begins streams at all nodes, whose clients have read [READ] events; each version has begun at least 12. */
    private fun beginStreams(): List<Stream> {
        val plans = List(STREAMS) { nodes[it % nodes.size] to newId() }
        val streams = plans.mapInParallel { (node, id) -> Stream(Attempt(node, id).read(READ)) }
        expectThat(streams.map { it.first.status }).all { isEqualTo(200) }
        expectThat(streams.map { it.events.size }).all { isGreaterThanOrEqualTo(READ) }
        expectThat(streams.filter { it.first.isWhole }).isEmpty()
        for (version in backEnds.keys) {
            expectThat(streams.count { it.versions == listOf(version) }).isGreaterThanOrEqualTo(LEAST_TAKE_UPS)
        }
        return streams
    }

    /** Has the clients leave and take their streams up at other nodes, and read up to [count] events of the rest. */
    private fun takeUp(streams: List<Stream>, count: Int = EVENTS): List<Stream> {
        streams.forEach { it.attempts.last().leave() }
        val plans = streams.map { Triple(it, nodes.random(random), newId()) }
        return plans.mapInParallel { (stream, node, id) ->
            val last = stream.events.last().id
            val headers = "Last-Event-Id: $last\r\nResumes: ${stream.first.id}\r\n"
            Stream(stream.attempts + Attempt(node, id, headers).read(minOf(count, EVENTS - last + 1)))
        }
    }

    private fun expectNoneJoined(streams: List<Stream>) {
        val joined = streams.count { it.versions.size > 1 }
        expectThat(joined).describedAs("streams of two versions, of ${streams.size}: %s").isEqualTo(0)
        for (stream in streams) {
            expectThat(stream.events.map { it.id }).isEqualTo((1..stream.events.size).toList())
        }
    }

    /** Expects that the last take-ups that did not go on were rejected as not run, without a wait. */
    private fun expectOthersRejected(streams: List<Stream>) {
        val others = streams.map { it.attempts.last() }.filter { it.events.isEmpty() }
        expectThat(others.map { it.status }).all { isEqualTo(503) }
        expectThat(others.map { it.duration }).all { isLessThan(1.seconds) }
        val executed =
            backEnds.values
                .flatten()
                .flatMap { it.executedRequests }
                .map { it.requestId }
                .toSet()
        expectThat(others.map { it.id }.filter { it in executed }).isEmpty()
    }

    /** Expects that at least half of the last take-ups went on to the end, for each version in [versions]. */
    private fun expectHalfWhole(streams: List<Stream>, versions: Collection<String> = backEnds.keys) {
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
    private fun streamsResumedWithinResponse(): List<Stream> {
        val plans = List(2 * STREAMS) { nodes[it % nodes.size] to newId() }
        val brokenOff = plans.map { it.second }.filterIndexed { i, _ -> i % 2 == 0 }.toSet()
        for (backEnd in backEnds.values.flatten()) backEnd.firstTruncation = { id -> READ.takeIf { id in brokenOff } }
        val streams =
            plans.chunked(BATCH).flatMap { batch ->
                batch.mapInParallel { (node, id) -> Stream(Attempt(node, id).read(EVENTS + 1)) }
            }
        val requests = backEnds.values.flatten().flatMap { it.executedRequests }
        val resumed = requests.filter { it.headers["Last-Event-Id"] == "$READ" }.map { it.requestId }.toSet()
        expectThat(resumed - brokenOff).isEmpty()
        expectThat(resumed.size * 2).isGreaterThanOrEqualTo(brokenOff.size)
        return streams.filter { it.first.id in brokenOff }
    }

    // Guards against a response whose later events come from another software version than its first ones (ORDER).
    @ParameterizedTest
    @ValueSource(ints = [2, 3])
    fun `a stream that breaks off is resumed within its response only at the version that began it`(maxAttempts: Int) {
        start(listOf("v1", "v2"), 5.milliseconds, maxAttempts)
        val streams = streamsResumedWithinResponse()
        expectNoneJoined(streams)
        expectHalfWhole(streams)
    }

    // Guards against a client's take-up at any node that goes on at another software version (ORDER, LOST).
    @Test
    fun `a stream that its client takes up at any node goes on only at the version that began it`() {
        start(listOf("v1", "v2"), 20.milliseconds)
        val once = takeUp(beginStreams(), READ)
        expectOthersRejected(once)
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
        expectOthersRejected(streams)
        expectHalfWhole(streams)
    }

    // Guards against take-ups that go on at another software version since the nodes forgot the stream (ORDER, LOST).
    @Test
    fun `after all nodes were killed a stream goes on only at the version that began it`() {
        start(listOf("v1", "v2"), 100.milliseconds)
        val begun = beginStreams()
        Thread.sleep(SETTLING_MILLIS)
        restartNodes()
        val streams = takeUp(begun)
        expectNoneJoined(streams)
        expectOthersRejected(streams)
        expectHalfWhole(streams)
    }

    // Guards against streams of a version that has left going on at another one after a kill of all nodes (ORDER).
    @Test
    fun `after all nodes were killed a stream whose version has left is rejected at once`() {
        start(listOf("v1", "v2"), 100.milliseconds)
        val begun = beginStreams()
        Thread.sleep(SETTLING_MILLIS)
        restartNodes { backEnds.getValue("v1").forEach { fleet.store.remove("servers", it.id) } }
        val streams = takeUp(begun)
        expectNoneJoined(streams)
        expectOthersRejected(streams)
        expectThat(streams.filter { it.versions == listOf("v1") && it.attempts.last().status != 503 }).isEmpty()
        expectHalfWhole(streams, listOf("v2"))
    }

    // Guards against take-ups that are answered by whatever version serves while the store can't be asked (ORDER).
    @Test
    fun `while the store is unavailable a stream goes on only at the version that began it`() {
        start(listOf("v1", "v2"), 20.milliseconds)
        val begun = beginStreams()
        fleet.store.fault = StoreFault.Unavailable
        Thread.sleep(OUTAGE_MILLIS)
        val streams = takeUp(begun)
        expectNoneJoined(streams)
        expectOthersRejected(streams)
    }

    // Guards against streams that are left incomplete although all back ends have the version that began them.
    @ParameterizedTest
    @ValueSource(ints = [2, 3])
    fun `with a single version in service streams that break off are resumed within their response`(maxAttempts: Int) {
        start(listOf("v1"), 5.milliseconds, maxAttempts)
        val streams = streamsResumedWithinResponse()
        expectThat(streams.map { it.first.isWhole }).all { isEqualTo(true) }
        expectNoneJoined(streams)
    }

    // Guards against take-ups that are rejected although all back ends have the version that began them (LOST).
    @Test
    fun `with a single version in service all streams that clients take up go on`() {
        start(listOf("v1"), 20.milliseconds)
        val streams = takeUp(takeUp(beginStreams(), READ))
        expectThat(streams.map { it.attempts.last().isWhole }).all { isEqualTo(true) }
        expectNoneJoined(streams)
    }

    // Guards against take-ups that are rejected after a restart although all back ends have their version (LOST).
    @Test
    fun `with a single version in service all streams go on after all nodes were killed`() {
        start(listOf("v1"), 100.milliseconds)
        val begun = beginStreams()
        Thread.sleep(SETTLING_MILLIS)
        restartNodes()
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
        val EVENT = Regex("id: (\\d+)\ndata: (\\S+)\n\n")
    }
}
