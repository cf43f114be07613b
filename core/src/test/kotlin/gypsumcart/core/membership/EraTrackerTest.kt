package gypsumcart.core.membership

import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import kotlin.time.Duration

/** Covers which responses of the store count by the eras that they name. */
class EraTrackerTest {
    private val tracker = EraTracker()

    private fun name(era: Long?) = tracker.decide(EraNamed(era?.let(::StoreEra)), at(Duration.ZERO))

    @Test
    fun `a response of a later era counts and makes those of earlier ones late`() {
        expectThat(name(3))
            .containsExactly(EraEffect.ReportChange(StoreEra(3), null), EraEffect.Accept(StoreEra(3)))
        expectThat(name(3)).containsExactly(EraEffect.Accept(StoreEra(3)))
        expectThat(name(4))
            .containsExactly(EraEffect.ReportChange(StoreEra(4), StoreEra(3)), EraEffect.Accept(StoreEra(4)))
        expectThat(name(3)).containsExactly(EraEffect.Discard(StoreEra(3), StoreEra(4)))
    }

    @Test
    fun `a response that names no usable era counts as one of the latest`() {
        expectThat(name(null)).containsExactly(EraEffect.Accept(StoreEra.UNNAMED))
        expectThat(name(-1)).containsExactly(EraEffect.Accept(StoreEra.UNNAMED))
        name(2)
        expectThat(name(null)).containsExactly(EraEffect.Accept(StoreEra(2)))
        expectThat(name(Long.MAX_VALUE)).containsExactly(EraEffect.Accept(StoreEra(2)))
    }
}
