package gypsumcart.core.replicas

import gypsumcart.core.MODEL
import gypsumcart.core.ZONES
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.last
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers what the fleet takes for the number that the operator started with, and what it keeps without evidence. */
class InitialNumberTest {
    private fun fleet(maxPerZone: Int = 94) = FakeFleet(maxPerZone = maxPerZone)

    /** Checks at each step that the staying engines are at least [count], whichever zone's spot ones are lost. */
    private fun FakeFleet.runKeeping(count: Int, seconds: Int, rate: Double) =
        repeat(seconds * 2) {
            run(500.milliseconds) { rate }
            val spot = staying.filter { it.spot }.groupingBy { it.zone }.eachCount()
            val left = staying.count { !it.spot } + spot.afterLossOf(1)
            expectThat(left).isGreaterThanOrEqualTo(count)
        }

    @Test
    fun `all entries that come in over 6 s are counted`() {
        val fleet = fleet()
        fleet.hold()
        fleet.register(98, over = 6.seconds)
        fleet.run(12.seconds)
        expectThat(fleet.stored).last().isEqualTo(98)
    }

    @Test
    fun `entries that come after the number has settled raise it before traffic`() {
        val fleet = fleet()
        fleet.hold()
        fleet.register(62, over = 2.seconds)
        fleet.run(8.seconds)
        fleet.register(36, over = 1.seconds)
        fleet.run(10.seconds)
        expectThat(fleet.stored).last().isEqualTo(98)
    }

    @Test
    fun `engines that the fleet ordered itself do not raise the initial number`() {
        val fleet = fleet()
        fleet.hold()
        fleet.register(98, over = 6.seconds)
        fleet.run(30.seconds)
        expectThat(fleet.staying.count { it.spot }).isGreaterThanOrEqualTo(98)
        expectThat(fleet.stored.toList()).isEqualTo(listOf(98))
    }

    @Test
    fun `nobody calls for 15 s and the number stays`() {
        val fleet = fleet()
        fleet.hold()
        fleet.register(98, over = 6.seconds)
        fleet.run(6.seconds)
        fleet.runKeeping(98, seconds = 60, rate = 0.0)
    }

    @Test
    fun `the number stays for a whole period of demand and then falls in steps`() {
        val fleet = fleet()
        fleet.hold()
        fleet.register(98, over = 1.seconds)
        fleet.run(10.seconds)
        fleet.runKeeping(98, seconds = 19, rate = 28.0)
        fleet.run(15.seconds) { 28.0 }
        val spot =
            fleet.staying
                .filter { it.spot }
                .groupingBy { it.zone }
                .eachCount()
        expectThat(spot.afterLossOf(1)).isGreaterThanOrEqualTo(98 - 2 * 12)
        fleet.run(120.seconds) { 28.0 }
        expectThat(fleet.staying.size).isLessThanOrEqualTo(98 / 3)
    }

    @Test
    fun `a gap in demand starts the period anew`() {
        val fleet = fleet()
        fleet.hold()
        fleet.register(98, over = 1.seconds)
        fleet.run(10.seconds)
        repeat(5) {
            fleet.runKeeping(98, seconds = 12, rate = 28.0)
            fleet.runKeeping(98, seconds = 7, rate = 0.0)
        }
    }

    @Test
    fun `nothing is reduced while nodes are silent`() {
        val fleet = fleet()
        fleet.hold()
        fleet.register(98, over = 1.seconds)
        fleet.run(10.seconds)
        repeat(80) {
            fleet.observe(AutoscalerEvent.LoadMeasured(listOf(mapOf(MODEL to 7.0), emptyMap())))
            fleet.runKeeping(98, seconds = 1, rate = 28.0)
        }
    }

    @Test
    fun `nothing is reduced while the registry is away`() {
        val fleet = fleet()
        fleet.hold()
        fleet.register(98, over = 1.seconds)
        fleet.run(3.seconds)
        fleet.decide(AutoscalerEvent.RegistryChanged(isAvailable = false))
        fleet.run(60.seconds) { 28.0 }
        expectThat(fleet.staying.count { !it.spot }).isEqualTo(98)
    }

    @Test
    fun `a holder that joins late orders no fewer than it finds before it has seen a whole period`() {
        val fleet = fleet()
        fleet.decide(AutoscalerEvent.InitialCountsRead(mapOf(MODEL to 60)))
        fleet.register(98, over = 500.milliseconds)
        fleet.hold()
        fleet.run(19.seconds) { 400.0 }
        val onDemand = fleet.orders.map { it.second }.filter { !it.spot }
        expectThat(onDemand).all { get { count }.isGreaterThanOrEqualTo(32) }
        expectThat(fleet.stored).isEmpty()
    }

    @Test
    fun `demand beyond the initial number is bounded by the limits of the zones alone`() {
        val fleet = fleet(maxPerZone = 40)
        fleet.hold()
        fleet.register(12, over = 1.seconds)
        fleet.run(10.seconds)
        fleet.run(40.seconds) { 10_000.0 }
        expectThat(ZONES.map { zone -> fleet.staying.count { it.zone == zone } }).isEqualTo(listOf(40, 40, 40))
    }
}
