package gypsumcart.core.rollout

import gypsumcart.core.LEDGER
import gypsumcart.core.at
import gypsumcart.core.membership.NodeKey
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Plays roll-outs while nodes, the store and back ends fail, and orders that are out of the ordinary. */
class RolloutFailuresTest {
    private fun fleet(seed: Long = 1, respond: RolloutTest.Fault? = null): RolloutFleet =
        if (respond == null) RolloutFleet(seed, ZONES) else RolloutFleet(seed, ZONES, respond = respond::respond)

    private fun RolloutFleet.expectComplete() {
        expectThat(state).isEqualTo(RolloutStage.Complete)
        expectThat(cutCalls).isEqualTo(0)
    }

    @ParameterizedTest
    @ValueSource(ints = [800, 2_000, 5_000, 11_500, 13_500])
    fun `a holder that dies between stages is replaced, and the roll-out goes on`(millis: Int) {
        val fleet = fleet()
        fleet.order(V2, DURATION)
        fleet.run(millis.milliseconds)
        fleet.kill(fleet.holder())
        fleet.runToEnd(DURATION)
        fleet.expectComplete()
        expectThat(fleet.stages.last().first - fleet.orderedAt).isLessThan(DURATION)
    }

    @Test
    fun `a holder that does not know that it was replaced moves nothing on`() {
        val fleet = fleet()
        fleet.order(V2, DURATION)
        fleet.run(5.seconds)
        fleet.replaceHolder(noticedAfter = 9.seconds)
        fleet.runToEnd(DURATION)
        fleet.expectComplete()
        val tokens = fleet.stages.map { (_, row) -> row.token }
        expectThat(tokens).isEqualTo(tokens.sorted())
    }

    @Test
    fun `a write without an answer is read back, and one that lands late changes nothing`() {
        for (fault in RolloutFleet.WriteFault.entries) {
            val fleet = fleet()
            fleet.order(V2, DURATION)
            fleet.writeFaults += List(3) { fault }
            fleet.runToEnd(DURATION)
            fleet.expectComplete()
            val stages = fleet.stages.map { (_, row) -> row.stage }
            expectThat(stages.zipWithNext()) {
                all { get { first::class == second::class || rank(first) < rank(second) }.isTrue() }
            }
        }
    }

    private fun rank(stage: RolloutStage): Int =
        when (stage) {
            RolloutStage.Prepared -> 0
            is RolloutStage.Watched -> 1
            RolloutStage.Committed -> 2
            RolloutStage.Complete, is RolloutStage.RolledBack -> 3
        }

    @Test
    fun `while the store is away no share rises, and a version that turns bad gets nothing more`() {
        val fleet = fleet(respond = RolloutTest.Fault.LATER)
        fleet.order(V2, DURATION)
        fleet.run(5.seconds)
        val written = fleet.stages.size
        fleet.fleet.storeAnswers = false
        fleet.run(6.seconds)
        expectThat(fleet.stages.size).isEqualTo(written)
        val atVerdict = fleet.sent.last { it.version == V2 }.at
        expectThat(atVerdict).isLessThan(fleet.badAnswers.take(50).last() + LIMITS.rollbackTime)
        fleet.fleet.storeAnswers = true
        fleet.run(2.seconds)
        expectThat(fleet.state).isEqualTo(RolloutStage.RolledBack(RollbackCause.FAULT))
    }

    @Test
    fun `a node that hears nothing uses the old version, and holds up the end until it is known to be gone`() {
        val fleet = fleet()
        fleet.order(V2, DURATION)
        fleet.run(6.seconds)
        val cut =
            fleet.fleet.nodes
                .last()
                .id
        fleet.fleet.isolate(cut)
        fleet.fleet.storeCuts += cut
        val cutAt = fleet.fleet.now
        fleet.runToEnd(DURATION)
        val sentByCut = fleet.sent.filter { it.node == cut && it.at > cutAt + 4.seconds }
        expectThat(sentByCut).all { get { version }.isEqualTo(V1) }
        expectThat(fleet.state).isEqualTo(RolloutStage.Complete)
        expectThat(fleet.stages.last().first - fleet.orderedAt).isGreaterThan(DURATION - 1.seconds)
    }

    @Test
    fun `a good version is complete in time beside the loss of a zone`() {
        val fleet = fleet()
        fleet.order(V2, DURATION)
        fleet.run(4.seconds)
        fleet.list(
            fleet.backEnds.filterNot {
                it.id.text
                    .substringAfterLast('-')
                    .toInt() % 3 == 0
            },
        )
        fleet.runToEnd(DURATION)
        fleet.expectComplete()
    }

    @Test
    fun `a version whose back ends never come, or all leave, is rolled back at its time`() {
        val never = fleet()
        never.order(V2, 4.seconds, bootTime = null)
        never.runToEnd(8.seconds)
        expectThat(never.state).isEqualTo(RolloutStage.RolledBack(RollbackCause.ABSENT))
        val left = fleet()
        left.order(V2, 8.seconds)
        left.run(3.seconds)
        left.list(left.backEnds.filter { it.version == V1 })
        left.runToEnd(12.seconds)
        expectThat(left.state).isEqualTo(RolloutStage.RolledBack(RollbackCause.ABSENT))
        expectThat(left.stages.last().first - left.orderedAt).isLessThan(9.seconds)
    }

    @Test
    fun `a second order ends the first, whose version gets nothing more`() {
        val fleet = fleet()
        fleet.order(V2, DURATION)
        fleet.run(5.seconds)
        fleet.order(V3, DURATION)
        fleet.runToEnd(1.seconds)
        expectThat(fleet.state).isEqualTo(RolloutStage.RolledBack(RollbackCause.REPLACED))
        fleet.run(2.seconds)
        fleet.list(fleet.backEnds.filter { it.version != V2 })
        val replacedAt = fleet.fleet.now
        fleet.runToEnd(DURATION)
        expectThat(fleet.row?.target).isEqualTo(V3)
        expectThat(fleet.state).isEqualTo(RolloutStage.Complete)
        expectThat(
            fleet.sent
                .filter { it.at > replacedAt }
                .mapNotNull { it.version }
                .toSet(),
        ).isEqualTo(setOf(V1, V3))
    }

    @Test
    fun `an order back to the old version ends a roll-out at once, and all requests are served there`() {
        val fleet = fleet()
        fleet.order(V2, DURATION)
        fleet.run(5.seconds)
        fleet.order(V1, DURATION, bootTime = null)
        fleet.run(2.seconds)
        expectThat(fleet.row?.target).isEqualTo(V1)
        fleet.expectComplete()
        val sentBefore = fleet.sent.size
        fleet.run(3.seconds)
        val later = fleet.sent.drop(sentBefore)
        expectThat(later.size).isGreaterThan(600)
        expectThat(later).all { get { version }.isEqualTo(V1) }
    }

    @Test
    fun `an order to the version in force is complete at once, and one back to the old version is a roll-out`() {
        val fleet = fleet()
        fleet.order(V1, DURATION, bootTime = null)
        fleet.run(1.seconds)
        fleet.expectComplete()
        for (target in listOf(V2, V1)) {
            fleet.order(target, DURATION)
            fleet.run(1.seconds)
            fleet.runToEnd(DURATION)
            fleet.expectComplete()
            fleet.run(2.seconds)
            expectThat(
                fleet.sent
                    .takeLast(50)
                    .map { it.version }
                    .distinct(),
            ).isEqualTo(listOf(target))
        }
    }

    @Test
    fun `a service that no configuration names is not rolled out`() {
        val rollout = Rollout(NodeKey(gypsumcart.core.NodeId("n"), gypsumcart.core.Incarnation(1)), LIMITS)
        val order = RolloutOrder(LEDGER, V2, DURATION, gypsumcart.core.OrderNumber(7))
        rollout.decide(RolloutEvent.HoldingChanged(gypsumcart.core.FencingToken(1)), at(1.seconds))
        rollout.decide(RolloutEvent.Ordered(order), at(1.seconds))
        val written = rollout.decide(RolloutEvent.Tick, at(2.seconds)).filterIsInstance<RolloutEffect.Write>().single()
        expectThat(written.row.stage).isEqualTo(RolloutStage.RolledBack(RollbackCause.UNKNOWN_SERVICE))
    }

    @Test
    fun `a node that starts during a roll-out sends to the new version only by the row that it reads`() {
        val fleet = fleet(respond = RolloutTest.Fault.FAILS_ALWAYS)
        fleet.order(V2, DURATION)
        fleet.runToEnd(DURATION)
        expectThat(fleet.state).isEqualTo(RolloutStage.RolledBack(RollbackCause.FAULT))
        val id =
            fleet.fleet.nodes
                .last()
                .id
        fleet.fleet.restart(id)
        fleet.addServer(fleet.fleet.node(id.text))
        val restartedAt = fleet.fleet.now
        fleet.run(4.seconds)
        val later = fleet.sent.filter { it.at > restartedAt }
        expectThat(later.filter { it.version == V2 }).isEmpty()
        expectThat(later).any { get { node }.isEqualTo(id) }
    }

    private companion object {
        val ZONES = listOf(3, 2, 2)
        val DURATION = 20.seconds
    }
}
