package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Counts the back ends that the operator started with, for the services that the fleet scales. */
internal sealed class InitialCounts {
    /** Counts once, a fixed time after the first back end was listed. */
    class CountedOnce : InitialCounts() {
        var firstListedAt: MonotonicTime? = null
        var listed: List<BackEnd> = emptyList()

        /** Whether the store may have lost the numbers. */
        var isDoubtful = false
        var storedAt: MonotonicTime? = null
    }

    /** Counts when no further back ends have registered for some time, and upward when more come before traffic. */
    class CountedWhenSettled : InitialCounts() {
        val entries = HashMap<ServiceName, EarlyEntries>()
        val stored = HashMap<ServiceName, Int>()
        var storedAt: MonotonicTime? = null
    }

    private val counts = HashMap<ServiceName, Int>()

    /** Returns the number for [service], or null if it is not known yet. */
    fun countOrNull(service: ServiceName): Int? = counts[service]

    /** Returns all numbers that are known. */
    fun all(): Map<ServiceName, Int> = counts.toMap()

    /** Records what the store contains. */
    fun read(stored: Map<ServiceName, Int>, now: MonotonicTime): Unit =
        when (this) {
            is CountedOnce -> {
                counts.putAll(stored)
                isDoubtful = isDoubtful && stored != counts
            }
            is CountedWhenSettled -> {
                stored.forEach { (service, count) ->
                    this.stored[service] = count
                    counts.merge(service, count, ::maxOf)
                    entries.getOrPut(service, ::EarlyEntries).recordStored(now)
                }
            }
        }

    /** Records that the store may have lost the numbers, so that they are to be stored again. */
    fun doubt(): Unit =
        when (this) {
            is CountedOnce -> {
                isDoubtful = counts.isNotEmpty()
                storedAt = null
            }
            is CountedWhenSettled -> {
                stored.clear()
                storedAt = null
            }
        }

    /** Records that the directory lists [backEnds]. */
    fun list(backEnds: List<BackEnd>, now: MonotonicTime): Unit =
        when (this) {
            is CountedOnce -> {
                listed = backEnds
                firstListedAt = firstListedAt ?: now.takeIf { backEnds.isNotEmpty() }
            }
            is CountedWhenSettled ->
                backEnds.groupBy { it.service }.forEach { (service, ofService) ->
                    entries.getOrPut(service, ::EarlyEntries).list(ofService, now)
                }
        }

    /** Records that requests for [service] have come. */
    fun recordTraffic(service: ServiceName): Unit =
        when (this) {
            is CountedOnce -> Unit
            is CountedWhenSettled -> entries.getOrPut(service, ::EarlyEntries).recordTraffic()
        }

    /**
     * Counts the back ends of [services]; returns whether the numbers are to be stored, if this node holds the lease.
     */
    fun update(services: List<ServiceName>, now: MonotonicTime): Boolean {
        val higher =
            services
                .associateWith { counted(it, now) ?: -1 }
                .filter { (service, count) -> count > (counts[service] ?: -1) }
        counts += higher
        return when (this) {
            is CountedOnce -> higher.isNotEmpty() || isDoubtful && isWriteDue(storedAt, now)
            is CountedWhenSettled -> {
                val isUnstored = counts.any { (service, count) -> count > (stored[service] ?: -1) }
                isUnstored && (higher.isNotEmpty() || isWriteDue(storedAt, now))
            }
        }
    }

    /** Records that the numbers are being written to the store. */
    fun recordWrite(now: MonotonicTime): Unit =
        when (this) {
            is CountedOnce -> storedAt = now
            is CountedWhenSettled -> storedAt = now
        }

    private fun isWriteDue(storedAt: MonotonicTime?, now: MonotonicTime): Boolean =
        storedAt?.let { now - it >= WRITE_INTERVAL } ?: true

    private fun counted(service: ServiceName, now: MonotonicTime): Int? =
        when (this) {
            is CountedOnce -> {
                val isDue = firstListedAt?.let { now - it >= REGISTRATION_TIME } ?: false
                counts[service]
                    ?: if (isDue) listed.count { it.service == service && !it.draining } else null
            }
            is CountedWhenSettled -> entries[service]?.countOrNull(now)
        }

    private companion object {
        /** A heartbeat interval of the back ends and a second, by which time all those running have registered. */
        val REGISTRATION_TIME: Duration = 2.5.seconds

        /** The time after which numbers that the store does not show yet are written again. */
        val WRITE_INTERVAL: Duration = 5.seconds
    }
}

/**
 * Counts the back ends of one service that register before traffic comes.
 *
 * Spot back ends count only until the number has settled: later ones are those that the fleet itself ordered. On-demand
 * ones may still come later, as the fleet orders more of them only to replace others. A process that finds a stored
 * number when it starts joined a fleet that is being scaled already, and does not count.
 */
internal class EarlyEntries {
    private val onDemand = HashSet<BackEndId>()
    private val spot = HashSet<BackEndId>()
    private var firstAt: MonotonicTime? = null
    private var lastNewAt: MonotonicTime? = null
    private var isSettled = false
    private var hasTraffic = false

    /** Whether the number was stored already when this process started. */
    var isLate: Boolean = false
        private set

    fun recordStored(now: MonotonicTime) {
        val first = firstAt
        if (first == null || now - first < SETTLING_TIME) isLate = true
    }

    fun recordTraffic() {
        hasTraffic = true
    }

    fun list(backEnds: List<BackEnd>, now: MonotonicTime) {
        if (firstAt == null) firstAt = now
        if (isSettled && hasTraffic) return
        val staying = backEnds.filterNot { it.draining }
        val isNew = staying.filter { it.spot }.addNewTo(spot, isOpen = !isSettled)
        val isNewOnDemand = staying.filterNot { it.spot }.addNewTo(onDemand, isOpen = true)
        if (isNew || isNewOnDemand) lastNewAt = now
    }

    private fun List<BackEnd>.addNewTo(ids: MutableSet<BackEndId>, isOpen: Boolean): Boolean =
        isOpen && map { ids.add(it.id) }.any { it }

    /** Returns the number of back ends, or null as long as they may still be registering. */
    fun countOrNull(now: MonotonicTime): Int? {
        val last = lastNewAt ?: return null
        if (now - last >= SETTLING_TIME) isSettled = true
        return if (isSettled && !isLate) onDemand.size + spot.size else null
    }

    /** Returns whether back ends have registered so recently that others may still follow. */
    fun isGrowing(now: MonotonicTime): Boolean = lastNewAt?.let { now - it < SETTLING_TIME } ?: false

    private companion object {
        /** A heartbeat interval of the back ends and a second; a back end that runs registers within one interval. */
        val SETTLING_TIME: Duration = 2.5.seconds
    }
}
