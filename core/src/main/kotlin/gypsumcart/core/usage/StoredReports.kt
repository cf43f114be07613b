package gypsumcart.core.usage

import gypsumcart.core.MonotonicTime
import gypsumcart.core.TeamName
import gypsumcart.core.WindowNumber
import kotlin.time.Duration

/** Knows the reports that the store has acknowledged, and has them stored again if it comes back from an older copy. */
internal class StoredReports {
    private val counts = HashMap<WindowNumber, Map<TeamName, Int>>()

    /** The windows whose reports the store may have lost, and when storing each was last attempted. */
    private val doubtful = HashMap<WindowNumber, MonotonicTime?>()

    /** Returns the counts that the store has acknowledged for [window], or null if none are known. */
    fun countsOrNull(window: WindowNumber): Map<TeamName, Int>? = counts[window]

    /**
     * Records that the store holds [stored] for [window]; returns whether this agrees with what it held before.
     *
     * The counts from before stay: they may have been sent.
     */
    fun record(window: WindowNumber, stored: Map<TeamName, Int>): Boolean {
        doubtful -= window
        return counts.getOrPut(window) { stored } == stored
    }

    /** Records that the store may have lost what it had acknowledged. */
    fun doubt() {
        counts.keys.forEach { doubtful[it] = null }
    }

    /** Returns the reports to store again now, each at most once in [period]. */
    fun dueAgain(now: MonotonicTime, period: Duration): List<UsageEffect.StoreReport> =
        doubtful.keys
            .filter { window -> doubtful[window]?.let { now - it >= period } ?: true }
            .mapNotNull { window ->
                doubtful[window] = now
                counts[window]?.let { UsageEffect.StoreReport(window, it) }
            }

    /** Forgets the windows before [first]. */
    fun forgetBefore(first: WindowNumber) {
        counts.keys.removeIf { it < first }
        doubtful.keys.removeIf { it < first }
    }
}
