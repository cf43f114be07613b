package gypsumcart.core.replicas

import gypsumcart.core.ZONES
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.PI
import kotlin.math.sin
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Covers what the orders make of the patterns of demand and of reclaims that days show. */
class ScalingPatternsTest {
    /** Starts a fleet of 98 engines 19 s before its traffic. */
    private fun fleet(policy: ScalingPolicy = ScalingPolicy.ByDemand): FakeFleet {
        val fleet = FakeFleet(policy)
        fleet.hold()
        fleet.register(98, over = 4.seconds)
        fleet.run(TRAFFIC_START)
        return fleet
    }

    private fun wave(at: Duration): Double = LEVEL * (1 + 0.3 * sin((at - TRAFFIC_START) / 40.seconds * 2 * PI))

    @Test
    fun `nobody calls for 15 s and then all`() {
        val fleet = fleet()
        fleet.run(20.seconds) { LEVEL }
        expectThat(fleet.refused).isEqualTo(0.0)
    }

    @Test
    fun `a burst at second 1 finds the engines that the operator started with`() {
        val fleet = fleet()
        fleet.run(20.seconds) { if (it - TRAFFIC_START in 1.seconds..6.seconds) LEVEL * 1.8 else LEVEL }
        expectThat(fleet.refused).isEqualTo(0.0)
    }

    @Test
    fun `a zone reclaimed at second 2 leaves enough`() {
        val fleet = fleet()
        fleet.run(2.seconds) { LEVEL }
        fleet.reclaim(ZONES[0], dry = 15.seconds)
        fleet.run(30.seconds) { LEVEL }
        expectThat(fleet.refused).isEqualTo(0.0)
    }

    @Test
    fun `two zones reclaimed at once and dry for 15 s leave enough`() {
        val fleet = fleet()
        fleet.run(10.seconds) { LEVEL }
        fleet.reclaim(ZONES[0], dry = 15.seconds)
        fleet.reclaim(ZONES[1], dry = 15.seconds)
        fleet.run(30.seconds) { LEVEL }
        expectThat(fleet.refused).isEqualTo(0.0)
    }

    @Test
    fun `two zones reclaimed 6 s after the third leave what the demand of the moment takes`() {
        val fleet = fleet()
        fleet.run(20.seconds) { LEVEL }
        fleet.reclaim(ZONES[2], dry = 13.seconds)
        fleet.run(6.seconds) { LEVEL }
        fleet.reclaim(ZONES[0], dry = 13.seconds)
        fleet.reclaim(ZONES[1], dry = 13.seconds)
        fleet.run(10.seconds) { LEVEL }
        expectThat(fleet.refused).isEqualTo(0.0)
    }

    @Test
    fun `what a reclaim leaves missing is ordered once and where it can be had`() {
        val fleet = fleet()
        fleet.run(10.seconds) { LEVEL }
        val earlier = fleet.orders.size
        fleet.reclaim(ZONES[0], dry = 15.seconds)
        fleet.reclaim(ZONES[1], dry = 15.seconds)
        fleet.run(7.seconds) { LEVEL }
        val replacements =
            fleet.orders
                .drop(earlier)
                .map { it.second }
                .filter { !it.spot && it.count > 0 }
        val spot = fleet.staying.count { it.spot && it.zone == ZONES[2] }
        expectThat(replacements.filter { it.zone == ZONES[2] }.map { it.count }).isEqualTo(listOf(94 - spot))
    }

    @Test
    fun `waves of 30 in 100 over 40 s are met before they come`() {
        val fleet = fleet()
        fleet.run(120.seconds) { wave(it) }
        expectThat(fleet.refused).isEqualTo(0.0)
    }

    // Guards against on-demand engines that keep the place of the spot ones by which they would be replaced.
    @Test
    fun `on-demand engines of the start give way also where the limit of a zone leaves little room beside them`() {
        val fleet = FakeFleet(maxPerZone = 66)
        fleet.hold()
        fleet.register(98, over = 2.seconds)
        fleet.run(60.seconds)
        expectThat(fleet.staying.count { !it.spot }).isLessThanOrEqualTo(2)
        expectThat(
            ZONES.minOf { zone ->
                fleet.staying.count { it.spot && it.zone == zone }
            },
        ).isGreaterThanOrEqualTo(64)
    }

    // Guards against on-demand engines that take the place of spot ones in the midst of an overload.
    @Test
    fun `engines that crash are ordered again as they were`() {
        val fleet = FakeFleet(maxPerZone = 66)
        fleet.hold()
        fleet.register(98, over = 2.seconds)
        fleet.run(40.seconds)
        fleet.run(10.seconds) { LEVEL * 1.5 }
        val earlier = fleet.orders.size
        fleet.crash(34)
        fleet.run(10.seconds) { LEVEL * 2 }
        val orders = fleet.orders.drop(earlier).map { it.second }
        expectThat(orders.filter { it.spot }.minOf { it.count }).isGreaterThanOrEqualTo(64)
        expectThat(orders.filter { !it.spot }.sumOf { it.count }).isLessThanOrEqualTo(2)
    }

    @Test
    fun `a steady demand is not answered with orders`() {
        val fleet = fleet()
        fleet.run(10.seconds) { LEVEL }
        val earlier = fleet.orders.size
        fleet.run(60.seconds) { LEVEL }
        expectThat(fleet.orders.size - earlier).isLessThanOrEqualTo(6)
    }

    @Test
    fun `a holder that dies between order and answer leaves no engines missing and none too many`() {
        val fleet = FakeFleet(lateness = { if (it < 12.seconds) 12.seconds else Duration.ZERO })
        fleet.hold()
        fleet.register(98, over = 2.seconds)
        fleet.run(6.seconds)
        fleet.replaceHolder()
        fleet.run(13.seconds)
        fleet.run(30.seconds) { LEVEL }
        val spot =
            fleet.staying
                .filter { it.spot }
                .groupingBy { it.zone }
                .eachCount()
        expectThat(spot.afterLossOf(1) + fleet.staying.count { !it.spot }).isGreaterThanOrEqualTo(98)
        expectThat(fleet.staying.size).isLessThanOrEqualTo(3 * 94)
        expectThat(fleet.refused).isEqualTo(0.0)
    }

    @Test
    fun `orders carried out late are corrected`() {
        val fleet = FakeFleet(lateness = { if (it in 20.seconds..30.seconds) 8.seconds else Duration.ZERO })
        fleet.hold()
        fleet.register(98, over = 2.seconds)
        fleet.run(TRAFFIC_START)
        fleet.run(3.seconds) { LEVEL }
        fleet.reclaim(ZONES[1], dry = 5.seconds)
        fleet.run(60.seconds) { LEVEL }
        val spot = ZONES.map { zone -> fleet.staying.count { it.spot && it.zone == zone } }
        expectThat(spot.max() - spot.min()).isLessThanOrEqualTo(2)
    }

    @Test
    fun `by demand loses less than by load on each pattern`() {
        val patterns =
            mapOf<String, (FakeFleet) -> Unit>(
                "burst at second 1" to { fleet ->
                    fleet.run(40.seconds) { if (it - TRAFFIC_START in 1.seconds..6.seconds) LEVEL * 1.8 else LEVEL }
                },
                "zone reclaimed at second 2" to { fleet ->
                    fleet.run(2.seconds) { LEVEL }
                    fleet.reclaim(ZONES[0], dry = 15.seconds)
                    fleet.run(38.seconds) { LEVEL }
                },
                "two zones reclaimed at once" to { fleet ->
                    fleet.run(10.seconds) { LEVEL }
                    fleet.reclaim(ZONES[0], dry = 15.seconds)
                    fleet.reclaim(ZONES[1], dry = 15.seconds)
                    fleet.run(30.seconds) { LEVEL }
                },
                "waves" to { fleet -> fleet.run(80.seconds) { wave(it) } },
                "waves, reclaims each 7 s" to { fleet ->
                    repeat(6) {
                        fleet.run(7.seconds) { at -> wave(at) }
                        fleet.reclaim(ZONES[it % ZONES.size], dry = 13.seconds)
                    }
                    fleet.run(10.seconds) { wave(it) }
                },
            )
        for ((name, play) in patterns) {
            val byLoad = fleet(ScalingPolicy.ByLoad).also(play)
            val byDemand = fleet(ScalingPolicy.ByDemand).also(play)
            val initial = initialOnly().also(play)
            val figures = "$name: load ${byLoad.summary()}, demand ${byDemand.summary()}, initial ${initial.summary()}"
            expectThat(byDemand.refused).describedAs(figures).isLessThanOrEqualTo(byLoad.refused)
            expectThat(byDemand.price).describedAs(figures).isLessThan(initial.price)
        }
    }

    /** Orders nothing, so that the on-demand engines of the start stay. */
    private fun initialOnly(): FakeFleet {
        val fleet = FakeFleet(ScalingPolicy.ByDemand)
        fleet.register(98, over = 4.seconds)
        fleet.run(TRAFFIC_START)
        return fleet
    }

    private fun FakeFleet.summary(): String =
        "refused %.4f orders %d price %.0f %s".format(refused / requests, orders.size, price, wasted)

    private companion object {
        val TRAFFIC_START = 19.seconds

        /** Two thirds of what 98 engines take at a load at which they meet their targets. */
        const val LEVEL = 1_800.0
    }
}
