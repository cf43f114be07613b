package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers from where a node reads a table while relays and the store fail and return. */
class FeedSourceTest {
    private val relay = FeedOrigin.Relay(Address("relay", 1))
    private val first = FeedOrigin.Relay(Address("first", 1))
    private val second = FeedOrigin.Relay(Address("second", 1))
    private val store = FeedOrigin.Store
    private val source = FeedSource()
    private val failing = HashSet<FeedOrigin>()
    private val reports = ArrayList<FeedEffect>()
    private var now: Duration = Duration.ZERO

    private fun choose(relay: FeedOrigin.Relay?, vararg others: FeedOrigin.Relay) {
        source.decide(FeedEvent.RelaysChosen(relay?.address, others.map { it.address }), at(now))
    }

    /** Reads once, after the [pause], and returns the origins that were read in their order. */
    private fun read(pause: Duration = 100.milliseconds): List<FeedOrigin> {
        now += pause
        val origins = ArrayList<FeedOrigin>()
        var effects = source.decide(FeedEvent.ReadDue, at(now))
        while (effects.any { it is FeedEffect.Read }) {
            val origin = effects.filterIsInstance<FeedEffect.Read>().single().origin
            origins += origin
            effects = source.decide(FeedEvent.ReadEnded(origin, origin !in failing), at(now))
        }
        reports += effects
        return origins
    }

    @Test
    fun `a node without relays reads the store alone`() {
        expectThat(read()).isEqualTo(listOf(store))
        failing += store
        expectThat(read()).isEqualTo(listOf(store))
        expectThat(read()).isEqualTo(listOf(store))
        failing.clear()
        expectThat(read()).isEqualTo(listOf(store))
        expectThat(reports.toList()).isEqualTo(listOf(FeedEffect.ReportUnavailable, FeedEffect.ReportAvailable))
    }

    @Test
    fun `a node reads its relay and not the store while the relay responds`() {
        choose(relay, first, second)
        repeat(10) { expectThat(read()).isEqualTo(listOf(relay)) }
    }

    @Test
    fun `a node whose relay fails reads the store at once and tries the relay again later`() {
        choose(relay, first)
        failing += relay
        expectThat(read()).isEqualTo(listOf(relay, store))
        repeat(10) { expectThat(read()).isEqualTo(listOf(store)) }
        failing.clear()
        expectThat(read(3.seconds)).isEqualTo(listOf(relay))
        expectThat(reports.toList()).isEqualTo(emptyList())
    }

    @Test
    fun `a relay that the store turns away goes on with a relay of another zone`() {
        choose(null, first, second)
        failing += store
        expectThat(read()).isEqualTo(listOf(store, first))
        repeat(5) { expectThat(read()).isEqualTo(listOf(first)) }
        expectThat(read(1.seconds)).isEqualTo(listOf(store, first))
        failing.clear()
        expectThat(read(1.seconds)).isEqualTo(listOf(store))
        expectThat(reports.toList()).isEqualTo(emptyList())
    }

    @Test
    fun `a node whose relay and store fail goes on with another relay`() {
        choose(relay, first, second)
        failing += listOf(relay, store, first)
        expectThat(read()).isEqualTo(listOf(relay, store, first, second))
        expectThat(read()).isEqualTo(listOf(second))
        expectThat(reports.toList()).isEqualTo(emptyList())
    }

    @Test
    fun `a table is unavailable only while all origins fail`() {
        choose(relay, first)
        failing += listOf(relay, store, first)
        repeat(3) { expectThat(read()).isEqualTo(listOf(relay, store, first)) }
        expectThat(reports.toList()).isEqualTo(listOf(FeedEffect.ReportUnavailable))
        failing -= first
        expectThat(read()).contains(first)
        expectThat(reports.toList()).isEqualTo(listOf(FeedEffect.ReportUnavailable, FeedEffect.ReportAvailable))
    }

    @Test
    fun `a read after a failure is urgent`() {
        choose(relay)
        expectThat(
            source.decide(FeedEvent.ReadDue, at(now)),
        ).isEqualTo(listOf(FeedEffect.Read(relay, isFallback = false)))
        expectThat(source.decide(FeedEvent.ReadEnded(relay, succeeded = false), at(now)))
            .isEqualTo(listOf(FeedEffect.Read(store, isFallback = true)))
    }

    // Guards against changes that are seen late after an outage, as the first poll waits at a store that has come back.
    @Test
    fun `the first read after an outage is urgent`() {
        failing += store
        read()
        failing.clear()
        expectThat(source.decide(FeedEvent.ReadDue, at(now)))
            .isEqualTo(listOf(FeedEffect.Read(store, isFallback = true)))
        source.decide(FeedEvent.ReadEnded(store, succeeded = true), at(now))
        expectThat(source.decide(FeedEvent.ReadDue, at(now)))
            .isEqualTo(listOf(FeedEffect.Read(store, isFallback = false)))
    }

    @Test
    fun `a relay that is no longer chosen is not read`() {
        choose(relay, first)
        read()
        choose(null)
        failing += store
        expectThat(read()).doesNotContain(relay).doesNotContain(first)
    }

    @Test
    fun `nodes follow the tables through the relay of their zone, and relays read the store`() {
        val fleet = SimulatedFleet(listOf(8, 8, 3))
        val chosen = HashMap<String, MembershipEffect.RelaysChosen>()
        for (node in fleet.nodes) {
            node.onEffect = { if (it is MembershipEffect.RelaysChosen) chosen[node.id.text] = it }
        }
        fleet.start()
        fleet.runUntil(6.seconds)
        val relays =
            chosen.mapValues {
                it.value.relay
                    ?.key
                    ?.node
                    ?.text
            }
        expectThat(relays.filterKeys { it.startsWith("z0") && it != "z0-1" }.values.toSet()).isEqualTo(setOf("z0-1"))
        expectThat(relays.filterKeys { it.startsWith("z1") && it != "z1-1" }.values.toSet()).isEqualTo(setOf("z1-1"))
        expectThat(relays.filterKeys { it.startsWith("z2") || it.endsWith("-1") }.values.toSet()).isEqualTo(setOf(null))
        expectThat(chosen.getValue("z0-1").others.map { it.key.node.text }).isEqualTo(listOf("z1-1", "z2-1", "z0-2"))
    }

    @Test
    fun `the next node of a zone passes the tables on after the loss of the relay`() {
        val fleet = SimulatedFleet(listOf(9, 1))
        val chosen = HashMap<String, MembershipEffect.RelaysChosen>()
        for (node in fleet.nodes) {
            node.onEffect = { if (it is MembershipEffect.RelaysChosen) chosen[node.id.text] = it }
        }
        fleet.start()
        fleet.runUntil(6.seconds)
        fleet.node("z0-1").running = false
        fleet.runUntil(9.seconds)
        expectThat(chosen.getValue("z0-2").relay).isEqualTo(null)
        expectThat(
            chosen
                .getValue("z0-3")
                .relay
                ?.key
                ?.node
                ?.text,
        ).isEqualTo("z0-2")
    }
}
