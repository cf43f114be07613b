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

    /** Records what [node] counted up to the time [asOf]. */
    fun learn(node: NodeId, report: CapacityReport, asOf: MonotonicTime) {
        val known = sumsByNode.getOrPut(node, ::HashMap)
        for ((instance, sums) in report.sums) {
            val former = known[instance]
            when {
                former == null -> known[instance] = DecayingSums(sums, asOf)
                asOf > former.at -> former.replace(sums, asOf)
            }
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
}
