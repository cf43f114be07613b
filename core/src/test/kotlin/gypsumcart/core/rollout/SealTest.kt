package gypsumcart.core.rollout

import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.LEDGER
import gypsumcart.core.NodeId
import gypsumcart.core.OrderNumber
import gypsumcart.core.at
import gypsumcart.core.membership.NodeKey
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a seal that doesn't hold: an old back end would stop with calls in progress. */
class SealTest {
    private val self = NodeKey(NodeId("n"), Incarnation(1))
    private val other = NodeKey(NodeId("m"), Incarnation(1))
    private val rollout = Rollout(self, LIMITS)
    private var time = at(1.seconds)
    private val order = RolloutOrder(LEDGER, V2, 20.seconds, OrderNumber(7))
    private val row =
        RolloutRow(LEDGER, order.number, V2, RolloutStage.Committed, 20.seconds, 9.seconds, FencingToken(3), 9)

    private fun decide(event: RolloutEvent): List<RolloutEffect> {
        time += 0.1.seconds
        return rollout.decide(event, time)
    }

    private fun commit(): RolloutEffect.Rule {
        decide(RolloutEvent.Ordered(order))
        return decide(RolloutEvent.RowRead(row)).filterIsInstance<RolloutEffect.Rule>().last()
    }

    private fun used(rule: RolloutEffect.Rule, oldCalls: Int) =
        RolloutEvent.VersionsUsed(listOf(VersionUse(rule.rules.single(), rule.revision, 0, 0, oldCalls)))

    private fun condemn(heartbeat: Long) =
        decide(
            RolloutEvent.ReportsReceived(
                listOf(
                    NodeRollouts(
                        other,
                        heartbeat,
                        time,
                        listOf(
                            RolloutReport(
                                LEDGER,
                                order.number,
                                row,
                                0.seconds,
                                true,
                                false,
                                0,
                                0,
                                0.seconds,
                                emptyList(),
                            ),
                        ),
                    ),
                ),
                setOf(self, other),
            ),
        )

    private fun isSealed(): Boolean =
        decide(RolloutEvent.Tick)
            .filterIsInstance<RolloutEffect.Share>()
            .last()
            .reports
            .single()
            .sealed

    @Test
    fun `a node seals the old version when its last call has ended`() {
        val rule = commit()
        decide(used(rule, oldCalls = 1))
        expectThat(isSealed()).isFalse()
        decide(used(rule, oldCalls = 0))
        expectThat(isSealed()).isTrue()
    }

    @Test
    fun `what routing did by an earlier rule seals nothing`() {
        val rule = commit()
        val back = condemn(heartbeat = 1).filterIsInstance<RolloutEffect.Rule>().last()
        expectThat(back.rules.single().mode).isEqualTo(VersionMode.Old)
        decide(used(rule, oldCalls = 0))
        expectThat(isSealed()).isFalse()
    }

    @Test
    fun `a sealed version stays sealed when the new one is condemned, until a row rolls it back`() {
        decide(used(commit(), oldCalls = 0))
        expectThat(condemn(heartbeat = 1).filterIsInstance<RolloutEffect.Rule>()).isEqualTo(emptyList())
        expectThat(isSealed()).isTrue()
        val rolledBack = row.copy(stage = RolloutStage.RolledBack(RollbackCause.FAULT), version = 10)
        val rule = decide(RolloutEvent.RowRead(rolledBack)).filterIsInstance<RolloutEffect.Rule>().single()
        expectThat(rule.rules.single().mode).isEqualTo(VersionMode.Old)
        expectThat(isSealed()).isFalse()
    }
}
