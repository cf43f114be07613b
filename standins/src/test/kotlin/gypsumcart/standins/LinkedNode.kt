package gypsumcart.standins

import com.github.michaelbull.result.getOrElse
import gypsumcart.core.Address
import gypsumcart.core.addressOrNull
import gypsumcart.http.Endpoint
import gypsumcart.http.Headers
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpRequest
import gypsumcart.http.OutgoingRequest
import gypsumcart.http.ResponseHead
import gypsumcart.http.ResponseWriter
import gypsumcart.http.SocketLoop
import gypsumcart.http.readAtMost
import java.util.Base64
import kotlin.time.Duration.Companion.seconds

/** A node that reaches each of [backEnds] through a link of its own, which the registry names to it. */
internal class LinkedNode(
    name: String,
    private val fleet: StandInFleet,
    backEnds: List<StandInBackEnd>,
    graceSeconds: Double = 8.0,
) : AutoCloseable {
    private val loop = SocketLoop("links")
    private val client = HttpClient(loop, 1.seconds)
    val links: Map<String, CuttableLink> =
        backEnds.associate { backEnd ->
            val port = checkNotNull(addressOrNull(fleet.freeAddress())).port
            backEnd.id to CuttableLink(port, fleet.addressOf(backEnd.id).port)
        }
    private val addresses: Map<Address, Address> =
        backEnds.associate { fleet.addressOf(it.id) to Address("127.0.0.1", links.getValue(it.id).port) }
    val running: RunningNode =
        fleet.startNode(name, graceSeconds, storeAddress = fleet.startServer("store-of-$name", ::handle))

    fun cut(mode: LinkMode): Unit = links.values.forEach { it.switchTo(mode) }

    fun mend(): Unit = cut(LinkMode.SERVES)

    override fun close() {
        links.values.forEach { it.close() }
        loop.close()
    }

    private suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        val headers = Headers(request.headers.fields.filter { it.name.lowercase() !in FRAMING })
        val outgoing = OutgoingRequest(request.method, request.target, headers, request.body)
        val store = Endpoint(fleet.storeAddress.host, fleet.storeAddress.port)
        val (status, body) =
            client
                .exchange(store, outgoing) { (head, body) -> head.status to body.readAtMost(MAX_BYTES) }
                .getOrElse { 503 to null }
        response.send(ResponseHead(status, Headers.EMPTY), rewrite(body?.decodeToString().orEmpty()).toByteArray())
    }

    /** Replaces the addresses of back ends in the rows of a response of the store. */
    private fun rewrite(body: String): String =
        VALUE.replace(body) { match ->
            val row = Base64.getDecoder().decode(match.groupValues[1]).decodeToString()
            val seen = addresses.entries.fold(row) { text, (from, to) -> text.replace("\"$from\"", "\"$to\"") }
            "\"value\":\"${Base64.getEncoder().encodeToString(seen.toByteArray())}\""
        }

    private companion object {
        const val MAX_BYTES = 1_000_000
        val VALUE = Regex("\"value\":\"([^\"]+)\"")
        val FRAMING = setOf("host", "content-length", "connection")
    }
}
