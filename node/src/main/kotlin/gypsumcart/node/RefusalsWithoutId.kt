package gypsumcart.node

import gypsumcart.core.MonotonicTime
import gypsumcart.core.routing.InstanceKey
import gypsumcart.pipeline.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Remembers the back ends whose refusals bear no request id; used on the thread of the edge only.
 *
 * Such a refusal can be attributed to its request only on a connection that has carried no other.
 */
internal class RefusalsWithoutId(private val clock: MonotonicClock) {
    /** When each back end last refused a request without its id; the eldest entries yield. */
    private val seenAt =
        object : LinkedHashMap<InstanceKey, MonotonicTime>() {
            override fun removeEldestEntry(eldest: Map.Entry<InstanceKey, MonotonicTime>): Boolean =
                size > MAX_INSTANCES
        }

    fun record(instance: InstanceKey) {
        seenAt -= instance
        seenAt[instance] = clock.now()
    }

    /** Returns whether [instance] has lately refused a request without its id. */
    fun areExpectedFrom(instance: InstanceKey): Boolean = seenAt[instance]?.let { clock.now() - it < MEMORY } ?: false

    private companion object {
        /** More than the back ends of a large fleet. */
        const val MAX_INSTANCES = 4_096

        /** A back end that is full stays so for seconds; each further refusal counts anew. */
        val MEMORY: Duration = 30.seconds
    }
}
