package gypsumcart.standins

import gypsumcart.core.Address
import gypsumcart.core.addressOrNull
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpServer
import gypsumcart.http.MessageLimits
import gypsumcart.http.RequestHandler
import gypsumcart.node.Bounds
import gypsumcart.node.EdgeRuntime
import gypsumcart.node.Node
import gypsumcart.node.NodeSettings
import gypsumcart.platform.UsersPlatform
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

/** Runs a store, back ends and nodes on loopback, in one process. */
public class StandInFleet(private val runtime: EdgeRuntime = EdgeRuntime()) {
    /** The store. */
    public val store: StandInStore = StandInStore()
    private val storeAddress = listen("store", store)
    private val backEnds = LinkedHashMap<String, Address>()

    /** Writes the operator's configuration with version [version]. */
    public fun configure(version: Long, routes: List<StandInRoute>) {
        val services = routes.map { it.service }.distinct()
        store.put(
            "op",
            "config",
            """{"version":$version,"routes":[${routes.joinToString(",") { it.toJson() }}],""" +
                """"services":[${services.joinToString(",") { """{"name":"$it","healthPath":"/health"}""" }}],""" +
                """"tenants":[{"name":"families","apiKeys":["key-1"]}]}""",
        )
    }

    /** Starts a back end of [service] and registers it. */
    public fun startBackEnd(service: String, backEnd: StandInBackEnd) {
        backEnds[backEnd.id] = listen(backEnd.id, backEnd)
        register(service, backEnd, "ready")
    }

    /** Registers a back end in [state]. */
    public fun register(service: String, backEnd: StandInBackEnd, state: String) {
        val address = backEnds.getValue(backEnd.id)
        store.put(
            "servers",
            backEnd.id,
            """{"service":"$service","address":"$address","zone":"a","batchSlots":6,"state":"$state","born":1}""",
        )
    }

    /** Starts a node and returns it with the addresses that it serves. */
    public fun startNode(name: String): StandInNode {
        val settings =
            NodeSettings(
                node = name,
                zone = "a",
                clients = freeAddress(),
                readiness = freeAddress(),
                directory = freeAddress(),
                metrics = freeAddress(),
                store = storeAddress.toString(),
                bounds = BOUNDS,
            )
        val nodeRuntime = EdgeRuntime()
        val client = HttpClient(nodeRuntime.selector, 1.seconds)
        val platform = UsersPlatform(name, storeAddress, null, client)
        val node = Node(settings, platform, nodeRuntime, client)
        node.start()
        return StandInNode(node, settings)
    }

    private fun listen(name: String, handler: RequestHandler): Address {
        val address = checkNotNull(addressOrNull(freeAddress()))
        val limits = MessageLimits(MAX_BYTES, MAX_BYTES, 5.seconds, 60.seconds)
        val server =
            HttpServer(name, address.host, address.port, runtime.selector, runtime.scope, { limits }, handler)
        runBlocking(runtime.scope.coroutineContext) { server.start() }
        return address
    }

    private fun freeAddress(): String = "127.0.0.1:${ServerSocket(0).use { it.localPort }}"

    private companion object {
        const val MAX_BYTES = 1_000_000
        val BOUNDS =
            Bounds(
                graceSeconds = 8.0,
                leaseMillis = 3_000,
                clockJumpMillis = 300,
                retryRatio = 0.2,
                retryExtra = 50,
                retryWindowSeconds = 10.0,
                quotaWindowSeconds = 8.0,
                quotaOvershoot = 0.1,
                quotaSlack = 0.0,
                usageWindowSeconds = 5.0,
                usageLateSeconds = 10.0,
            )
    }
}

/** Holds a node that runs on stand-ins. */
public class StandInNode(public val node: Node, public val settings: NodeSettings)

/** Describes a route of the stand-in operator's configuration; its kind is written as the platform does. */
public data class StandInRoute(
    public val prefix: String,
    public val kind: String,
    public val service: String,
    public val maxAttempts: Int = 2,
    public val resumable: Boolean = false,
    public val timeoutMillis: Int = 2_000,
) {
    internal fun toJson(): String =
        """{"host":"bookings.example","prefix":"$prefix","routeType":"$kind","timeoutMs":$timeoutMillis,""" +
            """"targetLatencyMs":400,"service":"$service","maxAttempts":$maxAttempts,"resumable":$resumable}"""
}
