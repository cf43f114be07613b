package gypsumcart.core.replicas

import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class HeldCountTest {
    private val held = HeldCount()
    private var elapsed = Duration.ZERO

    /** Returns the number at the end of [seconds] of [need]. */
    private fun run(seconds: Int, need: Int): Int {
        repeat(seconds * 2) {
            elapsed += 500.milliseconds
            held.observe(need, hasDemand = true, isComplete = true, at(elapsed))
            held.countOf(initial = 80, at(elapsed))
        }
        return held.countOf(initial = 80, at(elapsed))
    }

    @Test
    fun `a reduction is undone at once`() {
        expectThat(run(seconds = 30, need = 40)).isLessThan(80)
        expectThat(run(seconds = 1, need = 100)).isEqualTo(105)
    }

    @Test
    fun `the highest need of the period remains`() {
        run(seconds = 30, need = 70)
        expectThat(run(seconds = 19, need = 20)).isEqualTo(70)
    }

    @Test
    fun `a higher initial number is adopted at once`() {
        held.countOf(initial = 62, at(Duration.ZERO))
        expectThat(held.countOf(initial = 98, at(Duration.ZERO))).isEqualTo(98)
    }
}
