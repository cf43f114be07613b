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

    /** [origin] lacks the changes after the position reached; [latestEra] is the latest era named by the store. */
    public data class HistoryGone(public val origin: FeedOrigin, public val latestEra: StoreEra?) : ProgressEvent()

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
    private var latestEra: StoreEra? = null

    /** Whether a relay has responded with the whole table and with no changes since. */
    private var isTableOfRelay = false

    override fun decide(event: ProgressEvent, now: MonotonicTime): List<ProgressEffect> =
        when (event) {
            is ProgressEvent.ReadDue -> {
                latestEra = event.latestEra
                startRead()
            }

            is ProgressEvent.TableRead -> endTable(event)

            is ProgressEvent.ChangesRead -> endChanges(event.position)

            is ProgressEvent.HistoryGone -> {
                latestEra = event.latestEra
                endWithoutHistory(event.origin)
            }

            ProgressEvent.ProcessingFailed -> restart(RestartCause.FAULT)
        }

    private fun startRead(): List<ProgressEffect> {
        val position = reached.takeUnless { isTableDue } ?: return listOf(ProgressEffect.ReadTable)
        if (position.isOutdated) return restart(RestartCause.NEW_ERA) + ProgressEffect.ReadTable
        return listOf(ProgressEffect.ReadChanges(position))
    }

    private fun endTable(event: ProgressEvent.TableRead): List<ProgressEffect> {
        val before = reached
        val position = event.position
        if (position.isOutdated || before != null && !event.follows(before)) return listOf(ProgressEffect.Discard)
        isTableOfRelay = event.origin is FeedOrigin.Relay
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
            position.isOutdated || position.era < before.era -> listOf(ProgressEffect.Discard)
            position.era > before.era -> restart(RestartCause.NEW_ERA) + ProgressEffect.ReadTable
            else -> {
                isTableOfRelay = false
                reached = maxOf(before, position)
                listOf(ProgressEffect.Apply(restored = false))
            }
        }
    }

    /** A relay can pass its whole view on at once; the store, which may decline again, is asked after a pause. */
    private fun endWithoutHistory(origin: FeedOrigin): List<ProgressEffect> =
        when (origin) {
            FeedOrigin.Store ->
                if (reached?.isOutdated == true) {
                    restart(RestartCause.NEW_ERA) + ProgressEffect.ReadTable
                } else {
                    restart(RestartCause.HISTORY_GONE)
                }

            is FeedOrigin.Relay ->
                if (isTableOfRelay) {
                    listOf(ProgressEffect.Discard)
                } else {
                    restart(RestartCause.HISTORY_GONE) + ProgressEffect.ReadTable
                }
        }

    private fun restart(cause: RestartCause): List<ProgressEffect> {
        isTableDue = true
        return listOf(ProgressEffect.ReportRestart(cause, reached))
    }

    private val StorePosition.isOutdated: Boolean get() = latestEra?.let { era < it } ?: false
}
