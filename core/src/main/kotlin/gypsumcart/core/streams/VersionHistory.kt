package gypsumcart.core.streams

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Knows the versions of each service's software that may have begun a stream whose client still waits. */
public class VersionHistory {
    private var listed: Map<ServiceName, Set<BackEndVersion?>> = emptyMap()

    /** When the versions that are no longer listed were last in use. */
    private val unlisted = HashMap<ServiceName, HashMap<BackEndVersion?, MonotonicTime>>()

    /** Replaces the list of back ends; the versions that are no longer listed count as in use until [now]. */
    public fun list(backEnds: List<BackEnd>, now: MonotonicTime) {
        listed.forEach { (service, versions) -> retain(service, versions, now) }
        listed =
            backEnds.groupBy { it.service }.mapValues { (_, ofService) -> ofService.mapTo(HashSet()) { it.version } }
    }

    /** Counts [versions] of [service] as in use until [now]. */
    public fun retain(service: ServiceName, versions: Set<BackEndVersion?>, now: MonotonicTime) {
        val times = unlisted.getOrPut(service) { HashMap() }
        versions.forEach { times[it] = now }
    }

    /** Returns the versions of each service that were in use within [RETENTION] before [now]. */
    public fun versionsInUse(now: MonotonicTime): Map<ServiceName, Set<BackEndVersion?>> {
        unlisted.values.forEach { times -> times.values.removeIf { now - it >= RETENTION } }
        unlisted.values.removeIf { it.isEmpty() }
        return (listed.keys + unlisted.keys).associateWith { listed[it].orEmpty() + unlisted[it]?.keys.orEmpty() }
    }

    public companion object {
        /** Longer than a client waits for the whole of a stream. */
        public val RETENTION: Duration = 30.seconds
    }
}
