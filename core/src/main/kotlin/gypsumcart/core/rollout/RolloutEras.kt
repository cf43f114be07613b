package gypsumcart.core.rollout

import gypsumcart.core.leases.era
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition

/**
 * When the row was written; a copy keeps the counter of its version.
 *
 * A holder writes rows only in the era in which it acquired the lease.
 */
internal val RolloutRow.writtenAt: StorePosition
    get() = StorePosition(version).inEra(token.era)

/** Whether both are the same row, which has a later version too if a copy of the store contains it. */
internal fun RolloutRow?.isSameAs(other: RolloutRow?): Boolean =
    if (this == null || other == null) {
        this == other
    } else {
        version == other.version || writtenAt == other.writtenAt
    }

/** Knows the version of the row that the store holds, which may be an older row than the newest one. */
internal class StoredRow {
    private var version = StorePosition(0)

    /** Records that the store holds or has held [row]. */
    fun observe(row: RolloutRow) {
        version = maxOf(version, StorePosition(row.version))
    }

    /** Records that the store holds no row. */
    fun recordAbsence() {
        version = StorePosition(0)
    }

    /** Returns the version that a write in [era] replaces, or 0 if no row of that era is known. */
    fun expectedVersion(era: StoreEra): Long = if (version.era < era) 0 else version.number

    /** Whether the store has come back since the lease was acquired in [era]; its token must not be used then. */
    fun isAfter(era: StoreEra): Boolean = version.era > era
}
