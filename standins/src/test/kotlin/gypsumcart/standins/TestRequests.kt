package gypsumcart.standins

import java.net.Socket
import java.net.SocketTimeoutException

/** Sends [request] as it is and returns all that is received until the connection closes, or "no response". */
internal fun exchange(address: String, request: String): String =
    Socket(address.substringBefore(':'), address.substringAfter(':').toInt()).use { socket ->
        socket.soTimeout = 4_000
        socket.getOutputStream().write(request.toByteArray())
        socket.getOutputStream().flush()
        try {
            socket.getInputStream().readAllBytes().decodeToString()
        } catch (_: SocketTimeoutException) {
            "no response"
        }
    }

internal fun get(address: String, target: String): String =
    exchange(address, "GET $target HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")

/** Sends a request of a client to the node, on a connection of its own. */
internal fun RunningNode.send(
    path: String,
    requestId: String = "r-1",
    extraHeaders: String = "",
    apiKey: String = "key-1",
): String =
    exchange(
        settings.clients,
        "POST $path HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $requestId\r\nX-Deadline-Ms: 1500\r\n" +
            "Api-Key: $apiKey\r\n${extraHeaders}Content-Length: 2\r\nConnection: close\r\n\r\nhi",
    )

/**
 * Waits until [condition] is met.
 *
 * @throws IllegalStateException if it isn't within ten seconds
 */
internal fun awaitCondition(condition: () -> Boolean) {
    val deadline = System.nanoTime() + 10_000_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) { "the condition was not met within ten seconds" }
        Thread.sleep(20)
    }
}
