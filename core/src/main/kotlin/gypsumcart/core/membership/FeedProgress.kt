package gypsumcart.core.membership

import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime

/** Represents an input of the [FeedProgress] decider. */
public sealed class ProgressEvent {
    /** The table is to be read; [latestEra] is the latest era that the store has named, or null if none. */
    public data class ReadDue(public val latestEra: StoreEra?) : ProgressEvent()

    /** [origin] responded with the whole table as of [position]. */
    public data class TableRead(public val origin: FeedOrigin, public val position: StorePosition) : ProgressEvent()

    /** [origin] responded with the changes up to [position]. */
    public data class ChangesRead(public val origin: FeedOrigin, public val position: StorePosition) : ProgressEvent()

    /** The store lacks the changes after the position reached; [latestEra] is the latest era that it has named. */
    public data class HistoryGone(public val latestEra: StoreEra?) : ProgressEvent()

    /** What was read could not be processed. */
    public data object ProcessingFailed : ProgressEvent()
}

/** Represents an output of the [FeedProgress] decider. */
public sealed class ProgressEffect {
    /** Reads the whole table at once. */
    public data object ReadTable : ProgressEffect()

    /** Reads the changes after [position]. */
    public data class ReadChanges(public val position: StorePosition) : ProgressEffect()

    /** Processes what was read; if [restored], the store has come back from an older copy since the last time. */
    public data class Apply(public val restored: Boolean) : ProgressEffect()

    /** Drops what was read, since it is older than what was processed. */
    public data object Discard : ProgressEffect()

    /** Reports that the table is read as a whole again after it had been followed up to [position]. */
    public data class ReportRestart(public val cause: RestartCause, public val position: StorePosition?) :
        ProgressEffect()
}

/** Describes why a table is read as a whole again. */
public enum class RestartCause {
    /** The store lacks some of the changes. */
    HISTORY_GONE,

    /** The store has come back from an older copy, so that its versions no longer follow those seen before. */
    NEW_ERA,

    /** What was read could not be processed. */
    FAULT,
}

/**
 * Decides what a feed reads of its table next and whether that applies.
 *
 * A position holds within its era only: in a later one the store may have assigned the same versions to other changes,
 * so the table is read as a whole. What was processed never gets older, whichever origin responds.
 */
public class FeedProgress : Decider<ProgressEvent, ProgressEffect> {
    private var reached: StorePosition? = null
    private var isTableDue = true

    override fun decide(event: ProgressEvent, now: MonotonicTime): List<ProgressEffect> =
        when (event) {
            is ProgressEvent.ReadDue -> startRead(event.latestEra)
            is ProgressEvent.TableRead -> endTable(event)
            is ProgressEvent.ChangesRead -> endChanges(event.position)
            is ProgressEvent.HistoryGone -> endWithoutHistory(event.latestEra)
            ProgressEvent.ProcessingFailed -> restart(RestartCause.FAULT)
        }

    private fun startRead(latestEra: StoreEra?): List<ProgressEffect> {
        val position = reached.takeUnless { isTableDue } ?: return listOf(ProgressEffect.ReadTable)
        if (position.isBefore(latestEra)) return restart(RestartCause.NEW_ERA) + ProgressEffect.ReadTable
        return listOf(ProgressEffect.ReadChanges(position))
    }

    private fun endTable(event: ProgressEvent.TableRead): List<ProgressEffect> {
        val before = reached
        val position = event.position
        if (before != null && !event.follows(before)) return listOf(ProgressEffect.Discard)
        reached = position
        isTableDue = false
        return listOf(ProgressEffect.Apply(restored = before != null && before.era < position.era))
    }

    /** A store that names no eras may come back from a copy too, and then its earlier versions are current. */
    private fun ProgressEvent.TableRead.follows(before: StorePosition): Boolean =
        when (origin) {
            FeedOrigin.Store -> position.era >= before.era
            is FeedOrigin.Relay -> position >= before
        }

    private fun endChanges(position: StorePosition): List<ProgressEffect> {
        val before = reached ?: return listOf(ProgressEffect.Discard)
        return when {
            position.era > before.era -> restart(RestartCause.NEW_ERA) + ProgressEffect.ReadTable
            position.era < before.era -> listOf(ProgressEffect.Discard)
            else -> {
                reached = maxOf(before, position)
                listOf(ProgressEffect.Apply(restored = false))
            }
        }
    }

    private fun endWithoutHistory(latestEra: StoreEra?): List<ProgressEffect> =
        if (reached?.isBefore(latestEra) == true) {
            restart(RestartCause.NEW_ERA) + ProgressEffect.ReadTable
        } else {
            restart(RestartCause.HISTORY_GONE)
        }

    private fun restart(cause: RestartCause): List<ProgressEffect> {
        isTableDue = true
        return listOf(ProgressEffect.ReportRestart(cause, reached))
    }

    private fun StorePosition.isBefore(latestEra: StoreEra?): Boolean = latestEra != null && era < latestEra
}
