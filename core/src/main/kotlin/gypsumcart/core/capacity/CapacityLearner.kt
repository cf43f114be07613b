package gypsumcart.core.capacity

import gypsumcart.core.BackEnd
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.routing.key
import kotlin.time.Duration

/**
 * Learns from the calls of all nodes how much each instance of a back end takes compared with its peers.
 *
 * A weight follows the inverse of the latency relative to the peers. With weights in this proportion, all instances
 * have the same number of calls in progress, and a load that slows an instance down lowers its weight as a slower
 * machine does.
 */
internal class CapacityLearner {
    private val usual = UsualLatencies()
    private val own = OwnSums()
    private val peers = PeerSums()
    private val instances = HashMap<InstanceTag, InstanceCapacity>()
    private val instancesByService = HashMap<ServiceName, List<InstanceCapacity>>()

    /** Replaces the instances; one that joins others of its service starts slowly. */
    fun list(backEnds: List<BackEnd>, now: MonotonicTime) {
        val knownServices = instancesByService.filterValues { it.isNotEmpty() }.keys.toSet()
        val listed =
            backEnds.map { backEnd ->
                val tag = backEnd.key.tag
                val rampFrom = now.takeIf { backEnd.service in knownServices }
                instances.getOrPut(tag) { InstanceCapacity(tag, backEnd.service, rampFrom) }
            }
        instances.values.retainAll(listed.toSet())
        instancesByService.clear()
        instancesByService += listed.groupBy { it.service }
    }

    /** Returns what is known of the instance, or null if it is not listed. */
    fun of(backEnd: BackEnd): InstanceCapacity? = instances[backEnd.key.tag]

    /** Counts a call that starts. */
    fun recordStart(instance: InstanceTag, now: MonotonicTime): Unit = own.countInProgress(instance, 1, now)

    /** Counts a call that ends. */
    fun recordEnd(instance: InstanceTag, now: MonotonicTime): Unit = own.countInProgress(instance, -1, now)

    /** Records a response that started [latency] after its call. */
    fun recordResponse(instance: InstanceTag, kind: CallClass, latency: Duration, now: MonotonicTime) {
        val slowness = usual.record(kind, latency, now).coerceAtMost(MAX_SLOWNESS)
        own.add(instance, CallSums(calls = 1.0, slowness), now)
    }

    /** Records a call that failed, which counts as a slow one. */
    fun recordFailure(instance: InstanceTag, now: MonotonicTime): Unit =
        own.add(instance, CallSums(calls = 1.0, MAX_SLOWNESS, failures = 1.0), now)

    /** Records a call that was given up [elapsed] after its start; it shows something only if that is long. */
    fun recordAbandoned(instance: InstanceTag, kind: CallClass, elapsed: Duration, now: MonotonicTime) {
        val slowness = usual.multipleOrNull(kind, elapsed)?.coerceAtMost(MAX_SLOWNESS) ?: return
        if (slowness > 1) own.add(instance, CallSums(calls = 1.0, slowness), now)
    }

    /** Records what [node] counted up to [asOf]. */
    fun learn(node: NodeId, report: CapacityReport, asOf: MonotonicTime): Unit = peers.learn(node, report, asOf)

    /** Adapts the weights to the calls of all nodes and returns what this node tells the others. */
    fun update(now: MonotonicTime): CapacityReport {
        instances.values.forEach { it.sums = CallSums.NONE }
        own.forEach(now, ::addSums)
        peers.forEach(now, ::addSums)
        instancesByService.values.forEach { adaptWeights(it, now) }
        return own.report(now)
    }

    private fun addSums(instance: InstanceTag, sums: CallSums) {
        instances[instance]?.let { it.sums += sums }
    }

    private fun adaptWeights(peers: List<InstanceCapacity>, now: MonotonicTime) {
        val all = peers.fold(CallSums.NONE) { sum, instance -> sum + instance.sums }
        val usualSlowness = if (all.calls > 0) all.slowness / all.calls else 1.0
        for (instance in peers) {
            val (calls, slowness) = instance.sums
            instance.adapt((calls + PRIOR_CALLS) * usualSlowness / (slowness + PRIOR_CALLS * usualSlowness), now)
        }
    }

    private companion object {
        /** Bounds the effect of one call, since a single one may have waited for a reason of its own. */
        const val MAX_SLOWNESS = 8.0

        /** An instance counts as usual until about this many calls show otherwise. */
        const val PRIOR_CALLS = 5.0
    }
}
