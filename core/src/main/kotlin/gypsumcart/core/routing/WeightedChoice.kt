package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.Ticket
import kotlin.math.ln

/**
 * Returns the candidate to call for [admitted], by weighted rendezvous hashing with bounded loads.
 *
 * A candidate gets prompt prefixes in proportion to its weight. One that has far more than its part of this node's
 * calls is passed over; one that has far more of the calls of all nodes is passed over by a part of the requests, so
 * that not all nodes leave it for the same next one at once. Requests without a shared prefix go to the less loaded of
 * two candidates.
 */
internal fun List<Candidate>.chooseByCapacity(admitted: AdmittedRequest): Candidate {
    val bounds = LoadBounds.of(this)
    val prefix = admitted.sharedPrefixOrNull() ?: return lessLoadedOfTwo(admitted.ticket, bounds)
    var best: Candidate? = null
    var bestScore = 0.0
    for (candidate in this) {
        val score = -candidate.weight / ln(unitInterval(rendezvousWeight(prefix, candidate.backEnd.key)))
        if (score > bestScore && bounds.admit(candidate, admitted.ticket)) {
            best = candidate
            bestScore = score
        }
    }
    return best ?: lessLoadedOfTwo(admitted.ticket, bounds)
}

/**
 * Bounds the load of candidates.
 *
 * Weights are such that all have as many calls of all nodes in progress, so that these are bounded alike.
 */
private class LoadBounds(private val ownLoadOfWeight: Double, meanSharedCalls: Double) {
    private val sharedBound = (meanSharedCalls + SHARED_SLACK) * LOAD_BALANCE_FACTOR

    fun admit(candidate: Candidate, ticket: Ticket): Boolean {
        if (candidate.load > ownLoadOfWeight * candidate.weight * LOAD_BALANCE_FACTOR + LOAD_SLACK) return false
        if (candidate.sharedCalls <= sharedBound) return true
        val admittedPart = sharedBound / candidate.sharedCalls
        return unitInterval(hashOf(ticket, candidate.backEnd.key)) < admittedPart * admittedPart
    }

    companion object {
        fun of(candidates: List<Candidate>): LoadBounds {
            var load = 0.0
            var calls = 0.0
            var weight = 0.0
            for (candidate in candidates) {
                load += candidate.load
                calls += candidate.sharedCalls
                weight += candidate.weight
            }
            return LoadBounds(load / weight, calls / candidates.size)
        }
    }
}

/** Returns the less loaded of two candidates, each of which is drawn in proportion to its weight. */
private fun List<Candidate>.lessLoadedOfTwo(ticket: Ticket, bounds: LoadBounds): Candidate {
    val first = drawByWeight(unitInterval(hashOf(ticket, FIRST_DRAW)), except = null)
    if (size == 1) return first
    val second = drawByWeight(unitInterval(hashOf(ticket, SECOND_DRAW)), except = first)
    return when {
        !bounds.admit(first, ticket) -> second
        second.load / second.weight < first.load / first.weight && bounds.admit(second, ticket) -> second
        else -> first
    }
}

/** Returns the candidate at the position [point] from 0 to 1 of the weights laid end to end. */
private fun List<Candidate>.drawByWeight(point: Double, except: Candidate?): Candidate {
    var left = point * (sumOf { it.weight } - (except?.weight ?: 0.0))
    var drawn = first()
    for (candidate in this) {
        if (candidate === except) continue
        drawn = candidate
        left -= candidate.weight
        if (left <= 0) break
    }
    return drawn
}

/** Returns a number from 0 to 1 that is different for each request. */
internal fun drawOf(ticket: Ticket): Double = unitInterval(mix(ticket.number.hashCode()))

/** Maps a hash to the open interval from 0 to 1. */
private fun unitInterval(hash: Int): Double = (hash.toUInt().toDouble() + HALF) / HASHES

private fun hashOf(ticket: Ticket, instance: InstanceKey): Int = mix(ticket.number.hashCode() + instance.hashCode())

private fun hashOf(ticket: Ticket, draw: Int): Int = mix(ticket.number.hashCode() + draw)

private fun mix(number: Int): Int = finalizeHash(finalizeHash(number))

private const val HALF = 0.5
private const val HASHES = 4_294_967_296.0

/** Any two different numbers. */
private const val FIRST_DRAW = 0x2545f491
private const val SECOND_DRAW = 0x51ed270b

/** Added to the mean of the calls of all nodes: so few never send a request away from its cached prompt. */
private const val SHARED_SLACK = 3.0
