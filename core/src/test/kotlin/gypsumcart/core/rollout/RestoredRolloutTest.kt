package gypsumcart.core.rollout

import gypsumcart.core.BackEndVersion
import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.LEDGER
import gypsumcart.core.NodeId
import gypsumcart.core.OrderNumber
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import kotlin.time.Duration.Companion.seconds

/** Guards against a version that comes back, or an order that is taken up twice, since a copy of the store is older. */
class RestoredRolloutTest {
    private val rollout = Rollout(NodeKey(NodeId("n"), Incarnation(1)), LIMITS)
    private var time = at(1.seconds)
    private val order = RolloutOrder(LEDGER, V2, 20.seconds, OrderNumber(position(1, 7)))
    private val watched = row(RolloutStage.Watched(0.1), version = position(1, 9))
    private val rolledBack = row(RolloutStage.RolledBack(RollbackCause.FAULT), version = position(1, 20))

    private fun position(era: Long, counter: Long) =
        checkNotNull(StorePosition.ofOrNull(StoreEra(era), counter)).number

    private fun row(stage: RolloutStage, version: Long, token: Long = position(1, 3)) =
        RolloutRow(LEDGER, order.number, V2, stage, 20.seconds, 9.seconds, FencingToken(token), version)

    private fun decide(event: RolloutEvent): List<RolloutEffect> {
        time += 0.1.seconds
        return rollout.decide(event, time)
    }

    private fun hold(era: Long, counter: Long) =
        decide(RolloutEvent.HoldingChanged(FencingToken(position(era, counter))))

    private fun writes() = decide(RolloutEvent.Tick).filterIsInstance<RolloutEffect.Write>()

    private fun rollBack() {
        decide(RolloutEvent.Ordered(order))
        decide(RolloutEvent.RowRead(watched))
        decide(RolloutEvent.RowRead(rolledBack))
    }

    private fun List<RolloutEffect>.stages() = filterIsInstance<RolloutEffect.StageChanged>().map { it.row.stage }

    @Test
    fun `a roll-back that a copy lacks stays in force and is written again`() {
        rollBack()
        val copied = decide(RolloutEvent.RowRead(watched.copy(version = position(2, 9))))
        expectThat(copied.stages()).isEmpty()
        expectThat(copied.filterIsInstance<RolloutEffect.Rule>()).isEmpty()
        hold(2, 30)
        val write = writes().single()
        expectThat(write.expectedVersion).isEqualTo(position(2, 9))
        expectThat(write.row.stage).isEqualTo(rolledBack.stage)
        expectThat(write.row.token).isEqualTo(FencingToken(position(2, 30)))
    }

    @Test
    fun `a row that a copy lacks is written again`() {
        rollBack()
        hold(2, 30)
        expectThat(writes().map { it.expectedVersion }).isEqualTo(listOf(0L))
    }

    @Test
    fun `a row that was written after the store came back is in force`() {
        rollBack()
        val complete = row(RolloutStage.Complete, position(2, 5), token = position(2, 4))
        expectThat(decide(RolloutEvent.RowRead(complete)).stages()).isEqualTo(listOf(RolloutStage.Complete))
    }

    @Test
    fun `a holder writes no row of a later era than its token`() {
        decide(RolloutEvent.Ordered(order))
        decide(RolloutEvent.RowRead(watched))
        decide(RolloutEvent.RowRead(watched.copy(version = position(2, 9))))
        hold(1, 5)
        expectThat(writes()).isEmpty()
        hold(2, 30)
        expectThat(writes()).isNotEmpty().all { get { expectedVersion }.isEqualTo(position(2, 9)) }
    }

    private fun orderAgain(counter: Long, target: BackEndVersion = V2) =
        decide(RolloutEvent.Ordered(order.copy(target = target, number = OrderNumber(position(2, counter)))))

    private fun list() = decide(RolloutEvent.BackEndsListed(listOf(backEnd("old").copy(version = V1))))

    private fun writtenOrders() = writes().map { it.row.target to StorePosition(it.row.order.number).counter }

    /** Guards against a version that was rolled back and is rolled out again, as its order comes from a copy. */
    @Test
    fun `an order that a later era shows under another number is not taken up again`() {
        list()
        rollBack()
        orderAgain(7)
        orderAgain(15)
        hold(2, 30)
        expectThat(writtenOrders()).isEqualTo(listOf(V2 to 7L))
    }

    @Test
    fun `a process that starts after the store came back does not take the order of the row up again`() {
        list()
        orderAgain(15)
        decide(RolloutEvent.RowRead(rolledBack.copy(version = position(2, 20))))
        hold(2, 30)
        expectThat(writtenOrders()).isEqualTo(listOf(V2 to 7L))
    }

    /** Guards against a roll-out that is rolled back for an earlier order, which a copy shows. */
    @Test
    fun `an earlier order that a copy shows waits for the operator to write the latest one again`() {
        list()
        rollBack()
        hold(1, 4)
        orderAgain(5, target = V3)
        expectThat(writes()).isEmpty()
        orderAgain(15)
        time += 10.seconds
        hold(2, 30)
        expectThat(writtenOrders()).isEqualTo(listOf(V2 to 7L))
    }

    @Test
    fun `a new order of a later era is taken up when nothing has replaced it`() {
        list()
        rollBack()
        hold(2, 30)
        writes()
        decide(
            RolloutEvent.WriteEnded(
                rolledBack.copy(token = FencingToken(position(2, 30))),
                RolloutWriteResult.Written(position(2, 31)),
            ),
        )
        orderAgain(40, target = V3)
        expectThat(writes()).isEmpty()
        time += 5.seconds
        expectThat(writtenOrders()).isEqualTo(listOf(V3 to 40L))
    }

    @Test
    fun `the same order is taken up anew if the operator gives it long after the store came back`() {
        list()
        rollBack()
        orderAgain(7)
        time += 10.seconds
        orderAgain(90)
        hold(2, 100)
        expectThat(writtenOrders()).isEqualTo(listOf(V2 to 90L))
    }
}
