package gypsumcart.standins

import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

class EndToEndTest {
    private val fleet = StandInFleet()
    private val firstBackEnd = StandInBackEnd("i-1")
    private val secondBackEnd = StandInBackEnd("i-2")
    private lateinit var runningNode: RunningNode

    @BeforeEach
    fun start() {
        fleet.configure(
            version = 1,
            listOf(
                ConfiguredRoute("/checks/", "idempotent", "bookings"),
                ConfiguredRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 1),
                ConfiguredRoute("/stream/", "streaming", "bookings", resumable = true),
                ConfiguredRoute("/stream-once/", "streaming", "bookings", maxAttempts = 1),
            ),
        )
        fleet.startBackEnd("bookings", firstBackEnd)
        fleet.startBackEnd("bookings", secondBackEnd)
        runningNode = fleet.startNode("node-1")
        awaitCondition { get(runningNode.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun send(
        path: String,
        requestId: String = "r-1",
        extraHeaders: String = "",
        apiKey: String = "key-1",
    ): String = runningNode.send(path, requestId, extraHeaders, apiKey)

    private fun executedRequests(): List<ExecutedRequest> =
        firstBackEnd.executedRequests + secondBackEnd.executedRequests

    @Test
    fun `the addresses of a node are not among those that outgoing connections get`() {
        val settings = runningNode.settings
        val addresses = with(settings) { listOf(clients, readiness, directory, metrics, peers, store) }
        val ports = addresses.map { it.substringAfter(':').toInt() }
        expectThat(ports.filter { it >= 32_768 }).isEmpty()
        expectThat(ports.distinct()).hasSize(addresses.size)
    }

    @Test
    fun `a request runs once and the client receives the back end's response`() {
        val response = send("/confirms/1?seat=2")
        expectThat(response).startsWith("HTTP/1.1 200").contains("X-Response-Signature: signed-").endsWith(":hi")
        expectThat(executedRequests()).hasSize(1)
        expectThat(executedRequests().single().target).isEqualTo("/confirms/1?seat=2")
    }

    @Test
    fun `a back end receives the team but neither the API key nor headers that only the system sets`() {
        send("/confirms/1", extraHeaders = "X-Tenant: other\r\nX-Hold: 5\r\nX-Pin-Ms: 9\r\n")
        val executed = executedRequests().single()
        expectThat(executed.team).isEqualTo("families")
        expectThat(executed.headers["Api-Key"]).isNull()
        expectThat(executed.headers["X-Hold"]).isNull()
        expectThat(executed.headers["X-Pin-Ms"]).isNull()
    }

    @Test
    fun `requests with an unknown key or route are refused and not forwarded`() {
        expectThat(send("/confirms/1", apiKey = "other")).startsWith("HTTP/1.1 401")
        expectThat(send("/nowhere/1")).startsWith("HTTP/1.1 404")
        expectThat(executedRequests()).isEmpty()
    }

    @Test
    fun `an idempotent request whose response is lost is retried on another back end`() {
        firstBackEnd.injectFaults(BackEndFault.LoseResponse)
        secondBackEnd.injectFaults(BackEndFault.LoseResponse)
        val response = send("/checks/1")
        expectThat(response).startsWith("HTTP/1.1 502")
        expectThat(executedRequests()).hasSize(2)
    }

    @Test
    fun `a non-idempotent request whose response is lost is not retried`() {
        firstBackEnd.injectFaults(BackEndFault.LoseResponse)
        secondBackEnd.injectFaults(BackEndFault.LoseResponse)
        expectThat(send("/confirms/1")).startsWith("HTTP/1.1 502")
        expectThat(executedRequests()).hasSize(1)
    }

    @Test
    fun `a request that all back ends decline gets status 503 with Retry-After`() {
        firstBackEnd.injectFaults(BackEndFault.Decline)
        secondBackEnd.injectFaults(BackEndFault.Decline)
        expectThat(send("/confirms/1")).startsWith("HTTP/1.1 503").contains("Retry-After: 0.")
        expectThat(executedRequests()).isEmpty()
    }

    @Test
    fun `a response with the id of another request is not forwarded`() {
        firstBackEnd.injectFaults(BackEndFault.WrongRequestId)
        secondBackEnd.injectFaults(BackEndFault.WrongRequestId)
        expectThat(send("/confirms/1")).startsWith("HTTP/1.1 502")
    }

    @Test
    fun `a truncated stream is resumed on another back end without a gap`() {
        firstBackEnd.injectFaults(BackEndFault.TruncateStream(2))
        secondBackEnd.injectFaults(BackEndFault.TruncateStream(2))
        val response = send("/stream/1")
        val ids = Regex("id: (\\d+)\ndata").findAll(response).map { it.groupValues[1].toInt() }.toList()
        expectThat(ids).isEqualTo(listOf(1, 2, 3, 4).take(ids.size))
        expectThat(executedRequests()).hasSize(2)
    }

    @Test
    fun `a resumed stream delivers each event once and ends with the last chunk`() {
        firstBackEnd.injectFaults(BackEndFault.TruncateStream(3))
        val responses = List(2) { send("/stream/$it", requestId = "r-$it") }
        for (response in responses) {
            val ids = Regex("id: (\\d+)\ndata").findAll(response).map { it.groupValues[1].toInt() }.toList()
            expectThat(ids).isEqualTo(listOf(1, 2, 3, 4, 5))
            expectThat(response).endsWith("0\r\n\r\n")
        }
    }

    @Test
    fun `a truncated stream that can't be resumed ends without the last chunk`() {
        firstBackEnd.injectFaults(BackEndFault.TruncateStream(2))
        secondBackEnd.injectFaults(BackEndFault.TruncateStream(2))
        val response = send("/stream-once/1")
        expectThat(response).startsWith("HTTP/1.1 200")
        expectThat(response.endsWith("0\r\n\r\n")).isEqualTo(false)
        expectThat(executedRequests()).hasSize(1)
    }

    @Test
    fun `a request fails at the client's deadline if the back end never responds`() {
        firstBackEnd.injectFaults(BackEndFault.Hang)
        secondBackEnd.injectFaults(BackEndFault.Hang)
        val start = System.nanoTime()
        expectThat(send("/confirms/1")).startsWith("HTTP/1.1 50")
        val millis = (System.nanoTime() - start) / 1_000_000
        expectThat(millis in 1_300..2_000).isTrue()
    }

    @Test
    fun `the call to the back end is cancelled when the client disconnects`() {
        firstBackEnd.injectFaults(BackEndFault.Hang)
        secondBackEnd.injectFaults(BackEndFault.Hang)
        val address = runningNode.settings.clients
        val socket = Socket(address.substringBefore(':'), address.substringAfter(':').toInt())
        val request =
            "GET /checks/1 HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: r-9\r\nApi-Key: key-1\r\n" +
                "X-Deadline-Ms: 1500\r\n\r\n"
        socket.getOutputStream().write(request.toByteArray())
        awaitCondition { executedRequests().isNotEmpty() }
        socket.close()
        val disconnectedAt = System.nanoTime()
        awaitCondition {
            firstBackEnd.cancelledRequestIds.isNotEmpty() || secondBackEnd.cancelledRequestIds.isNotEmpty()
        }
        expectThat((System.nanoTime() - disconnectedAt) / 1_000_000 < 500).isTrue()
    }

    @Test
    fun `a draining back end receives no new requests`() {
        fleet.register("bookings", firstBackEnd, "draining")
        awaitCondition { List(4) { send("/checks/$it") }.all { "i-2:" in it } }
        val countBefore = firstBackEnd.executedRequests.size
        repeat(6) { send("/checks/$it") }
        expectThat(firstBackEnd.executedRequests).hasSize(countBefore)
    }

    @Test
    fun `the last configuration and back ends stay in use while the store does not respond`() {
        fleet.store.fault = StoreFault.Hang
        Thread.sleep(2_500)
        expectThat(send("/checks/1")).startsWith("HTTP/1.1 200")
        expectThat(
            get(runningNode.settings.directory, "/resolve?name=bookings.example&zone=a"),
        ).contains(runningNode.settings.clients)
        fleet.store.fault = StoreFault.None
        fleet.configure(version = 2, listOf(ConfiguredRoute("/new/", "idempotent", "bookings")))
        awaitCondition { send("/new/1").startsWith("HTTP/1.1 200") }
        expectThat(send("/checks/1")).startsWith("HTTP/1.1 404")
    }

    @Test
    fun `a new configuration is read after the store discards its change history`() {
        fleet.store.fault = StoreFault.Unavailable
        fleet.configure(version = 2, listOf(ConfiguredRoute("/new/", "idempotent", "bookings")))
        fleet.store.discardHistory()
        fleet.store.fault = StoreFault.None
        awaitCondition { send("/new/1").startsWith("HTTP/1.1 200") }
    }

    @Test
    fun `an invalid configuration or registry row changes nothing`() {
        fleet.store.put("op", "config", """{"version":9,"routes":[{"host":"x"}]}""")
        fleet.store.put("servers", "i-3", "not readable")
        Thread.sleep(500)
        expectThat(send("/checks/1")).startsWith("HTTP/1.1 200")
    }

    // Guards against an entry of another writer that ends the following of the registry on all nodes (DRAIN).
    @Test
    fun `a registry row that is cut off inside a number hides no later change, nor stops a node that starts`() {
        val cutOff = """{"service":"bookings","address":"127.0.0.1:1","zone":"a","batchSlots":"6"""
        fleet.store.put("servers", "i-3", cutOff)
        fleet.register("bookings", firstBackEnd, "draining")
        awaitCondition { List(4) { send("/checks/$it") }.all { "i-2:" in it } }
        val lateNode = fleet.startNode("node-2")
        awaitCondition { get(lateNode.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    // Guards against an entry whose address fails in an unexpected way, which cut requests without an answer (LOST).
    @Test
    fun `registry rows with odd addresses leave the other back ends in use`() {
        for ((i, address) in listOf("back-end.invalid:80", "127.0.0.1:70000", "127.0.0.1:-1").withIndex()) {
            val entry = """{"service":"bookings","address":"$address","zone":"a","batchSlots":6,"state":"ready"}"""
            fleet.store.put("servers", "i-1$i", entry)
        }
        Thread.sleep(300)
        val statuses = List(12) { send("/checks/$it", requestId = "r-$it").take(12) }
        expectThat(statuses.distinct()).isEqualTo(listOf("HTTP/1.1 200"))
    }

    @Test
    fun `a stopping node is neither ready nor listed in the directory, but still serves requests`() {
        val otherNode = fleet.startNode("node-2")
        awaitCondition { otherNode.settings.clients in get(runningNode.settings.directory, "/resolve?name=x") }
        runningNode.node.stop()
        awaitCondition { runningNode.settings.clients !in get(otherNode.settings.directory, "/resolve?name=x") }
        expectThat(get(runningNode.settings.readiness, "/readiness")).startsWith("HTTP/1.1 503")
        expectThat(send("/checks/1")).startsWith("HTTP/1.1 200")
    }

    @Test
    fun `a stopping node finally refuses requests without forwarding them, and then terminates`() {
        val waiter = thread { runningNode.node.awaitStopped() }
        runningNode.node.stop()
        awaitCondition { send("/checks/1").startsWith("HTTP/1.1 503") }
        val countBefore = executedRequests().size
        expectThat(send("/checks/2")).startsWith("HTTP/1.1 503").contains("Retry-After")
        expectThat(executedRequests()).hasSize(countBefore)
        waiter.join(1_000)
        expectThat(waiter.isAlive).isEqualTo(false)
    }

    @Test
    fun `a stopping node under load refuses new requests while it can still complete those in flight`() {
        firstBackEnd.injectFaults(*Array(40) { BackEndFault.Hang })
        secondBackEnd.injectFaults(*Array(40) { BackEndFault.Hang })
        val busy = AtomicBoolean(true)
        val clients = List(3) { i -> thread { while (busy.get()) send("/checks/$i", requestId = "busy-$i") } }
        runningNode.node.stop()
        val stoppedAt = System.nanoTime()
        awaitCondition { send("/checks/1", requestId = "late").startsWith("HTTP/1.1 503") }
        val millis = (System.nanoTime() - stoppedAt) / 1_000_000
        busy.set(false)
        clients.forEach { it.join(5_000) }
        expectThat(millis in 2_000..4_200).isTrue()
    }

    @Test
    fun `another node acquires the lease when its holder stops`() {
        awaitCondition { fleet.store.getOrNull("fleet", "lease")?.contains("node-1") ?: false }
        fleet.startNode("node-2")
        runningNode.node.stop()
        awaitCondition { fleet.store.getOrNull("fleet", "lease")?.contains("node-2") ?: false }
    }

    @Test
    fun `a table is read again from its first page after a later page failed`() {
        fleet.store.pageSize = 1
        fleet.store.fault = StoreFault.LaterPagesUnavailable
        val lateNode = fleet.startNode("node-2")
        Thread.sleep(1_000)
        fleet.store.fault = StoreFault.None
        awaitCondition { get(lateNode.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    /** Starts a back end that responds to each request with [events], without framing, and closes the connection. */
    private fun startUnframedBackEnd(events: String): ServerSocket {
        val server = ServerSocket(0)
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                socket.use {
                    val request = generateSequence { it.getInputStream().bufferedReader().readLine() }.first()
                    check(request.startsWith("POST"))
                    it.getOutputStream().write(
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r-1\r\nX-Response-Signature: s\r\n\r\n$events".toByteArray(),
                    )
                    it.shutdownOutput()
                    it.getInputStream().readAllBytes()
                }
            }
        }
        fleet.configure(version = 2, listOf(ConfiguredRoute("/unframed/", "streaming", "unframed", maxAttempts = 1)))
        val address = "127.0.0.1:${server.localPort}"
        fleet.store.put(
            "servers",
            "u-1",
            """{"service":"unframed","address":"$address","zone":"a","batchSlots":6,"state":"ready","born":1}""",
        )
        awaitCondition { !send("/unframed/1").startsWith("HTTP/1.1 404") }
        awaitCondition { !send("/unframed/1").startsWith("HTTP/1.1 503") }
        return server
    }

    @Test
    fun `a stream without framing that ends after an event is complete`() {
        startUnframedBackEnd("id: 1\ndata: 1\n\n").use {
            expectThat(send("/unframed/1")).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n")
        }
    }

    // Guards against taking the crash of a back end for the end of its response, where no framing tells them apart.
    @Test
    fun `a stream without framing that ends inside an event has been cut`() {
        startUnframedBackEnd("id: 1\ndata: 1\n\nid: 2\nda").use {
            val response = send("/unframed/1")
            expectThat(response).startsWith("HTTP/1.1 200")
            expectThat(response.endsWith("0\r\n\r\n")).isEqualTo(false)
        }
    }

    @Test
    fun `a stream without framing that ends before its first event counts as cut`() {
        startUnframedBackEnd("").use { expectThat(send("/unframed/1")).startsWith("HTTP/1.1 502") }
        val metrics = get(runningNode.settings.metrics, "/metrics")
        expectThat(metrics).contains("gypsumcart_calls_seconds_count{result=\"cut\",service=\"unframed\"}")
    }

    // Guards against requests with one part of a prompt crashing back end after back end (BUDGET in the tainted day).
    @Test
    fun `a prompt part that was at three crashes is refused with the time of the next trial`() {
        val prompt = "X-Token-Counts: 30,5\r\nX-Prompt-Prefix: aa:10,bad:10,own:10\r\n"
        repeat(3) { round ->
            firstBackEnd.injectFaults(BackEndFault.LoseResponse)
            secondBackEnd.injectFaults(BackEndFault.LoseResponse)
            expectThat(send("/stream-once/1", "r-$round", prompt)).startsWith("HTTP/1.1 502")
            listOf(firstBackEnd, secondBackEnd).forEach { fleet.register("bookings", it, "ready", born = round + 2) }
            Thread.sleep(800)
        }
        val executed = executedRequests().size
        expectThat(send("/stream-once/1", "r-refused", prompt))
            .startsWith("HTTP/1.1 503")
            .contains(Regex("Retry-After: 2\\d\\."))
        expectThat(executedRequests()).hasSize(executed)
        expectThat(get(runningNode.settings.metrics, "/metrics")).contains("gypsumcart_quarantined_parts 2.0")
    }

    // Guards against nodes that exceed the stated limit of a back end together (LIMIT in the capped day).
    @Test
    fun `a back end that states a limit gets no more, and other nodes hear of it`() {
        val otherNode = fleet.startNode("node-2")
        awaitCondition { get(otherNode.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
        firstBackEnd.requestLimit = "2"
        repeat(40) {
            expectThat(send("/checks/$it", "r-$it")).startsWith("HTTP/1.1 200")
            Thread.sleep(50)
        }
        expectThat(firstBackEnd.executedRequests.size).isLessThanOrEqualTo(8)
        awaitCondition { "gypsumcart_limited_back_ends 1.0" in get(otherNode.settings.metrics, "/metrics") }
        firstBackEnd.requestLimit = null
        awaitCondition {
            send("/checks/1", "r-again")
            "gypsumcart_limited_back_ends 0.0" in get(otherNode.settings.metrics, "/metrics")
        }
    }

    @Test
    fun `the metrics of a node are served as text`() {
        send("/confirms/1")
        send("/nowhere/", requestId = "r-2")
        val metrics = get(runningNode.settings.metrics, "/metrics")
        expectThat(metrics)
            .startsWith("HTTP/1.1 200")
            .contains("gypsumcart_calls_seconds_count{result=\"answered_200\",service=\"bookings\"} 1")
            .contains("gypsumcart_requests_seconds_count{outcome=\"not_run:no_route\"} 1")
            .contains("gypsumcart_back_ends{state=\"staying\"} 2.0")
            .contains("gypsumcart_ready 1.0")
    }
}
