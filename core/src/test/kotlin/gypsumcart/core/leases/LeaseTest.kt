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

    private fun restore(millis: Int) =
        lease.decide(LeaseEvent.StoreRestored(wallTime(millis)), at(millis.milliseconds))

    private fun acquireAnew(millis: Int) {
        expectThat(tick(millis)).contains(LeaseEffect.WriteRow(COPIED, null))
        expectThat(endWrite(millis + 10, LeaseWriteResult.Written(COPIED + 1)))
            .contains(LeaseEffect.HoldingChanged(FencingToken(COPIED + 1)))
    }

    /** Guards against a fencing token of an earlier era that is renewed, below one that the platform has seen. */
    @Test
    fun `the holder acquires the lease anew when the store has come back from an older copy`() {
        acquire()
        tick(1_400)
        endWrite(1_410, LeaseWriteResult.Written(9))
        expectThat(restore(2_000)).none { isA<LeaseEffect.HoldingChanged>() }
        observe(2_010, LeaseRow(node, Incarnation(1), COPIED, FencingToken(7)))
        acquireAnew(2_100)
        expectThat(request(2_200)).any { isA<LeaseEffect.Execute>() }
    }

    /** Guards against a lease that is lost for good because nobody accepts that its row is gone. */
    @Test
    fun `the holder acquires the lease anew when the copy lacks the row`() {
        acquire()
        restore(2_000)
        observe(2_010, null)
        expectThat(tick(2_100)).contains(LeaseEffect.WriteRow(0, null))
        expectThat(endWrite(2_110, LeaseWriteResult.Written(COPIED)))
            .contains(LeaseEffect.HoldingChanged(FencingToken(COPIED)))
    }

    /** Guards against two holders: the copy shows a holder from before a take-over that it lacks. */
    @Test
    fun `an earlier holder that the copy shows waits for longer than a term`() {
        acquire()
        observe(4_000, LeaseRow(NodeId("node-2"), Incarnation(1), 20, null))
        restore(5_000)
        observe(5_010, LeaseRow(node, Incarnation(1), COPIED, FencingToken(7)))
        expectThat(tick(8_400)).isEmpty()
        expectThat(request(8_400)).none { isA<LeaseEffect.Execute>() }
        acquireAnew(8_600)
    }

    /** Guards against two holders: the copy shows the holder that this node has taken the lease over from. */
    @Test
    fun `a holder that the copy does not know yet acquires the lease anew within its term`() {
        observe(0, LeaseRow(NodeId("node-2"), Incarnation(1), 5, FencingToken(3)))
        tick(3_600)
        endWrite(3_610, LeaseWriteResult.Written(7))
        restore(4_000)
        observe(4_010, LeaseRow(NodeId("node-2"), Incarnation(1), COPIED, FencingToken(3)))
        expectThat(request(4_050)).any { isA<LeaseEffect.Execute>() }
        acquireAnew(4_100)
    }

    /** Guards against a take-over while the term of a holder runs whose renewals the copy lacks. */
    @Test
    fun `other nodes wait for longer than a term after the store has come back, also if the row is gone`() {
        observe(0, LeaseRow(NodeId("node-2"), Incarnation(1), 5, FencingToken(3)))
        restore(3_000)
        observe(3_010, null)
        expectThat(tick(6_400)).isEmpty()
        expectThat(tick(6_600)).contains(LeaseEffect.WriteRow(0, null))
    }

    /** Guards against a term that a write of an earlier era starts: its condition may have held by coincidence. */
    @Test
    fun `a write that was in progress when the store came back starts no term`() {
        observe(0, null)
        tick(100)
        restore(150)
        expectThat(endWrite(200, LeaseWriteResult.Written(7))).none { isA<LeaseEffect.HoldingChanged>() }
        expectThat(request(300)).none { isA<LeaseEffect.Execute>() }
    }

    @Test
    fun `a row that is missing once is read again before it counts as lost`() {
        acquire()
        expectThat(observe(200, null)).contains(LeaseEffect.ReadRow)
        expectThat(request(210)).any { isA<LeaseEffect.Execute>() }
        observe(220, null)
        expectThat(tick(300)).contains(LeaseEffect.WriteRow(0, null))
    }

    /** Guards against a node that renews a lease for good whose token the platform refuses. */
    @Test
    fun `a node that the row names although its token is superseded acquires the lease anew after a term`() {
        acquire()
        lease.decide(LeaseEvent.TokenSuperseded(FencingToken(7), wallTime(200)), at(200.milliseconds))
        observe(210, LeaseRow(node, Incarnation(1), 7, null))
        expectThat(tick(3_600)).isEmpty()
        expectThat(tick(3_800)).contains(LeaseEffect.WriteRow(7, null))
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

    private fun position(era: Long, counter: Long): Long =
        checkNotNull(StorePosition.ofOrNull(StoreEra(era), counter)).number

    /** Guards against two holders: a host is resumed and reads a copy from before its lease was taken over. */
    @Test
    fun `an earlier holder that reads an older copy before it is told so waits for longer than a term`() {
        val token = FencingToken(position(1, 7))
        observe(0, null)
        tick(100)
        endWrite(110, LeaseWriteResult.Written(token.number))
        wallClockOffset += 5_000
        tick(350)
        observe(360, LeaseRow(node, Incarnation(1), position(2, 7), token))
        expectThat(tick(600)).isEmpty()
        expectThat(tick(3_800)).isEmpty()
        expectThat(tick(3_900)).contains(LeaseEffect.WriteRow(position(2, 7), null))
    }

    private companion object {
        /** The version of the row in an older copy, which is above all earlier ones. */
        const val COPIED = 1_000L
    }
}
