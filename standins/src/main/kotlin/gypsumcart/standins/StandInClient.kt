package gypsumcart.standins

import java.net.Socket
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Represents a response as the client received it; [text] is everything received until the connection closed. */
public class ReceivedResponse(private val text: String) {
    /** The status line, or an empty string if nothing was received. */
    public val statusLine: String get() = text.substringBefore("\r\n")

    /** The status code, or 0 if none was received. */
    public val status: Int get() = statusLine.split(' ').getOrNull(1)?.toIntOrNull() ?: 0

    /** The body as received; a chunked body includes its chunk framing. */
    public val body: String get() = text.substringAfter("\r\n\r\n", "")

    /** Returns the value of the first header named [name], or null if there is none. */
    public fun headerOrNull(name: String): String? =
        text
            .substringBefore("\r\n\r\n")
            .lineSequence()
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
}

/** Simulates a client that connects to the first address that the directory at [directoryAddress] returns. */
public class StandInClient(private val directoryAddress: String) {
    /**
     * Waits until the directory lists [count] nodes.
     *
     * @throws IllegalStateException if it lists fewer after ten seconds
     */
    public fun awaitNodes(count: Int) {
        val start = TimeSource.Monotonic.markNow()
        while (addresses().size < count) {
            check(start.elapsedNow() < TIMEOUT) { "the directory lists ${addresses()} after $TIMEOUT" }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS)
        }
    }

    /** Sends a request with the id [requestId] to [path] and returns the response. */
    public fun send(path: String, requestId: String): ReceivedResponse =
        exchange(
            addresses().first(),
            "POST $path HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $requestId\r\nX-Deadline-Ms: 1500\r\n" +
                "Api-Key: key-1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
        )

    private fun addresses(): List<String> {
        val target = "/resolve?name=bookings.example&zone=a"
        val response = exchange(directoryAddress, "GET $target HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        return ADDRESS_PATTERN.findAll(response.body).map { it.value }.toList()
    }

    private fun exchange(address: String, request: String): ReceivedResponse =
        Socket(address.substringBefore(':'), address.substringAfter(':').toInt()).use { socket ->
            socket.soTimeout = TIMEOUT.inWholeMilliseconds.toInt()
            socket.getOutputStream().write(request.toByteArray())
            socket.getOutputStream().flush()
            ReceivedResponse(socket.getInputStream().readAllBytes().decodeToString())
        }

    private companion object {
        val TIMEOUT = 10.seconds
        const val POLL_INTERVAL_NANOS = 20_000_000L
        val ADDRESS_PATTERN = Regex("\\d+(\\.\\d+){3}:\\d+")
    }
}
