package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Prompt
import gypsumcart.core.PromptPartId
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.Ticket
import gypsumcart.core.capacity.InstanceCapacity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Identifies one instance of a back end: a restarted back end keeps its id but has another incarnation. */
public data class InstanceKey(public val id: BackEndId, public val incarnation: Incarnation)

/** The key of this instance of the back end. */
public val BackEnd.key: InstanceKey get() = InstanceKey(id, incarnation)

/** Describes what the result of a call shows about the health of its back end. */
public enum class HealthSignal {
    /** Resets the failure count and ends an ejection. */
    HEALTHY,

    /** Counts as a failure of the back end. */
    FAILING,

    /** The connection closed before the end of the response; counts as a failure of the back end. */
    DISCONNECTED,

    /** Leaves the failure count and an ejection as they are. */
    UNKNOWN,
}

/**
 * Represents a call to a back end that has not ended.
 *
 * @property started whether the first piece of the response has arrived
 * @property startedAt when the call was assigned
 */
internal class InFlightCall(val admitted: AdmittedRequest, val cost: Double, val startedAt: MonotonicTime) {
    var started = false

    val prompt: Prompt? get() = admitted.submission.prompt
}

/** Tracks the in-flight calls and the outlier ejection of one back-end instance, as seen by this node. */
internal class Candidate(var backEnd: BackEnd) {
    private val calls = HashMap<Ticket, InFlightCall>()
    private val hasCallSince = { time: MonotonicTime -> calls.values.any { it.startedAt >= time } }
    private var consecutiveFailures = 0
    private var ejectedUntil: MonotonicTime? = null

    /** When the current ejection began, or the last one. */
    private var ejectedAt: MonotonicTime? = null

    val limiter = CallLimiter()

    /** Whether the instance says that it is brittle. */
    val brittleness = Brittleness()

    /** What this node may use of the instance while it is brittle. */
    val room = BrittleRoom(brittleness)

    /** Whether the instance is known to have fallen over while it was brittle. */
    var hasFallen = false

    /** What is known of the instance's capacity, or null if it is not learned. */
    var capacity: InstanceCapacity? = null

    /** What the instance takes as a multiple of what others of its service do. */
    val weight: Double get() = capacity?.weight ?: 1.0

    /** The calls of all nodes to the instance that are in progress, as far as they have told. */
    val sharedCalls: Double get() = capacity?.sums?.inProgress ?: 0.0

    /** The total cost of the in-flight calls of this node to the instance. */
    var load = 0.0
        private set

    /** The number of in-flight calls of this node to the instance. */
    val inFlightCalls: Int get() = calls.size

    /** The number of those of them that need the version of this instance. */
    val boundCalls: Int get() = calls.values.count { it.admitted.origin is StreamOrigin.WrittenBy }

    /** Returns whether a call may be made now that is not to go to [excluded] instances. */
    fun isAvailable(excluded: Set<InstanceKey>, place: NodePlace, now: MonotonicTime): Boolean =
        !backEnd.draining && backEnd.key !in excluded && limiter.isOpen(place, now) && hasRoom(place, now)

    /** Returns whether brittleness does not keep this node from one more call now. */
    fun hasRoom(place: NodePlace, now: MonotonicTime): Boolean =
        room.isOpen(backEnd.slots, calls.size, place, now)

    /** Returns whether the instance must not get the request with [ticket], or any request if it is null. */
    fun isEjected(now: MonotonicTime, ticket: Ticket? = null): Boolean {
        if (ejectedUntil?.let { now < it } ?: false) return true
        val known = capacity ?: return false
        return known.isEjected(now, if (ticket == null) 1.0 else drawOf(ticket), hasCallSince)
    }

    /** The calls whose responses have not started. */
    val unstartedCalls: List<InFlightCall> get() = calls.values.filterNot { it.started }

    fun startCall(admitted: AdmittedRequest, cost: Double, now: MonotonicTime) {
        limiter.take()
        calls[admitted.ticket] = InFlightCall(admitted, cost, now)
        load += cost
    }

    fun callOrNull(ticket: Ticket): InFlightCall? = calls[ticket]

    /** Ends a call and returns it, or null if it has ended before. */
    fun endCall(ticket: Ticket, health: HealthSignal, now: MonotonicTime): InFlightCall? {
        val call = calls.remove(ticket)
        call?.let { load -= it.cost }
        if (calls.isEmpty()) load = 0.0
        when (health) {
            HealthSignal.HEALTHY -> {
                consecutiveFailures = 0
                ejectedUntil = null
            }

            HealthSignal.FAILING, HealthSignal.DISCONNECTED -> if (!beganBeforeEjection(call)) recordFailure(now)

            HealthSignal.UNKNOWN -> Unit
        }
        return call
    }

    /** Whether the call can't show anything that the ejection does not cover, as it began before that. */
    private fun beganBeforeEjection(call: InFlightCall?): Boolean {
        val startedAt = call?.startedAt ?: return false
        return ejectedAt?.let { startedAt < it } ?: false
    }

    private fun recordFailure(now: MonotonicTime) {
        consecutiveFailures++
        if (consecutiveFailures < EJECTION_THRESHOLD) return
        val doublings = (consecutiveFailures - EJECTION_THRESHOLD).coerceAtMost(MAX_EJECTION_DOUBLINGS)
        ejectedUntil = now + BASE_EJECTION_TIME * (1 shl doublings)
        ejectedAt = now
    }

    private companion object {
        /** Consecutive failures that eject a back end: one may be the request's fault, two in a row seldom are. */
        const val EJECTION_THRESHOLD = 2

        /** About one heartbeat interval of the back ends, within which the directory may list a changed state. */
        val BASE_EJECTION_TIME: Duration = 1.seconds

        /** Limits an ejection to eight seconds, since only a call can show that a back end has recovered. */
        const val MAX_EJECTION_DOUBLINGS = 3
    }
}

/**
 * Returns the candidate to call for [admitted], by rendezvous hashing with bounded loads.
 *
 * Requests that share a prompt prefix go to the same back end, which most probably has it cached, or to the next in
 * rendezvous order if its load is far above the mean. Other requests go to the least loaded back end.
 */
internal fun List<Candidate>.choose(admitted: AdmittedRequest, cost: Double): Candidate {
    val prefix = admitted.sharedPrefixOrNull() ?: return leastLoaded(admitted.ticket)
    val bound = sumOf { it.load } / size * LOAD_BALANCE_FACTOR + cost + LOAD_SLACK
    return sortedByDescending { rendezvousWeight(prefix, it.backEnd.key) }
        .firstOrNull { it.load + cost <= bound }
        ?: leastLoaded(admitted.ticket)
}

/** Spreads the nodes that share limits evenly over the candidates of one service. */
internal fun List<Candidate>.spreadLimits(): Unit =
    forEachIndexed { i, candidate ->
        candidate.limiter.position = i.toDouble() / size
        candidate.room.position = i.toDouble() / size
    }

/** Returns the limiters of the candidates that accept new requests. */
internal fun List<Candidate>.limiters(): List<CallLimiter> = filterNot { it.backEnd.draining }.map { it.limiter }

/** Returns the capacity that limits take away, by service, given the requests a second for a service on all nodes. */
internal fun Map<ServiceName, List<Candidate>>.lostCapacity(
    requestRate: (ServiceName) -> Double,
): Map<ServiceName, Double> =
    mapValues { (service, candidates) ->
        val limiters = candidates.limiters()
        if (limiters.isEmpty()) 0.0 else limiters.lostCapacity(requestRate(service) / limiters.size)
    }.filterValues { it > 0 }

/** Returns the least loaded candidate; a different one of several for each [ticket]. */
internal fun List<Candidate>.leastLoaded(ticket: Ticket): Candidate {
    val offset = Math.floorMod(ticket.number, size.toLong()).toInt()
    return indices.map { this[(it + offset) % size] }.minBy { it.load }
}

/**
 * Returns the id of the last prompt part that other requests can share, or null if there is none.
 *
 * It stands for the whole prefix up to and including that part.
 */
internal fun AdmittedRequest.sharedPrefixOrNull(): PromptPartId? {
    val parts = submission.prompt?.parts ?: return null
    return parts.getOrNull(parts.size - 2)?.id
}

/** Returns a weight of [instance] for [prefix] that is equal on all nodes and independent between instances. */
internal fun rendezvousWeight(prefix: PromptPartId, instance: InstanceKey): Int =
    finalizeHash(prefix.text.hashCode() * HASH_MULTIPLIER + instance.hashCode())

/** Spreads numbers that are near each other over all numbers. */
internal fun finalizeHash(number: Int): Int {
    val hash = (number xor (number ushr HASH_SHIFT)) * HASH_MULTIPLIER
    return hash xor (hash ushr HASH_SHIFT)
}

/** A back end may have this many times the mean load before requests for the prompts it caches go elsewhere. */
internal const val LOAD_BALANCE_FACTOR: Double = 1.5

/** Added to the load bound, in requests: a load this small never sends a request away from its cached prompt. */
internal const val LOAD_SLACK: Double = 3.0

/** The multiplier (0x85ebca6b) and shift of a 32-bit hash finalizer in the style of MurmurHash3. */
private const val HASH_MULTIPLIER = -0x7a143595
private const val HASH_SHIFT = 15
