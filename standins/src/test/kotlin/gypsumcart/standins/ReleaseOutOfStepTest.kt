package gypsumcart.standins

import gypsumcart.http.HttpRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseWriter
import kotlinx.coroutines.awaitCancellation
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.milliseconds

/**
 * Lets back ends of a second version join while one of two nodes hears nothing of the registry, and has streams that
 * began at the other one taken up there at once.
 */
class ReleaseOutOfStepTest {
    /** Passes calls on to the store of the fleet, except feeds of the registry that begin while [isDeaf]. */
    private class PartialStore(private val store: RequestHandler) : RequestHandler {
        @Volatile
        var isDeaf = false

        @Volatile
        var isFeedHanging = false

        override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
            if (isDeaf && request.path == "/rows-feed" && "tableName=servers" in request.target) {
                isFeedHanging = true
                awaitCancellation()
            }
            store.handle(request, response)
        }
    }

    private val fleet = StandInFleet()
    private val partialStore = PartialStore(fleet.store)
    private val nodes = ArrayList<RunningNode>()

    @AfterEach
    fun close(): Unit = nodes.forEach { it.kill() }

    private fun startBackEnds(version: String) {
        repeat(4) {
            val backEnd = StandInBackEnd("$version-$it", eventCount = 40, 20.milliseconds, eventData = version)
            fleet.startBackEnd("drafts", backEnd, version)
        }
    }

    private fun start() {
        fleet.configure(1, listOf(ConfiguredRoute("/stream/", "streaming", "drafts", 1, resumable = true, 8_000)))
        startBackEnds("v1")
        nodes += fleet.startNode("node-1")
        nodes += fleet.startNode("node-2", storeAddress = fleet.startServer("partial", partialStore))
        for (node in nodes) awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private class Part(val status: Int, val version: String?)

    /** Begins a stream at [first], leaves it after an event and takes it up at [second]. */
    private fun takeUp(first: RunningNode, second: RunningNode, id: String): Pair<Part, Part> =
        first.readEvent(id, "") to second.readEvent("$id-again", "Last-Event-Id: 1\r\nResumes: $id\r\n")

    /** Reads a response up to its first event, and leaves. */
    private fun RunningNode.readEvent(id: String, headers: String): Part {
        val address = settings.clients
        return Socket(address.substringBefore(':'), address.substringAfter(':').toInt()).use { socket ->
            socket.soTimeout = 4_000
            socket.getOutputStream().send(
                "POST /stream/1 HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $id\r\nX-Deadline-Ms: 8000\r\n" +
                    "Api-Key: key-1\r\n${headers}Content-Length: 2\r\nConnection: close\r\n\r\nhi",
            )
            val lines =
                socket
                    .getInputStream()
                    .bufferedReader()
                    .lineSequence()
                    .iterator()
            val status = lines.next().split(' ')[1].toInt()
            var version: String? = null
            while (version == null && lines.hasNext()) {
                version = lines.next().takeIf { it.startsWith("data: ") }?.removePrefix("data: ")
            }
            Part(status, version)
        }
    }

    private fun <T> inParallel(count: Int, action: (Int) -> T): List<T> {
        val threads = Executors.newFixedThreadPool(count)
        try {
            return threads.invokeAll(List(count) { Callable { action(it) } }).map { it.get() }
        } finally {
            threads.shutdownNow()
        }
    }

    // Guards against streams of a new version going on at the old one at a node that has not heard of it (ORDER).
    @Test
    fun `a node that has not heard of a new version does not take the old one for the only one`() {
        start()
        partialStore.isDeaf = true
        awaitCondition { partialStore.isFeedHanging }
        startBackEnds("v2")
        awaitCondition {
            fleet.store
                .getOrNull("fleet", "versions/drafts")
                .orEmpty()
                .contains("v2")
        }
        val streams = inParallel(STREAMS) { takeUp(nodes[0], nodes[1], "stream-$it") }
        expectThat(streams.count { (begun, _) -> begun.version == "v2" }).isGreaterThanOrEqualTo(LEAST_STREAMS)
        expectThat(streams.count { (begun, rest) -> rest.version != null && rest.version != begun.version })
            .describedAs("streams of two versions, of $STREAMS: %s")
            .isEqualTo(0)
        expectThat(streams.map { (_, rest) -> rest.status }).all { isContainedIn(listOf(200, 503)) }
    }

    // Guards against refused take-ups where the registry, read anew, still lists a single version (LOST).
    @Test
    fun `a node that hears nothing of the registry takes all streams up while one version is in use`() {
        start()
        partialStore.isDeaf = true
        awaitCondition { partialStore.isFeedHanging }
        val streams = inParallel(STREAMS) { takeUp(nodes[0], nodes[1], "stream-$it") }
        expectThat(streams.map { (_, rest) -> rest.version }).all { isEqualTo("v1") }
    }

    private companion object {
        const val STREAMS = 24
        const val LEAST_STREAMS = 6
    }
}
