package gypsumcart.core.replicas

import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DemandForecastTest {
    private val forecast = DemandForecast()
    private var elapsed = Duration.ZERO

    private fun run(seconds: Int, work: (Int) -> Double) =
        repeat(seconds * 2) {
            forecast.observe(work(it), HORIZON, at(elapsed))
            elapsed += 500.milliseconds
        }

    private val expected: Double get() = forecast.expectedIn(HORIZON, at(elapsed))

    @Test
    fun `a steady demand is expected with the assumed burst`() {
        run(30) { 100.0 }
        expectThat(expected).isEqualTo(150.0)
    }

    @Test
    fun `a burst in progress is not expected to burst again`() {
        run(30) { 100.0 }
        run(4) { 170.0 }
        expectThat(expected).isLessThanOrEqualTo(170.0 * 1.5)
        expectThat(expected).isGreaterThan(170.0)
        run(20) { 100.0 }
        expectThat(expected).isLessThan(190.0)
    }

    @Test
    fun `a rise that goes on is expected to have gone further`() {
        run(30) { 100.0 + it * 3 }
        val level = forecast.level
        expectThat(expected).isGreaterThan(level * 1.05)
    }

    @Test
    fun `the start of demand is no slope`() {
        run(10) { 0.0 }
        run(3) { 100.0 }
        expectThat(expected).isLessThanOrEqualTo(150.0)
    }

    @Test
    fun `bursts that come often and go further raise what is expected`() {
        repeat(12) {
            run(10) { 100.0 }
            run(5) { 220.0 }
        }
        run(10) { 100.0 }
        expectThat(forecast.burstFactor).isGreaterThan(1.55)
    }

    @Test
    fun `a long time without bursts lowers what is expected`() {
        run(700) { 100.0 }
        expectThat(forecast.burstFactor).isLessThan(1.1)
    }

    private companion object {
        val HORIZON = 7.seconds
    }
}
