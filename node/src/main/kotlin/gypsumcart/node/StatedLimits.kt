package gypsumcart.node

import gypsumcart.core.BackEnd
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.LimitStatement
import gypsumcart.core.routing.key
import org.slf4j.LoggerFactory

/**
 * Follows the request rates that back ends state in their responses; used on the thread of the edge only.
 *
 * @property onStatement called with each limit, and with each statement of a back end whose limit is in force that it
 *   has none
 */
internal class StatedLimits(
    private val state: NodeState,
    private val onStatement: (InstanceKey, LimitStatement) -> Unit,
) {
    /** The back ends that stated a limit in their last response through this node; the eldest entries yield. */
    private val limited =
        object : LinkedHashMap<InstanceKey, LimitStatement.Limited>() {
            override fun removeEldestEntry(eldest: Map.Entry<InstanceKey, LimitStatement.Limited>): Boolean =
                size > MAX_INSTANCES
        }

    /** Notes the statement in a response of [backEnd], or that it was unreadable if null. */
    fun observe(backEnd: BackEnd, statement: LimitStatement?) {
        val previous = limited[backEnd.key]
        when (statement) {
            is LimitStatement.Limited -> limited[backEnd.key] = statement
            LimitStatement.Unlimited -> limited -= backEnd.key
            null -> Unit
        }
        val concernsRouting = statement is LimitStatement.Limited || backEnd.key in state.limitedBackEnds
        if (statement != null && concernsRouting) onStatement(backEnd.key, statement)
        val isNews = statement != previous && (previous != null || statement != LimitStatement.Unlimited)
        if (isNews) {
            log.info(
                "event=limit_stated back_end={} incarnation={} limit={}",
                backEnd.id,
                backEnd.incarnation,
                statement.toLogValue(),
            )
        }
    }

    private fun LimitStatement?.toLogValue(): String =
        when (this) {
            is LimitStatement.Limited -> requestsPerSecond.toString()
            LimitStatement.Unlimited -> "none"
            null -> "unreadable"
        }

    private companion object {
        private val log = LoggerFactory.getLogger(StatedLimits::class.java)

        /** More than the back ends of a large fleet. */
        const val MAX_INSTANCES = 4_096
    }
}
