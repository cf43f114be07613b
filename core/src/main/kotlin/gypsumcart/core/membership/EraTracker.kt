package gypsumcart.core.membership

import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime

/** A response of the store named [era], or none if null. */
public data class EraNamed(public val era: StoreEra?)

/** Represents an output of the [EraTracker] decider. */
public sealed class EraEffect {
    /** The response counts, as one of [era]. */
    public data class Accept(public val era: StoreEra) : EraEffect()

    /** The response is of an earlier era than another one before it, and counts as none. */
    public data class Discard(public val era: StoreEra, public val latest: StoreEra) : EraEffect()

    /** Reports that the store has named another [era] than [previous], the latest one before, if any. */
    public data class ReportChange(public val era: StoreEra, public val previous: StoreEra?) : EraEffect()
}

/** Decides which responses of the store count: those of the latest era, and those that name none. */
public class EraTracker : Decider<EraNamed, EraEffect> {
    private var latest: StoreEra? = null

    override fun decide(event: EraNamed, now: MonotonicTime): List<EraEffect> {
        val previous = latest
        val era = event.era?.takeIf { it.isValid } ?: return listOf(EraEffect.Accept(previous ?: StoreEra.UNNAMED))
        if (previous != null && era < previous) return listOf(EraEffect.Discard(era, previous))
        if (era == previous) return listOf(EraEffect.Accept(era))
        latest = era
        return listOf(EraEffect.ReportChange(era, previous), EraEffect.Accept(era))
    }
}
