package gypsumcart.standins

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against usage counts that a node takes with it when it stops as asked. */
class LastCountsTest {
    private val fleet = StandInFleet()

    private fun storedCount(): Int =
        fleet.store
            .keys("fleet")
            .filter { it.startsWith("node/") }
            .mapNotNull { fleet.store.getOrNull("fleet", it) }
            .flatMap { row ->
                Json
                    .parseToJsonElement(row)
                    .jsonObject
                    .getValue("usage")
                    .jsonObject.values
            }.sumOf { counts -> counts.jsonObject.values.sumOf { it.jsonPrimitive.int } }

    @Test
    fun `a node that stops has shared the counts of its last requests`() {
        fleet.configure(1, listOf(ConfiguredRoute("/quick/", "idempotent", "bookings", maxAttempts = 1)))
        fleet.startBackEnd("bookings", StandInBackEnd("i-1"))
        val node = fleet.startNode("node-1")
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
        awaitCondition { "clock" in fleet.store.keys("fleet") }
        // By then the node has synchronized its clock, without which it counts nothing.
        Thread.sleep(2_500)
        var served = 0
        node.node.stop()
        // The last of these is served shortly before the process ends.
        while (node.send("/quick/$served", requestId = "r-$served").startsWith("HTTP/1.1 200")) served++
        node.node.awaitStopped()
        expectThat(served).isGreaterThan(10)
        expectThat(storedCount()).isEqualTo(served)
    }
}
