package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import gypsumcart.core.ServiceName
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a number counted from a partial view that replaces the one from before traffic. */
class InitialCountsRowTest {
    private val model = ServiceName("model")

    /** Holds one row; [onGet] happens between a read and the write that follows it. */
    private class OneRow(var row: Row?, val onGet: OneRow.() -> Unit = {}) : RowStore {
        var writes = 0

        override suspend fun get(table: TableName, key: RowKey): Result<Row?, StoreFailure> = Ok(row).also { onGet() }

        override suspend fun put(
            table: TableName,
            key: RowKey,
            value: ByteArray,
            expected: RowVersion?,
        ): Result<RowVersion, StoreFailure> {
            val current = row
            if ((current?.version ?: RowVersion.ABSENT) != expected) return Err(StoreFailure.Conflict(current))
            val version = RowVersion((current?.version?.number ?: 0) + 1)
            row = Row(key, value, version)
            writes++
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

        override fun clockOrNull(): StoreClock? = null
    }

    private fun row(count: Int, version: Long) =
        Row(INITIAL_COUNTS_KEY, encodeInitialCounts(mapOf(model to count)), RowVersion(version))

    private fun raise(rows: RowStore, count: Int) = runBlocking { raiseInitialCounts(rows, mapOf(model to count)) }

    private fun countIn(rows: OneRow) = rows.row?.toInitialCountsOrNull()?.get(model)

    @Test
    fun `a lower number does not replace a higher one`() {
        val rows = OneRow(row(98, version = 1))
        raise(rows, 62)
        expectThat(countIn(rows) to rows.writes).isEqualTo(98 to 0)
    }

    @Test
    fun `a higher number replaces a lower one`() {
        val rows = OneRow(row(62, version = 1))
        raise(rows, 98)
        expectThat(countIn(rows)).isEqualTo(98)
    }

    @Test
    fun `a higher number that another node stores meanwhile stays`() {
        val rows = OneRow(row(40, version = 1), onGet = { row = row(98, version = 2) })
        raise(rows, 62)
        expectThat(countIn(rows)).isEqualTo(98)
    }

    @Test
    fun `the first number is stored`() {
        val rows = OneRow(null)
        raise(rows, 98)
        expectThat(countIn(rows)).isEqualTo(98)
    }
}
