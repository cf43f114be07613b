package gypsumcart.core.streams

import gypsumcart.core.BackEndVersion
import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides when the node with the lowest id writes which versions of a service are in use. */
internal class VersionRows {
    private val stored = HashMap<ServiceName, Set<BackEndVersion?>>()
    private val lastWrites = HashMap<ServiceName, MonotonicTime>()
    private val busy = HashSet<ServiceName>()

    /** Whether all rows have been read since the process started. */
    var isRead = false
        private set

    fun read(event: StreamEvent.VersionsRead) {
        if (event.isComplete) {
            isRead = true
            stored.clear()
        }
        stored += event.versions
    }

    fun endWrite(event: StreamEvent.VersionsWritten) {
        busy -= event.service
        if (event.succeeded) stored[event.service] = event.versions
    }

    /** Returns the writes that are due at [now], if the versions [inUse] are as given. */
    fun dueWrites(inUse: Map<ServiceName, Set<BackEndVersion?>>, now: MonotonicTime): List<StreamEffect.WriteVersions> =
        if (!isRead) emptyList() else inUse.mapNotNull { (service, versions) -> writeOrNull(service, versions, now) }

    private fun writeOrNull(
        service: ServiceName,
        versions: Set<BackEndVersion?>,
        now: MonotonicTime,
    ): StreamEffect.WriteVersions? {
        if (service in busy) return null
        val pause =
            when {
                stored[service] != versions -> RETRY_PAUSE
                versions.size > 1 -> REPEAT_PAUSE
                else -> return null
            }
        if (lastWrites[service]?.let { now - it < pause } == true) return null
        lastWrites[service] = now
        busy += service
        return StreamEffect.WriteVersions(service, versions)
    }

    private companion object {
        /** Bounds the calls while the store declines them. */
        val RETRY_PAUSE: Duration = 1.seconds

        /** Makes up for a store that has come back from an older copy. */
        val REPEAT_PAUSE: Duration = 10.seconds
    }
}
