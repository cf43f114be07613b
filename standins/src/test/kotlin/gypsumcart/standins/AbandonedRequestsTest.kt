package gypsumcart.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

class AbandonedRequestsTest {
    private val fleet = StandInFleet()

    /** Sends a request and closes the connection after [millis], whatever has happened until then. */
    private fun abandon(address: String, requestId: String, millis: Long) {
        Socket(address.substringBefore(':'), address.substringAfter(':').toInt()).use {
            val headers = "Host: bookings.example\r\nX-Attempt-Id: $requestId\r\nApi-Key: key-1\r\n"
            val request = "POST /stream/1 HTTP/1.1\r\n${headers}Content-Length: 0\r\n\r\n"
            it.getOutputStream().write(request.toByteArray())
            Thread.sleep(millis)
        }
    }

    // Guards against calls that hold their slots for ever after their clients have left at any moment (CONFIG).
    @Test
    fun `no call is counted any more after all clients have left`() {
        fleet.configure(1, listOf(ConfiguredRoute("/stream/", "streaming", "drafts", resumable = true)))
        repeat(2) { fleet.startBackEnd("drafts", StandInBackEnd("i-$it")) }
        val node = fleet.startNode("node-1")
        awaitCondition { node.send("/stream/1").startsWith("HTTP/1.1 200") }
        val random = Random(SEED)
        val clients = Executors.newFixedThreadPool(CLIENTS)
        repeat(REQUESTS) { i ->
            val millis = random.nextLong(MAX_STAY_MILLIS)
            clients.execute { abandon(node.settings.clients, "r-$i", millis) }
        }
        clients.shutdown()
        clients.awaitTermination(30, TimeUnit.SECONDS)
        awaitCondition { "gypsumcart_requests_in_progress 0.0" in get(node.settings.metrics, "/metrics") }
        // Reports of the number come twice a second.
        Thread.sleep(2_000)
        expectThat(get(node.settings.metrics, "/metrics"))
            .contains("gypsumcart_calls_in_flight 0.0")
            .contains("gypsumcart_requests_in_progress 0.0")
    }

    private companion object {
        const val SEED = 4711
        const val CLIENTS = 32
        const val REQUESTS = 4_000
        const val MAX_STAY_MILLIS = 12L
    }
}
