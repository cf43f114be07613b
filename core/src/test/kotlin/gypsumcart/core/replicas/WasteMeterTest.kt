package gypsumcart.core.replicas

import gypsumcart.core.MODEL
import gypsumcart.core.ZONES
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class WasteMeterTest {
    private val meter = WasteMeter()
    private val pool = Pool(MODEL, ZONES[0], spot = true)

    private fun order(count: Int, second: Int) =
        meter.recordOrder(pool, count, present = 5, FakeFleet.SCALING, at(second.seconds))

    @Test
    fun `idle and missing back ends are added up over time`() {
        meter.measure(idle = 4, missing = -4, at(0.seconds))
        meter.measure(idle = 4, missing = -4, at(1.seconds))
        meter.measure(idle = -2, missing = 2, at(2.seconds))
        expectThat(meter.report(at(2.seconds))).isEqualTo(mapOf(Waste.IDLE to 4.0, Waste.MISSING to 2.0))
        expectThat(meter.report(at(9.seconds))).isEmpty()
    }

    @Test
    fun `an order that is reversed before its back ends could serve is undone`() {
        order(count = 9, second = 0)
        order(count = 6, second = 3)
        expectThat(meter.report(at(3.seconds))).isEqualTo(mapOf(Waste.UNDONE to 3.0))
    }

    @Test
    fun `a later or repeated order undoes nothing`() {
        order(count = 9, second = 0)
        order(count = 9, second = 3)
        order(count = 6, second = 12)
        expectThat(meter.report(at(12.seconds))).isEmpty()
    }
}
