package gypsumcart.standins

import gypsumcart.core.Features
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Has a sound back end fall silent for a second or so, and go on. */
class SilentBackEndTest {
    private val fleet = StandInFleet()
    private val backEnds = List(3) { StandInBackEnd("b-$it", EVENTS, 40.milliseconds) }
    private val silent get() = backEnds.first()
    private val threads = Executors.newCachedThreadPool()
    private lateinit var node: RunningNode

    @AfterEach
    fun close() {
        threads.shutdownNow()
        node.kill()
    }

    private fun start(features: Features = Features.NONE) {
        fleet.configure(
            version = 1,
            listOf(
                ConfiguredRoute("/stream/", "streaming", "drafts", resumable = true, timeoutMillis = 8_000),
                ConfiguredRoute("/once/", "non_idempotent", "drafts", timeoutMillis = 4_000),
                ConfiguredRoute("/many/", "idempotent", "drafts", timeoutMillis = 4_000),
            ),
        )
        backEnds.forEach { fleet.startBackEnd("drafts", it) }
        node = fleet.startNode("node-1", features = features)
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun request(path: String, id: String, deadlineMillis: Int): Future<String> =
        threads.submit(
            Callable {
                exchange(
                    node.settings.clients,
                    "POST $path HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $id\r\n" +
                        "X-Deadline-Ms: $deadlineMillis\r\nApi-Key: key-1\r\nContent-Length: 2\r\n" +
                        "Connection: close\r\n\r\nhi",
                )
            },
        )

    /** Returns how often each request ran, on all back ends. */
    private fun runs(): Map<String, Int> =
        backEnds.flatMap { it.executedRequests }.groupingBy { it.requestId }.eachCount()

    private fun silenceFor(time: Duration, meanwhile: () -> Unit) {
        val start = TimeSource.Monotonic.markNow()
        silent.isSilent = true
        meanwhile()
        Thread.sleep((time - start.elapsedNow()).coerceAtLeast(Duration.ZERO).inWholeMilliseconds)
        silent.isSilent = false
    }

    // Guards against requests that run twice, and streams that are cut, because their back end is silent for a moment.
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `requests run once and streams go on at a back end that is silent for a second`(learnedCapacity: Boolean) {
        start(Features(learnedCapacity = learnedCapacity))
        val streams = List(12) { request("/stream/1", "stream-$it", 8_000) }
        awaitCondition { runs().size == streams.size }
        val once = ArrayList<Future<String>>()
        silenceFor(1.2.seconds) {
            repeat(40) {
                once += request("/once/1", "once-$it", 4_000)
                Thread.sleep(20)
            }
            expectThat(once.count { it.isDone }).isGreaterThanOrEqualTo(once.size / 2)
        }
        expectThat(once.map { it.get().take(12) }).all { isEqualTo("HTTP/1.1 200") }
        for (stream in streams) {
            val text = stream.get()
            expectThat(EVENT_ID.findAll(text).map { it.groupValues[1].toInt() }.toList())
                .isEqualTo((1..EVENTS).toList())
            expectThat(text.endsWith("0\r\n\r\n")).isTrue()
        }
        expectThat(runs().values.toSet()).isEqualTo(setOf(1))
        expectThat(silent.executedRequests.size).isGreaterThan(0)
        expectThat(backEnds.flatMap { it.cancelledRequestIds }).isEqualTo(emptyList())
    }

    // Guards against a sound back end that gets no requests for long, because those it kept waiting failed together.
    @Test
    fun `a back end whose requests ran out of time together is used again soon after it goes on`() {
        start()
        backEnds.forEach { it.isSilent = true }
        val waiting = List(24) { request("/many/1", "waiting-$it", deadlineMillis = 700) }
        Thread.sleep(200)
        backEnds.drop(1).forEach { it.isSilent = false }
        silenceFor(1.2.seconds) { waiting.forEach { it.get() } }
        val goesOn = TimeSource.Monotonic.markNow()
        val before = silent.executedRequests.size
        var sent = 0
        while (silent.executedRequests.size == before && goesOn.elapsedNow() < MAX_UNUSED) {
            request("/many/1", "later-${sent++}", deadlineMillis = 700).get()
            Thread.sleep(20)
        }
        expectThat(waiting.count { "HTTP/1.1 200" !in it.get() }).isGreaterThanOrEqualTo(LEAST_FAILED)
        expectThat(silent.executedRequests.size).isGreaterThan(before)
    }

    private companion object {
        const val EVENTS = 40

        /** Enough to eject a back end for as long as possible, if each prolonged the ejection. */
        const val LEAST_FAILED = 5
        val MAX_UNUSED = 2.seconds
        val EVENT_ID = Regex("id: (\\d+)\n")
    }
}
