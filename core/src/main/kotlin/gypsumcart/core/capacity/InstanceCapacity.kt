package gypsumcart.core.capacity

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Describes what one instance takes, compared with its peers. */
internal class InstanceCapacity(
    val tag: InstanceTag,
    val service: ServiceName,
    rampFrom: MonotonicTime?,
    listedAt: MonotonicTime,
) {
    /** The recent calls of all nodes. */
    var sums = CallSums.NONE
        private set

    /** The change of the standing that was not yet reported, or null if there is none. */
    private var change: StandingChange? = null

    /** What the instance takes as a multiple of what others of its service do. */
    var weight = if (rampFrom == null) 1.0 else START_TRUST
        private set

    private var standing = Standing.INITIAL
    private var trustedFrom = rampFrom

    /** When an instance was last known to respond to a call of any node. */
    var respondedAt = listedAt
        private set

    /** When hardly any calls were last known to wait for the instance. */
    private var idleAt = listedAt

    /** The fewest calls in progress since the last ejection. */
    private var leastInProgress = 0.0

    /** The part of the requests that may be a trial call. */
    private var trialShare = 1.0

    private var smoothedWeight = 1.0
    private var learnedWeight = 1.0
    private var reportedWeight = 1.0
    private var adaptedAt: MonotonicTime? = null

    /**
     * Lets the weight follow [target] slowly, since the latencies show an effect of a weight only after a while; and in
     * steps, so that prompts seldom change their back end.
     */
    fun adapt(target: Double, now: MonotonicTime) {
        val elapsed = adaptedAt?.let { now - it } ?: Duration.ZERO
        val kept = exp(-(elapsed / SMOOTHING))
        smoothedWeight = smoothedWeight.pow(kept) * target.coerceIn(MIN_WEIGHT, MAX_WEIGHT).pow(1 - kept)
        adaptedAt = now
        if (abs(ln(smoothedWeight / learnedWeight)) >= STEP) learnedWeight = smoothedWeight
        weight = learnedWeight * trustAt(now)
        if (change == null && abs(ln(learnedWeight / reportedWeight)) >= REPORTED_CHANGE) {
            reportedWeight = learnedWeight
            change = StandingChange.Weighed(learnedWeight, sums.calls, sums.slowness / maxOf(sums.calls, 1.0))
        }
    }

    /** Returns the part of its weight that an instance has in the time after it was first listed or has returned. */
    private fun trustAt(now: MonotonicTime): Double {
        val age = trustedFrom?.let { now - it } ?: return 1.0
        val ramp = RAMP * standing.ejections(now).coerceAtLeast(1)
        return (START_TRUST + (1 - START_TRUST) * (age / ramp)).coerceAtMost(1.0)
    }

    /** Replaces the sums; the instance would get about [usualCalls] if it were like its peers. */
    fun updateSums(sums: CallSums, usualCalls: Double, now: MonotonicTime) {
        trialShare = TRIAL_CALLS / maxOf(usualCalls, TRIAL_CALLS)
        this.sums = sums
        if (sums.waiting < MIN_WAITING) idleAt = now
        leastInProgress = minOf(leastInProgress, sums.inProgress)
    }

    /** Records that the instance responded to a call at the time [at]; this ends an ejection that was over then. */
    fun recordResponse(at: MonotonicTime) {
        respondedAt = maxOf(respondedAt, at)
        val ejected = standing as? Standing.Ejected ?: return
        if (at < ejected.until) return
        standing = Standing.Trusted(at, ejected.ejections)
        trustedFrom = at
        change = StandingChange.Returned(at - ejected.at)
    }

    /** Returns whether the failure of a call of [calledAt] is not one of those that led to an ejection. */
    fun countsFailureOf(calledAt: MonotonicTime): Boolean =
        when (val s = standing) {
            is Standing.Trusted -> s.since == null || calledAt >= s.since
            is Standing.Ejected -> calledAt >= s.until
        }

    /** Renews an ejection that was over at [calledAt], when a call was made that failed. */
    fun renewEjection(calledAt: MonotonicTime, now: MonotonicTime) {
        val ejected = standing as? Standing.Ejected ?: return
        if (calledAt >= ejected.until) eject(ejected.reason, now)
    }

    fun eject(reason: EjectionReason, now: MonotonicTime) {
        val ejected = standing.eject(reason, now)
        standing = ejected
        leastInProgress = sums.inProgress
        change = StandingChange.Ejected(reason, ejected.until - now, ejected.ejections, weight)
    }

    /**
     * Returns whether the instance must not get a call now.
     *
     * After an ejection it gets one trial call at a time, besides those that still wait from before. Since nodes know
     * late of the trial calls of others, only a part of the requests may be one.
     *
     * @param draw a number from 0 to 1 that is different for each request
     * @param hasCallSince whether this node has a call to it in progress that started after a time
     */
    fun isEjected(now: MonotonicTime, draw: Double, hasCallSince: (MonotonicTime) -> Boolean): Boolean =
        when (val s = standing) {
            is Standing.Trusted -> false
            is Standing.Ejected ->
                now < s.until || draw > trialShare || sums.inProgress >= leastInProgress + 1 || hasCallSince(s.until)
        }

    /** Returns for how long calls have waited without a response to any of them. */
    fun silence(now: MonotonicTime): Duration = now - maxOf(respondedAt, idleAt)

    /** Whether the weight is about the least, so that it can't make up for a longer latency. */
    val hasLeastWeight: Boolean get() = smoothedWeight < MIN_WEIGHT * (1 + STEP)

    /** Whether the instance is ejected or has not responded to a trial call yet. */
    val isOut: Boolean get() = standing is Standing.Ejected

    /** Returns whether the calls in the sums were made since the instance was last ejected. */
    fun isJudged(now: MonotonicTime): Boolean =
        when (val s = standing) {
            is Standing.Trusted -> s.since == null || now - s.since >= MEMORY
            is Standing.Ejected -> false
        }

    /** Returns whether the instance is ejected since it responded to no call. */
    val isDark: Boolean get() = (standing as? Standing.Ejected)?.reason == EjectionReason.DARK

    /** Returns the last change of the standing, once. */
    fun takeChange(): StandingChange? = change.also { change = null }

    private companion object {
        /** Bound the effect of wrong evidence; an instance of the least weight still shows whether it has recovered. */
        const val MIN_WEIGHT = 0.25
        const val MAX_WEIGHT = 3.0

        /** Longer than sums take to show the effect of a change, so that weights don't swing. */
        val SMOOTHING: Duration = 5.seconds

        /** The change of the logarithm of a weight that is taken over: about a tenth. */
        const val STEP = 0.1

        /** The trial calls that an instance gets in the memory of the sums, if it responds to none. */
        const val TRIAL_CALLS = 6.0

        /** Calls that must wait before their waiting says something of the instance. */
        const val MIN_WAITING = 1.5

        /** The change of the logarithm of a weight that is worth a log line: by half. */
        const val REPORTED_CHANGE = 0.4

        /** The part of its weight that a new instance has at first. */
        const val START_TRUST = 0.2

        /** Long enough for several reports about a new instance; longer after several ejections in succession. */
        val RAMP: Duration = 4.seconds
    }
}
