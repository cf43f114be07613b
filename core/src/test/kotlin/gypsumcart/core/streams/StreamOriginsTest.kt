package gypsumcart.core.streams

import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallKind
import gypsumcart.core.LEDGER
import gypsumcart.core.MODEL
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.RequestId
import gypsumcart.core.Ticket
import gypsumcart.core.admitted
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamOriginsTest {
    private val origins = StreamOrigins()
    private var now = at(0.seconds)

    private fun decide(event: StreamEvent): List<StreamEffect> = origins.decide(event, now)

    private fun elapse(time: Duration): List<StreamEffect> {
        now += time
        return decide(StreamEvent.Tick)
    }

    private fun arrive(beganAs: String?, number: Long = 1, timeLeft: Duration = 2.seconds): List<StreamEffect> =
        decide(StreamEvent.TakenUp(takeUp(beganAs, number, now, timeLeft)))

    private fun endRead(result: RecordReadResult, number: Long = 1): List<StreamEffect> =
        decide(StreamEvent.RecordRead(Ticket(number), result))

    private fun endCheck(versions: Set<BackEndVersion?>): List<StreamEffect> =
        decide(StreamEvent.VersionsChecked(VersionCheck.Confirmed(mapOf(LEDGER to versions))))

    /** Starts a node when [stored] is in the store and [listed] in the registry. */
    private fun start(stored: Set<BackEndVersion?>, listed: Set<BackEndVersion?>) {
        decide(listed(listed))
        decide(stored(stored))
    }

    /** Ends each read of the stream's record with [result] until the request is answered, and returns the answer. */
    private fun endAllReads(result: RecordReadResult, number: Long = 1): List<StreamEffect> {
        val start = now
        var effects = endRead(result, number)
        while (effects.outcomes().isEmpty() && effects.routedVersions().isEmpty()) {
            expectThat(now - start).isLessThan(SEARCH_TIME)
            effects = elapse(50.milliseconds)
            if (effects.reads().isNotEmpty()) effects = effects + endRead(result, number)
        }
        return effects
    }

    private fun List<StreamEffect>.outcomes() = filterIsInstance<StreamEffect.Refuse>().map { it.outcome }

    private fun List<StreamEffect>.reads() = filterIsInstance<StreamEffect.ReadRecord>().map { it.beganAs.text }

    private fun List<StreamEffect>.writtenIds() =
        filterIsInstance<StreamEffect.WriteRecords>().flatMap { write -> write.records.map { it.beganAs.text } }

    private fun List<StreamEffect>.writtenVersions() =
        filterIsInstance<StreamEffect.WriteVersions>().map { it.versions }

    // Guards against back ends without a version being taken for any version.
    @Test
    fun `back ends that state no version count as one version`() {
        start(emptySet(), setOf(null))
        arrive(null)
        expectThat(endCheck(setOf(null)).routedVersions()).containsExactly(null as BackEndVersion?)
        decide(listed(setOf(null, V1)))
        expectThat(arrive(null, number = 2).outcomes()).containsExactly(UNKNOWN)
    }

    // Guards against a choice of any version for a client that names no stream.
    @Test
    fun `a client that does not name the stream is refused at once while there are several versions`() {
        start(setOf(V1), setOf(V1, V2))
        expectThat(arrive(null).outcomes()).containsExactly(UNKNOWN)
    }

    // Guards against a version that left a moment ago and may have begun the stream.
    @Test
    fun `a version that has left still counts while a client of it may wait`() {
        start(setOf(V1), setOf(V1, V2))
        decide(listed(setOf(V2)))
        elapse(29.seconds)
        arrive("a")
        expectThat(endRead(RecordReadResult.Absent).routedVersions()).isEmpty()
        elapse(2.seconds)
        arrive("b", number = 2)
        expectThat(endRead(RecordReadResult.Absent, number = 2).routedVersions()).isEmpty()
        expectThat(endCheck(setOf(V2)).routedVersions()).containsExactly(V2)
    }

    // Guards against joined streams after a restart of one node, which has forgotten the streams that began there.
    @Test
    fun `after a restart of the node the record of another one tells the version`() {
        start(setOf(V1, V2), setOf(V1, V2))
        expectThat(arrive("a").reads()).containsExactly("a")
        expectThat(endRead(found("a", V1)).routedVersions()).containsExactly(V1)
    }

    // Guards against joined streams after a restart of all nodes, by which time the older version has left.
    @Test
    fun `after a restart of all nodes a version that only the store names counts as in use`() {
        start(setOf(V1, V2), setOf(V2))
        expectThat(arrive(null).outcomes()).containsExactly(UNKNOWN)
        expectThat(arrive("a", number = 2).reads()).containsExactly("a")
        expectThat(endRead(found("a", V1), number = 2).routedVersions()).containsExactly(V1)
        elapse(31.seconds)
        arrive(null, number = 3)
        expectThat(endCheck(setOf(V2)).routedVersions()).containsExactly(V2)
    }

    // Guards against taking the first list after a start for all versions of the last moments.
    @Test
    fun `the first list is no proof until the stored versions have been read`() {
        decide(listed(setOf(V2)))
        expectThat(arrive(null).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
        arrive("a", number = 2)
        expectThat(endRead(RecordReadResult.Absent, number = 2).routedVersions()).isEmpty()
        decide(stored(setOf(V2)))
        elapse(150.milliseconds)
        expectThat(endRead(RecordReadResult.Absent, number = 2).routedVersions()).isEmpty()
        expectThat(endCheck(setOf(V2)).routedVersions()).containsExactly(V2)
    }

    // Guards against the stored versions being taken for a list before back ends have been listed.
    @Test
    fun `the stored versions are no proof until back ends have been listed`() {
        decide(stored(setOf(V1)))
        expectThat(arrive(null).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
    }

    // Guards against joined streams at a node that has not heard yet of the version that another node uses.
    @Test
    fun `a record goes before the only version that this node has heard of`() {
        start(setOf(V1), setOf(V1))
        expectThat(arrive("a").reads()).containsExactly("a")
        expectThat(endRead(found("a", V2)).routedVersions()).containsExactly(V2)
    }

    // Guards against joined streams at a node that is cut off from the store, while another one uses a new version.
    @Test
    fun `the only version is no proof if the record can't be read`() {
        start(setOf(V1), setOf(V1))
        arrive("a")
        expectThat(endAllReads(RecordReadResult.Failed).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
    }

    // Guards against joined streams at a node that is cut off from the registry and has not heard of a new version.
    @Test
    fun `the only version is no proof while the registry does not respond`() {
        start(setOf(V1), setOf(V1))
        decide(StreamEvent.StreamBegan(record("own", V1)))
        decide(StreamEvent.RegistryChanged(isAvailable = false))
        elapse(10.seconds)
        expectThat(arrive(null).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
        expectThat(arrive("own", number = 2).routedVersions()).containsExactly(V1)
        decide(StreamEvent.RegistryChanged(isAvailable = true))
        expectThat(arrive(null, number = 3).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
        elapse(1.5.seconds)
        arrive(null, number = 4)
        expectThat(endCheck(setOf(V1)).routedVersions()).containsExactly(V1)
    }

    // Guards against a lost stream when its node writes the record just after the first read.
    @Test
    fun `a record that is not written yet is read once more`() {
        start(setOf(V1, V2), setOf(V1, V2))
        arrive("a")
        val waits = endRead(RecordReadResult.Absent)
        expectThat(waits).containsExactly(StreamEffect.WakeAt(now + 150.milliseconds))
        expectThat(elapse(150.milliseconds).reads()).containsExactly("a")
        expectThat(endRead(found("a", V2)).routedVersions()).containsExactly(V2)
    }

    // Guards against a client that waits for a stream that no record will ever name.
    @Test
    fun `a take-up without a record is refused within the time of the search, and not for good`() {
        start(setOf(V1, V2), setOf(V1, V2))
        arrive("a")
        expectThat(endAllReads(RecordReadResult.Absent).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
    }

    // Guards against the version of another stream whose record has the same slot.
    @Test
    fun `a record of another stream in the slot counts as none`() {
        start(setOf(V1, V2), setOf(V1, V2))
        arrive("a")
        expectThat(endAllReads(found("other", V2)).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
    }

    // Guards against a stream that goes on at any version, or waits, while the store is away.
    @Test
    fun `a take-up is refused for now while the store does not respond`() {
        start(setOf(V1, V2), setOf(V1, V2))
        val arrivedAt = now
        arrive("a")
        expectThat(endAllReads(RecordReadResult.Failed).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
        expectThat(now - arrivedAt).isLessThan(0.3.seconds)
        arrive("b", number = 2, timeLeft = 300.milliseconds)
        expectThat(elapse(300.milliseconds).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
        expectThat(endRead(found("b", V1), number = 2)).isEmpty()
    }

    // Guards against refusing a stream at the node that knows its version itself while the store is away.
    @Test
    fun `a node goes on with its own streams without the store, also for the second time`() {
        start(setOf(V1, V2), setOf(V1, V2))
        decide(StreamEvent.StreamBegan(record("a", V1)))
        decide(StreamEvent.RecordsWritten(succeeded = false))
        expectThat(arrive("a").routedVersions()).containsExactly(V1)
        expectThat(arrive("a", number = 2).routedVersions()).containsExactly(V1)
    }

    // Guards against a version that has left being replaced by the one that is left.
    @Test
    fun `a stream of a version that has left keeps its origin`() {
        start(setOf(V1), setOf(V1, V2))
        decide(StreamEvent.StreamBegan(record("a", V1)))
        decide(listed(setOf(V2)))
        expectThat(arrive("a").routedVersions()).containsExactly(V1)
    }

    // Guards against a stream of one service that goes on at another to which its route has moved.
    @Test
    fun `a stream that began at another service is refused`() {
        start(setOf(V1, V2), setOf(V1, V2))
        decide(StreamEvent.StreamBegan(record("a", V1, MODEL)))
        expectThat(arrive("a").outcomes()).containsExactly(Outcome.NotRun(RefusalReason.OriginGone, null))
    }

    // Guards against writes, which are priced, for streams of which one row tells the version.
    @Test
    fun `no record is written while one version is in use`() {
        start(setOf(V1), setOf(V1))
        expectThat(decide(StreamEvent.StreamBegan(record("a", V1)))).isEmpty()
        expectThat(elapse(1.seconds)).isEmpty()
    }

    // Guards against streams without a record that began just before the second version came.
    @Test
    fun `the streams of the last moments are recorded when the second version comes`() {
        start(setOf(V1), setOf(V1))
        decide(StreamEvent.StreamBegan(record("old", V1)))
        now += 31.seconds
        listOf("a", "b").forEach { decide(StreamEvent.StreamBegan(record(it, V1))) }
        decide(StreamEvent.StreamEnded(RequestId("b")))
        expectThat(decide(listed(setOf(V1, V2))).writtenIds()).containsExactly("a")
    }

    // Guards against records of streams that nobody will take up.
    @Test
    fun `a stream that completes before its record is written is not written`() {
        start(setOf(V1, V2), setOf(V1, V2))
        expectThat(decide(StreamEvent.StreamBegan(record("a", V1))).writtenIds()).containsExactly("a")
        decide(StreamEvent.StreamBegan(record("b", V1)))
        decide(StreamEvent.StreamBegan(record("c", V2)))
        decide(StreamEvent.StreamEnded(RequestId("b")))
        decide(StreamEvent.RecordsWritten(succeeded = true))
        expectThat(elapse(100.milliseconds).writtenIds()).containsExactly("c")
    }

    // Guards against records that are lost with a write that failed.
    @Test
    fun `records whose write failed are written again, later`() {
        start(setOf(V1, V2), setOf(V1, V2))
        decide(StreamEvent.StreamBegan(record("a", V1)))
        decide(StreamEvent.StreamBegan(record("b", V1)))
        decide(StreamEvent.RecordsWritten(succeeded = false))
        expectThat(elapse(900.milliseconds).writtenIds()).isEmpty()
        expectThat(elapse(100.milliseconds).writtenIds()).containsExactly("a", "b")
    }

    // Guards against a write that exceeds the store's limit, and memory that grows while the store is away.
    @Test
    fun `writes and waiting records are bounded`() {
        start(setOf(V1, V2), setOf(V1, V2))
        repeat(1_500) { decide(StreamEvent.StreamBegan(record("$it", V1))) }
        decide(StreamEvent.RecordsWritten(succeeded = true))
        val written = ArrayList<List<String>>()
        repeat(20) {
            written += elapse(100.milliseconds).writtenIds()
            decide(StreamEvent.RecordsWritten(succeeded = true))
        }
        expectThat(written.filter { it.isNotEmpty() }).hasSize(10)
        expectThat(written.flatten()).isEqualTo((500 until 1_500).map { "$it" })
    }

    // Guards against memory that clients fill with long ids.
    @Test
    fun `a stream with an id of excessive length is not remembered`() {
        start(setOf(V1, V2), setOf(V1, V2))
        val id = "x".repeat(201)
        expectThat(decide(StreamEvent.StreamBegan(record(id, V1))).writtenIds()).isEmpty()
        expectThat(arrive(id).reads()).containsExactly(id)
    }

    // Guards against writes of a large fleet that exceed what the store takes.
    @Test
    fun `the pause between writes grows with the number of nodes`() {
        start(setOf(V1, V2), setOf(V1, V2))
        decide(StreamEvent.RankUpdated(400, rank = 7))
        decide(StreamEvent.StreamBegan(record("a", V1)))
        decide(StreamEvent.RecordsWritten(succeeded = true))
        decide(StreamEvent.StreamBegan(record("b", V1)))
        expectThat(elapse(7.seconds).writtenIds()).isEmpty()
        expectThat(elapse(1.seconds).writtenIds()).containsExactly("b")
    }

    // Guards against a lost tick that leaves records unwritten.
    @Test
    fun `a write that must wait requests one tick`() {
        start(setOf(V1, V2), setOf(V1, V2))
        decide(StreamEvent.StreamBegan(record("a", V1)))
        decide(StreamEvent.StreamBegan(record("b", V1)))
        expectThat(decide(StreamEvent.RecordsWritten(succeeded = true))).containsExactly(
            StreamEffect.WakeAt(now + 100.milliseconds),
        )
        expectThat(decide(StreamEvent.StreamBegan(record("c", V1)))).isEmpty()
    }

    // Guards against a restart of all nodes after which nobody knows that a second version was in use.
    @Test
    fun `the node with the lowest id writes the versions when they change and again while there are several`() {
        start(emptySet(), setOf(V1))
        expectThat(decide(StreamEvent.RankUpdated(2, rank = 0)).writtenVersions()).isEqualTo(listOf(setOf(V1)))
        decide(StreamEvent.VersionsWritten(LEDGER, setOf(V1), succeeded = true))
        expectThat(elapse(60.seconds).writtenVersions()).isEmpty()
        expectThat(decide(listed(setOf(V1, V2))).writtenVersions()).isEqualTo(listOf(setOf(V1, V2)))
        decide(StreamEvent.VersionsWritten(LEDGER, setOf(V1, V2), succeeded = true))
        expectThat(elapse(9.seconds).writtenVersions()).isEmpty()
        expectThat(elapse(1.seconds).writtenVersions()).isEqualTo(listOf(setOf(V1, V2)))
    }

    // Guards against a node that replaces the stored versions by what it alone has heard.
    @Test
    fun `a node writes no versions before it has read them, nor if another one has a lower id`() {
        decide(listed(setOf(V2)))
        expectThat(decide(StreamEvent.RankUpdated(2, rank = 0)).writtenVersions()).isEmpty()
        expectThat(decide(stored(setOf(V1))).writtenVersions()).isEqualTo(listOf(setOf(V1, V2)))
        decide(StreamEvent.RankUpdated(2, rank = 1))
        expectThat(decide(listed(setOf(BackEndVersion("v3")))).writtenVersions()).isEmpty()
    }

    // Guards against a store that has come back from an older copy, without the row of the versions.
    @Test
    fun `versions that are missing in the store are written again`() {
        start(setOf(V1), setOf(V1))
        expectThat(decide(StreamEvent.RankUpdated(1, rank = 0)).writtenVersions()).isEmpty()
        expectThat(decide(stored(emptySet())).writtenVersions()).isEqualTo(listOf(setOf(V1)))
        decide(StreamEvent.VersionsWritten(LEDGER, setOf(V1), succeeded = false))
        expectThat(elapse(1.seconds).writtenVersions()).isEqualTo(listOf(setOf(V1)))
    }

    // Guards against reads without number when a node is lost and all its clients come at once.
    @Test
    fun `take-ups beyond the bound of reads are refused for now`() {
        start(setOf(V1, V2), setOf(V1, V2))
        val effects = (1L..257L).flatMap { arrive("$it", number = it) }
        expectThat(effects.reads()).hasSize(256)
        expectThat(effects.outcomes()).containsExactly(
            Outcome.NotRun(RefusalReason.Overloaded("streams"), 300.milliseconds),
        )
    }

    // Guards against the check of requests that no back end can continue.
    @Test
    fun `only requests of resumable routes take streams up`() {
        val request = takeUp("a", 1, now)
        val once = CallKind.Streamed(resumable = false, maxPause = 1.seconds)
        expectThat(request.takesUpStream).isTrue()
        expectThat(request.copy(route = request.route.copy(kind = once)).takesUpStream).isFalse()
        expectThat(admitted(STREAMED).takesUpStream).isFalse()
    }

    private fun found(id: String, version: BackEndVersion?) = RecordReadResult.Found(record(id, version))

    private companion object {
        val UNKNOWN = Outcome.NotRun(RefusalReason.OriginUnknown, null)

        /** The longest time for which the record of a stream is looked for. */
        val SEARCH_TIME = 1.seconds
        val UNKNOWN_FOR_NOW = Outcome.NotRun(RefusalReason.OriginUnknown, 300.milliseconds)
    }
}
