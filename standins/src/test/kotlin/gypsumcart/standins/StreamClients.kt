package gypsumcart.standins

import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.IOException
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** An event as a client received it; [version] is that of the back end that wrote it. */
internal data class SeenEvent(val id: Int, val version: String)

/** One request of a client, whose response is read as far as the client wants it. */
internal class StreamAttempt(node: RunningNode, val id: String, extraHeaders: String = "") {
    private val address = node.settings.clients
    private val socket = Socket(address.substringBefore(':'), address.substringAfter(':').toInt())
    private val sent = TimeSource.Monotonic.markNow()
    private val text = StringBuilder()

    /** The time from the request to the end of the response, or to the last event that was read. */
    var duration = Duration.ZERO
        private set
    val status get() = text.split(' ', limit = 3).getOrNull(1)?.toIntOrNull() ?: 0
    val events get() = EVENT.findAll(text).map { SeenEvent(it.groupValues[1].toInt(), it.groupValues[2]) }.toList()
    val isWhole get() = status == 200 && text.endsWith("0\r\n\r\n")

    init {
        socket.soTimeout = 4_000
        socket.getOutputStream().send(
            "POST /stream/1 HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $id\r\nX-Deadline-Ms: 8000\r\n" +
                "Api-Key: key-1\r\n${extraHeaders}Content-Length: 2\r\nConnection: close\r\n\r\nhi",
        )
    }

    /** Reads until [count] events or the end of the response have been received. */
    fun read(count: Int): StreamAttempt {
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

    private companion object {
        val EVENT = Regex("id: (\\d+)\ndata: (\\S+)\n\n")
    }
}

/** One stream over the attempts of its client. */
internal class ClientStream(val attempts: List<StreamAttempt>) {
    constructor(first: StreamAttempt) : this(listOf(first))

    val first get() = attempts.first()
    val takeUps get() = attempts.drop(1)
    val events get() = attempts.flatMap { it.events }
    val versions get() = events.map { it.version }.distinct()

    /** Takes the stream up at [node] after the last event that was read, and reads up to [count] events of the rest. */
    fun takeUp(node: RunningNode, id: String, count: Int): ClientStream {
        val headers = "Last-Event-Id: ${events.last().id}\r\nResumes: ${first.id}\r\n"
        return ClientStream(attempts + StreamAttempt(node, id, headers).read(count))
    }
}

internal fun <T, R> List<T>.mapInParallel(transform: (T) -> R): List<R> {
    val threads = Executors.newFixedThreadPool(size)
    try {
        return threads.invokeAll(map { Callable { transform(it) } }).map { it.get() }
    } finally {
        threads.shutdownNow()
    }
}

/** Expects that no stream has events of two versions, and that none of its events is missing or comes twice. */
internal fun expectNoneJoined(streams: List<ClientStream>) {
    val joined = streams.count { it.versions.size > 1 }
    expectThat(joined).describedAs("streams of two versions, of ${streams.size}: %s").isEqualTo(0)
    for (stream in streams) {
        expectThat(stream.events.map { it.id }).isEqualTo((1..stream.events.size).toList())
    }
}

/** Expects that the last take-ups that did not go on were rejected as not run, without a wait. */
internal fun VersionedFleet.expectOthersRejected(streams: List<ClientStream>) {
    val others = streams.map { it.attempts.last() }.filter { it.events.isEmpty() }
    expectThat(others.map { it.status }).all { isEqualTo(503) }
    expectThat(others.map { it.duration }).all { isLessThan(1.seconds) }
    val executed = executedIds
    expectThat(others.map { it.id }.filter { it in executed }).isEmpty()
}
