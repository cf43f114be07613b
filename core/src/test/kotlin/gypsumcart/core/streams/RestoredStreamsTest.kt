package gypsumcart.core.streams

import gypsumcart.core.BackEndVersion
import gypsumcart.core.LEDGER
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.RequestId
import gypsumcart.core.Ticket
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers streams whose records or versions a store lacks that has come back from an older copy. */
class RestoredStreamsTest {
    private val origins = StreamOrigins()
    private var now = at(0.seconds)

    private fun decide(event: StreamEvent): List<StreamEffect> = origins.decide(event, now)

    private fun elapse(time: Duration): List<StreamEffect> {
        now += time
        return decide(StreamEvent.Tick)
    }

    private fun arrive(beganAs: String?, number: Long = 1): List<StreamEffect> =
        decide(StreamEvent.TakenUp(takeUp(beganAs, number, now)))

    private fun endRead(result: RecordReadResult, number: Long = 1): List<StreamEffect> =
        decide(StreamEvent.RecordRead(Ticket(number), result))

    private fun endCheck(versions: Set<BackEndVersion?>): List<StreamEffect> =
        decide(StreamEvent.VersionsChecked(VersionCheck.Confirmed(mapOf(LEDGER to versions))))

    /** Starts a node when [stored] is in the store and [listed] in the registry. */
    private fun start(stored: Set<BackEndVersion?>, listed: Set<BackEndVersion?>) {
        decide(listed(listed))
        decide(stored(stored))
    }

    private fun List<StreamEffect>.outcomes() = filterIsInstance<StreamEffect.Refuse>().map { it.outcome }

    private fun List<StreamEffect>.reads() = filterIsInstance<StreamEffect.ReadRecord>().map { it.beganAs.text }

    private fun List<StreamEffect>.writtenIds() =
        filterIsInstance<StreamEffect.WriteRecords>().flatMap { write -> write.records.map { it.beganAs.text } }

    private fun List<StreamEffect>.writtenVersions() =
        filterIsInstance<StreamEffect.WriteVersions>().map { it.versions }

    // Guards against take-ups that are refused, or joined with another version, since the store has lost the records.
    @Test
    fun `records that the store had acknowledged are stored again when it comes back from an older copy`() {
        start(setOf(V1, V2), setOf(V1, V2))
        expectThat(decide(StreamEvent.StreamBegan(record("a", V1))).writtenIds()).containsExactly("a")
        decide(StreamEvent.RecordsWritten(succeeded = true))
        decide(StreamEvent.StreamBegan(record("ended", V1)))
        decide(StreamEvent.StreamEnded(RequestId("ended")))
        now += 1.seconds
        expectThat(decide(StreamEvent.StoreRestored).writtenIds()).containsExactly("a")
    }

    @Test
    fun `records that were being stored when the store came back from an older copy are stored again`() {
        start(setOf(V1, V2), setOf(V1, V2))
        expectThat(decide(StreamEvent.StreamBegan(record("a", V1))).writtenIds()).containsExactly("a")
        decide(StreamEvent.StoreRestored)
        now += 1.seconds
        expectThat(decide(StreamEvent.RecordsWritten(succeeded = true)).writtenIds()).containsExactly("a")
    }

    // Guards against a stream that goes on at another version: a copy of the store may lack its record and its version.
    @Test
    fun `an absent record proves nothing until what a copy of the store lacks has been written again`() {
        start(setOf(V1), setOf(V1))
        decide(StreamEvent.StoreRestored)
        arrive("a")
        endRead(RecordReadResult.Absent)
        expectThat(elapse(200.milliseconds).reads()).containsExactly("a")
        expectThat(endRead(RecordReadResult.Absent).routedVersions()).isEmpty()
        expectThat(elapse(800.milliseconds).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
        now += 3.seconds
        arrive("b", number = 2)
        expectThat(endRead(RecordReadResult.Absent, number = 2).routedVersions()).isEmpty()
        expectThat(endCheck(setOf(V1)).routedVersions()).containsExactly(V1)
    }

    // Guards against versions that are forgotten, or not written again, since a copy of the store lacks them.
    @Test
    fun `versions that a copy of the store lacks stay in use and are written again`() {
        start(setOf(V1, V2), setOf(V1, V2))
        decide(StreamEvent.RankUpdated(nodeCount = 2, rank = 0))
        decide(StreamEvent.VersionsWritten(LEDGER, setOf(V1, V2), succeeded = true))
        now += 2.seconds
        decide(StreamEvent.StoreRestored)
        expectThat(decide(stored(setOf(V1))).writtenVersions()).isEqualTo(listOf(setOf(V1, V2)))
        now += 3.seconds
        arrive("a")
        expectThat(endRead(RecordReadResult.Absent).routedVersions()).isEmpty()
    }

    private companion object {
        val UNKNOWN_FOR_NOW = Outcome.NotRun(RefusalReason.OriginUnknown, 300.milliseconds)
    }
}
