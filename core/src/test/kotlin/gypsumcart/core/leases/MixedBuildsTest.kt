package gypsumcart.core.leases

import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.at
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against fencing tokens that go back when nodes of the build before the store's eras hold the lease too: they
 * take the store's own versions for tokens, while positions contain the era.
 */
class MixedBuildsTest {
    private val lease = Lease(NodeId("node-1"), Incarnation(1), term = 3.seconds, maxClockJump = 300.milliseconds)
    private val command = FencedCommand.ReportUsage(WindowNumber(1), emptyMap())

    private fun wallTime(millis: Int) = UnixMillis(1_000_000L + millis)

    private fun observe(millis: Int, row: LeaseRow?) =
        lease.decide(LeaseEvent.RowObserved(row, wallTime(millis)), at(millis.milliseconds))

    private fun tick(millis: Int) = lease.decide(LeaseEvent.Tick(wallTime(millis)), at(millis.milliseconds))

    private fun endWrite(millis: Int, version: Long) =
        lease.decide(
            LeaseEvent.WriteEnded(LeaseWriteResult.Written(version), wallTime(millis)),
            at(millis.milliseconds),
        )

    private fun request(millis: Int) =
        lease.decide(LeaseEvent.CommandRequested(command, wallTime(millis)), at(millis.milliseconds))

    private fun position(era: Long, counter: Long): Long =
        checkNotNull(StorePosition.ofOrNull(StoreEra(era), counter)).number

    /** Returns the row as a node of the build before stores it, read at [counter] of the store in [era]. */
    private fun rowOfBuildBefore(counter: Long, token: Long?, era: Long = 1, node: String = "node-2") =
        LeaseRow(NodeId(node), Incarnation(1), position(era, counter), token?.let(::FencingToken))

    @Test
    fun `the token after one of the build before is the next number, which that build orders alike`() {
        observe(0, rowOfBuildBefore(counter = 105, token = 100))
        expectThat(tick(3_600)).contains(LeaseEffect.WriteRow(position(1, 105), FencingToken(101)))
        expectThat(endWrite(3_610, position(1, 106))).any {
            isA<LeaseEffect.HoldingChanged>().get { fencingToken }.isEqualTo(FencingToken(101))
        }
        expectThat(request(3_700)).any {
            isA<LeaseEffect.Execute>().get { fencingToken }.isEqualTo(FencingToken(101))
        }
    }

    @Test
    fun `a node of the build before that takes the lease over and is lost before it renews it is followed too`() {
        observe(0, rowOfBuildBefore(counter = 105, token = 100))
        observe(1_000, rowOfBuildBefore(counter = 120, token = null, node = "node-3"))
        expectThat(tick(4_600)).contains(LeaseEffect.WriteRow(position(1, 120), FencingToken(121)))
    }

    /** Guards against a version of another node's message that is taken for one of an earlier era of the store. */
    @Test
    fun `a row that a node of the build before reported before the store was read is not from before a return`() {
        observe(0, LeaseRow(NodeId("node-2"), Incarnation(1), version = 104, storedToken = FencingToken(100)))
        observe(100, rowOfBuildBefore(counter = 105, token = 100))
        expectThat(tick(3_700)).contains(LeaseEffect.WriteRow(position(1, 105), FencingToken(101)))
    }

    @Test
    fun `a node of the build with eras that is lost before it renews the lease is followed by a position`() {
        observe(0, LeaseRow(NodeId("node-2"), Incarnation(1), position(1, 105), FencingToken(position(1, 100))))
        observe(1_000, LeaseRow(NodeId("node-3"), Incarnation(1), position(1, 120), null))
        expectThat(tick(4_600)).contains(LeaseEffect.WriteRow(position(1, 120), null))
    }

    @Test
    fun `the token is a position again once the store has come back from an older copy`() {
        observe(0, rowOfBuildBefore(counter = 105, token = 100))
        observe(1_000, rowOfBuildBefore(counter = 103, token = 100, era = 2))
        expectThat(tick(4_600)).contains(LeaseEffect.WriteRow(position(2, 103), null))
    }

    /** Guards against a token that a holder had whose row the copy lacks. */
    @Test
    fun `a process that starts later learns from the row that the store has come back since it was written`() {
        val row = rowOfBuildBefore(counter = 103, token = 101, era = 2).copy(writtenIn = StoreEra(1))
        observe(0, row)
        expectThat(tick(3_600)).contains(LeaseEffect.WriteRow(position(2, 103), null))
    }

    @Test
    fun `a row of this build is followed by the next number as long as the store has not come back`() {
        val row = rowOfBuildBefore(counter = 105, token = 101).copy(writtenIn = StoreEra(1))
        observe(0, row)
        expectThat(tick(3_600)).contains(LeaseEffect.WriteRow(position(1, 105), FencingToken(102)))
    }
}
