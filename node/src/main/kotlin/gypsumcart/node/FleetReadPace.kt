package gypsumcart.node

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Paces the reads of the fleet table.
 *
 * The table is read seldom while the peer link brings the reports of all nodes, and often otherwise. New nodes turn to
 * the relay of their zone, so that the others need the table least.
 */
internal class FleetReadPace : ReadPace {
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    /** Whether the peer link is in contact with all zones. */
    @Volatile
    var linked = false

    /** Whether another node is the relay of this one's zone and follows the tables for it. */
    @Volatile
    var relayed = false

    /** Makes the next read due now. */
    fun wakeUp() {
        wakeUps.trySend(Unit)
    }

    override suspend fun awaitNext() {
        withTimeoutOrNull(pause) { wakeUps.receive() }
    }

    private val pause: Duration
        get() =
            when {
                !linked -> PAUSE
                relayed -> RELAYED_PAUSE
                else -> LINKED_PAUSE
            }

    private companion object {
        /** Each read returns the changed reports and the lease together. */
        val PAUSE: Duration = 700.milliseconds

        /** A little less than the period in which linked nodes write their reports. */
        val LINKED_PAUSE: Duration = 4.seconds

        /** Two such reads lie within the time for which a silent node keeps its share of the quotas. */
        val RELAYED_PAUSE: Duration = 8.seconds
    }
}
