package gypsumcart.core.streams

import gypsumcart.core.BackEndVersion
import gypsumcart.core.LEDGER
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.Ticket
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Takes streams up at a node that knows a single version, while the registry may list another one. */
class VersionChecksTest {
    private val origins = StreamOrigins()
    private var now = at(0.seconds)

    init {
        decide(listed(setOf(V1)))
        decide(stored(setOf(V1)))
    }

    private fun decide(event: StreamEvent): List<StreamEffect> = origins.decide(event, now)

    private fun elapse(time: Duration): List<StreamEffect> {
        now += time
        return decide(StreamEvent.Tick)
    }

    private fun arrive(beganAs: String?, number: Long = 1): List<StreamEffect> =
        decide(StreamEvent.TakenUp(takeUp(beganAs, number, now)))

    private fun endRead(result: RecordReadResult): List<StreamEffect> =
        decide(StreamEvent.RecordRead(Ticket(1), result))

    private fun endCheck(versions: Set<BackEndVersion?>): List<StreamEffect> =
        decide(StreamEvent.VersionsChecked(VersionCheck.Confirmed(mapOf(LEDGER to versions))))

    private fun failCheck(): List<StreamEffect> = decide(StreamEvent.VersionsChecked(VersionCheck.Failed))

    private fun List<StreamEffect>.outcomes() = filterIsInstance<StreamEffect.Refuse>().map { it.outcome }

    private fun List<StreamEffect>.reads() = filterIsInstance<StreamEffect.ReadRecord>().map { it.beganAs.text }

    private fun List<StreamEffect>.checks() = filterIsInstance<StreamEffect.CheckVersions>().map { it.services }

    // Guards against a stream of a version that this node has not heard of going on at the only one that it knows.
    @Test
    fun `the only version is no proof if the registry lists another one by now`() {
        arrive("a")
        endRead(RecordReadResult.Absent)
        expectThat(endCheck(setOf(V1, V2)).routedVersions()).isEmpty()
        expectThat(elapse(150.milliseconds).reads()).containsExactly("a")
        expectThat(endRead(RecordReadResult.Found(record("a", V2))).routedVersions()).containsExactly(V2)
    }

    // Guards against a stream that waits for a record that its node has lost, while the registry lists two versions.
    @Test
    fun `a take-up without a record is refused if the registry lists another version at later checks too`() {
        arrive("a")
        endRead(RecordReadResult.Absent)
        endCheck(setOf(V1, V2))
        elapse(150.milliseconds)
        endRead(RecordReadResult.Absent)
        expectThat(endCheck(setOf(V1, V2)).routedVersions()).isEmpty()
        expectThat(elapse(850.milliseconds).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
        arrive(null, number = 2)
        expectThat(endCheck(setOf(V1, V2)).outcomes()).containsExactly(UNKNOWN)
    }

    // Guards against joined streams if the versions can't be read after the take-up arrived.
    @Test
    fun `the only version is no proof if the versions in use can't be read`() {
        arrive("a")
        endRead(RecordReadResult.Absent)
        expectThat(failCheck().routedVersions()).isEmpty()
        elapse(150.milliseconds)
        endRead(RecordReadResult.Absent)
        expectThat(failCheck().routedVersions()).isEmpty()
        expectThat(elapse(850.milliseconds).outcomes()).containsExactly(UNKNOWN_FOR_NOW)
    }

    // Guards against a check that read the versions before the stream began, e.g. before this node stood still.
    @Test
    fun `a check that started before a take-up arrived says nothing about it`() {
        expectThat(arrive(null).checks()).hasSize(1)
        expectThat(arrive(null, number = 2).checks()).isEmpty()
        val effects = endCheck(setOf(V1))
        expectThat(effects.routedVersions()).hasSize(1)
        expectThat(effects.checks()).isEqualTo(listOf(setOf(LEDGER)))
        expectThat(endCheck(setOf(V1, V2)).outcomes()).containsExactly(UNKNOWN)
    }

    // Guards against a version that left while a check ran being forgotten.
    @Test
    fun `a version that was in use lately counts although a check does not name it`() {
        arrive("a")
        endRead(RecordReadResult.Absent)
        decide(listed(setOf(V2)))
        expectThat(endCheck(setOf(V2)).routedVersions()).isEmpty()
    }

    // Guards against refusing take-ups of a service that has always had a single version.
    @Test
    fun `a stream goes on at the only version, also if the client does not name it`() {
        arrive("a")
        expectThat(endRead(RecordReadResult.Absent).checks()).isEqualTo(listOf(setOf(LEDGER)))
        expectThat(endCheck(setOf(V1)).routedVersions()).containsExactly(V1)
        expectThat(arrive(null, number = 2).checks()).isEqualTo(listOf(setOf(LEDGER)))
        expectThat(endCheck(setOf(V1)).routedVersions()).containsExactly(V1)
    }

    // Guards against refusals where one version is in use and a loss of a node brings many take-ups at once.
    @Test
    fun `take-ups beyond the bound of reads go on at the only version`() {
        val effects = (1L..257L).flatMap { arrive("$it", number = it) }
        expectThat(effects.reads()).hasSize(256)
        expectThat(effects.outcomes()).isEmpty()
        expectThat(endCheck(setOf(V1)).routedVersions()).containsExactly(V1)
    }

    // Guards against memory and time that grow with the take-ups that wait while the store does not respond.
    @Test
    fun `take-ups beyond the bound of waiting ones are refused for now`() {
        val effects = (1L..1_025L).flatMap { arrive("$it", number = it) }
        expectThat(effects.outcomes()).containsExactly(
            Outcome.NotRun(RefusalReason.Overloaded("streams"), 300.milliseconds),
        )
    }

    private companion object {
        val UNKNOWN = Outcome.NotRun(RefusalReason.OriginUnknown, null)
        val UNKNOWN_FOR_NOW = Outcome.NotRun(RefusalReason.OriginUnknown, 300.milliseconds)
    }
}
