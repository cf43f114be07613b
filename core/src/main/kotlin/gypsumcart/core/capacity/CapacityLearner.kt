package gypsumcart.core.capacity

import gypsumcart.core.BackEnd
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.routing.key
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

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
    private val servicesSince = HashMap<ServiceName, MonotonicTime>()
    private val instancesByService = HashMap<ServiceName, List<InstanceCapacity>>()

    /** Replaces the instances; one that joins others that have been known for a while starts slowly. */
    fun list(backEnds: List<BackEnd>, now: MonotonicTime) {
        val listed =
            backEnds.map { backEnd ->
                val tag = backEnd.key.tag
                val knownSince = servicesSince.getOrPut(backEnd.service) { now }
                val rampFrom = now.takeIf { it - knownSince >= SETTLING_TIME }
                instances.getOrPut(tag) { InstanceCapacity(tag, backEnd.service, rampFrom, now) }
            }
        instances.values.retainAll(listed.toSet())
        servicesSince.keys.retainAll(backEnds.mapTo(HashSet()) { it.service })
        instancesByService.clear()
        instancesByService += listed.groupBy { it.service }
    }

    /** Returns what is known of the instance, or null if it is not listed. */
    fun of(backEnd: BackEnd): InstanceCapacity? = instances[backEnd.key.tag]

    /** Counts a call that is made. */
    fun recordCall(instance: InstanceTag, now: MonotonicTime): Unit =
        own.count(instance, inProgress = 1, waiting = 1, now)

    /** Counts a call whose response starts. */
    fun recordStart(instance: InstanceTag, now: MonotonicTime): Unit =
        own.count(instance, inProgress = 0, waiting = -1, now)

    /** Counts a call that ends; [isWaiting] says whether its response had not started. */
    fun recordEnd(instance: InstanceTag, isWaiting: Boolean, now: MonotonicTime): Unit =
        own.count(instance, inProgress = -1, waiting = if (isWaiting) -1 else 0, now)

    /** Records a response that started [latency] after its call. */
    fun recordResponse(instance: InstanceTag, kind: CallClass, latency: Duration, now: MonotonicTime) {
        val slowness = usual.record(kind, latency, now).coerceAtMost(MAX_SLOWNESS)
        own.add(instance, CallSums(calls = 1.0, slowness), now)
        instances[instance]?.recordResponse(now)
    }

    /** Records a call of [calledAt] that failed, which counts as a slow one unless an ejection answered for it. */
    fun recordFailure(instance: InstanceTag, calledAt: MonotonicTime, now: MonotonicTime) {
        val known = instances[instance]
        if (known != null && !known.countsFailureOf(calledAt)) return
        own.add(instance, CallSums(calls = 1.0, MAX_SLOWNESS, failures = 1.0), now)
        known?.renewEjection(calledAt, now)
    }

    /**
     * Returns whether a call that has waited for [waited] waits longer than such calls to other instances do.
     *
     * @param target the latency target of the route, before which no call is late
     */
    fun isOverdue(kind: CallClass, waited: Duration, target: Duration): Boolean {
        if (waited <= target) return false
        val usualLongest = usual.quantileOrNull(kind, TAIL_DEVIATIONS) ?: return false
        return waited > usualLongest * TAIL_FACTOR
    }

    /**
     * Ejects an instance that responds to no call of any node, if a call to it has been overdue since [calledAt].
     *
     * @return whether it is ejected for that reason, or no longer listed
     */
    fun ejectIfDark(instance: InstanceTag, calledAt: MonotonicTime, now: MonotonicTime): Boolean {
        val suspect = instances[instance] ?: return true
        if (suspect.isDark) return true
        val peers = instancesByService[suspect.service].orEmpty()
        val isSilent = suspect.respondedAt < calledAt && now - calledAt >= peers.longestSilence()
        if (!isSilent || !peers.mayEject()) return false
        suspect.eject(EjectionReason.DARK, now)
        return true
    }

    /** Returns the instances whose standing has changed since the last call. */
    fun takeChanges(): List<Pair<InstanceTag, StandingChange>> =
        instances.values.mapNotNull { instance -> instance.takeChange()?.let { instance.tag to it } }

    /** Records a call that was given up [elapsed] after its start; it counts as failed if that is long. */
    fun recordAbandoned(instance: InstanceTag, kind: CallClass, elapsed: Duration, now: MonotonicTime) {
        val slowness = usual.multipleOrNull(kind, elapsed)?.coerceAtMost(MAX_SLOWNESS) ?: return
        if (slowness > 1) own.add(instance, CallSums(calls = 1.0, slowness, failures = 1.0), now)
    }

    /** Records what [node] counted up to [asOf]. */
    fun learn(node: NodeId, report: CapacityReport, asOf: MonotonicTime): Unit =
        peers.learn(node, report, asOf) { instances[it]?.recordResponse(asOf) }

    /** Adapts the weights to the calls of all nodes and returns what this node tells the others. */
    fun update(now: MonotonicTime): CapacityReport {
        val totals = HashMap<InstanceTag, CallSums>()
        val add = { instance: InstanceTag, sums: CallSums -> totals.merge(instance, sums, CallSums::plus) }
        own.forEach(now) { instance, sums -> add(instance, sums) }
        peers.forEach(now) { instance, sums -> add(instance, sums) }
        for (peers in instancesByService.values) {
            val sums = peers.map { totals[it.tag] ?: CallSums.NONE }
            val usualCalls = sums.sumOf { it.calls } / peers.size
            peers.forEachIndexed { i, instance -> instance.updateSums(sums[i], usualCalls, now) }
            adaptWeights(peers, now)
            peers.ejectOutliers(now)
            peers.ejectDark(now)
        }
        return own.report(now)
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

        /** For so long after its first instance was listed, those of a service may be listed one after another. */
        val SETTLING_TIME: Duration = 3.seconds

        /** Of latencies whose logarithms are spread normally, one in 700 is longer. */
        const val TAIL_DEVIATIONS = 3.0

        /** Leaves room for latencies that are not spread like that. */
        const val TAIL_FACTOR = 1.5

        /** An instance counts as usual until about this many calls show otherwise. */
        const val PRIOR_CALLS = 5.0
    }
}
