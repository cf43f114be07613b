package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import kotlin.time.Duration

/** Covers what a feed reads and what of it applies, while the store comes back from older copies. */
class FeedProgressTest {
    private val progress = FeedProgress()
    private val store = FeedOrigin.Store
    private val relay = FeedOrigin.Relay(Address("relay", 1))

    private fun position(era: Long, counter: Long) = checkNotNull(StorePosition.ofOrNull(StoreEra(era), counter))

    private fun decide(event: ProgressEvent): List<ProgressEffect> = progress.decide(event, at(Duration.ZERO))

    private fun readTable(era: Long, counter: Long, origin: FeedOrigin = store) =
        decide(ProgressEvent.TableRead(origin, position(era, counter)))

    private fun readChanges(era: Long, counter: Long, origin: FeedOrigin = store) =
        decide(ProgressEvent.ChangesRead(origin, position(era, counter)))

    private fun readDue(latestEra: Long?) = decide(ProgressEvent.ReadDue(latestEra?.let(::StoreEra)))

    private fun restart(cause: RestartCause, era: Long, counter: Long) =
        ProgressEffect.ReportRestart(cause, position(era, counter))

    @Test
    fun `a table is read as a whole once and then its changes are followed`() {
        expectThat(readDue(null)).containsExactly(ProgressEffect.ReadTable)
        expectThat(readTable(1, 7)).containsExactly(ProgressEffect.Apply(restored = false))
        expectThat(readDue(1)).containsExactly(ProgressEffect.ReadChanges(position(1, 7)))
        expectThat(readChanges(1, 9)).containsExactly(ProgressEffect.Apply(restored = false))
        expectThat(readChanges(1, 8, relay)).containsExactly(ProgressEffect.Apply(restored = false))
        expectThat(readDue(1)).containsExactly(ProgressEffect.ReadChanges(position(1, 9)))
    }

    // Guards against changes that are never seen, as the versions of the new era had passed the feed's own (CONFIG).
    @Test
    fun `changes of a later era lead to a read of the whole table, whatever their version`() {
        readDue(1)
        readTable(1, 7)
        for (counter in listOf(3L, 7L, 90L)) {
            expectThat(readChanges(2, counter))
                .containsExactly(restart(RestartCause.NEW_ERA, 1, 7), ProgressEffect.ReadTable)
        }
        expectThat(readTable(2, 3)).containsExactly(ProgressEffect.Apply(restored = true))
        expectThat(readDue(2)).containsExactly(ProgressEffect.ReadChanges(position(2, 3)))
    }

    @Test
    fun `a later era that another call has named leads to a read of the whole table`() {
        readDue(1)
        readTable(1, 7)
        expectThat(readDue(2)).containsExactly(restart(RestartCause.NEW_ERA, 1, 7), ProgressEffect.ReadTable)
    }

    @Test
    fun `a history that is gone is read as a whole at once in a new era, and otherwise at the next read`() {
        readDue(1)
        readTable(1, 7)
        expectThat(decide(ProgressEvent.HistoryGone(store, StoreEra(2))))
            .containsExactly(restart(RestartCause.NEW_ERA, 1, 7), ProgressEffect.ReadTable)
        readTable(2, 5)
        expectThat(decide(ProgressEvent.HistoryGone(store, StoreEra(2))))
            .containsExactly(restart(RestartCause.HISTORY_GONE, 2, 5))
        expectThat(readDue(2)).containsExactly(ProgressEffect.ReadTable)
    }

    // Guards against a row that gets older, as an origin responds that has not heard of the return yet (CONFIG).
    @Test
    fun `what is of an earlier era is dropped`() {
        readDue(2)
        readTable(2, 5)
        expectThat(readChanges(1, 90, relay)).containsExactly(ProgressEffect.Discard)
        expectThat(readTable(1, 90, relay)).containsExactly(ProgressEffect.Discard)
        expectThat(readTable(1, 90)).containsExactly(ProgressEffect.Discard)
    }

    // Guards against rows of a relay that has not heard of the return which this node knows of (CONFIG).
    @Test
    fun `a relay in an earlier era than the latest is passed over`() {
        readDue(2)
        expectThat(readTable(1, 90, relay)).containsExactly(ProgressEffect.Discard)
        expectThat(readTable(2, 3, relay)).containsExactly(ProgressEffect.Apply(restored = false))
    }

    // Guards against a node that its relay declines for good, as its position is of an earlier era (CONFIG).
    @Test
    fun `a relay that lacks the changes is read as a whole, and passed over if it lacks them again`() {
        readDue(1)
        readTable(1, 7)
        val gone = ProgressEvent.HistoryGone(relay, StoreEra(1))
        expectThat(decide(gone)).containsExactly(restart(RestartCause.HISTORY_GONE, 1, 7), ProgressEffect.ReadTable)
        expectThat(readTable(2, 3, relay)).containsExactly(ProgressEffect.Apply(restored = true))
        expectThat(decide(gone)).containsExactly(ProgressEffect.Discard)
        readChanges(2, 4, relay)
        expectThat(decide(gone)).containsExactly(restart(RestartCause.HISTORY_GONE, 2, 4), ProgressEffect.ReadTable)
    }

    @Test
    fun `a fault leads to a read of the whole table, from a relay only if it is as far`() {
        readDue(1)
        readTable(1, 7)
        expectThat(decide(ProgressEvent.ProcessingFailed)).containsExactly(restart(RestartCause.FAULT, 1, 7))
        expectThat(readDue(1)).containsExactly(ProgressEffect.ReadTable)
        expectThat(readTable(1, 6, relay)).containsExactly(ProgressEffect.Discard)
        expectThat(readTable(1, 7, relay)).containsExactly(ProgressEffect.Apply(restored = false))
    }

    @Test
    fun `the versions of a store that names no era may go back`() {
        readDue(null)
        readTable(0, 7)
        decide(ProgressEvent.HistoryGone(store, null))
        expectThat(readDue(null)).containsExactly(ProgressEffect.ReadTable)
        expectThat(readTable(0, 3)).containsExactly(ProgressEffect.Apply(restored = false))
    }

    @Test
    fun `positions order by era and then by version, and are versions where no era is named`() {
        expectThat(position(2, 1)).isGreaterThan(position(1, 1_000_000))
        expectThat(position(2, 2)).isGreaterThan(position(2, 1))
        expectThat(position(5, 9)).get { era to counter }.isEqualTo(StoreEra(5) to 9)
        expectThat(position(0, 1_900_000_000_000).number).isEqualTo(1_900_000_000_000)
        expectThat(StorePosition.ofOrNull(StoreEra(0), 1L shl 44)).isNull()
        expectThat(StorePosition.ofOrNull(StoreEra(1L shl 19), 1)).isNull()
        expectThat(StorePosition.ofOrNull(StoreEra(0), -1)).isNull()
    }
}
