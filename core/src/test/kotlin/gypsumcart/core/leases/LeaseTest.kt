package gypsumcart.core.leases

import gypsumcart.core.FencingToken
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
    private val lease = Lease(node, Incarnation(1), term = 3.seconds, maxClockJump = 300.milliseconds)
    private val command = FencedCommand.ReportUsage(WindowNumber(1), emptyMap())
    private var wallClockOffset = 1_000_000L

    private fun wallTime(millis: Int) = UnixMillis(wallClockOffset + millis)

    private fun observe(millis: Int, row: LeaseRow?) =
        lease.decide(LeaseEvent.RowObserved(row, wallTime(millis)), at(millis.milliseconds))

    private fun tick(millis: Int) = lease.decide(LeaseEvent.Tick(wallTime(millis)), at(millis.milliseconds))

    private fun endWrite(millis: Int, result: LeaseWriteResult) =
        lease.decide(LeaseEvent.WriteEnded(result, wallTime(millis)), at(millis.milliseconds))

    private fun request(millis: Int) =
        lease.decide(LeaseEvent.CommandRequested(command, wallTime(millis)), at(millis.milliseconds))

    private fun execution(millis: Int, termEnd: Int): LeaseEffect {
        val decidedAt = at(millis.milliseconds)
        val permit = CommandPermit(at(termEnd.milliseconds), decidedAt, wallTime(millis), 300.milliseconds)
        return LeaseEffect.Execute(command, FencingToken(7), permit)
    }

    private fun acquire() {
        observe(0, null)
        tick(100)
        endWrite(110, LeaseWriteResult.Written(7))
    }

    @Test
    fun `a free lease is acquired and its fencing token is the version of the write`() {
        observe(0, null)
        expectThat(tick(100)).contains(LeaseEffect.WriteRow(0, null))
        expectThat(endWrite(110, LeaseWriteResult.Written(7))).contains(LeaseEffect.HoldingChanged(FencingToken(7)))
        expectThat(request(200)).contains(execution(200, termEnd = 3_100))
    }

    @Test
    fun `a renewal keeps the fencing token`() {
        acquire()
        expectThat(tick(1_400)).contains(LeaseEffect.WriteRow(7, FencingToken(7)))
        endWrite(1_410, LeaseWriteResult.Written(9))
        expectThat(request(2_000)).contains(execution(2_000, termEnd = 4_400))
    }

    @Test
    fun `a term that is not renewed ends, counted from the time at which its write was sent`() {
        acquire()
        expectThat(request(3_090)).any { isA<LeaseEffect.Execute>() }
        expectThat(request(3_110)).none { isA<LeaseEffect.Execute>() }
    }

    @Test
    fun `a lease of another node is taken over only after its row has not changed for longer than a term`() {
        val other = LeaseRow(NodeId("node-2"), Incarnation(1), 5, FencingToken(3))
        observe(0, other)
        expectThat(tick(3_000)).isEmpty()
        observe(3_100, other.copy(version = 6))
        expectThat(tick(6_500)).isEmpty()
        expectThat(tick(6_700)).contains(LeaseEffect.WriteRow(6, null))
    }

    @Test
    fun `a write without an answer leads to a read, and the lease counts as held only after the next write`() {
        observe(0, null)
        tick(100)
        expectThat(endWrite(1_100, LeaseWriteResult.Unknown)).contains(LeaseEffect.ReadRow)
        observe(1_200, LeaseRow(node, Incarnation(1), 7, null))
        expectThat(request(1_300)).none { isA<LeaseEffect.Execute>() }
        tick(1_400)
        endWrite(1_410, LeaseWriteResult.Written(8))
        expectThat(request(1_500)).contains(execution(1_500, termEnd = 4_400))
    }

    @Test
    fun `a jump of the wall clock against the monotonic clock ends the term, as after a suspension of the host`() {
        acquire()
        wallClockOffset += 5_000
        expectThat(request(300)).none { isA<LeaseEffect.Execute>() }
    }

    @Test
    fun `a superseded fencing token is not used again`() {
        acquire()
        lease.decide(LeaseEvent.TokenSuperseded(FencingToken(7), wallTime(200)), at(200.milliseconds))
        expectThat(request(300)).none { isA<LeaseEffect.Execute>() }
    }

    @Test
    fun `a new incarnation of a node does not hold the lease of the previous one`() {
        val previous = LeaseRow(node, Incarnation(0), 5, FencingToken(3))
        observe(0, previous)
        tick(100)
        expectThat(request(200)).isEmpty()
        expectThat(previous.fencingToken).isEqualTo(FencingToken(3))
    }

    /** Guards against a term that ends after the write that it is counted from, if two are in progress. */
    @Test
    fun `a write that a suspension of the host interrupted ends before the next one starts`() {
        observe(0, null)
        tick(100)
        wallClockOffset += 5_000
        tick(350)
        observe(360, null)
        expectThat(tick(600)).isEmpty()
        expectThat(endWrite(700, LeaseWriteResult.Written(7))).contains(LeaseEffect.ReadRow)
        expectThat(request(800)).none { isA<LeaseEffect.Execute>() }
    }
}
