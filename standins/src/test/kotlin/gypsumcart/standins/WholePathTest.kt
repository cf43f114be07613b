package gypsumcart.standins

import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

class WholePathTest {
    private val fleet = StandInFleet()
    private val first = StandInBackEnd("i-1")
    private val second = StandInBackEnd("i-2")
    private lateinit var node: StandInNode

    @BeforeEach
    fun start() {
        fleet.configure(
            version = 1,
            listOf(
                StandInRoute("/checks/", "idempotent", "bookings"),
                StandInRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 1),
                StandInRoute("/stream/", "streaming", "bookings", resumable = true),
                StandInRoute("/stream-once/", "streaming", "bookings", maxAttempts = 1),
            ),
        )
        fleet.startBackEnd("bookings", first)
        fleet.startBackEnd("bookings", second)
        node = fleet.startNode("node-1")
        awaitTrue { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun exchange(address: String, request: String): String =
        Socket(address.substringBefore(':'), address.substringAfter(':').toInt()).use { socket ->
            socket.soTimeout = 4_000
            socket.getOutputStream().write(request.toByteArray())
            socket.getOutputStream().flush()
            try {
                socket.getInputStream().readAllBytes().decodeToString()
            } catch (_: SocketTimeoutException) {
                "no answer"
            }
        }

    private fun get(address: String, target: String): String =
        exchange(address, "GET $target HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")

    private fun call(path: String, id: String = "r-1", fields: String = "", key: String = "key-1"): String =
        exchange(
            node.settings.clients,
            "POST $path HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $id\r\nX-Deadline-Ms: 1500\r\n" +
                "Api-Key: $key\r\n${fields}Content-Length: 2\r\nConnection: close\r\n\r\nhi",
        )

    private fun runs(): List<RunRequest> = first.runs + second.runs

    private fun awaitTrue(condition: () -> Boolean) {
        val end = System.nanoTime() + 10_000_000_000
        while (!condition()) {
            check(System.nanoTime() < end) { "the condition did not come true in ten seconds" }
            Thread.sleep(20)
        }
    }

    @Test
    fun `a request is run once and its answer is the back end's`() {
        val answer = call("/confirms/1?seat=2")
        expectThat(answer).startsWith("HTTP/1.1 200").contains("X-Response-Signature: signed-").endsWith(":hi")
        expectThat(runs()).hasSize(1)
        expectThat(runs().single().target).isEqualTo("/confirms/1?seat=2")
    }

    @Test
    fun `a back end gets the team and never the key or what only the system sets`() {
        call("/confirms/1", fields = "X-Tenant: other\r\nX-Hold: 5\r\nX-Pin-Ms: 9\r\n")
        val run = runs().single()
        expectThat(run.team).isEqualTo("families")
        expectThat(run.headers["Api-Key"]).isNull()
        expectThat(run.headers["X-Hold"]).isNull()
        expectThat(run.headers["X-Pin-Ms"]).isNull()
    }

    @Test
    fun `unknown keys and routes run nowhere`() {
        expectThat(call("/confirms/1", key = "other")).startsWith("HTTP/1.1 401")
        expectThat(call("/nowhere/1")).startsWith("HTTP/1.1 404")
        expectThat(runs()).isEmpty()
    }

    @Test
    fun `an idempotent request whose answer is lost runs again elsewhere`() {
        first.expect(BackEndFault.LoseAnswer)
        second.expect(BackEndFault.LoseAnswer)
        val failed = call("/checks/1")
        expectThat(failed).startsWith("HTTP/1.1 502")
        expectThat(runs()).hasSize(2)
    }

    @Test
    fun `a request that may run once at most is not repeated when its answer is lost`() {
        first.expect(BackEndFault.LoseAnswer)
        second.expect(BackEndFault.LoseAnswer)
        expectThat(call("/confirms/1")).startsWith("HTTP/1.1 502")
        expectThat(runs()).hasSize(1)
    }

    @Test
    fun `a request that all back ends decline is said not to have run`() {
        first.expect(BackEndFault.Decline)
        second.expect(BackEndFault.Decline)
        expectThat(call("/confirms/1")).startsWith("HTTP/1.1 503").contains("Retry-After: 0.")
        expectThat(runs()).isEmpty()
    }

    @Test
    fun `an answer to another request is never passed on`() {
        first.expect(BackEndFault.AnswerAnother)
        second.expect(BackEndFault.AnswerAnother)
        expectThat(call("/confirms/1")).startsWith("HTTP/1.1 502")
    }

    @Test
    fun `a stream that breaks off goes on elsewhere without a gap`() {
        first.expect(BackEndFault.CutStream(2))
        second.expect(BackEndFault.CutStream(2))
        val answer = call("/stream/1")
        val ids = Regex("id: (\\d+)\ndata").findAll(answer).map { it.groupValues[1].toInt() }.toList()
        expectThat(ids).isEqualTo(listOf(1, 2, 3, 4).take(ids.size))
        expectThat(runs()).hasSize(2)
    }

    @Test
    fun `a resumed stream ends whole`() {
        first.expect(BackEndFault.CutStream(3))
        val answers = List(2) { call("/stream/$it", id = "r-$it") }
        for (answer in answers) {
            val ids = Regex("id: (\\d+)\ndata").findAll(answer).map { it.groupValues[1].toInt() }.toList()
            expectThat(ids).isEqualTo(listOf(1, 2, 3, 4, 5))
            expectThat(answer).endsWith("0\r\n\r\n")
        }
    }

    @Test
    fun `a stream that can't be resumed never looks complete`() {
        first.expect(BackEndFault.CutStream(2))
        second.expect(BackEndFault.CutStream(2))
        val answer = call("/stream-once/1")
        expectThat(answer).startsWith("HTTP/1.1 200")
        expectThat(answer.endsWith("0\r\n\r\n")).isEqualTo(false)
        expectThat(runs()).hasSize(1)
    }

    @Test
    fun `a silent back end does not keep the client beyond its time`() {
        first.expect(BackEndFault.Silent)
        second.expect(BackEndFault.Silent)
        val start = System.nanoTime()
        expectThat(call("/confirms/1")).startsWith("HTTP/1.1 50")
        val millis = (System.nanoTime() - start) / 1_000_000
        expectThat(millis in 1_300..2_000).isTrue()
    }

    @Test
    fun `a back end stops working on a request whose client left`() {
        first.expect(BackEndFault.Silent)
        second.expect(BackEndFault.Silent)
        val address = node.settings.clients
        val socket = Socket(address.substringBefore(':'), address.substringAfter(':').toInt())
        val request =
            "GET /checks/1 HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: r-9\r\nApi-Key: key-1\r\n" +
                "X-Deadline-Ms: 1500\r\n\r\n"
        socket.getOutputStream().write(request.toByteArray())
        awaitTrue { runs().isNotEmpty() }
        socket.close()
        val left = System.nanoTime()
        awaitTrue { first.abandonedRuns.isNotEmpty() || second.abandonedRuns.isNotEmpty() }
        expectThat((System.nanoTime() - left) / 1_000_000 < 500).isTrue()
    }

    @Test
    fun `a back end that leaves gets nothing new`() {
        fleet.register("bookings", first, "draining")
        awaitTrue { List(4) { call("/checks/$it") }.all { "i-2:" in it } }
        val before = first.runs.size
        repeat(6) { call("/checks/$it") }
        expectThat(first.runs).hasSize(before)
    }

    @Test
    fun `the last configuration and back ends serve while the store is away`() {
        fleet.store.fault = StoreFault.Silent
        Thread.sleep(2_500)
        expectThat(call("/checks/1")).startsWith("HTTP/1.1 200")
        expectThat(
            get(node.settings.directory, "/resolve?name=bookings.example&zone=a"),
        ).contains(node.settings.clients)
        fleet.store.fault = StoreFault.None
        fleet.configure(version = 2, listOf(StandInRoute("/new/", "idempotent", "bookings")))
        awaitTrue { call("/new/1").startsWith("HTTP/1.1 200") }
        expectThat(call("/checks/1")).startsWith("HTTP/1.1 404")
    }

    @Test
    fun `a configuration is found again after the store forgot its history`() {
        fleet.store.fault = StoreFault.Busy
        fleet.configure(version = 2, listOf(StandInRoute("/new/", "idempotent", "bookings")))
        fleet.store.forgetHistory()
        fleet.store.fault = StoreFault.None
        awaitTrue { call("/new/1").startsWith("HTTP/1.1 200") }
    }

    @Test
    fun `a configuration that can't be read changes nothing`() {
        fleet.store.put("op", "config", """{"version":9,"routes":[{"host":"x"}]}""")
        fleet.store.put("servers", "i-3", "not readable")
        Thread.sleep(500)
        expectThat(call("/checks/1")).startsWith("HTTP/1.1 200")
    }

    @Test
    fun `a node that stops is neither ready nor named, and still serves`() {
        val other = fleet.startNode("node-2")
        awaitTrue { other.settings.clients in get(node.settings.directory, "/resolve?name=x") }
        node.node.stop()
        awaitTrue { node.settings.clients !in get(other.settings.directory, "/resolve?name=x") }
        expectThat(get(node.settings.readiness, "/readiness")).startsWith("HTTP/1.1 503")
        expectThat(call("/checks/1")).startsWith("HTTP/1.1 200")
    }

    @Test
    fun `a node that ends sends nothing on that it can't answer`() {
        val end = thread { node.node.awaitStopped() }
        node.node.stop()
        awaitTrue { call("/checks/1").startsWith("HTTP/1.1 503") }
        val ran = runs().size
        expectThat(call("/checks/2")).startsWith("HTTP/1.1 503").contains("Retry-After")
        expectThat(runs()).hasSize(ran)
        end.join(1_000)
        expectThat(end.isAlive).isEqualTo(false)
    }

    @Test
    fun `a node that ends takes no request that it may have to cut, however busy it is`() {
        first.expect(*Array(40) { BackEndFault.Silent })
        second.expect(*Array(40) { BackEndFault.Silent })
        val busy = AtomicBoolean(true)
        val clients = List(3) { i -> thread { while (busy.get()) call("/checks/$i", id = "busy-$i") } }
        node.node.stop()
        val stopped = System.nanoTime()
        awaitTrue { call("/checks/1", id = "late").startsWith("HTTP/1.1 503") }
        val millis = (System.nanoTime() - stopped) / 1_000_000
        busy.set(false)
        clients.forEach { it.join(5_000) }
        expectThat(millis in 2_000..4_200).isTrue()
    }

    @Test
    fun `one node holds the lease and another takes it over`() {
        awaitTrue { fleet.store.getOrNull("fleet", "lease")?.contains("node-1") ?: false }
        fleet.startNode("node-2")
        node.node.stop()
        awaitTrue { fleet.store.getOrNull("fleet", "lease")?.contains("node-2") ?: false }
    }

    @Test
    fun `a table whose later pages could not be read is read whole again`() {
        fleet.store.pageSize = 1
        fleet.store.fault = StoreFault.LaterPagesDeclined
        val late = fleet.startNode("node-2")
        Thread.sleep(1_000)
        fleet.store.fault = StoreFault.None
        awaitTrue { get(late.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    @Test
    fun `the figures of a node are served as text`() {
        call("/confirms/1")
        call("/nowhere/", id = "r-2")
        val figures = get(node.settings.metrics, "/metrics")
        expectThat(figures)
            .startsWith("HTTP/1.1 200")
            .contains("gypsumcart_calls_seconds_count{result=\"answered_200\",service=\"bookings\"} 1")
            .contains("gypsumcart_requests_seconds_count{outcome=\"not_run:no_route\"} 1")
            .contains("gypsumcart_back_ends{state=\"staying\"} 2.0")
            .contains("gypsumcart_ready 1.0")
    }
}
