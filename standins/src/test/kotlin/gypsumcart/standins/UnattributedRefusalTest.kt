package gypsumcart.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Plays back ends whose refusals nothing ties to a request, or that refuse what they have run. */
class UnattributedRefusalTest {
    private val fleet = StandInFleet()
    private val backEnds = ArrayList<ScriptedBackEnd>()
    private val executed = CopyOnWriteArrayList<String>()
    private lateinit var node: RunningNode

    @AfterEach
    fun close(): Unit = backEnds.forEach { it.close() }

    private fun startWith(routeType: String, answer: (ScriptedRequest, OutputStream) -> Boolean): Unit =
        startWith(routeType, listOf(answer, answer))

    private fun startWith(routeType: String, answers: List<(ScriptedRequest, OutputStream) -> Boolean>) {
        fleet.configure(1, listOf(ConfiguredRoute("/confirms/", routeType, "bookings", maxAttempts = 1)))
        answers.forEachIndexed { i, answer ->
            val backEnd = ScriptedBackEnd(answer)
            backEnds += backEnd
            fleet.register("bookings", "i-$i", backEnd)
        }
        node = fleet.startNode("node-1")
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
    }

    private fun OutputStream.execute(request: ScriptedRequest, routeType: String) {
        executed += request.id
        val body = if (routeType == "streaming") "id: 1\ndata: ok\n\n" else "ok"
        send(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Signature: s\r\n" +
                "Content-Length: ${body.length}\r\n\r\n$body",
        )
    }

    private fun sound(routeType: String): (ScriptedRequest, OutputStream) -> Boolean =
        { request, output ->
            output.execute(request, routeType)
            true
        }

    private fun statuses(): Map<String, String> =
        List(12) { "r-$it" }.associateWith { node.send("/confirms/1", it).substring(9, 12) }

    private fun expectNoBrokenPromise(statuses: Map<String, String>) {
        expectThat(executed.filter { statuses[it] in PROMISES }).isEmpty()
        expectThat(executed.toList()).isEqualTo(executed.distinct())
    }

    // Guards against a request that runs twice, or is refused though it runs, by a refusal of none (TWICE, REFUSED).
    @ParameterizedTest
    @CsvSource("non_idempotent, 503", "streaming, 503", "non_idempotent, 421", "streaming, 421")
    fun `a refusal without an id after an earlier answer is no statement about the next request`(
        routeType: String,
        status: Int,
    ) {
        startWith(routeType) { request, output ->
            if (request.previousId != null) {
                output.send("HTTP/1.1 $status Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            }
            output.execute(request, routeType)
            true
        }
        expectNoBrokenPromise(statuses())
        expectThat(executed.size).isGreaterThan(2)
    }

    // Guards against requests that fail though a full back end has truly refused them, without naming them.
    @ParameterizedTest
    @ValueSource(strings = ["non_idempotent", "streaming", "idempotent"])
    fun `refusals without an id are believed from the second one on, as their requests get new connections`(
        routeType: String,
    ) {
        val received = AtomicInteger()
        val sometimesFull = { request: ScriptedRequest, output: OutputStream ->
            if (received.incrementAndGet() % 2 == 0) {
                output.send("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            } else {
                output.execute(request, routeType)
            }
            true
        }
        startWith(routeType, listOf(sometimesFull, sound(routeType)))
        val statuses = statuses()
        expectNoBrokenPromise(statuses)
        expectThat(received.get()).isGreaterThan(3)
        expectThat(statuses.values.count { it != "200" }).isEqualTo(1)
    }

    // Guards against a status that tells the client to repeat a request that has run (REFUSED).
    @ParameterizedTest
    @CsvSource(
        "non_idempotent, 503",
        "non_idempotent, 429",
        "non_idempotent, 408",
        "streaming, 503",
        "streaming, 429",
        "streaming, 408",
        "non_idempotent, 421",
        "streaming, 421",
    )
    fun `a status that promises that a request has not run is not passed on for one that has`(
        routeType: String,
        status: Int,
    ) {
        startWith(routeType) { request, output ->
            executed += request.id
            output.send("HTTP/1.1 $status No\r\nX-Attempt-Id: ${request.id}\r\nContent-Length: 0\r\n\r\n")
            true
        }
        val statuses = statuses()
        expectNoBrokenPromise(statuses)
        expectThat(statuses.values.distinct()).isEqualTo(listOf("502"))
    }

    // Guards against a request that fails because the address of its back end has passed to another one.
    @ParameterizedTest
    @ValueSource(strings = ["non_idempotent", "streaming"])
    fun `a status 421 that names another back end is a reason to send a request again`(routeType: String) {
        val other = { _: ScriptedRequest, output: OutputStream ->
            output.send("HTTP/1.1 421 Misdirected\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n")
            true
        }
        startWith(routeType, listOf(other, sound(routeType)))
        expectThat(statuses().values.distinct()).isEqualTo(listOf("200"))
    }

    // Guards against a true refusal that is lost because its body is cut or does not come.
    @ParameterizedTest
    @CsvSource("non_idempotent, false", "streaming, false", "non_idempotent, true", "streaming, true")
    fun `a refusal that names its request counts whatever becomes of its body`(routeType: String, stalls: Boolean) {
        val full = { request: ScriptedRequest, output: OutputStream ->
            val head = "HTTP/1.1 503 Full\r\nX-Attempt-Id: ${request.id}\r\nX-Not-Executed: 1\r\n"
            output.send("${head}Content-Length: 5\r\n\r\nfu")
            stalls
        }
        startWith(routeType, listOf(full, sound(routeType)))
        expectThat(statuses().values.distinct()).isEqualTo(listOf("200"))
    }

    private companion object {
        val PROMISES = setOf("503", "429", "408", "421")
    }
}
