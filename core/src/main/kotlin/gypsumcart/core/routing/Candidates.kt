package gypsumcart.core.routing

import gypsumcart.core.Admitted
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.PromptPartId
import gypsumcart.core.Ticket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Names one start of a back end. */
public data class InstanceKey(public val id: BackEndId, public val incarnation: Incarnation)

/** Names this start of the back end. */
public val BackEnd.key: InstanceKey get() = InstanceKey(id, incarnation)

/** Says what a finished call tells of its back end. */
public enum class Verdict { HEALTHY, FAILING, UNKNOWN }

/** Holds what this node knows of one start of a back end and has sent to it. */
internal class Candidate(var backEnd: BackEnd) {
    private val running = HashMap<Ticket, Double>()
    private var failures = 0
    private var ejectedUntil: MonotonicTime? = null

    /** The cost of the calls that this node has in progress there. */
    var load = 0.0
        private set

    /** How many calls this node has in progress there. */
    val calls: Int get() = running.size

    fun isEjected(now: MonotonicTime): Boolean = ejectedUntil?.let { now < it } ?: false

    fun start(ticket: Ticket, cost: Double) {
        running[ticket] = cost
        load += cost
    }

    fun end(ticket: Ticket, verdict: Verdict, now: MonotonicTime) {
        running.remove(ticket)?.let { load -= it }
        if (running.isEmpty()) load = 0.0
        when (verdict) {
            Verdict.HEALTHY -> {
                failures = 0
                ejectedUntil = null
            }

            Verdict.FAILING -> fail(now)

            Verdict.UNKNOWN -> Unit
        }
    }

    private fun fail(now: MonotonicTime) {
        failures++
        if (failures < EJECTING_FAILURES) return
        val doublings = (failures - EJECTING_FAILURES).coerceAtMost(MAX_DOUBLINGS)
        ejectedUntil = now + FIRST_EJECTION * (1 shl doublings)
    }

    private companion object {
        /** One failure may be the request's own fault; two in a row seldom are. */
        const val EJECTING_FAILURES = 2

        /** About a heartbeat interval of the back ends, within which the directory may tell more. */
        val FIRST_EJECTION: Duration = 1.seconds

        /** Bounds an ejection at eight seconds, since only a call can show that a back end has recovered. */
        const val MAX_DOUBLINGS = 3
    }
}

/**
 * Returns the candidate for [admitted]: the back end that most probably has its prompt cached unless it is loaded far
 * above the others, or else the least loaded one.
 */
internal fun List<Candidate>.choose(admitted: Admitted, cost: Double): Candidate {
    val shared = admitted.lastSharedPartOrNull() ?: return leastLoaded(admitted.ticket)
    val bound = sumOf { it.load } / size * LOAD_BOUND + cost + LOAD_SLACK
    return sortedByDescending { rendezvousWeight(shared, it.backEnd.key) }
        .firstOrNull { it.load + cost <= bound }
        ?: leastLoaded(admitted.ticket)
}

private fun List<Candidate>.leastLoaded(ticket: Ticket): Candidate {
    val offset = Math.floorMod(ticket.number, size.toLong()).toInt()
    return indices.map { this[(it + offset) % size] }.minBy { it.load }
}

/** Returns the last part of the prompt that other requests have too, which stands for all before it. */
private fun Admitted.lastSharedPartOrNull(): PromptPartId? {
    val parts = submission.prompt?.parts ?: return null
    return parts.getOrNull(parts.size - 2)?.id
}

/** Returns a weight of [instance] for [part] that is equal on all nodes and independent between instances. */
private fun rendezvousWeight(part: PromptPartId, instance: InstanceKey): Int {
    var h = part.text.hashCode() * HASH_MULTIPLIER + instance.hashCode()
    h = (h xor (h ushr HASH_SHIFT)) * HASH_MULTIPLIER
    return h xor (h ushr HASH_SHIFT)
}

/** A back end may carry this many times the mean load before a request goes elsewhere than its prompt. */
private const val LOAD_BOUND = 1.5

/** A load that is no reason yet to leave a cached prompt, in requests. */
private const val LOAD_SLACK = 3.0

/** The multiplier and shift of a common 32-bit finalizer (Murmur 3). */
private const val HASH_MULTIPLIER = -0x7a143595
private const val HASH_SHIFT = 15
