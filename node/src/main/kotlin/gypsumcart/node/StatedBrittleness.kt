package gypsumcart.node

import gypsumcart.core.BackEnd
import gypsumcart.core.routing.BrittlenessChange
import gypsumcart.core.routing.BrittlenessStatement
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.RoutingEffect
import gypsumcart.core.routing.key
import org.slf4j.LoggerFactory

/**
 * Follows which back ends state in their responses that they are brittle; used on the thread of the edge only.
 *
 * @property onStatement called with each statement of a back end that it is brittle, and with each that it is not while
 *   others of its service are
 */
internal class StatedBrittleness(
    private val state: NodeState,
    private val onStatement: (InstanceKey, BrittlenessStatement) -> Unit,
) {
    /** What back ends stated last through this node, null if it was unreadable; the eldest entries yield. */
    private val stated =
        object : LinkedHashMap<InstanceKey, BrittlenessStatement?>() {
            override fun removeEldestEntry(eldest: Map.Entry<InstanceKey, BrittlenessStatement?>): Boolean =
                size > MAX_INSTANCES
        }

    /** Notes the statement in a response of [backEnd], or that it was unreadable if null. */
    fun observe(backEnd: BackEnd, statement: BrittlenessStatement?) {
        val previous = stated.getOrDefault(backEnd.key, BrittlenessStatement.Sturdy)
        if (statement == BrittlenessStatement.Sturdy) stated -= backEnd.key else stated[backEnd.key] = statement
        val concernsRouting =
            statement is BrittlenessStatement.Brittle || backEnd.service in state.brittleBackEnds.values
        if (statement != null && concernsRouting) onStatement(backEnd.key, statement)
        if (statement != previous) {
            log.info(
                "event=brittleness_stated back_end={} incarnation={} tolerance={}",
                backEnd.id,
                backEnd.incarnation,
                statement.toLogValue(),
            )
        }
    }

    private fun BrittlenessStatement?.toLogValue(): String =
        when (this) {
            is BrittlenessStatement.Brittle -> tolerance.toString()
            BrittlenessStatement.Sturdy -> "none"
            null -> "unreadable"
        }

    private companion object {
        /** More than the back ends of a large fleet. */
        const val MAX_INSTANCES = 4_096
    }
}

/** Logs and counts what became known of a brittle back end, and keeps it in [state]. */
internal fun RoutingEffect.BrittlenessChanged.record(state: NodeState, metrics: Metrics) {
    when (val c = change) {
        is BrittlenessChange.TurnedBrittle -> {
            state.brittleBackEnds += instance to service
            record("brittle", c.tolerance.toString(), metrics)
        }

        BrittlenessChange.TurnedSturdy -> {
            state.brittleBackEnds -= instance
            record("sturdy", "none", metrics)
        }

        BrittlenessChange.Rejected -> record("rejected", "unchanged", metrics)

        BrittlenessChange.Fell -> record("fell", "unchanged", metrics)
    }
}

private fun RoutingEffect.BrittlenessChanged.record(name: String, tolerance: String, metrics: Metrics) {
    metrics.countBrittleness(service, name)
    log.info(
        "event=brittleness_changed service={} back_end={} incarnation={} change={} tolerance={}",
        service,
        instance.id,
        instance.incarnation,
        name,
        tolerance,
    )
}

private val log = LoggerFactory.getLogger(StatedBrittleness::class.java)
