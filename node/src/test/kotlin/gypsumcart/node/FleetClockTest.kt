package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import gypsumcart.core.MonotonicTime
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class FleetClockTest {
    private class ClockStore : RowStore {
        var row: Row? = null
        var isAway = false

        override suspend fun get(table: TableName, key: RowKey): Result<Row?, StoreFailure> = Ok(row)

        override suspend fun put(
            table: TableName,
            key: RowKey,
            value: ByteArray,
            expected: RowVersion?,
        ): Result<RowVersion, StoreFailure> {
            if (isAway) return Err(StoreFailure.NoAnswer)
            if ((row?.version ?: RowVersion.ABSENT) != expected) return Err(StoreFailure.Conflict(row))
            row = Row(key, value, RowVersion(1))
            return Ok(RowVersion(1))
        }

        override suspend fun putTogether(
            rows: List<TableRow>,
            expected: RowVersion,
        ): Result<RowVersion, StoreFailure> = Err(StoreFailure.NoAnswer)

        override suspend fun putAll(rows: List<TableRow>): Result<RowVersion, StoreFailure> =
            Err(StoreFailure.NoAnswer)

        override suspend fun remove(table: TableName, keys: List<RowKey>): Result<RowVersion, StoreFailure> =
            Err(StoreFailure.NoAnswer)

        override suspend fun follow(table: TableName, pace: ReadPace, listener: TableListener) = Unit

        override fun clockOrNull() = StoreClock(1_000, MonotonicTime(0))
    }

    private val store = ClockStore()
    private val clock = FleetClock(store)

    private fun latest() = runBlocking { clock.latestOrNull() }

    /** Guards against usage windows that differ between processes: a later one would agree on another origin. */
    @Test
    fun `the agreed origin is stored again when an older copy of the store lacks it`() {
        val agreed = latest()
        store.row = null
        clock.doubt()
        store.isAway = true
        expectThat(latest()).isEqualTo(agreed)
        expectThat(store.row).isNull()
        store.isAway = false
        expectThat(latest()).isEqualTo(agreed)
        expectThat(runBlocking { FleetClock(store).latestOrNull() }).isEqualTo(agreed)
    }

    @Test
    fun `an origin that the store still holds is not replaced`() {
        val agreed = latest()
        clock.doubt()
        store.row = Row(CLOCK_KEY, "5".encodeToByteArray(), RowVersion(1))
        expectThat(latest()).isEqualTo(agreed)
        expectThat(store.row?.value?.decodeToString()).isEqualTo("5")
    }
}
