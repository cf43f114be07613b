package gypsumcart.standins

import java.net.Socket
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Holds what a caller got: everything that came on its connection. */
public class CallerAnswer(private val text: String) {
    /** The first line, or an empty text when nothing came. */
    public val statusLine: String get() = text.substringBefore("\r\n")

    /** The status, or 0 when none came. */
    public val status: Int get() = statusLine.split(' ').getOrNull(1)?.toIntOrNull() ?: 0

    /** The body as it came, with the marks of its chunks. */
    public val body: String get() = text.substringAfter("\r\n\r\n", "")

    /** Returns the value of the field called [name], or null when there is none. */
    public fun header(name: String): String? =
        text
            .substringBefore("\r\n\r\n")
            .lineSequence()
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
}

/** Stands in for a client that asks the directory at [directory] for addresses and connects to the first of them. */
public class StandInCaller(private val directory: String) {
    /** Waits until the directory names [count] nodes, at most ten seconds. */
    public fun awaitNodes(count: Int) {
        val start = TimeSource.Monotonic.markNow()
        while (addresses().size < count) {
            check(start.elapsedNow() < LIMIT) { "the directory named ${addresses()} after $LIMIT" }
            LockSupport.parkNanos(POLL_NANOS)
        }
    }

    /** Sends one request to [path] and returns all that comes back. */
    public fun call(path: String, id: String): CallerAnswer =
        exchange(
            addresses().first(),
            "POST $path HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $id\r\nX-Deadline-Ms: 1500\r\n" +
                "Api-Key: key-1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
        )

    private fun addresses(): List<String> {
        val target = "/resolve?name=bookings.example&zone=a"
        val answer = exchange(directory, "GET $target HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        return ADDRESS.findAll(answer.body).map { it.value }.toList()
    }

    private fun exchange(address: String, request: String): CallerAnswer =
        Socket(address.substringBefore(':'), address.substringAfter(':').toInt()).use { socket ->
            socket.soTimeout = LIMIT.inWholeMilliseconds.toInt()
            socket.getOutputStream().write(request.toByteArray())
            socket.getOutputStream().flush()
            CallerAnswer(socket.getInputStream().readAllBytes().decodeToString())
        }

    private companion object {
        val LIMIT = 10.seconds
        const val POLL_NANOS = 20_000_000L
        val ADDRESS = Regex("\\d+(\\.\\d+){3}:\\d+")
    }
}
