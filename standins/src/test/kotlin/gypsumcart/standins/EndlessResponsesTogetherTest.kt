package gypsumcart.standins

import gypsumcart.http.MemoryBudget
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.OutputStream
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

/** Guards against many responses, each within its bound, that together take all memory of a node (LOST). */
class EndlessResponsesTogetherTest {
    private val fleet = StandInFleet()
    private val memory = MemoryBudget(CAPACITY)

    /** Sends [start] and then [repeated], [PER_RESPONSE] bytes in all, and leaves the connection open. */
    private fun OutputStream.sendLargePart(start: String, repeated: String): Boolean {
        send(start)
        repeat(PER_RESPONSE / repeated.length) {
            send(repeated)
            Thread.sleep(1)
        }
        Thread.sleep(CLIENT_DEADLINE_MILLIS)
        return false
    }

    /**
     * Lets many requests receive such a response at once, which [start] and [repeated] make up, beside requests with
     * sound ones; returns how many of the former the node has given up before their clients' deadline.
     */
    private fun countGivenUp(routeType: String, start: (ScriptedRequest) -> String, repeated: String): Int {
        val endless = ScriptedBackEnd { request, output -> output.sendLargePart(start(request), repeated) }
        val threads = Executors.newFixedThreadPool(RESPONSES)
        try {
            val node = startNode(routeType, endless)
            val calls =
                List(RESPONSES) {
                    threads.submit(Callable { measureTime { node.sendPatiently("/endless/$it", "e-$it") } })
                }
            val sound = List(40) { node.send("/checks/$it", requestId = "c-$it").take(12) }
            expectThat(sound.distinct()).isEqualTo(listOf("HTTP/1.1 200"))
            val deadline = CLIENT_DEADLINE_MILLIS.milliseconds
            return calls.map { it.get(9, TimeUnit.SECONDS) }.count { it < deadline - 200.milliseconds }
        } finally {
            threads.shutdownNow()
            endless.close()
        }
    }

    private fun RunningNode.sendPatiently(path: String, requestId: String): String =
        exchange(
            settings.clients,
            "POST $path HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $requestId\r\n" +
                "X-Deadline-Ms: $CLIENT_DEADLINE_MILLIS\r\nApi-Key: key-1\r\nContent-Length: 0\r\n" +
                "Connection: close\r\n\r\n",
        )

    private fun startNode(routeType: String, endless: ScriptedBackEnd): RunningNode {
        fleet.configure(
            version = 1,
            listOf(
                ConfiguredRoute("/checks/", "idempotent", "bookings"),
                ConfiguredRoute("/endless/", routeType, "drafts", maxAttempts = 1, timeoutMillis = 8_000),
            ),
        )
        fleet.startBackEnd("bookings", StandInBackEnd("i-1"))
        fleet.store.put(
            "servers",
            "d-1",
            """{"service":"drafts","address":"${endless.address}","zone":"a","batchSlots":400,""" +
                """"state":"ready","born":1}""",
        )
        val node = fleet.startNode("node-1", memory = memory)
        awaitCondition { node.send("/checks/0").startsWith("HTTP/1.1 200") }
        return node
    }

    private fun success(request: ScriptedRequest) =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Signature: s\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"

    private fun chunk(bytes: Int) = "${bytes.toString(HEX_RADIX)}\r\n${"x".repeat(bytes)}\r\n"

    /** All that the node has not given up must fit in its memory together. */
    private fun expectBounded(givenUp: Int) {
        expectThat((RESPONSES - givenUp) * PER_RESPONSE.toLong()).isLessThan(CAPACITY)
    }

    @Test
    fun `bodies that are each within the bound leave room for other responses`() {
        expectBounded(countGivenUp("non_idempotent", ::success, chunk(8_000)))
    }

    @Test
    fun `events that are each within the bound leave room for other responses`() {
        expectBounded(countGivenUp("streaming", ::success, chunk(2_000)))
    }

    @Test
    fun `bodies of rejected requests are dropped as they arrive`() {
        val rejection = { request: ScriptedRequest ->
            "HTTP/1.1 503 Busy\r\nX-Attempt-Id: ${request.id}\r\nX-Not-Executed: 1\r\n" +
                "Transfer-Encoding: chunked\r\n\r\n"
        }
        countGivenUp("non_idempotent", rejection, chunk(8_000))
        expectThat(memory.refusals).isEqualTo(0)
    }

    private companion object {
        const val CAPACITY = 2_000_000L
        const val RESPONSES = 50

        /** Within the bounds of a body and of an event; all together are five times the capacity. */
        const val PER_RESPONSE = 200_000

        const val HEX_RADIX = 16
        const val CLIENT_DEADLINE_MILLIS = 3_500L
    }
}
