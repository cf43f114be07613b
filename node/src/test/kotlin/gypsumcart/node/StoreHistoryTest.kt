package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import gypsumcart.core.MonotonicTime
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.usage.UsageEvent
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a process that takes a store which came back from an older copy for one that has lost nothing. */
class StoreHistoryTest {
    /** Holds one row, and counts its versions on from a copy when it is restored. */
    private class CopiedStore(var era: Long?) : RowStore {
        var row: Row? = null
        var millis = 1_000L
        var isAway = false
        var eraMillis: Long? = null

        override suspend fun get(table: TableName, key: RowKey): Result<Row?, StoreFailure> =
            if (isAway) Err(StoreFailure.NoAnswer) else Ok(row)

        override suspend fun put(
            table: TableName,
            key: RowKey,
            value: ByteArray,
            expected: RowVersion?,
        ): Result<RowVersion, StoreFailure> {
            if ((row?.version ?: RowVersion.ABSENT) != expected) return Err(StoreFailure.Conflict(row))
            val version = RowVersion((row?.version?.number ?: 0) + 1)
            row = Row(key, value, version)
            return Ok(version)
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

        override fun clockOrNull() = StoreClock(millis, time(millis))

        override fun eraOrNull(): StoreEra? = era?.let(::StoreEra)

        override fun eraClockOrNull(): StoreClock? = eraMillis?.let { StoreClock(it, time(it)) }
    }

    private fun readOrNull(store: RowStore) = runBlocking { StoreHistory(store).readOrNull() }

    @Test
    fun `the first node that asks in an era states when, and later processes learn it`() {
        val store = CopiedStore(era = 1)
        expectThat(readOrNull(store)).isEqualTo(intactSince(1_000, era = 1))
        store.millis = 9_000
        expectThat(readOrNull(store)).isEqualTo(intactSince(1_000, era = 1))
    }

    @Test
    fun `a store that has come back from a copy is intact from the first question on`() {
        val store = CopiedStore(era = 1)
        readOrNull(store)
        store.era = 2
        store.millis = 9_000
        expectThat(readOrNull(store)).isEqualTo(intactSince(9_000, era = 2))
        store.millis = 12_000
        expectThat(readOrNull(store)).isEqualTo(intactSince(9_000, era = 2))
    }

    @Test
    fun `a copy from before the first question is recognized too`() {
        val store = CopiedStore(era = 1)
        readOrNull(store)
        store.row = null
        store.era = 2
        store.millis = 9_000
        expectThat(readOrNull(store)).isEqualTo(intactSince(9_000, era = 2))
    }

    /** Guards against windows of usage that nobody reports after a holder of a build that does not store the era. */
    @Test
    fun `a node that asks first states since when it has known of the era, not when it asked`() {
        val store = CopiedStore(era = 1)
        store.eraMillis = 2_000
        store.millis = 9_000
        expectThat(readOrNull(store)).isEqualTo(intactSince(2_000, era = 1))
        store.eraMillis = 5_000
        expectThat(readOrNull(store)).isEqualTo(intactSince(2_000, era = 1))
    }

    @Test
    fun `nothing is known while the store is away, and a store that names no era loses nothing`() {
        val store = CopiedStore(era = null)
        expectThat(readOrNull(store)).isEqualTo(UsageEvent.StoreHistoryRead(intactSince = null))
        store.isAway = true
        expectThat(readOrNull(store)).isNull()
    }

    private companion object {
        val BOOT = MonotonicTime(0)

        fun time(millis: Long): MonotonicTime = BOOT + millis.milliseconds + OFFSET

        fun intactSince(millis: Long, era: Long) = UsageEvent.StoreHistoryRead(time(millis), StoreEra(era))

        /** The clock of the process is ahead of that of the store. */
        val OFFSET: Duration = 500.milliseconds
    }
}
