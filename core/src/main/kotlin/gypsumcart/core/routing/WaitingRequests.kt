package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket

/**
 * Represents a request that waits for a back end.
 *
 * @property deadline when it has waited too long
 */
internal data class WaitingRequest(
    val admitted: AdmittedRequest,
    val excluded: Set<InstanceKey>,
    val deadline: MonotonicTime,
)

/** Determines in which order waiting requests are assigned back ends. */
internal sealed class WaitingOrder {
    /** The most urgent first, otherwise the one that has waited longest. */
    data object ByPriority : WaitingOrder()

    /**
     * Fair among teams by the work that their requests ask for, and the most urgent first, except that every
     * [FAIR_TURN]th turn goes to the team that is due, whatever the priority.
     */
    data object FairAmongTeams : WaitingOrder() {
        /** Leaves most turns to the most urgent requests and a floor to all others. */
        const val FAIR_TURN = 4
    }
}

/**
 * Holds the requests that wait for a back end.
 *
 * Fairness follows start-time fair queueing: each request has a tag, which is the virtual time at which its team has
 * been served all its earlier work. A team that asks for much gets late tags and so waits behind itself, not in front
 * of others; a large request has its turn when the virtual time has passed its tag.
 */
internal class WaitingRequests(private val order: WaitingOrder) {
    private data class Entry(val request: WaitingRequest, val tag: Double)

    private val entries = LinkedHashMap<Ticket, Entry>()
    private val lastTags = HashMap<TeamName?, Double>()
    private var virtualTime = 0.0
    private var turns = 0

    val values: List<WaitingRequest> get() = entries.values.map { it.request }

    val size: Int get() = entries.size

    fun isEmpty(): Boolean = entries.isEmpty()

    fun count(service: ServiceName): Int = entries.values.count { it.request.admitted.service == service }

    /** Returns how many requests would have their turn before [admitted], which asks for [work]. */
    fun countBefore(admitted: AdmittedRequest, work: Double): Int =
        when (order) {
            WaitingOrder.ByPriority ->
                entries.values.count { (request) ->
                    val other = request.admitted
                    other.service == admitted.service && other.priority <= admitted.priority
                }

            WaitingOrder.FairAmongTeams -> {
                val tag = nextTag(admitted.team, work)
                entries.values.count { (request, itsTag) ->
                    val other = request.admitted
                    val isMoreUrgent = other.priority < admitted.priority
                    val isEarlier = other.priority == admitted.priority && itsTag <= tag
                    other.service == admitted.service && (isMoreUrgent || isEarlier)
                }
            }
        }

    private fun nextTag(team: TeamName?, work: Double): Double = maxOf(virtualTime, lastTags[team] ?: 0.0) + work

    /** Adds [request], which asks for [work]. */
    fun add(request: WaitingRequest, work: Double) {
        val team = request.admitted.team
        val tag = nextTag(team, work)
        lastTags[team] = tag
        entries[request.admitted.ticket] = Entry(request, tag)
    }

    /** Removes the request with [ticket] because it was assigned a back end. */
    fun removeAssigned(ticket: Ticket) {
        val entry = entries.remove(ticket) ?: return
        virtualTime = maxOf(virtualTime, entry.tag)
        turns++
        lastTags.values.removeIf { it <= virtualTime }
    }

    operator fun minusAssign(ticket: Ticket) {
        entries -= ticket
    }

    /** Removes and returns the requests for which [predicate] holds. */
    fun removeAll(predicate: (WaitingRequest) -> Boolean): List<WaitingRequest> {
        val removed = values.filter(predicate)
        removed.forEach { entries -= it.admitted.ticket }
        return removed
    }

    fun clear(): Unit = entries.clear()

    /** Returns the requests in the order in which to assign them back ends. */
    fun inOrder(): List<WaitingRequest> =
        when (order) {
            WaitingOrder.ByPriority -> values.sortedBy { it.admitted.priority }
            WaitingOrder.FairAmongTeams -> fairOrder()
        }

    private fun fairOrder(): List<WaitingRequest> {
        val tagged = earliestDeadlineFirst()
        val byTag = ArrayDeque(tagged.sortedBy { it.tag })
        val byUrgency = ArrayDeque(tagged.sortedWith(compareBy({ it.request.admitted.priority }, { it.tag })))
        val ordered = LinkedHashSet<WaitingRequest>()
        while (ordered.size < tagged.size) {
            val isFairTurn = (turns + ordered.size + 1) % WaitingOrder.FairAmongTeams.FAIR_TURN == 0
            ordered += (if (isFairTurn) byTag else byUrgency).removeFirst().request
        }
        return ordered.toList()
    }

    /** Gives the turns of each team to its requests in the order of their deadlines, by priority. */
    private fun earliestDeadlineFirst(): List<Entry> =
        entries.values
            .groupBy { it.request.admitted.team to it.request.admitted.priority }
            .values
            .flatMap { ofTeam ->
                val tags = ofTeam.map { it.tag }.sorted()
                ofTeam.sortedBy { it.request.deadline }.zip(tags) { entry, tag -> Entry(entry.request, tag) }
            }
}

/**
 * Removes and returns the requests for [service] for which limits and pauses allow no call in time.
 *
 * @param backEndsOf returns the back ends that may serve a request, the same ones for all requests with one origin
 */
internal fun WaitingRequests.removeBlocked(
    service: ServiceName,
    place: NodePlace,
    now: MonotonicTime,
    backEndsOf: (AdmittedRequest) -> List<Candidate>,
): List<WaitingRequest> {
    val ofService = values.map { it.admitted }.filter { it.service == service }
    val limitersByOrigin =
        ofService
            .distinctBy { it.origin }
            .associate { it.origin to backEndsOf(it).limiters() }
            .filterValues { it.areUsedUp(place, now) }
    val nextCalls = limitersByOrigin.mapValues { it.value.nextCallAtOrNull(place, now) }
    return removeAll { (admitted, _, deadline) ->
        val isBlocked = admitted.service == service && admitted.origin in nextCalls
        isBlocked && (nextCalls[admitted.origin]?.let { it >= deadline } ?: true)
    }
}
