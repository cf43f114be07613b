package gypsumcart.standins

import gypsumcart.core.Address
import gypsumcart.core.directory.DirectoryEvent
import gypsumcart.http.Headers
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpRequest
import gypsumcart.http.HttpServer
import gypsumcart.http.MessageLimits
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.http.ResponseWriter
import gypsumcart.node.EdgeRuntime
import gypsumcart.platform.HttpPlatform
import gypsumcart.platform.StoreTiming
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Covers nodes that follow the tables of back ends and configurations through a relay, over sockets. */
class RelayedFeedsTest {
    private enum class Mode { SERVES, REFUSES, HANGS }

    private val store = StandInStore()
    private val runtime = EdgeRuntime()
    private val nodes = ArrayList<FollowingNode>()

    @AfterEach
    fun stop(): Unit = runtime.loop.close()

    private fun serve(handler: RequestHandler): Address {
        val port = ServerSocket(0).use { it.localPort }
        val limits = MessageLimits(100_000, 1_000_000, 5.seconds, 60.seconds)
        val server = HttpServer("server", "127.0.0.1", port, runtime.loop, runtime.scope, { limits }, handler)
        runBlocking(runtime.scope.coroutineContext) { server.start() }
        return Address("127.0.0.1", port)
    }

    /** Follows the tables with a store of its own, so that the store can turn away single nodes. */
    private inner class FollowingNode(relaysFeeds: Boolean) {
        @Volatile
        var storeMode = Mode.SERVES

        @Volatile
        var relayMode = Mode.SERVES
        val storeCalls = AtomicInteger()
        val events = CopyOnWriteArrayList<DirectoryEvent>()
        val configurations = CopyOnWriteArrayList<Long>()
        private val storeAddress =
            serve { request, response ->
                storeCalls.incrementAndGet()
                pass({ storeMode }, store, request, response)
            }
        val platform =
            HttpPlatform(
                "node",
                storeAddress,
                null,
                HttpClient(runtime.loop, 1.seconds),
                TIMING,
                relaysFeeds = relaysFeeds,
            )
        val address =
            serve { request, response ->
                val relay = platform.feedRelay?.handler
                if (relay != null) pass({ relayMode }, relay, request, response)
            }

        /** Handles a request unless [mode] says otherwise; one that waits hangs too when the mode changes. */
        private suspend fun pass(
            mode: () -> Mode,
            handler: RequestHandler,
            request: HttpRequest,
            response: ResponseWriter,
        ) = coroutineScope {
            val handling =
                launch(start = CoroutineStart.UNDISPATCHED) {
                    when (mode()) {
                        Mode.SERVES -> handler.handle(request, response)
                        Mode.REFUSES -> response.send(ResponseHead(503, Headers.EMPTY), ByteArray(0))
                        Mode.HANGS -> awaitCancellation()
                    }
                }
            while (handling.isActive) {
                delay(5)
                if (mode() == Mode.HANGS && !response.isStarted) handling.cancelAndJoin()
            }
            if (!response.isStarted) awaitCancellation()
        }

        fun start() {
            runtime.scope.launch { platform.followBackEnds(events::add) }
            runtime.scope.launch { platform.followConfigurations({ configurations += it.version.number }) {} }
        }

        fun follow(relay: FollowingNode?, vararg others: FollowingNode) {
            platform.feedRelay?.follow(relay?.address, others.map { it.address })
        }

        /** The back ends that the events list, and those of them that are draining. */
        val listed: Map<String, Boolean>
            get() {
                val listed = HashMap<String, Boolean>()
                for (event in events) {
                    when (event) {
                        is DirectoryEvent.Snapshot -> {
                            listed.clear()
                            event.backEnds.forEach { listed[it.id.text] = it.draining }
                        }

                        is DirectoryEvent.Changed -> {
                            event.listed.forEach { listed[it.id.text] = it.draining }
                            event.removed.forEach { listed -= it.text }
                        }

                        else -> Unit
                    }
                }
                return listed
            }
    }

    private fun startNodes(count: Int, relaysFeeds: Boolean = true) {
        putBackEnd("i-1", "ready")
        repeat(count) { nodes += FollowingNode(relaysFeeds).also { it.start() } }
        awaitCondition { nodes.all { "i-1" in it.listed } }
        nodes.forEach { node -> node.follow(nodes[0].takeIf { it != node }) }
        // By then the relay has been asked, and has read the store with short waits.
        Thread.sleep(4_500)
    }

    private fun putBackEnd(id: String, state: String) {
        store.put(
            "servers",
            id,
            """{"service":"s","address":"10.0.0.1:80","zone":"a","batchSlots":6,"state":"$state","born":1}""",
        )
    }

    /** Drains a back end and returns the time until all of [followers] list it as draining. */
    private fun timeToDrain(id: String, followers: List<FollowingNode> = nodes): Duration {
        val start = TimeSource.Monotonic.markNow()
        putBackEnd(id, "draining")
        awaitCondition { followers.all { it.listed[id] == true } }
        return start.elapsedNow()
    }

    private fun callsIn(span: Duration): Int {
        val before = nodes.sumOf { it.storeCalls.get() }
        Thread.sleep(span.inWholeMilliseconds)
        return nodes.sumOf { it.storeCalls.get() } - before
    }

    private val outages: List<DirectoryEvent>
        get() = nodes.flatMap { it.events }.filter { it is DirectoryEvent.RegistryUnavailable }

    @Test
    fun `nodes with a relay make calls in proportion to relays`() {
        startNodes(12, relaysFeeds = false)
        val before = callsIn(5.seconds)
        nodes.clear()
        startNodes(12)
        val after = callsIn(5.seconds)
        println("calls to the store of 12 nodes in 5 s: $before by themselves, $after with a relay")
        expectThat(after * 2).isLessThan(before)
        expectThat(timeToDrain("i-1")).isLessThan(1.seconds)
        expectThat(outages).isEmpty()
    }

    @Test
    fun `changes and removals reach all nodes through the relay`() {
        startNodes(3)
        putBackEnd("i-2", "ready")
        awaitCondition { nodes.all { "i-2" in it.listed } }
        store.remove("servers", "i-1")
        awaitCondition { nodes.all { "i-1" !in it.listed } }
        expectThat(nodes.map { it.listed.keys }.toSet()).isEqualTo(setOf(setOf("i-2")))
    }

    @Test
    fun `nodes whose relay freezes learn of a departure in time`() {
        startNodes(3)
        nodes[0].relayMode = Mode.HANGS
        expectThat(timeToDrain("i-1")).isLessThan(DRAIN)
        expectThat(outages).isEmpty()
    }

    @Test
    fun `nodes whose relay has lost the store learn of a departure in time`() {
        for (mode in listOf(Mode.HANGS, Mode.REFUSES)) {
            nodes.clear()
            startNodes(3)
            nodes[0].storeMode = mode
            expectThat(timeToDrain("i-1", nodes.drop(1))).isLessThan(DRAIN)
        }
    }

    @Test
    fun `a node that the store turns away goes on with its relay`() {
        startNodes(3)
        nodes[2].storeMode = Mode.REFUSES
        expectThat(timeToDrain("i-1")).isLessThan(1.seconds)
        expectThat(outages).isEmpty()
    }

    @Test
    fun `a relay that the store turns away goes on with another node that is served`() {
        startNodes(3)
        nodes[0].follow(null, nodes[1])
        nodes[0].storeMode = Mode.REFUSES
        Thread.sleep(5_000)
        expectThat(timeToDrain("i-1")).isLessThan(DRAIN)
        expectThat(nodes[0].listed).isEqualTo(mapOf("i-1" to true))
    }

    // Guards against a node that its relay declines for good, as its position is of an earlier era (CONFIG).
    @Test
    fun `a node that the store turns away follows its relay when the store has come back from a copy`() {
        startNodes(2)
        nodes[1].storeMode = Mode.REFUSES
        // By then a poll that the store served has ended.
        Thread.sleep(2_500)
        val copy = store.copy()
        repeat(5) { putBackEnd("lost-$it", "ready") }
        awaitCondition { nodes.all { "lost-4" in it.listed } }
        store.restore(copy)
        repeat(50) { putBackEnd("new-$it", "ready") }
        val start = TimeSource.Monotonic.markNow()
        awaitCondition { nodes.all { "new-49" in it.listed } }
        expectThat(start.elapsedNow()).isLessThan(DRAIN)
        expectThat(nodes.flatMap { it.listed.keys }.filter { "lost" in it }).isEmpty()
    }

    @Test
    fun `the tables are unavailable while the store is away for all, and available after its return`() {
        startNodes(3)
        store.fault = StoreFault.Unavailable
        awaitCondition { nodes.all { DirectoryEvent.RegistryUnavailable in it.events } }
        store.fault = StoreFault.None
        awaitCondition { nodes.all { DirectoryEvent.RegistryAvailable in it.events } }
        expectThat(timeToDrain("i-1")).isLessThan(DRAIN)
    }

    @Test
    fun `a relay that returns is followed again and brings no earlier state back`() {
        startNodes(3)
        nodes[0].relayMode = Mode.HANGS
        timeToDrain("i-1")
        store.remove("servers", "i-1")
        awaitCondition { nodes.all { "i-1" !in it.listed } }
        nodes[0].relayMode = Mode.SERVES
        val seen = nodes.map { it.events.size }
        Thread.sleep(5_000)
        val calls = nodes.drop(1).sumOf { it.storeCalls.get() }
        Thread.sleep(2_000)
        expectThat(nodes.drop(1).sumOf { it.storeCalls.get() } - calls).isLessThan(3)
        val later = nodes.zip(seen).flatMap { (node, count) -> node.events.drop(count) }
        expectThat(later.filterIsInstance<DirectoryEvent.Changed>().flatMap { it.listed }).isEmpty()
        expectThat(nodes.flatMap { it.listed.keys }).doesNotContain("i-1")
    }

    private companion object {
        val DRAIN = 2.seconds
        val TIMING =
            StoreTiming(longPollWait = 1.8.seconds, registryPause = 400.milliseconds, relayWait = 400.milliseconds)
    }
}
