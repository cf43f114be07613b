package gypsumcart.core.leases

import gypsumcart.core.FencingNumber
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.none
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeaseTest {
    private val node = NodeId("node-1")
    private val lease = Lease(node, Incarnation(1), term = 3.seconds, jumpLimit = 300.milliseconds)
    private val act = DutyAct.ReportUsage(WindowNumber(1), emptyMap())
    private var wallOffset = 1_000_000L

    private fun wall(millis: Int) = UnixMillis(wallOffset + millis)

    private fun seen(millis: Int, row: LeaseRow?) =
        lease.decide(LeaseEvent.Seen(row, wall(millis)), at(millis.milliseconds))

    private fun tick(millis: Int) = lease.decide(LeaseEvent.Tick(wall(millis)), at(millis.milliseconds))

    private fun ended(millis: Int, result: LeaseWriteResult) =
        lease.decide(LeaseEvent.WriteEnded(result, wall(millis)), at(millis.milliseconds))

    private fun want(millis: Int) = lease.decide(LeaseEvent.Wanted(act, wall(millis)), at(millis.milliseconds))

    private fun take() {
        seen(0, null)
        tick(100)
        ended(110, LeaseWriteResult.Written(7))
    }

    @Test
    fun `a free lease is taken and its number is the version of the write`() {
        seen(0, null)
        expectThat(tick(100)).contains(LeaseEffect.Write(0, null))
        expectThat(ended(110, LeaseWriteResult.Written(7))).contains(LeaseEffect.HoldingChanged(FencingNumber(7)))
        expectThat(want(200)).contains(LeaseEffect.Perform(act, FencingNumber(7)))
    }

    @Test
    fun `a renewal keeps the number`() {
        take()
        expectThat(tick(1_400)).contains(LeaseEffect.Write(7, FencingNumber(7)))
        ended(1_410, LeaseWriteResult.Written(9))
        expectThat(want(2_000)).contains(LeaseEffect.Perform(act, FencingNumber(7)))
    }

    @Test
    fun `a term that was not renewed ends, counted from before its write was sent`() {
        take()
        expectThat(want(3_090)).any { isA<LeaseEffect.Perform>() }
        expectThat(want(3_110)).none { isA<LeaseEffect.Perform>() }
    }

    @Test
    fun `a lease of another node is taken over only when it stood still for longer than a term`() {
        val other = LeaseRow(NodeId("node-2"), Incarnation(1), 5, FencingNumber(3))
        seen(0, other)
        expectThat(tick(3_000)).isEmpty()
        seen(3_100, other.copy(version = 6))
        expectThat(tick(6_500)).isEmpty()
        expectThat(tick(6_700)).contains(LeaseEffect.Write(6, null))
    }

    @Test
    fun `a write without an answer is settled by reading the row`() {
        seen(0, null)
        tick(100)
        expectThat(ended(1_100, LeaseWriteResult.Unknown)).contains(LeaseEffect.Read)
        seen(1_200, LeaseRow(node, Incarnation(1), 7, null))
        expectThat(want(1_300)).none { isA<LeaseEffect.Perform>() }
        tick(1_400)
        ended(1_410, LeaseWriteResult.Written(8))
        expectThat(want(1_500)).contains(LeaseEffect.Perform(act, FencingNumber(7)))
    }

    @Test
    fun `a suspended host does not act on the term that it had`() {
        take()
        wallOffset += 5_000
        expectThat(want(300)).none { isA<LeaseEffect.Perform>() }
    }

    @Test
    fun `a number that was refused is not used again`() {
        take()
        lease.decide(LeaseEvent.Superseded(FencingNumber(7), wall(200)), at(200.milliseconds))
        expectThat(want(300)).none { isA<LeaseEffect.Perform>() }
    }

    @Test
    fun `another start of the same node does not hold the lease of the one before`() {
        val before = LeaseRow(node, Incarnation(0), 5, FencingNumber(3))
        seen(0, before)
        tick(100)
        expectThat(want(200)).isEmpty()
        expectThat(before.term).isEqualTo(FencingNumber(3))
    }
}
