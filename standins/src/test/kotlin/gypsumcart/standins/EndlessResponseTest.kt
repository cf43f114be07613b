package gypsumcart.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime
import kotlin.time.measureTimedValue

/** Guards against one response without end that stops a node for all its clients (CONFIG). */
class EndlessResponseTest {
    private val fleet = StandInFleet()
    private val soundBackEnd = StandInBackEnd("i-1")

    /** Sends a sound head and then [repeated] until the node closes the connection. */
    private fun OutputStream.sendWithoutEnd(request: ScriptedRequest, repeated: String): Boolean {
        send(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Signature: s\r\n" +
                "Transfer-Encoding: chunked\r\n\r\n",
        )
        val bytes = repeated.toByteArray()
        try {
            while (true) write(bytes)
        } catch (_: IOException) {
            return false
        }
    }

    /**
     * Lets one stream receive [repeated] without end, meanwhile sends other requests, and returns the time of the
     * slowest one.
     */
    private fun slowestRequestBeside(repeated: String): Duration =
        ScriptedBackEnd { request, output -> output.sendWithoutEnd(request, repeated) }.use { endless ->
            fleet.configure(
                version = 1,
                listOf(
                    ConfiguredRoute("/checks/", "idempotent", "bookings"),
                    ConfiguredRoute("/endless/", "streaming", "drafts", maxAttempts = 1),
                ),
            )
            fleet.startBackEnd("bookings", soundBackEnd)
            fleet.register("drafts", "d-1", endless)
            val node = fleet.startNode("node-1")
            awaitCondition { node.send("/checks/0").startsWith("HTTP/1.1 200") }
            val stream = CompletableFuture.supplyAsync { measureTime { runCatching { node.send("/endless/1") } } }
            awaitCondition { endless.requestIds.isNotEmpty() }
            val requests = List(40) { measureTimedValue { node.send("/checks/$it", requestId = "c-$it").take(12) } }
            expectThat(requests.map { it.value }.distinct()).isEqualTo(listOf("HTTP/1.1 200"))
            expectThat(stream.get(9, TimeUnit.SECONDS)).isLessThan(CLIENT_DEADLINE + 500.milliseconds)
            requests.maxOf { it.duration }
        }

    @Test
    fun `an event without end, in chunks of four bytes, leaves other requests in time`() {
        expectThat(slowestRequestBeside("4\r\nxxxx\r\n".repeat(100))).isLessThan(500.milliseconds)
    }

    @Test
    fun `empty lines without end, in large chunks, leave other requests in time`() {
        val lines = "\n".repeat(65_536)
        expectThat(slowestRequestBeside("10000\r\n$lines\r\n")).isLessThan(500.milliseconds)
    }

    private companion object {
        val CLIENT_DEADLINE = 1.5.seconds
    }
}
