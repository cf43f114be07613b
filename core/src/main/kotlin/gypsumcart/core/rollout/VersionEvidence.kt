package gypsumcart.core.rollout

import gypsumcart.core.MonotonicTime
import gypsumcart.core.RouteKey
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.routing.InstanceKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Describes what a call shows of the version that it went to. */
public sealed class CallSign {
    /** A response came complete, or its first piece did, [elapsed] after the call. */
    public data class Answered(public val elapsed: Duration) : CallSign()

    /** The back end answered with an error or an invalid response. */
    public data object Failed : CallSign()

    /** The connection was cut or nothing came in time: all calls of a back end that crashes show this at once. */
    public data object Lost : CallSign()

    /** The client left [elapsed] after the call, before the response came. */
    public data class Abandoned(public val elapsed: Duration) : CallSign()
}

/**
 * Describes the sign of a call for the evidence of its service's roll-out.
 *
 * @property targetLatency the latency within which a response on the route has its full value
 */
public data class ObservedCall(
    public val route: RouteKey,
    public val targetLatency: Duration,
    public val instance: InstanceKey,
    public val isNew: Boolean,
    public val sign: CallSign,
)

/** Collects the evidence on one version, from this node and the others, and tests it by route and as a whole. */
internal class VersionEvidence {
    private class RouteCounts {
        var old = ResponseCounts()
        var new = ResponseCounts()
        val usualTimes = RecentTimes()
    }

    private class Series {
        val test = SequentialTest()
        var old = RecentRate()
        var oldTotal = 0
        var newTotal = 0
    }

    private val ownCounts = LinkedHashMap<RouteKey, RouteCounts>()
    private val mergedCounts = HashMap<Pair<NodeKey, RouteKey>, RouteEvidence>()
    private val series = HashMap<RouteKey, Series>()
    private val whole = Series()
    private val lastLosses = HashMap<InstanceKey, MonotonicTime>()

    /** What this node has counted. */
    val ownEvidence: List<RouteEvidence>
        get() = ownCounts.map { (route, counts) -> RouteEvidence(route, counts.old, counts.new) }

    /** Whether the version counts as bad, on any route. */
    val condemns: Boolean get() = whole.test.condemns || series.values.any { it.test.condemns }

    /** The number of responses of the new version on all nodes. */
    val newResponses: Int get() = whole.newTotal

    /** The strongest suspicion on any route, in the units of [SequentialTest.suspicion]. */
    val suspicion: Double get() = maxOf(whole.test.suspicion, series.values.maxOfOrNull { it.test.suspicion } ?: 0.0)

    /** Whether the version counts as good as a whole, and on each route that the old version serves often. */
    val acquits: Boolean
        get() = whole.test.acquits && series.values.none { it.oldTotal >= FREQUENT && !it.test.acquits }

    /** Whether what there is of evidence speaks for the version, though it may not suffice. */
    val favours: Boolean get() = whole.newTotal > 0 && whole.test.balance < 0 && suspicion < MAX_DOUBT

    /** Counts the sign of a call that this node made. */
    fun observe(call: ObservedCall, now: MonotonicTime) {
        val counts = ownCounts[call.route] ?: add(call.route) ?: return
        val one = classify(call, counts, now) ?: return
        if (call.isNew) counts.new += one else counts.old += one
    }

    private fun add(route: RouteKey): RouteCounts? =
        if (ownCounts.size >= MAX_ROUTES) null else RouteCounts().also { ownCounts[route] = it }

    private fun classify(call: ObservedCall, counts: RouteCounts, now: MonotonicTime): ResponseCounts? =
        when (val sign = call.sign) {
            CallSign.Failed -> FAILED
            CallSign.Lost -> if (isFirstLoss(call.instance, now)) FAILED else null
            is CallSign.Abandoned -> SLOW.takeIf { counts.usualTimes.isSlow(sign.elapsed, call.targetLatency) }
            is CallSign.Answered -> {
                val isSlow = counts.usualTimes.isSlow(sign.elapsed, call.targetLatency)
                if (!call.isNew) counts.usualTimes.add(sign.elapsed)
                if (isSlow) SLOW else GOOD
            }
        }

    /** A crash cuts many calls at once and counts as one failure. */
    private fun isFirstLoss(instance: InstanceKey, now: MonotonicTime): Boolean {
        val last = lastLosses.put(instance, now)
        return last == null || now - last > CRASH_SPAN
    }

    /** Adds what [node] has counted since its last evidence; evidence that was added before changes nothing. */
    fun merge(node: NodeKey, evidence: List<RouteEvidence>) {
        for (current in evidence) {
            if (current.route !in series && series.size >= MAX_ROUTES) continue
            val last = mergedCounts.put(node to current.route, current)
            val old = current.old.since(last?.old ?: NOTHING)
            val new = current.new.since(last?.new ?: NOTHING)
            add(series.getOrPut(current.route, ::Series), old, new)
            add(whole, old, new)
        }
    }

    private fun add(series: Series, old: ResponseCounts, new: ResponseCounts) {
        series.oldTotal += old.total
        series.newTotal += new.total
        series.old.add(old)
        series.test.add(new, series.old.rate)
    }

    /** Lets the old version's responses fade, so that it is compared at the same time. */
    fun fade() {
        whole.old.fade()
        series.values.forEach { it.old.fade() }
    }

    private companion object {
        val NOTHING = ResponseCounts()
        val GOOD = ResponseCounts(good = 1)
        val FAILED = ResponseCounts(failed = 1)
        val SLOW = ResponseCounts(slow = 1)

        /** Bounds the evidence in a report; routes beyond it are not judged one by one. */
        const val MAX_ROUTES = 32

        /** Responses of the old version from which on a route must be proven by itself. */
        const val FREQUENT = 400

        /** A suspicion that a few chance failures reach. */
        const val MAX_DOUBT = 4.0

        /** Calls that are lost within this time of each other on one back end have one cause. */
        val CRASH_SPAN: Duration = 1.seconds
    }
}

/** Holds the latest times that responses of the old version took on a route. */
private class RecentTimes {
    private val times = ArrayDeque<Duration>()

    fun add(time: Duration) {
        if (times.size == CAPACITY) times.removeFirst()
        times.addLast(time)
    }

    /** Returns whether [elapsed] is several times the median, and long enough to matter to clients. */
    fun isSlow(elapsed: Duration, targetLatency: Duration): Boolean {
        if (elapsed < targetLatency * MIN_FRACTION) return false
        if (times.size < MIN_TIMES) return elapsed > targetLatency * SLOW_FACTOR
        return elapsed > times.sorted()[times.size / 2] * SLOW_FACTOR
    }

    private companion object {
        /** Some seconds of one node's calls on a busy route. */
        const val CAPACITY = 32

        /** Fewer have no useful median. */
        const val MIN_TIMES = 5

        /** Less than "several times", so that also the faster ones of slow responses count. */
        const val SLOW_FACTOR = 2.2

        /** Responses faster than this fraction of the target lose nothing for their clients. */
        const val MIN_FRACTION = 0.25
    }
}

/** Estimates the rate of bad responses of the recent past. */
private class RecentRate {
    private var bad = 0.0
    private var total = 0.0

    /** The rate, with one bad response of fifty assumed in addition, so that few responses show little. */
    val rate: Double get() = (bad + 1) / (total + ASSUMED)

    fun add(counts: ResponseCounts) {
        bad += counts.bad
        total += counts.total
    }

    fun fade() {
        bad *= KEPT
        total *= KEPT
    }

    private companion object {
        const val ASSUMED = 50.0

        /** Four times a second, this keeps half of what is six seconds old. */
        const val KEPT = 0.97
    }
}
