package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.MODEL
import gypsumcart.core.Scaling
import gypsumcart.core.ZONES
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.configuration
import gypsumcart.core.leases.ActResult
import gypsumcart.core.leases.DutyAct
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class BackEndOrdersTest {
    private val scaling = Scaling(1, 6, 4.seconds, 0.2, ZONES.zip(listOf(0.8, 1.2, 1.0)).toMap())
    private val orders = BackEndOrders()

    private fun onDemand(each: Int): List<BackEnd> =
        ZONES.flatMap { zone -> List(each) { backEnd("od-$zone-$it", MODEL, zone) } }

    private fun spot(each: Int, leavingZone: Int? = null): List<BackEnd> =
        ZONES.flatMapIndexed { i, zone ->
            List(each) { backEnd("spot-$zone-$it", MODEL, zone, leaving = i == leavingZone, spot = true) }
        }

    /** Begins with [backEnds] under a load that takes [needed] back ends. */
    private fun begin(backEnds: List<BackEnd>, needed: Int = backEnds.size) {
        orders.decide(OrdersEvent.Configured(configuration(scaling = scaling)), at(0.seconds))
        orders.decide(OrdersEvent.Loaded(listOf(mapOf(MODEL to needed * 14.0))), at(0.seconds))
        orders.decide(OrdersEvent.HoldingChanged(true), at(0.seconds))
        orders.decide(OrdersEvent.BackEndsListed(backEnds), at(0.seconds))
    }

    private fun list(second: Int, backEnds: List<BackEnd>) = decide(OrdersEvent.BackEndsListed(backEnds), second)

    private fun tick(second: Int) = decide(OrdersEvent.Tick, second)

    /** Returns the orders that follow from [event], all of which are taken. */
    private fun decide(event: OrdersEvent, second: Int): List<DutyAct.OrderBackEnds> {
        val acts = orders.decide(event, at(second.seconds)).filterIsInstance<OrdersEffect.Order>().map { it.act }
        acts.forEach { orders.decide(OrdersEvent.Ended(it, ActResult.DONE), at(second.seconds)) }
        return acts
    }

    private fun order(zone: Int, count: Int, spot: Boolean) =
        DutyAct.OrderBackEnds(MODEL, ZONES[zone], count, spot)

    @Test
    fun `nothing is ordered before all that stood had the time to register`() {
        begin(onDemand(1).take(1), needed = 6)
        expectThat(tick(1)).isEmpty()
        list(2, onDemand(2))
        expectThat(tick(3)).contains(List(3) { order(it, count = 3, spot = true) })
    }

    @Test
    fun `on-demand back ends go when reclaimable ones of all zones but one carry the load`() {
        begin(onDemand(2))
        tick(3)
        val left = list(7, onDemand(2) + spot(3))
        expectThat(left).contains(List(3) { order(it, count = 0, spot = false) })
    }

    @Test
    fun `on-demand back ends stand in as soon as a zone is reclaimed`() {
        begin(onDemand(2))
        tick(3)
        list(7, spot(3))
        tick(8)
        val standIns = list(10, spot(3, leavingZone = 2)).filter { !it.spot }
        expectThat(standIns.sumOf { it.count }).isEqualTo(3)
    }

    @Test
    fun `on-demand back ends carry the whole load while no reclaimable ones are to be had`() {
        begin(onDemand(2))
        orders.decide(OrdersEvent.Loaded(listOf(mapOf(MODEL to 112.0))), at(2.seconds))
        expectThat(tick(3).filter { !it.spot }.sumOf { it.count }).isEqualTo(8)
    }

    @Test
    fun `an overload does not order more and more`() {
        begin(onDemand(2))
        orders.decide(OrdersEvent.Loaded(listOf(mapOf(MODEL to 5_000.0))), at(2.seconds))
        expectThat(tick(3).filter { !it.spot }.sumOf { it.count }).isEqualTo(9)
    }

    @Test
    fun `a later holder goes by what stood at first and not by what it finds`() {
        begin(spot(3), needed = 6)
        orders.decide(OrdersEvent.Remembered(mapOf(MODEL to 6)), at(1.seconds))
        expectThat(tick(3).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(3))
    }

    @Test
    fun `an order that was refused is tried again after a pause`() {
        begin(onDemand(2))
        val first = orders.decide(OrdersEvent.Tick, at(3.seconds)).filterIsInstance<OrdersEffect.Order>()
        first.forEach { orders.decide(OrdersEvent.Ended(it.act, ActResult.CONFLICT), at(3.seconds)) }
        expectThat(tick(4)).isEmpty()
        expectThat(tick(5).size).isEqualTo(first.size)
    }

    @Test
    fun `more are ordered while the load is too much for those that stood`() {
        begin(onDemand(2))
        orders.decide(OrdersEvent.Loaded(listOf(mapOf(MODEL to 112.0))), at(2.seconds))
        expectThat(tick(3).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(4))
    }

    @Test
    fun `stand-ins that still boot are not ordered in another zone instead`() {
        begin(onDemand(3), needed = 8)
        orders.decide(OrdersEvent.Remembered(mapOf(MODEL to 8)), at(1.seconds))
        tick(3)
        list(7, spot(4))
        tick(8)
        list(20, spot(4, leavingZone = 2))
        val more = list(22, spot(4, leavingZone = 2).filter { it.zone != ZONES[1] })
        expectThat(more).contains(order(2, count = 6, spot = false))
        expectThat(list(24, emptyList()).filter { !it.spot }).isEmpty()
    }

    @Test
    fun `all reclaimable back ends but those of one zone count as lost while a zone is being reclaimed`() {
        begin(onDemand(2))
        tick(3)
        list(7, spot(3))
        val reclaimed = spot(3, leavingZone = 2).map { if (it.leaving) it.copy(leavesIn = 2.seconds) else it }
        expectThat(list(10, reclaimed).filter { !it.spot }.sumOf { it.count }).isEqualTo(6)
    }

    @Test
    fun `fewer than stood are kept while the load is low`() {
        begin(onDemand(3), needed = 1)
        expectThat(tick(3).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(3))
    }

    @Test
    fun `a load that falls a little takes no back ends away`() {
        begin(onDemand(3), needed = 9)
        tick(3)
        orders.decide(OrdersEvent.Loaded(listOf(mapOf(MODEL to 8 * 14.0))), at(20.seconds))
        expectThat(tick(20).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(5))
        orders.decide(OrdersEvent.Loaded(listOf(mapOf(MODEL to 6 * 14.0))), at(40.seconds))
        expectThat(tick(40).filter { it.spot }.map { it.count }.toSet()).isEqualTo(setOf(4))
    }
}
