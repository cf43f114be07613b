package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.MODEL
import gypsumcart.core.Scaling
import gypsumcart.core.ZONES
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.configuration
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class AutoscalerTest {
    private val scaling = Scaling(1, 6, 4.seconds, 0.2, ZONES.zip(listOf(0.8, 1.2, 1.0)).toMap())
    private val autoscaler = Autoscaler()

    private fun onDemand(perZone: Int): List<BackEnd> =
        ZONES.flatMap { zone -> List(perZone) { backEnd("od-$zone-$it", MODEL, zone) } }

    private fun spot(perZone: Int, drainingZone: Int? = null): List<BackEnd> =
        ZONES.flatMapIndexed { i, zone ->
            List(perZone) { backEnd("spot-$zone-$it", MODEL, zone, draining = i == drainingZone, spot = true) }
        }

    /** Acquires the lease with [backEnds] listed, under a load that requires [required] back ends. */
    private fun start(backEnds: List<BackEnd>, required: Int = backEnds.size) {
        autoscaler.decide(AutoscalerEvent.Configured(configuration(scaling = scaling)), at(0.seconds))
        autoscaler.decide(AutoscalerEvent.LoadMeasured(listOf(mapOf(MODEL to required * 14.0))), at(0.seconds))
        autoscaler.decide(AutoscalerEvent.HoldingChanged(true), at(0.seconds))
        autoscaler.decide(AutoscalerEvent.BackEndsListed(backEnds), at(0.seconds))
    }

    private fun list(second: Int, backEnds: List<BackEnd>) = decide(AutoscalerEvent.BackEndsListed(backEnds), second)

    private fun tick(second: Int) = decide(AutoscalerEvent.Tick, second)

    /** Returns the orders that result from [event], after reporting all of them as done. */
    private fun decide(event: AutoscalerEvent, second: Int): List<FencedCommand.OrderBackEnds> {
        val effects = autoscaler.decide(event, at(second.seconds))
        val commands = effects.filterIsInstance<AutoscalerEffect.Order>().map { it.command }
        commands.forEach { autoscaler.decide(AutoscalerEvent.OrderEnded(it, CommandResult.DONE), at(second.seconds)) }
        return commands
    }

    private fun order(zone: Int, count: Int, spot: Boolean) =
        FencedCommand.OrderBackEnds(MODEL, ZONES[zone], count, spot)

    @Test
    fun `nothing is ordered before the initial back ends have had time to register`() {
        start(onDemand(1).take(1), required = 6)
        expectThat(tick(1)).isEmpty()
        list(2, onDemand(2))
        expectThat(tick(3)).contains(List(3) { order(it, count = 3, spot = true) })
    }

    @Test
    fun `on-demand back ends are removed when the spot ones of all zones but one carry the load`() {
        start(onDemand(2))
        tick(3)
        val orders = list(7, onDemand(2) + spot(3))
        expectThat(orders).contains(List(3) { order(it, count = 0, spot = false) })
    }

    @Test
    fun `on-demand back ends replace spot ones as soon as a zone is reclaimed`() {
        start(onDemand(2))
        tick(3)
        list(7, spot(3))
        tick(8)
        val replacements = list(10, spot(3, drainingZone = 2)).filter { !it.spot }
        expectThat(replacements.sumOf { it.count }).isEqualTo(3)
    }

    @Test
    fun `on-demand back ends carry the whole load while no spot ones are available`() {
        start(onDemand(2))
        autoscaler.decide(AutoscalerEvent.LoadMeasured(listOf(mapOf(MODEL to 112.0))), at(2.seconds))
        expectThat(tick(3).filter { !it.spot }.sumOf { it.count }).isEqualTo(8)
    }

    @Test
    fun `an overload orders no more than one and a half times the initial back ends`() {
        start(onDemand(2))
        autoscaler.decide(AutoscalerEvent.LoadMeasured(listOf(mapOf(MODEL to 5_000.0))), at(2.seconds))
        expectThat(tick(3).filter { !it.spot }.sumOf { it.count }).isEqualTo(9)
    }

    @Test
    fun `a later lease holder uses the stored initial counts and not the back ends that it finds`() {
        start(spot(3), required = 6)
        autoscaler.decide(AutoscalerEvent.InitialCountsRead(mapOf(MODEL to 6)), at(1.seconds))
        expectThat(tick(3).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(3))
    }

    @Test
    fun `a refused order is retried after a delay`() {
        start(onDemand(2))
        val first = autoscaler.decide(AutoscalerEvent.Tick, at(3.seconds)).filterIsInstance<AutoscalerEffect.Order>()
        first.forEach {
            autoscaler.decide(AutoscalerEvent.OrderEnded(it.command, CommandResult.CONFLICT), at(3.seconds))
        }
        expectThat(tick(4)).isEmpty()
        expectThat(tick(5).size).isEqualTo(first.size)
    }

    @Test
    fun `more back ends than initially are ordered when the load exceeds their capacity`() {
        start(onDemand(2))
        autoscaler.decide(AutoscalerEvent.LoadMeasured(listOf(mapOf(MODEL to 112.0))), at(2.seconds))
        expectThat(tick(3).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(4))
    }

    // Guards against orders that count a back end in need like any other (capped day).
    @Test
    fun `more back ends are ordered while limits take capacity away`() {
        start(spot(perZone = 4), required = 8)
        val lost = listOf(mapOf(MODEL to 3.0), mapOf(MODEL to 4.0))
        val loads = listOf(mapOf(MODEL to 112.0))
        autoscaler.decide(AutoscalerEvent.LoadMeasured(loads, lostCapacity = lost), at(5.seconds))
        expectThat(tick(5)).contains(List(3) { order(it, 6, spot = true) })
        autoscaler.decide(AutoscalerEvent.LoadMeasured(loads), at(20.seconds))
        expectThat(tick(20)).contains(order(0, 4, spot = true))
    }

    @Test
    fun `on-demand replacements that are still booting are not ordered again in another zone`() {
        start(onDemand(3), required = 8)
        autoscaler.decide(AutoscalerEvent.InitialCountsRead(mapOf(MODEL to 8)), at(1.seconds))
        tick(3)
        list(7, spot(4))
        tick(8)
        list(20, spot(4, drainingZone = 2))
        val more = list(22, spot(4, drainingZone = 2).filter { it.zone != ZONES[1] })
        expectThat(more).contains(order(2, count = 6, spot = false))
        expectThat(list(24, emptyList()).filter { !it.spot }).isEmpty()
    }

    @Test
    fun `the spot back ends of two more zones count as lost while a zone is being reclaimed`() {
        start(onDemand(2))
        tick(3)
        list(7, spot(3))
        val reclaimed = spot(3, drainingZone = 2).map { if (it.draining) it.copy(terminatesIn = 2.seconds) else it }
        expectThat(list(10, reclaimed).filter { !it.spot }.sumOf { it.count }).isEqualTo(6)
    }

    @Test
    fun `fewer back ends than initially are kept while the load is low`() {
        start(onDemand(3), required = 1)
        expectThat(tick(3).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(3))
    }

    @Test
    fun `a small drop in load removes no back ends`() {
        start(onDemand(3), required = 9)
        tick(3)
        autoscaler.decide(AutoscalerEvent.LoadMeasured(listOf(mapOf(MODEL to 8 * 14.0))), at(20.seconds))
        expectThat(tick(20).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(5))
        autoscaler.decide(AutoscalerEvent.LoadMeasured(listOf(mapOf(MODEL to 6 * 14.0))), at(40.seconds))
        expectThat(tick(40).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(4))
    }

    /** Guards against a process that counts scaled back ends as initial ones since a copy lacks the number. */
    @Test
    fun `the initial counts are stored again until the store shows them when it comes back from an older copy`() {
        for (policy in listOf(ScalingPolicy.ByLoad, ScalingPolicy.ByDemand)) {
            val holder = Autoscaler(policy)

            fun stored(event: AutoscalerEvent, second: Int) =
                holder.decide(event, at(second.seconds)).filterIsInstance<AutoscalerEffect.StoreInitialCounts>()

            val store = AutoscalerEffect.StoreInitialCounts(mapOf(MODEL to 6))
            stored(AutoscalerEvent.Configured(configuration(scaling = scaling)), 0)
            stored(AutoscalerEvent.HoldingChanged(true), 0)
            stored(AutoscalerEvent.BackEndsListed(onDemand(2)), 0)
            expectThat(stored(AutoscalerEvent.Tick, 3)).isEqualTo(listOf(store))
            stored(AutoscalerEvent.InitialCountsRead(store.counts), 4)
            stored(AutoscalerEvent.StoreRestored, 20)
            expectThat(stored(AutoscalerEvent.Tick, 21)).isEqualTo(listOf(store))
            expectThat(stored(AutoscalerEvent.Tick, 22)).isEmpty()
            expectThat(stored(AutoscalerEvent.Tick, 27)).isEqualTo(listOf(store))
            stored(AutoscalerEvent.InitialCountsRead(store.counts), 28)
            expectThat(stored(AutoscalerEvent.Tick, 40)).isEmpty()
        }
    }
}
