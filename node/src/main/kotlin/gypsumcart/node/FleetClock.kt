package gypsumcart.node

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import gypsumcart.core.UnixMillis
import gypsumcart.core.usage.UsageEvent
import org.slf4j.LoggerFactory

/**
 * Provides the Unix time on which all nodes agree.
 *
 * The first node to start computes from its own wall clock the Unix time at which the store's clock stood at 0, and
 * stores it. From then on all nodes add the reading of the store's clock to it, so that a step of a host's wall clock
 * has no effect.
 */
internal class FleetClock(private val rows: RowStore) {
    /** The Unix time, in milliseconds, at which the store's clock stood at 0. */
    private var originMillis: Long? = null

    /** Whether the store may have lost the origin. */
    @Volatile
    private var isDoubtful = false

    /** Has the origin stored again if the store has lost it, so that processes that start agree on the same one. */
    fun doubt() {
        isDoubtful = true
    }

    /** Returns the agreed time of the latest reading of the store's clock, or null if the nodes haven't agreed yet. */
    suspend fun latestOrNull(): UsageEvent.TimeSynchronized? {
        val origin = originMillis ?: agreeOnOriginOrNull()?.also { originMillis = it } ?: return null
        if (isDoubtful) storeAgain(origin)
        val clock = rows.clockOrNull() ?: return null
        return UsageEvent.TimeSynchronized(UnixMillis(origin + clock.millis), clock.at)
    }

    private suspend fun agreeOnOriginOrNull(): Long? {
        val stored = rows.get(Tables.FLEET, CLOCK_KEY).fold({ it }, { return null })
        if (stored != null) return stored.toOriginOrNull()
        val clock = rows.clockOrNull() ?: return null
        val proposed = System.currentTimeMillis() - clock.millis
        return store(proposed).fold(
            { proposed },
            { failure -> (failure as? StoreFailure.Conflict)?.current?.toOriginOrNull() },
        )
    }

    private suspend fun storeAgain(origin: Long) {
        isDoubtful = false
        store(origin).onFailure { failure -> if (failure !is StoreFailure.Conflict) isDoubtful = true }
    }

    private suspend fun store(origin: Long): Result<RowVersion, StoreFailure> =
        rows.put(Tables.FLEET, CLOCK_KEY, origin.toString().encodeToByteArray(), RowVersion.ABSENT)

    private fun Row.toOriginOrNull(): Long? {
        val origin = value.decodeToString().toLongOrNull()
        if (origin == null) log.error("event=row_unreadable table={} key={}", Tables.FLEET, key)
        return origin
    }

    private companion object {
        private val log = LoggerFactory.getLogger(FleetClock::class.java)
    }
}
