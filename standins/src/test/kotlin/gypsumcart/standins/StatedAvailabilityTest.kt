package gypsumcart.standins

import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.startsWith
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Plays back ends that say in their responses that they accept no more requests. */
class StatedAvailabilityTest {
    private val fleet = StandInFleet()
    private val first = StandInBackEnd("i-1")
    private val others = listOf(StandInBackEnd("i-2"), StandInBackEnd("i-3"))
    private lateinit var node: RunningNode

    @BeforeEach
    fun start() {
        fleet.configure(
            version = 1,
            listOf(
                ConfiguredRoute("/checks/", "idempotent", "bookings"),
                ConfiguredRoute("/confirms/", "non_idempotent", "bookings", maxAttempts = 1),
                ConfiguredRoute("/stream/", "streaming", "bookings"),
            ),
        )
        (others + first).forEach { fleet.startBackEnd("bookings", it) }
        node = fleet.startNode("node-1")
        awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
        awaitCondition { "gypsumcart_back_ends{state=\"staying\"} 3.0" in get(node.settings.metrics, "/metrics") }
    }

    /** Sends requests to [path] from several clients for [millis] and returns their status codes. */
    private fun serve(path: String, millis: Long): List<String> {
        val end = System.nanoTime() + millis * 1_000_000
        val statuses = CopyOnWriteArrayList<String>()
        List(CLIENTS) { i ->
            thread {
                var sent = 0
                while (System.nanoTime() < end) {
                    statuses += node.send(path, "r-$i-${sent++}-$end").take(STATUS_LINE).drop(STATUS_START)
                    Thread.sleep(PAUSE_MILLIS)
                }
            }
        }.forEach { it.join() }
        return statuses
    }

    /** Serves for [millis] and returns how many requests reached the first back end. */
    private fun requestsToFirst(path: String, millis: Long): Int {
        val before = first.receivedRequests
        serve(path, millis)
        return first.receivedRequests - before
    }

    // Guards against requests to a back end that has said that it leaves (DRAIN in the leaving days).
    @Test
    fun `a back end that says that it leaves gets no more of 110 requests a second, its entry unchanged`() {
        serve("/checks/", 500)
        first.leaving = "1"
        expectThat(requestsToFirst("/checks/", 200)).isLessThanOrEqualTo(CLIENTS)
        expectThat(requestsToFirst("/checks/", 3_000)).isEqualTo(0)
        expectThat(get(node.settings.metrics, "/metrics"))
            .contains("gypsumcart_back_ends{state=\"leaving\"} 1.0")
    }

    @Test
    fun `a departure in a stream, an error or a rejection counts as well`() {
        val responses =
            listOf("/stream/" to null, "/checks/" to BackEndFault.ServerError, "/confirms/" to BackEndFault.Decline)
        for ((i, response) in responses.withIndex()) {
            val (path, fault) = response
            fleet.register("bookings", first, "ready", born = i + 2)
            first.leaving = null
            awaitCondition { requestsToFirst("/checks/", 100) > 0 }
            first.leaving = "1"
            if (fault != null) first.injectFaults(*Array(CLIENTS) { fault })
            serve(path, 200)
            first.clearFaults()
            expectThat(requestsToFirst("/checks/", 500)).isEqualTo(0)
        }
    }

    @Test
    fun `a back end that leaves while the store is away is used again only after a later start`() {
        fleet.store.fault = StoreFault.Hang
        Thread.sleep(500)
        first.leaving = "1"
        serve("/checks/", 200)
        expectThat(requestsToFirst("/checks/", 2_500)).isEqualTo(0)
        fleet.store.fault = StoreFault.None
        fleet.register("bookings", first, "ready")
        expectThat(requestsToFirst("/checks/", 1_500)).isEqualTo(0)
        first.leaving = null
        fleet.register("bookings", first, "ready", born = 2)
        awaitCondition { requestsToFirst("/checks/", 200) > 0 }
    }

    @Test
    fun `a departure with another value is ignored`() {
        first.leaving = "0"
        serve("/checks/", 300)
        expectThat(requestsToFirst("/checks/", 500)).isGreaterThan(CLIENTS)
    }

    // Guards against requests to a back end that has asked this node for a pause (BUDGET in the pausing days).
    @Test
    fun `a back end that turns one of 110 requests a second away gets no more until the end of its pause`() {
        repeat(2) {
            awaitCondition { requestsToFirst("/checks/", 100) > 0 }
            first.injectFaults(BackEndFault.AskForPause("2.5"))
            serve("/checks/", 400)
            expectThat(requestsToFirst("/checks/", 1_500)).isEqualTo(0)
            expectThat(get(node.settings.metrics, "/metrics")).contains("gypsumcart_paused_back_ends 1.0")
        }
    }

    @Test
    fun `a request that was turned away with a pause is served elsewhere, whatever its kind`() {
        first.injectFaults(*Array(CLIENTS) { BackEndFault.AskForPause("0.3") })
        expectThat(serve("/confirms/", 400).distinct()).isEqualTo(listOf("200"))
    }

    @Test
    fun `while all back ends pause, requests are refused at once, and served when they return as told`() {
        (others + first).forEach { it.injectFaults(*Array(3) { BackEndFault.AskForPause("2") }) }
        serve("/confirms/", 100)
        (others + first).forEach { it.clearFaults() }
        val start = System.nanoTime()
        val refusal = node.send("/confirms/1", "r-late")
        expectThat((System.nanoTime() - start) / 1_000_000).isLessThan(500)
        expectThat(refusal).startsWith("HTTP/1.1 503")
        val retryAfter =
            Regex("Retry-After: ([0-9.]+)")
                .find(refusal)
                ?.groupValues
                ?.get(1)
                ?.toDouble()
        expectThat(retryAfter).isNotNull().isGreaterThan(1.0).isLessThan(3.0)
        Thread.sleep(((retryAfter ?: 0.0) * 1_000).toLong())
        expectThat(node.send("/confirms/1", "r-back")).startsWith("HTTP/1.1 200")
    }

    @Test
    fun `a pause of an unreadable length is none`() {
        first.injectFaults(BackEndFault.AskForPause("soon"))
        serve("/checks/", 400)
        expectThat(requestsToFirst("/checks/", 2_500)).isGreaterThan(CLIENTS)
    }

    private companion object {
        /** With a pause of [PAUSE_MILLIS] they send about 110 requests a second. */
        const val CLIENTS = 4
        const val PAUSE_MILLIS = 34L
        const val STATUS_START = 9
        const val STATUS_LINE = 12
    }
}
