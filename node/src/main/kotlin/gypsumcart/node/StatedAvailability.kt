package gypsumcart.node

import gypsumcart.core.BackEnd
import gypsumcart.core.routing.AvailabilityStatement
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.key
import org.slf4j.LoggerFactory

/**
 * Follows which back ends accept no calls from this node, by what they state in their responses.
 *
 * Calls that routing assigned before it learned of a statement are withheld by this record. It is used on the thread of
 * the edge only.
 *
 * @property onDeparture called once for each back end that states that it is about to stop
 */
internal class StatedAvailability(private val onDeparture: (InstanceKey) -> Unit) {
    private val departed = boundedMap<Unit>()
    private val unreadable = boundedMap<Unit>()

    /** Returns whether a call may be sent to [backEnd] now. */
    fun acceptsCalls(backEnd: BackEnd): Boolean = backEnd.key !in departed

    /** Notes the [statements] in a response of [backEnd]. */
    fun observe(backEnd: BackEnd, statements: List<AvailabilityStatement>): Unit =
        statements.forEach {
            when (it) {
                AvailabilityStatement.Leaving -> recordDeparture(backEnd.key)
                AvailabilityStatement.UnreadableDeparture -> logUnreadable(backEnd.key)
            }
        }

    private fun recordDeparture(instance: InstanceKey) {
        if (departed.put(instance, Unit) != null) return
        log.info("event=back_end_leaving back_end={} incarnation={}", instance.id, instance.incarnation)
        onDeparture(instance)
    }

    /** Logs an unreadable statement, once for each back end, since it may be in all of its responses. */
    private fun logUnreadable(instance: InstanceKey) {
        if (unreadable.put(instance, Unit) != null) return
        log.info(
            "event=back_end_leaving back_end={} incarnation={} ignored=unreadable",
            instance.id,
            instance.incarnation,
        )
    }

    private companion object {
        private val log = LoggerFactory.getLogger(StatedAvailability::class.java)

        /** More than the back ends of a large fleet. */
        const val MAX_INSTANCES = 4_096

        /** Returns a map whose eldest entries yield. */
        fun <V> boundedMap(): MutableMap<InstanceKey, V> =
            object : LinkedHashMap<InstanceKey, V>() {
                override fun removeEldestEntry(eldest: Map.Entry<InstanceKey, V>): Boolean = size > MAX_INSTANCES
            }
    }
}
