package gypsumcart.node

import gypsumcart.core.BackEnd
import gypsumcart.core.MonotonicTime
import gypsumcart.core.routing.AvailabilityStatement
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.key
import gypsumcart.pipeline.MonotonicClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration

/**
 * Follows which back ends accept no calls from this node, by what they state in their responses.
 *
 * Calls that routing assigned before it learned of a statement are withheld by this record. It is used on the thread of
 * the edge only.
 *
 * @property onDeparture called once for each back end that states that it is about to stop
 * @property onPause called with the end of each pause that a back end asks for
 */
internal class StatedAvailability(
    private val clock: MonotonicClock,
    private val onDeparture: (InstanceKey) -> Unit,
    private val onPause: (InstanceKey, MonotonicTime) -> Unit,
) {
    private val departed = boundedMap<InstanceKey, Unit>()
    private val pauseEnds = boundedMap<InstanceKey, MonotonicTime>()
    private val unreadable = boundedMap<Pair<InstanceKey, AvailabilityStatement>, Unit>()

    /** The number of back ends that have asked this node for a pause that has not ended. */
    val pausedBackEnds: Int get() = pauseEnds.values.count { clock.now() < it }

    /** Returns whether a call may be sent to [backEnd] now. */
    fun acceptsCalls(backEnd: BackEnd): Boolean =
        backEnd.key !in departed && pauseEnds[backEnd.key]?.let { clock.now() >= it } ?: true

    /** Notes the [statements] in a response of [backEnd]. */
    fun observe(backEnd: BackEnd, statements: List<AvailabilityStatement>): Unit =
        statements.forEach {
            when (it) {
                AvailabilityStatement.Leaving -> recordDeparture(backEnd.key)
                AvailabilityStatement.UnreadableDeparture -> logUnreadable("back_end_leaving", backEnd.key, it)
                is AvailabilityStatement.Pause -> recordPause(backEnd.key, it.duration)
                AvailabilityStatement.UnreadablePause -> logUnreadable("pause_stated", backEnd.key, it)
            }
        }

    private fun recordDeparture(instance: InstanceKey) {
        if (departed.put(instance, Unit) != null) return
        log.info("event=back_end_leaving back_end={} incarnation={}", instance.id, instance.incarnation)
        onDeparture(instance)
    }

    /** Records a pause; of several the one that ends last is in force. */
    private fun recordPause(instance: InstanceKey, duration: Duration) {
        val until = clock.now() + duration
        if (pauseEnds[instance]?.let { until <= it } ?: false) return
        pauseEnds[instance] = until
        log.info(
            "event=pause_stated back_end={} incarnation={} pause_ms={}",
            instance.id,
            instance.incarnation,
            duration.inWholeMilliseconds,
        )
        onPause(instance, until)
    }

    /** Logs an unreadable statement, once for each back end, since it may be in all of its responses. */
    private fun logUnreadable(event: String, instance: InstanceKey, statement: AvailabilityStatement) {
        if (unreadable.put(instance to statement, Unit) != null) return
        log.info("event={} back_end={} incarnation={} ignored=unreadable", event, instance.id, instance.incarnation)
    }

    private companion object {
        private val log = LoggerFactory.getLogger(StatedAvailability::class.java)

        /** More than the back ends of a large fleet. */
        const val MAX_INSTANCES = 4_096

        /** Returns a map whose eldest entries yield. */
        fun <K, V> boundedMap(): MutableMap<K, V> =
            object : LinkedHashMap<K, V>() {
                override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > MAX_INSTANCES
            }
    }
}
