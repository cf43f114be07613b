package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import gypsumcart.core.ServiceName

/** Stores [counts] where they are higher than the stored ones, also if another node stores some at the same time. */
internal suspend fun raiseInitialCounts(rows: RowStore, counts: Map<ServiceName, Int>): Result<Unit, StoreFailure> {
    val current = rows.get(Tables.FLEET, INITIAL_COUNTS_KEY).getOrElse { return Err(it) }
    val written = writeHigher(rows, counts, current)
    val conflict = written.getError() as? StoreFailure.Conflict ?: return written
    return writeHigher(rows, counts, conflict.current)
}

private suspend fun writeHigher(
    rows: RowStore,
    counts: Map<ServiceName, Int>,
    current: Row?,
): Result<Unit, StoreFailure> {
    val stored = current?.toInitialCountsOrNull().orEmpty()
    val highest = (stored.keys + counts.keys).associateWith { maxOf(stored[it] ?: 0, counts[it] ?: 0) }
    if (highest == stored) return Ok(Unit)
    val expected = current?.version ?: RowVersion.ABSENT
    return rows.put(Tables.FLEET, INITIAL_COUNTS_KEY, encodeInitialCounts(highest), expected).map {}
}
