package gypsumcart.core.rollout

import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.LEDGER
import gypsumcart.core.NodeId
import gypsumcart.core.OrderNumber
import gypsumcart.core.at
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.seconds

/** Covers the orders that a store shows which has come back from an older copy. */
class RestoredOrderTest {
    private val rollout = Rollout(NodeKey(NodeId("n"), Incarnation(1)), LIMITS)
    private var time = at(1.seconds)

    private fun position(era: Long, counter: Long): Long =
        checkNotNull(StorePosition.ofOrNull(StoreEra(era), counter)).number

    private fun order(era: Long) = RolloutOrder(LEDGER, V2, 20.seconds, OrderNumber(position(era, 7)))

    private fun decide(event: RolloutEvent): List<RolloutEffect> {
        time += 0.1.seconds
        return rollout.decide(event, time)
    }

    private fun stagesWrittenIn(era: Long): List<RolloutStage> {
        decide(RolloutEvent.ServicesConfigured(setOf(LEDGER)))
        decide(RolloutEvent.HoldingChanged(FencingToken(position(era, 30))))
        return decide(RolloutEvent.Tick).filterIsInstance<RolloutEffect.Write>().map { it.row.stage }
    }

    private fun rolledBack(era: Long) =
        RolloutRow(
            LEDGER,
            order(1).number,
            V2,
            RolloutStage.RolledBack(RollbackCause.FAULT),
            20.seconds,
            9.seconds,
            FencingToken(position(1, 3)),
            position(era, 20),
        )

    // Guards against a version that was rolled back and gets requests again, as its order's row is in a later era.
    @Test
    fun `an order that the copy shows again is not taken up again after a roll-back`() {
        decide(RolloutEvent.Ordered(order(era = 1)))
        decide(RolloutEvent.RowRead(rolledBack(era = 1)))
        decide(RolloutEvent.RowRead(rolledBack(era = 2)))
        decide(RolloutEvent.Ordered(order(era = 2)))
        expectThat(stagesWrittenIn(era = 2).filterNot { it.isFinal }).isEmpty()
    }

    // Guards against the same at a process that has started since, and has only read the copy.
    @Test
    fun `a process that starts after the store came back takes no order up again after a roll-back`() {
        decide(RolloutEvent.RowRead(rolledBack(era = 2)))
        decide(RolloutEvent.Ordered(order(era = 2)))
        expectThat(stagesWrittenIn(era = 2).filterNot { it.isFinal }).isEmpty()
    }
}
