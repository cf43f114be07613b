package gypsumcart.core.directory

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.Decider
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import gypsumcart.core.routing.InstanceKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Represents an input of the [BackEndDirectory] decider. */
public sealed class DirectoryEvent {
    /**
     * The registry has come back from an older copy, which the next [Snapshot] shows.
     *
     * It may lack entries that had been written, and list ones that had been removed, until they are written again.
     */
    public data object Restored : DirectoryEvent()

    /** The registry was read in full; [backEnds] are all of its entries. */
    public data class Snapshot(public val backEnds: List<BackEnd>) : DirectoryEvent()

    /** The registry changed: the entries [listed] are new or updated, those of [removed] no longer exist. */
    public data class Changed(
        public val listed: List<BackEnd>,
        public val removed: List<BackEndId>,
    ) : DirectoryEvent()

    /** A response of [instance] stated that it is about to stop. */
    public data class DepartureStated(public val instance: InstanceKey) : DirectoryEvent()

    /** The registry does not respond. */
    public data object RegistryUnavailable : DirectoryEvent()

    /** The registry responds again. */
    public data object RegistryAvailable : DirectoryEvent()

    /** A timer tick, on which expired entries are dropped if their grace period has ended. */
    public data object Sweep : DirectoryEvent()
}

/** Represents an output of the [BackEndDirectory] decider. */
public sealed class DirectoryEffect {
    /** Publishes the current back ends to the duties that route requests to back ends or order back ends. */
    public data class Publish(public val backEnds: List<BackEnd>) : DirectoryEffect()
}

/**
 * Maintains the list of back ends across outages of the registry.
 *
 * Entries may expire during an outage of the registry and reappear shortly after it. An entry that turns out to have
 * disappeared in an outage is therefore kept until [expiryGracePeriod] after the registry is available again, unless
 * its back end was draining. No back end can renew its entry in an outage, so if most of a service remain, only this
 * node was cut off and the others have left. An entry that disappears at any other time is dropped at once.
 *
 * A registry that has come back from an older copy may lack entries and list removed ones. Those that it lacks are kept
 * for the same period, and removed ones are not used before their entries are written again.
 *
 * A back end that states in a response that it is about to stop is listed as draining from then on, whatever the
 * registry says of that incarnation or earlier ones.
 */
public class BackEndDirectory(private val expiryGracePeriod: Duration) : Decider<DirectoryEvent, DirectoryEffect> {
    private class LastKnown(val backEnd: BackEnd, val updatedAt: MonotonicTime)

    private val listed = LinkedHashMap<BackEndId, BackEnd>()
    private val expired = LinkedHashMap<BackEndId, BackEnd>()

    /** The last known state of the latest incarnation of each id, kept for [MAX_HEARTBEAT_DELAY] after its removal. */
    private val lastKnown = HashMap<BackEndId, LastKnown>()

    /** The latest incarnation of each id that stated its departure, which holds for good; the eldest entries yield. */
    private val departed =
        object : LinkedHashMap<BackEndId, Incarnation>() {
            override fun removeEldestEntry(eldest: Map.Entry<BackEndId, Incarnation>): Boolean = size > MAX_DEPARTED
        }
    private var unavailableSince: MonotonicTime? = null
    private var graceUntil: MonotonicTime? = null

    /** Whether the next snapshot shows an older copy of the registry. */
    private var isRestored = false

    /** The removed back ends that an older copy lists, which are not used before their entries are written again. */
    private val withheld = HashMap<BackEndId, Incarnation>()

    override fun decide(event: DirectoryEvent, now: MonotonicTime): List<DirectoryEffect> =
        when (event) {
            is DirectoryEvent.Snapshot -> applySnapshot(event.backEnds, now)

            is DirectoryEvent.Changed -> applyChange(event, now)

            is DirectoryEvent.DepartureStated -> recordDeparture(event.instance)

            DirectoryEvent.RegistryUnavailable -> {
                if (unavailableSince == null) unavailableSince = now
                emptyList()
            }

            DirectoryEvent.RegistryAvailable -> startGracePeriod(now)

            DirectoryEvent.Restored -> {
                isRestored = true
                graceUntil = now + expiryGracePeriod
                emptyList()
            }

            DirectoryEvent.Sweep -> sweep(now)
        }

    private fun applySnapshot(backEnds: List<BackEnd>, now: MonotonicTime): List<DirectoryEffect> {
        val ids = backEnds.mapTo(HashSet()) { it.id }
        val missing = listed.keys.filter { it !in ids }
        if (isRestored) backEnds.filter { it.hadBeenRemoved }.forEach { withheld[it.id] = it.incarnation }
        withheld.keys.retainAll(ids)
        val usable = backEnds.filterNot { backEnd -> withheld[backEnd.id]?.let { backEnd.incarnation <= it } == true }
        val keptServices =
            when {
                isRestored -> listed.values.mapTo(HashSet()) { it.service }
                mayHaveExpired(now) -> servicesWithoutMost(missing.mapNotNull { listed[it] })
                else -> emptySet()
            }
        isRestored = false
        return apply(usable, missing, keptServices, now)
    }

    /** Whether this instance was known and its entry is no longer listed. */
    private val BackEnd.hadBeenRemoved: Boolean
        get() = id !in listed && id !in expired && lastKnown[id]?.let { it.backEnd.incarnation >= incarnation } == true

    private fun applyChange(event: DirectoryEvent.Changed, now: MonotonicTime): List<DirectoryEffect> {
        val removed = event.removed.mapNotNull { listed[it] }
        event.listed.forEach { withheld -= it.id }
        return apply(
            event.listed,
            event.removed,
            if (mayHaveExpired(now)) servicesWithoutMost(removed) else emptySet(),
            now,
        )
    }

    /** Drops the entries of [removed], but keeps those of [keptServices] for the grace period unless they drain. */
    private fun apply(
        updated: List<BackEnd>,
        removed: Collection<BackEndId>,
        keptServices: Set<ServiceName>,
        now: MonotonicTime,
    ): List<DirectoryEffect> {
        for (backEnd in removed.mapNotNull { listed[it] }) {
            listed -= backEnd.id
            lastKnown[backEnd.id] = LastKnown(backEnd, now)
            if (backEnd.service in keptServices && !backEnd.draining) expired[backEnd.id] = backEnd
        }
        for (backEnd in updated) update(backEnd, now)
        return publish()
    }

    /** Returns the services of which at least half of the listed back ends are among [removed]. */
    private fun servicesWithoutMost(removed: List<BackEnd>): Set<ServiceName> {
        val listedCounts = listed.values.groupingBy { it.service }.eachCount()
        val removedCounts = removed.groupingBy { it.service }.eachCount()
        return removedCounts.filter { (service, count) -> count * 2 >= listedCounts.getValue(service) }.keys
    }

    /**
     * Lists [entry] unless it is older than the last known state of its back end.
     *
     * The registry may accept a delayed heartbeat, which shows an outdated state. It is recognized by two rules: a
     * back end never returns to an earlier incarnation, and an incarnation that is draining never stops draining.
     */
    private fun update(entry: BackEnd, now: MonotonicTime) {
        val known = lastKnown[entry.id]?.backEnd
        if (known != null && entry.incarnation < known.incarnation) return
        val wasDraining = known != null && known.incarnation == entry.incarnation && known.draining
        val backEnd = if (wasDraining || entry.hasDeparted) entry.copy(draining = true) else entry
        lastKnown[entry.id] = LastKnown(backEnd, now)
        expired -= entry.id
        listed[entry.id] = backEnd
    }

    private val BackEnd.hasDeparted: Boolean get() = departed[id]?.let { incarnation <= it } ?: false

    private fun recordDeparture(instance: InstanceKey): List<DirectoryEffect> {
        val known = departed[instance.id]
        if (known != null && instance.incarnation <= known) return emptyList()
        departed[instance.id] = instance.incarnation
        var changed = false
        for (entries in listOf(listed, expired)) {
            val entry = entries[instance.id] ?: continue
            if (entry.draining || !entry.hasDeparted) continue
            entries[instance.id] = entry.copy(draining = true)
            changed = true
        }
        return if (changed) publish() else emptyList()
    }

    private fun startGracePeriod(now: MonotonicTime): List<DirectoryEffect> {
        if (unavailableSince != null) graceUntil = now + expiryGracePeriod
        unavailableSince = null
        return emptyList()
    }

    private fun sweep(now: MonotonicTime): List<DirectoryEffect> {
        lastKnown.entries.removeIf { (id, last) ->
            id !in listed && id !in expired && now - last.updatedAt > MAX_HEARTBEAT_DELAY
        }
        val keepsExpired = unavailableSince != null || graceUntil?.let { now < it } ?: false
        if (expired.isEmpty() || keepsExpired) return emptyList()
        expired.clear()
        return publish()
    }

    private fun mayHaveExpired(now: MonotonicTime): Boolean =
        unavailableSince?.let { now - it >= MIN_OUTAGE_FOR_EXPIRY } ?: false

    private fun publish(): List<DirectoryEffect> = listOf(DirectoryEffect.Publish(listed.values + expired.values))

    private companion object {
        /** Entries expire after three missed heartbeats, sent seconds apart, so none expires in a shorter outage. */
        val MIN_OUTAGE_FOR_EXPIRY: Duration = 2.seconds

        /** Ten times the age of the oldest writes that the registry still accepts. */
        val MAX_HEARTBEAT_DELAY: Duration = 60.seconds

        /** More than the back ends of a large fleet. */
        const val MAX_DEPARTED = 4_096
    }
}
