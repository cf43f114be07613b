package gypsumcart.core.capacity

import gypsumcart.core.routing.InstanceKey

/**
 * Stands for one instance of a back end in reports, where its whole key would take too many bytes.
 *
 * Two instances of a fleet share a number so seldom that the mixed-up sums of a pair are accepted.
 */
@JvmInline
public value class InstanceTag(public val number: Int)

/** The tag of the instance, equal on all nodes. */
public val InstanceKey.tag: InstanceTag get() = InstanceTag(hashCode())

/**
 * Sums up the recent calls of one node, or of all, to one instance; old calls count less and less.
 *
 * @property calls the number of calls that ended or whose response started
 * @property slowness the sum of the latencies of these calls, each as a multiple of what its route usually takes
 * @property failures the number of these calls that failed
 * @property inProgress the number of calls that have not ended
 * @property waiting the number of calls whose response has not started
 */
public data class CallSums(
    public val calls: Double,
    public val slowness: Double,
    public val failures: Double = 0.0,
    public val inProgress: Double = 0.0,
    public val waiting: Double = 0.0,
) {
    /** Adds the calls of both. */
    public operator fun plus(other: CallSums): CallSums =
        CallSums(
            calls + other.calls,
            slowness + other.slowness,
            failures + other.failures,
            inProgress + other.inProgress,
            waiting + other.waiting,
        )

    /** Counts each call [factor] times. */
    public operator fun times(factor: Double): CallSums =
        CallSums(calls * factor, slowness * factor, failures * factor, inProgress * factor, waiting * factor)

    /** The number of calls whose response started. */
    internal val responses: Double get() = calls - failures

    /** Whether the sums are so small that they may be forgotten. */
    internal val isNegligible: Boolean get() = calls + inProgress < NEGLIGIBLE_CALLS

    public companion object {
        /** No calls. */
        public val NONE: CallSums = CallSums(0.0, 0.0)

        /** So few calls no longer change the estimate of a busy instance. */
        private const val NEGLIGIBLE_CALLS = 0.1
    }
}

/**
 * Describes what one node tells the others of its recent calls.
 *
 * @property sums the sums of a bounded number of instances, those that have changed; the others stay as told before
 */
public data class CapacityReport(public val sums: Map<InstanceTag, CallSums>) {
    /** Whether there is nothing to tell. */
    public val isEmpty: Boolean get() = sums.isEmpty()

    public companion object {
        /** No sums. */
        public val NONE: CapacityReport = CapacityReport(emptyMap())
    }
}
