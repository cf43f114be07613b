package gypsumcart.core.directory

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tells the directory of back ends what happened. */
public sealed class DirectoryEvent {
    /** The registry was read whole: it lists [backEnds] and no others. */
    public data class Read(public val backEnds: List<BackEnd>) : DirectoryEvent()

    /** The registry changed: [listed] are new or different, [removed] are not listed any more. */
    public data class Changed(
        public val listed: List<BackEnd>,
        public val removed: List<BackEndId>,
    ) : DirectoryEvent()

    /** The registry does not answer. */
    public data object Lost : DirectoryEvent()

    /** The registry answers again. */
    public data object Regained : DirectoryEvent()

    /** The time came to drop entries that have not come back. */
    public data object Sweep : DirectoryEvent()
}

/** Says what the directory of back ends wants done. */
public sealed class DirectoryEffect {
    /** Tells all that route or order of the back ends that there are now. */
    public data class List(public val backEnds: kotlin.collections.List<BackEnd>) : DirectoryEffect()
}

/**
 * Keeps the list of back ends through outages of the registry.
 *
 * Entries may lapse with the registry and come back soon after it. An entry that has disappeared when the registry
 * answers again is therefore kept for [lapseGrace]; one that disappears at another time is gone.
 */
public class BackEndDirectory(private val lapseGrace: Duration) : Decider<DirectoryEvent, DirectoryEffect> {
    private class Said(val backEnd: BackEnd, val at: MonotonicTime)

    private val listed = LinkedHashMap<BackEndId, BackEnd>()
    private val lapsed = LinkedHashMap<BackEndId, BackEnd>()

    /** What was said last of the newest start of each id, kept for a while after its entry is gone. */
    private val newest = HashMap<BackEndId, Said>()
    private var lostSince: MonotonicTime? = null
    private var graceUntil: MonotonicTime? = null

    override fun decide(event: DirectoryEvent, now: MonotonicTime): List<DirectoryEffect> =
        when (event) {
            is DirectoryEvent.Read -> read(event.backEnds, now)

            is DirectoryEvent.Changed -> change(event, now)

            DirectoryEvent.Lost -> {
                if (lostSince == null) lostSince = now
                emptyList()
            }

            DirectoryEvent.Regained -> regain(now)

            DirectoryEvent.Sweep -> sweep(now)
        }

    private fun read(backEnds: List<BackEnd>, now: MonotonicTime): List<DirectoryEffect> {
        val ids = backEnds.mapTo(HashSet()) { it.id }
        return change(DirectoryEvent.Changed(backEnds, listed.keys.filter { it !in ids }), now)
    }

    private fun change(event: DirectoryEvent.Changed, now: MonotonicTime): List<DirectoryEffect> {
        for (id in event.removed) {
            val backEnd = listed.remove(id) ?: continue
            newest[id] = Said(backEnd, now)
            if (mayHaveLapsed(now) && !backEnd.leaving) lapsed[id] = backEnd
        }
        for (backEnd in event.listed) take(backEnd, now)
        return list()
    }

    /**
     * Lists [said] unless it is older than what is known.
     *
     * A heartbeat that the registry takes in late shows a state that is over. Starts of an id only follow each other,
     * and one that leaves never stays after all.
     */
    private fun take(said: BackEnd, now: MonotonicTime) {
        val known = newest[said.id]?.backEnd
        if (known != null && said.incarnation < known.incarnation) return
        val left = known != null && known.incarnation == said.incarnation && known.leaving
        val backEnd = if (left) said.copy(leaving = true) else said
        newest[said.id] = Said(backEnd, now)
        lapsed -= said.id
        listed[said.id] = backEnd
    }

    private fun regain(now: MonotonicTime): List<DirectoryEffect> {
        if (lostSince != null) graceUntil = now + lapseGrace
        lostSince = null
        return emptyList()
    }

    private fun sweep(now: MonotonicTime): List<DirectoryEffect> {
        newest.entries.removeIf { (id, said) -> id !in listed && id !in lapsed && now - said.at > LATE_HEARTBEAT }
        val waits = lostSince != null || graceUntil?.let { now < it } ?: false
        if (lapsed.isEmpty() || waits) return emptyList()
        lapsed.clear()
        return list()
    }

    private fun mayHaveLapsed(now: MonotonicTime): Boolean = lostSince?.let { now - it >= SHORTEST_LAPSE } ?: false

    private fun list(): List<DirectoryEffect> = listOf(DirectoryEffect.List(listed.values + lapsed.values))

    private companion object {
        /** Entries lapse after three missing heartbeats, which are seconds apart; a shorter outage loses none. */
        val SHORTEST_LAPSE: Duration = 2.seconds

        /** Ten times the age of the oldest writes that the registry still takes in. */
        val LATE_HEARTBEAT: Duration = 60.seconds
    }
}
