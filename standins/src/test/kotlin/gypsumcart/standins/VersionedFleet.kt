package gypsumcart.standins

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Runs nodes before back ends of several software versions.
 *
 * Each back end writes its version into the data of its events, so that the client sees which versions wrote a stream.
 *
 * @param nodeCount the number of nodes that [start] starts
 * @param backEndCount the number of back ends that it starts, evenly of all versions
 * @param eventCount the number of events of each stream
 */
internal class VersionedFleet(
    private val nodeCount: Int,
    private val backEndCount: Int,
    private val eventCount: Int,
    private val service: String,
    private val random: Random,
) : AutoCloseable {
    private val byVersion = HashMap<String, List<StandInBackEnd>>()
    private val fleet = StandInFleet()
    val store: StandInStore get() = fleet.store
    var nodes = emptyList<RunningNode>()
        private set
    val versions: Set<String> get() = byVersion.keys
    val backEnds: List<StandInBackEnd> get() = byVersion.values.flatten()

    /** The ids of the requests that back ends ran. */
    val executedIds: Set<String> get() = backEnds.flatMap { it.executedRequests }.map { it.requestId }.toSet()

    override fun close(): Unit = nodes.forEach { it.kill() }

    fun start(versions: List<String>, eventInterval: Duration, maxAttempts: Int = 2) {
        fleet.configure(
            version = 1,
            listOf(ConfiguredRoute("/stream/", "streaming", service, maxAttempts, resumable = true, 8_000)),
        )
        versions.forEach { startBackEnds(it, backEndCount / versions.size, eventInterval) }
        startNodes()
    }

    fun startBackEnds(version: String, count: Int, eventInterval: Duration) {
        byVersion[version] = List(count) { StandInBackEnd("$version-$it", eventCount, eventInterval, version) }
        byVersion.getValue(version).forEach { fleet.startBackEnd(service, it, version) }
    }

    private fun startNodes() {
        nodes = List(nodeCount) { fleet.startNode("node-$it") }
        for (node in nodes) awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    /** Waits until each node knows of all others. */
    fun awaitAllKnown(): Unit = nodes.forEach { StandInClient(it.settings.directory).awaitNodes(nodeCount) }

    /** Ends all nodes at once, lets [meanwhile] happen, and starts them again with nothing but the store's contents. */
    fun restartNodes(meanwhile: () -> Unit = {}) {
        nodes.forEach { it.kill() }
        meanwhile()
        startNodes()
    }

    /** Has all back ends of [version] leave the registry. */
    fun removeBackEnds(version: String): Unit = byVersion.getValue(version).forEach { store.remove("servers", it.id) }

    fun newId(): String =
        random
            .nextLong()
            .toULong()
            .toString(16)
            .padStart(16, '0')
}
