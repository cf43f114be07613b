package gypsumcart.standins

import gypsumcart.core.Address
import gypsumcart.core.Features
import gypsumcart.core.addressOrNull
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpServer
import gypsumcart.http.MemoryBudget
import gypsumcart.http.MessageLimits
import gypsumcart.http.RequestHandler
import gypsumcart.node.Bounds
import gypsumcart.node.EdgeRuntime
import gypsumcart.node.Node
import gypsumcart.node.NodeSettings
import gypsumcart.platform.HttpPlatform
import kotlinx.coroutines.runBlocking
import java.net.BindException
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

/** Runs nodes on the loopback interface in one process, with test doubles for the store and the back ends. */
public class StandInFleet(private val runtime: EdgeRuntime = EdgeRuntime()) {
    /** The store of all nodes. */
    public val store: StandInStore = StandInStore()

    /** The address at which [store] is served. */
    public val storeAddress: Address = startServer("store", store)
    private val backEndAddresses = LinkedHashMap<String, Address>()

    /** Writes a configuration with [routes] and [version] to the store, as the operator does. */
    public fun configure(version: Long, routes: List<ConfiguredRoute>) {
        val services = routes.map { it.service }.distinct()
        store.put(
            "op",
            "config",
            """{"version":$version,"routes":[${routes.joinToString(",") { it.toJson() }}],""" +
                """"services":[${services.joinToString(",") { """{"name":"$it","healthPath":"/health"}""" }}],""" +
                """"tenants":[{"name":"families","apiKeys":["key-1"]}]}""",
        )
    }

    /** Starts [backEnd] as a replica of [service] and registers it as ready. */
    public fun startBackEnd(service: String, backEnd: StandInBackEnd, version: String = "v1") {
        backEndAddresses[backEnd.id] = startServer(backEnd.id, backEnd)
        register(service, backEnd, "ready", version = version)
    }

    /** Returns the address of the started back end with [id]. */
    public fun addressOf(id: String): Address = backEndAddresses.getValue(id)

    /** Orders a roll-out, as the operator does. */
    public fun orderRollout(service: String, target: String, seconds: Int) {
        store.put("op", "rollout/$service", """{"service":"$service","to":"$target","durationS":$seconds}""")
    }

    /** Returns the state of the roll-out as the operator reads it, or null if there is none. */
    public fun rolloutStateOrNull(service: String): String? =
        store
            .getOrNull("status", "rollout/$service")
            ?.substringAfter("\"state\":\"")
            ?.substringBefore('"')

    /**
     * Writes the registry row of a started back end with [state], `ready` or `draining`.
     *
     * Another value of [born] stands for another start of the back end.
     */
    public fun register(
        service: String,
        backEnd: StandInBackEnd,
        state: String,
        born: Int = 1,
        version: String = "v1",
    ) {
        val address = backEndAddresses.getValue(backEnd.id)
        store.put(
            "servers",
            backEnd.id,
            """{"service":"$service","address":"$address","zone":"a","batchSlots":6,"state":"$state","born":$born,""" +
                """"version":"$version"}""",
        )
    }

    /**
     * Starts a node that listens on free ports, and returns it with its settings.
     *
     * @param graceSeconds the time within which the node stops
     * @param memory what its messages may hold
     * @param features what is switched on
     * @param storeAddress the address at which the node reaches the store
     */
    public fun startNode(
        name: String,
        graceSeconds: Double = BOUNDS.graceSeconds,
        memory: MemoryBudget = MemoryBudget.ofHeap(),
        features: Features = Features.NONE,
        storeAddress: Address = this.storeAddress,
    ): RunningNode {
        val settings =
            NodeSettings(
                node = name,
                zone = "a",
                clients = freeAddress(),
                readiness = freeAddress(),
                directory = freeAddress(),
                metrics = freeAddress(),
                peers = freeAddress(),
                store = storeAddress.toString(),
                bounds = BOUNDS.copy(graceSeconds = graceSeconds),
            )
        val nodeRuntime = EdgeRuntime(memory)
        val client = HttpClient(nodeRuntime.loop, 1.seconds)
        val platform = HttpPlatform(name, storeAddress, null, client)
        val node = Node(settings, platform, nodeRuntime, client, features)
        node.start()
        return RunningNode(node, settings, nodeRuntime)
    }

    /** Serves [handler] on a free address and returns that. */
    public fun startServer(name: String, handler: RequestHandler): Address {
        val address = checkNotNull(addressOrNull(freeAddress()))
        val limits = MessageLimits(MAX_BYTES, MAX_BYTES, 5.seconds, 60.seconds)
        val server =
            HttpServer(name, address.host, address.port, runtime.loop, runtime.scope, { limits }, handler)
        runBlocking(runtime.scope.coroutineContext) { server.start() }
        return address
    }

    /** Returns an address that nothing listens on and that no outgoing connection can take before it is used. */
    public fun freeAddress(): String {
        val port = generateSequence { ListeningPorts.next() }.take(ListeningPorts.COUNT).first(::isFree)
        return "127.0.0.1:$port"
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).close()
            true
        } catch (_: BindException) {
            false
        }

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

/** Gives out ports of blocks that no other process gives out while this one runs. */
private object ListeningPorts {
    private const val BLOCK_SIZE = 500

    /** The number of ports in a block that are given out, all but the first one. */
    const val COUNT = BLOCK_SIZE - 1

    /** Below the ports that the system gives to outgoing connections. */
    private val ALL = 12_000..31_999

    /** Listen on the first port of each block that this process has taken, which keeps other processes from it. */
    private val guards = ArrayList<ServerSocket>()
    private var given = COUNT

    /** Returns the next port; a process that has given out all ports of a block takes another one. */
    @Synchronized
    fun next(): Int {
        if (given == COUNT) {
            guards += (ALL step BLOCK_SIZE).shuffled().firstNotNullOf(::listenOrNull)
            given = 0
        }
        return guards.last().localPort + ++given
    }

    private fun listenOrNull(port: Int): ServerSocket? =
        try {
            ServerSocket(port)
        } catch (_: BindException) {
            null
        }
}

/** Represents a started node; [settings] has the addresses that it listens on. */
public class RunningNode(
    public val node: Node,
    public val settings: NodeSettings,
    private val runtime: EdgeRuntime,
) {
    /** Ends all input and output of the node at once, as a loss of power does; its connections fall silent. */
    public fun kill(): Unit = runtime.loop.close()
}

/**
 * Describes a route of the operator's configuration.
 *
 * @property routeType `idempotent`, `non_idempotent` or `streaming`
 */
public data class ConfiguredRoute(
    public val prefix: String,
    public val routeType: String,
    public val service: String,
    public val maxAttempts: Int = 2,
    public val resumable: Boolean = false,
    public val timeoutMillis: Int = 2_000,
) {
    internal fun toJson(): String =
        """{"host":"bookings.example","prefix":"$prefix","routeType":"$routeType","timeoutMs":$timeoutMillis,""" +
            """"targetLatencyMs":400,"service":"$service","maxAttempts":$maxAttempts,"resumable":$resumable}"""
}
