package gypsumcart.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import gypsumcart.standins.BackEndFault
import gypsumcart.standins.ConfiguredRoute
import gypsumcart.standins.StandInBackEnd
import gypsumcart.standins.StandInClient
import gypsumcart.standins.StandInFleet

/** Serves a few requests on stand-ins and shows what the client sees. */
internal class DemoCommand : CliktCommand("demo") {
    override fun help(context: Context): String =
        "Runs a store, two back ends and two nodes on loopback. Exits with 1 if a request is not served."

    override fun run() {
        val fleet = StandInFleet()
        fleet.configure(version = 1, ROUTES)
        val backEnds = listOf(StandInBackEnd("i-1"), StandInBackEnd("i-2"))
        backEnds.forEach { fleet.startBackEnd("bookings", it) }
        val nodes = listOf("node-1", "node-2").map { fleet.startNode(it) }
        val client = StandInClient(nodes.first().settings.directory)
        client.awaitNodes(nodes.size)
        val failed = demonstrate(client, backEnds)
        if (failed > 0) throw ProgramResult(1)
    }

    /** Sends one request of each kind and returns how many were not served. */
    private fun demonstrate(client: StandInClient, backEnds: List<StandInBackEnd>): Int {
        val plain = client.send("/confirms/1", "r-1")
        echo("a confirmation: ${plain.statusLine} ${plain.body}")
        backEnds.forEach { it.injectFaults(BackEndFault.Decline) }
        val declined = client.send("/confirms/2", "r-2")
        val retryAfter = declined.headerOrNull("Retry-After")
        echo("one that both back ends decline: ${declined.statusLine} Retry-After $retryAfter")
        backEnds.first().injectFaults(BackEndFault.LoseResponse)
        val checks = List(2) { client.send("/checks/$it", "r-3-$it") }
        checks.forEach { echo("a check, one of whose answers is lost: ${it.statusLine} ${it.body}") }
        val stream = client.send("/stream/1", "r-4")
        echo("a stream: ${stream.statusLine} ${stream.body.lines().count { it.startsWith("data:") }} events")
        echo("the back ends ran ${backEnds.sumOf { it.executedRequests.size }} calls for ${EXPECTED.size} requests")
        val statuses = listOf(plain, declined, checks[0], checks[1], stream).map { it.status }
        return statuses.zip(EXPECTED).count { (status, expected) -> status != expected }
    }

    private companion object {
        val ROUTES =
            listOf(
                ConfiguredRoute("/checks/", "idempotent", "bookings"),
                ConfiguredRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 1),
                ConfiguredRoute("/stream/", "streaming", "bookings", resumable = true),
            )
        val EXPECTED = listOf(200, 503, 200, 200, 200)
    }
}
