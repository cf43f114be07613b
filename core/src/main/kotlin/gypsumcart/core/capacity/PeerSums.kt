package gypsumcart.core.capacity

import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId

/**
 * Holds what the other nodes told of their calls.
 *
 * For each node and instance the latest sums count, so that a report that is repeated, late or lost counts no call
 * twice.
 */
internal class PeerSums {
    private val sumsByNode = HashMap<NodeId, HashMap<InstanceTag, DecayingSums>>()

    /** Records what [node] counted up to the time [asOf]; calls [onResponse] with instances that responded to it. */
    fun learn(
        node: NodeId,
        report: CapacityReport,
        asOf: MonotonicTime,
        onResponse: (InstanceTag) -> Unit,
    ) {
        val known = sumsByNode.getOrPut(node, ::HashMap)
        for ((instance, sums) in report.sums) {
            val decaying = known.getOrPut(instance) { DecayingSums(CallSums.NONE, asOf - MEMORY) }
            if (asOf <= decaying.at) continue
            if (sums.responses - decaying.asOf(asOf).responses >= MIN_RESPONSES) onResponse(instance)
            decaying.replace(sums, asOf)
        }
    }

    /** Calls [action] with the sums of each node and instance at [now]; forgets those that hardly count any more. */
    fun forEach(now: MonotonicTime, action: (InstanceTag, CallSums) -> Unit) {
        sumsByNode.values.removeIf { ofNode ->
            ofNode.entries.removeIf { (instance, decaying) ->
                val sums = decaying.asOf(now)
                action(instance, sums)
                sums.isNegligible
            }
            ofNode.isEmpty()
        }
    }

    private companion object {
        /** More than what the rounding of sums in reports can add to the responses, and less than one response. */
        const val MIN_RESPONSES = 0.4
    }
}
