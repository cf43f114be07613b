package gypsumcart.node

import com.github.michaelbull.result.fold
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.usage.UsageEvent
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

internal val ERA_KEY = RowKey("era")

/** @property sinceMillis the reading of the store's clock in the era [number] from which nothing has been lost */
@Serializable
internal class StoredEra(
    val number: Long,
    @SerialName("since") val sinceMillis: Long,
)

/**
 * Knows since when the store holds all that it has acknowledged.
 *
 * The first node that asks in an era stores its number and since when it has known of the era. A process that starts
 * later learns from this row that the store has come back from an older copy: the copy can't contain it.
 */
internal class StoreHistory(private val rows: RowStore) {
    /** Returns since when the store is intact, or null if that can't be found out now. */
    suspend fun readOrNull(): UsageEvent.StoreHistoryRead? =
        rows.get(Tables.FLEET, ERA_KEY).fold({ readOrNull(it) }, { null })

    private suspend fun readOrNull(row: Row?): UsageEvent.StoreHistoryRead? {
        val era = rows.eraOrNull() ?: return UsageEvent.StoreHistoryRead(intactSince = null)
        val clock = rows.eraClockOrNull() ?: rows.clockOrNull() ?: return null
        val since = row.sinceMillisOrNull(era) ?: startEraOrNull(era, row, clock)
        return since?.let { UsageEvent.StoreHistoryRead(clock.at - (clock.millis - it).milliseconds, era) }
    }

    private suspend fun startEraOrNull(era: StoreEra, row: Row?, clock: StoreClock): Long? {
        val value = JsonBodies.encode(StoredEra.serializer(), StoredEra(era.number, clock.millis)).encodeToByteArray()
        return rows.put(Tables.FLEET, ERA_KEY, value, row?.version ?: RowVersion.ABSENT).fold(
            { clock.millis.also { log.info("event=store_era_recorded era={} since_ms={}", era, it) } },
            { failure -> (failure as? StoreFailure.Conflict)?.current?.sinceMillisOrNull(era) },
        )
    }

    private fun Row?.sinceMillisOrNull(era: StoreEra): Long? =
        this
            ?.let { JsonBodies.decode(StoredEra.serializer(), it.value.decodeToString()).fold({ e -> e }, { null }) }
            ?.takeIf { it.number == era.number }
            ?.sinceMillis

    private companion object {
        private val log = LoggerFactory.getLogger(StoreHistory::class.java)
    }
}
