package gypsumcart.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import gypsumcart.standins.BackEndFault
import gypsumcart.standins.ConfiguredRoute
import gypsumcart.standins.StandInBackEnd
import gypsumcart.standins.StandInClient
import gypsumcart.standins.StandInFleet

/** Sends a few requests through nodes to simulated back ends and prints what the client receives. */
internal class DemoCommand : CliktCommand("demo") {
    override fun help(context: Context): String =
        "Runs a simulated store, two simulated back ends and two nodes on loopback, and sends requests. " +
            "Exits with 1 if a response has an unexpected status."

    override fun run() {
        val fleet = StandInFleet()
        fleet.configure(version = 1, ROUTES)
        val backEnds = listOf(StandInBackEnd("i-1"), StandInBackEnd("i-2"))
        backEnds.forEach { fleet.startBackEnd("bookings", it) }
        val nodes = listOf("node-1", "node-2").map { fleet.startNode(it) }
        val client = StandInClient(nodes.first().settings.directory)
        client.awaitNodes(nodes.size)
        val unexpected = sendRequests(client, backEnds)
        if (unexpected > 0) throw ProgramResult(1)
    }

    /** Sends requests of each route type and returns the number of responses with an unexpected status. */
    private fun sendRequests(client: StandInClient, backEnds: List<StandInBackEnd>): Int {
        val confirmation = client.send("/confirms/1", "r-1")
        echo("a non-idempotent request: ${confirmation.statusLine} ${confirmation.body}")
        backEnds.forEach { it.injectFaults(BackEndFault.Decline) }
        val declined = client.send("/confirms/2", "r-2")
        val retryAfter = declined.headerOrNull("Retry-After")
        echo("a request that both back ends decline: ${declined.statusLine} Retry-After $retryAfter")
        backEnds.first().injectFaults(BackEndFault.LoseResponse)
        val checks = List(2) { client.send("/checks/$it", "r-3-$it") }
        checks.forEach { echo("an idempotent request, retried if its response is lost: ${it.statusLine} ${it.body}") }
        val stream = client.send("/stream/1", "r-4")
        echo("a streaming request: ${stream.statusLine} ${stream.body.lines().count { it.startsWith("data:") }} events")
        val calls = backEnds.sumOf { it.executedRequests.size }
        echo("the back ends ran $calls calls for ${EXPECTED_STATUSES.size} requests")
        val statuses = listOf(confirmation, declined, checks[0], checks[1], stream).map { it.status }
        return statuses.zip(EXPECTED_STATUSES).count { (status, expected) -> status != expected }
    }

    private companion object {
        val ROUTES =
            listOf(
                ConfiguredRoute("/checks/", "idempotent", "bookings"),
                ConfiguredRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 1),
                ConfiguredRoute("/stream/", "streaming", "bookings", resumable = true),
            )
        val EXPECTED_STATUSES = listOf(200, 503, 200, 200, 200)
    }
}
