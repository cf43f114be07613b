package gypsumcart.core.rollout

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RouteKey
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.routing.Candidate
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.NodePlace
import gypsumcart.core.routing.RoutingEffect
import gypsumcart.core.routing.acceptedBy
import gypsumcart.core.routing.key
import kotlin.math.roundToInt

/**
 * Divides the requests for a service between two versions, as the rules of its roll-out say.
 *
 * A version follows from the hash of a request's id, so that all calls for a request go to the same one, unless a call
 * to the new version has failed. A request whose client has events goes to the version that wrote them or nowhere.
 * Whatever the rules say, a node never sends more to the new version than its part of what may be exposed.
 */
internal class VersionSplit {
    private class Division(var rule: VersionRule) {
        val requestsByRoute = HashMap<RouteKey, Int>()
        var requests = 0
        var exposed = 0

        /**
         * Returns the share of the requests on [route] that go to the new version, when [share] of all do.
         *
         * Each route gets as many, since a fault may show on one of them only.
         */
        fun shareOf(route: RouteKey, share: Double): Double {
            val ofRoute = requestsByRoute[route] ?: return share
            val even = requests.toDouble() / requestsByRoute.size
            return share * (even / ofRoute).coerceAtMost(MAX_RAISE)
        }

        fun count(route: RouteKey) {
            requests++
            if (route in requestsByRoute ||
                requestsByRoute.size < MAX_ROUTES
            ) {
                requestsByRoute.merge(route, 1, Int::plus)
            }
        }
    }

    private val divisions = HashMap<ServiceName, Division>()
    private var revision = 0L
    private val warmAt = HashMap<InstanceKey, MonotonicTime>()

    /** Replaces the rules; the counts of a service start anew with each order. */
    fun update(rules: List<VersionRule>, revision: Long) {
        this.revision = revision
        divisions.keys.retainAll(rules.mapTo(HashSet()) { it.service })
        for (rule in rules) {
            val division = divisions[rule.service]
            if (division == null || division.rule.order != rule.order) {
                divisions[rule.service] = Division(rule)
            } else {
                division.rule = rule
            }
        }
    }

    /** Records when the back ends that have just started will work at full speed. */
    fun list(backEnds: List<BackEnd>, now: MonotonicTime) {
        warmAt.keys.retainAll(backEnds.mapTo(HashSet()) { it.key })
        backEnds.filter { it.version != null }.forEach { warmAt.putIfAbsent(it.key, now + it.warmsUpIn) }
    }

    /** Returns the candidates of [service] that the rules leave to requests of [origin], before they are divided. */
    fun permitted(
        service: ServiceName,
        origin: StreamOrigin,
        candidatesByService: Map<ServiceName, List<Candidate>>,
    ): List<Candidate> {
        val candidates = candidatesByService[service].orEmpty()
        val rule = divisions[service]?.rule ?: return candidates.acceptedBy(origin)
        val usable = candidates.filterNot { it.backEnd.version in rule.barred }
        val (new, old) = usable.partition { it.backEnd.version == rule.target }
        val ofMode =
            when (rule.mode) {
                VersionMode.Old -> if (rule.isSettled) old.ifEmpty { new } else old
                VersionMode.New -> if (rule.isSettled) new.ifEmpty { old } else new
                is VersionMode.Divided -> usable
            }
        return ofMode.acceptedBy(origin)
    }

    /** Returns the candidates to one of which a call for [admitted] may go that is not to go to [excluded]. */
    fun select(
        admitted: AdmittedRequest,
        candidatesByService: Map<ServiceName, List<Candidate>>,
        excluded: Set<InstanceKey>,
        place: NodePlace,
        now: MonotonicTime,
    ): List<Candidate> {
        val permitted = permitted(admitted.service, admitted.origin, candidatesByService)
        val division = divisions[admitted.service] ?: return permitted
        return when (val mode = division.rule.mode) {
            VersionMode.Old, VersionMode.New -> permitted
            is VersionMode.Divided -> {
                val (new, old) = permitted.partition { it.backEnd.version == division.rule.target }
                val isReady = { candidate: Candidate -> candidate.isReady(excluded, place, now) }
                when (admitted.origin) {
                    StreamOrigin.Unwritten -> {
                        val hasFailed = new.any { it.backEnd.key in excluded }
                        val isDrawn = !hasFailed && division.isDrawn(admitted, mode, place)
                        (if (isDrawn) new.filter(isReady).few(mode.share, place) else emptyList()).ifEmpty { old }
                    }

                    // One of both is empty, as all permitted candidates are of one version.
                    is StreamOrigin.WrittenBy ->
                        if (division.mayExpose(mode, place)) old + new.filter(isReady).ifEmpty { new } else old
                }
            }
        }
    }

    private fun Division.isDrawn(admitted: AdmittedRequest, mode: VersionMode.Divided, place: NodePlace): Boolean =
        admitted.draw(rule) < shareOf(admitted.route.key, mode.share) && mayExpose(mode, place)

    private fun Division.mayExpose(mode: VersionMode.Divided, place: NodePlace): Boolean =
        exposed + 1 <= requests * mode.exposedShare + mode.exposedExtra * USED_EXTRA / place.nodeCount

    private fun Candidate.isReady(excluded: Set<InstanceKey>, place: NodePlace, now: MonotonicTime): Boolean =
        isAvailable(excluded, place, now) && !isEjected(now) && warmAt[backEnd.key]?.let { it <= now } ?: true

    /** Returns so few of the new back ends that each is loaded as much as all of them will be by all requests. */
    private fun List<Candidate>.few(share: Double, place: NodePlace): List<Candidate> =
        take((share * size).roundToInt().coerceAtLeast(1))
            .filter { it.inFlightCalls < (it.backEnd.slots / place.nodeCount).coerceAtLeast(1) }

    /** Counts a call that was assigned. */
    fun count(admitted: AdmittedRequest, attempt: AttemptNumber, backEnd: BackEnd) {
        val division = divisions[admitted.service] ?: return
        if (attempt == AttemptNumber.FIRST) division.count(admitted.route.key)
        if (backEnd.version == division.rule.target) division.exposed++
    }

    /** Returns whether the end of a call to [candidate] may have been the last one that a rule waits for. */
    fun awaitsEndOf(candidate: Candidate?): Boolean {
        if (candidate == null || candidate.inFlightCalls > 0) return false
        val rule = divisions[candidate.backEnd.service]?.rule ?: return false
        return rule.mode == VersionMode.New && !rule.isSettled && candidate.isOld(rule)
    }

    /** Reports what was done by each rule, if there are any, given all [candidates]. */
    fun uses(candidates: Map<InstanceKey, Candidate>): List<RoutingEffect> {
        if (divisions.isEmpty()) return emptyList()
        val uses =
            divisions.values.map { division ->
                val rule = division.rule
                val old = candidates.values.filter { it.backEnd.service == rule.service && it.isOld(rule) }
                VersionUse(rule, revision, division.requests, division.exposed, old.sumOf { it.inFlightCalls })
            }
        return listOf(RoutingEffect.VersionsUsed(uses))
    }

    private fun Candidate.isOld(rule: VersionRule): Boolean = backEnd.version != rule.target

    private companion object {
        /** The part of the extra requests that is used; the rest is for nodes that start anew and count from 0. */
        const val USED_EXTRA = 0.5

        /** Limits how much more often than by its part of the requests a rare route is seen. */
        const val MAX_RAISE = 4.0

        /** As many routes as the evidence tells apart. */
        const val MAX_ROUTES = 32
    }
}

/** Returns a number from 0 to 1 that is the same on all nodes for all calls of the request under one order. */
private fun AdmittedRequest.draw(rule: VersionRule): Double {
    val id = submission.requestId?.text ?: ticket.toString()
    var hash = (id.hashCode() xor rule.order.number.hashCode()) * HASH_MULTIPLIER
    hash = (hash xor (hash ushr HASH_SHIFT)) * HASH_MULTIPLIER
    hash = hash xor (hash ushr HASH_SHIFT)
    return (hash ushr 1).toDouble() / Int.MAX_VALUE
}

/** Multiplier (0x85ebca6b) and shift of a 32-bit hash finalizer in the style of MurmurHash3. */
private const val HASH_MULTIPLIER = -0x7a143595
private const val HASH_SHIFT = 15
