package gypsumcart.core.replicas

import gypsumcart.core.InferenceEngine
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds

/** Covers what is learned of engines under steady load, under overload and after an odd measurement. */
class EngineCapacityTest {
    private var observations = 0

    private fun engine(slots: Int) = EngineCapacity(InferenceEngine(slots, 1_000_000))

    private fun EngineCapacity.observeLoad(load: Double, latency: Double) =
        observe(load, latency, at((500 * observations++).milliseconds))

    /** Latency of a queue that is full at [limit]. */
    private fun latencyAt(load: Double, limit: Double, base: Double): Double =
        if (load < limit * 0.95) base / (1 - load / limit) else base * 20

    @Test
    fun `the first estimate follows from the places of the engine`() {
        expectThat(engine(128).sustainableLoad / engine(32).sustainableLoad).isEqualTo(4.0)
    }

    /**
     * Runs the closed loop of a fleet whose number of engines follows the estimate, with a third of them in reserve.
     *
     * The traffic begins slowly, as on any day.
     */
    @ParameterizedTest
    @CsvSource("32, 40", "32, 14", "64, 30", "128, 90", "128, 30", "256, 120")
    fun `a steady load leads to the number of engines that just meets the targets`(slots: Int, limit: Double) {
        val capacity = engine(slots)
        repeat(10) { capacity.observeLoad(limit * 0.1, latencyAt(limit * 0.1, limit, base = 0.15)) }
        repeat(240) {
            val load = capacity.sustainableLoad / 1.5
            capacity.observeLoad(load, latencyAt(load, limit, base = 0.15))
        }
        val served = latencyAt(capacity.sustainableLoad / 1.5, limit, base = 0.15)
        expectThat(served).isLessThan(0.6)
        // When a third of the engines is lost, the others still meet the target.
        expectThat(latencyAt(capacity.sustainableLoad, limit, base = 0.15)).isLessThan(1.0)
        expectThat(capacity.sustainableLoad).isGreaterThan(0.6 * minOf(limit * (1 - 0.15 / 0.6), slots * 0.6))
    }

    @Test
    fun `overload lowers the estimate within seconds`() {
        val capacity = engine(64)
        repeat(20) { capacity.observeLoad(10.0, 0.2) }
        repeat(10) { capacity.observeLoad(15.0, 1.5) }
        expectThat(capacity.sustainableLoad).isLessThan(15.0 * 0.8)
    }

    @Test
    fun `one odd measurement changes the estimate by a twentieth at most`() {
        val capacity = engine(64)
        repeat(20) { capacity.observeLoad(10.0, 0.2) }
        val before = capacity.sustainableLoad
        capacity.observeLoad(10.0, 30.0)
        expectThat(capacity.sustainableLoad).isGreaterThan(before * 0.949)
    }

    @Test
    fun `the estimate does not run away from the loads that were seen`() {
        val capacity = engine(64)
        repeat(200) { capacity.observeLoad(5.0, 0.2) }
        expectThat(capacity.sustainableLoad).isLessThan(64 * 0.22 + 0.1)
    }

    @Test
    fun `a lull does not lower the estimate`() {
        val capacity = engine(64)
        repeat(60) { capacity.observeLoad(14.0, 0.2) }
        val before = capacity.sustainableLoad
        repeat(60) { capacity.observeLoad(2.0, 0.25) }
        expectThat(capacity.sustainableLoad).isEqualTo(before)
    }
}
