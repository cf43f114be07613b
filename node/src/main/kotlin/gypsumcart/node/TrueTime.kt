package gypsumcart.node

import com.github.michaelbull.result.fold
import gypsumcart.core.UnixMillis
import gypsumcart.core.usage.UsageEvent
import org.slf4j.LoggerFactory

/**
 * Agrees with the other nodes on true time.
 *
 * The first node to start writes down where the store's even clock stood at its own time of day. From then on all take
 * true time from the store's clock, so that a step of one host's clock moves nothing.
 */
internal class TrueTime(private val rows: RowStore) {
    private var origin: Long? = null

    /** Returns the true time of the store's newest reading, or null while the nodes have not agreed. */
    suspend fun agreedOrNull(): UsageEvent.TimeSynchronized? {
        val start = origin ?: agreeOrNull()?.also { origin = it } ?: return null
        val clock = rows.clockOrNull() ?: return null
        return UsageEvent.TimeSynchronized(UnixMillis(start + clock.millis), clock.at)
    }

    private suspend fun agreeOrNull(): Long? {
        val known = rows.get(Tables.FLEET, CLOCK_KEY).fold({ it }, { return null })
        if (known != null) return known.toOriginOrNull()
        val clock = rows.clockOrNull() ?: return null
        val own = System.currentTimeMillis() - clock.millis
        return rows.put(Tables.FLEET, CLOCK_KEY, own.toString().encodeToByteArray(), RowVersion.ABSENT).fold(
            { own },
            { failure -> (failure as? StoreFailure.Conflict)?.current?.toOriginOrNull() },
        )
    }

    private fun Row.toOriginOrNull(): Long? {
        val origin = value.decodeToString().toLongOrNull()
        if (origin == null) log.error("event=row_unreadable table={} key={}", Tables.FLEET, key)
        return origin
    }

    private companion object {
        private val log = LoggerFactory.getLogger(TrueTime::class.java)
    }
}
