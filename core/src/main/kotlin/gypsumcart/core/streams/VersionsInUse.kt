package gypsumcart.core.streams

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Knows the versions of each service that are in use, and whether none can be that this node has not heard of. */
internal class VersionsInUse {
    private val history = VersionHistory()
    private val rows = VersionRows()
    private var inUse: Map<ServiceName, Set<BackEndVersion?>> = emptyMap()

    private var isListed = false
    private var isRegistryAvailable = true

    /** When the changes that the registry has made while it did not respond will have been listed. */
    private var upToDateFrom: MonotonicTime? = null

    /** When what a copy of the store lacked will have been written again. */
    private var restoredUntil: MonotonicTime? = null

    /** Whether this node has the lowest id of all live ones, which writes the rows of the versions. */
    var isWriter = false

    /** The versions of the services of which several are in use. */
    val several: Map<ServiceName, Set<BackEndVersion?>> get() = inUse.filterValues { it.size > 1 }

    /** The services of which several versions are in use. */
    val servicesWithSeveral: Set<ServiceName> get() = several.keys

    operator fun get(service: ServiceName): Set<BackEndVersion?> = inUse[service].orEmpty()

    fun areSeveral(service: ServiceName): Boolean = this[service].size > 1

    fun list(backEnds: List<BackEnd>, now: MonotonicTime) {
        isListed = true
        history.list(backEnds, now)
    }

    fun changeRegistry(isAvailable: Boolean, now: MonotonicTime) {
        isRegistryAvailable = isAvailable
        upToDateFrom = now + SETTLING_TIME
    }

    fun recordRestore(now: MonotonicTime) {
        restoredUntil = now + RESTORE_TIME
    }

    fun read(event: StreamEvent.VersionsRead, now: MonotonicTime) {
        val isFirst = event.isComplete && !rows.isRead
        rows.read(event)
        // The row may be from before a restart of all nodes, and its versions may have been in use until then.
        if (isFirst) event.versions.forEach { (service, versions) -> history.retain(service, versions, now) }
    }

    fun endWrite(event: StreamEvent.VersionsWritten): Unit = rows.endWrite(event)

    /** Brings the versions up to date; returns the services of which several are in use now and one was before. */
    fun refresh(now: MonotonicTime): Set<ServiceName> {
        val before = servicesWithSeveral
        inUse = history.versionsInUse(now)
        return servicesWithSeveral - before
    }

    fun dueWrites(now: MonotonicTime): List<StreamEffect> =
        if (isWriter) rows.dueWrites(inUse, now) else emptyList()

    fun knowsOne(service: ServiceName, now: MonotonicTime): Boolean = knowsAll(now) && this[service].size == 1

    /** Returns whether no version can be in use that this node would not have heard of if it were in step. */
    fun knowsAll(now: MonotonicTime): Boolean =
        rows.isRead && isListed && isRegistryAvailable && !isRestoring(now) && upToDateFrom?.let { it > now } != true

    private fun isRestoring(now: MonotonicTime): Boolean = restoredUntil?.let { it > now } ?: false

    private companion object {
        /**
         * Within this time after the store responds again, its changes have become a list of back ends, and other nodes
         * have stored the records that waited.
         */
        val SETTLING_TIME: Duration = 1.5.seconds

        /** Within this time back ends and nodes have written again what a copy of the store lacked. */
        val RESTORE_TIME: Duration = 2.5.seconds
    }
}
