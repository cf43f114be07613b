package gypsumcart.core.rollout

import gypsumcart.core.BackEndVersion
import gypsumcart.core.FencingToken
import gypsumcart.core.ServiceName
import kotlin.time.Duration

/** Returns whether requests may go to [version] by this row alone. */
internal fun RolloutRow.uses(version: BackEndVersion): Boolean =
    when (stage) {
        RolloutStage.Complete -> version == target
        is RolloutStage.RolledBack -> version in replaced
        RolloutStage.Prepared, is RolloutStage.Watched, RolloutStage.Committed ->
            version == target || version in replaced
    }

/**
 * Determines how the holder takes up an order.
 *
 * @property row the row of the roll-out before, or null if there was none
 * @property isAlone whether the ordered version was the only one when the order came
 * @property listed the versions of the service's back ends
 */
internal class RolloutSuccession(
    private val order: RolloutOrder,
    private val row: RolloutRow?,
    private val isAlone: Boolean,
    private val listed: Set<BackEndVersion>,
) {
    private val running: RolloutRow? get() = row?.takeUnless { it.stage.isFinal }

    /** Returns the row to write first, or null if the roll-out before must end by itself. */
    fun firstRowOrNull(services: Set<ServiceName>, token: FencingToken): RolloutRow? {
        val before = running
        return when {
            before == null -> newRow(firstStage(services), token)
            before.target == order.target ->
                newRow(before.stage, token).copy(givenUp = before.givenUp, replaced = before.replaced)
            before.stage == RolloutStage.Committed -> null
            else -> before.copy(stage = RolloutStage.RolledBack(RollbackCause.REPLACED), token = token)
        }
    }

    private fun firstStage(services: Set<ServiceName>): RolloutStage {
        val isInForce = row?.uses(order.target) ?: isAlone
        return when {
            order.service !in services -> RolloutStage.RolledBack(RollbackCause.UNKNOWN_SERVICE)
            // Calls may be in progress on the version of a roll-out that has just ended.
            isInForce && (listed - order.target).isNotEmpty() -> RolloutStage.Committed
            isInForce -> RolloutStage.Complete
            else -> RolloutStage.Prepared
        }
    }

    private fun newRow(stage: RolloutStage, token: FencingToken): RolloutRow {
        val others = listed - order.target
        val givenUp = row?.let { last -> others.filterTo(HashSet()) { !last.uses(it) } }.orEmpty()
        return RolloutRow(
            order.service,
            order.number,
            order.target,
            stage,
            order.duration,
            elapsed = Duration.ZERO,
            token,
            version = 0,
            givenUp = givenUp,
            replaced = others - givenUp,
        )
    }
}
