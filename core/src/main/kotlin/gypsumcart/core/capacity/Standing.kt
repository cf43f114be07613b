package gypsumcart.core.capacity

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Describes why an instance was ejected. */
public enum class EjectionReason {
    /** Its responses take several times as long as those of its peers. */
    SLOW,

    /** A large part of its calls fail, and few of those of its peers do. */
    FAILING,

    /** It has not started to respond to any call in a time in which its peers do. */
    DARK,
}

/** Reports that the standing of an instance changed. */
public sealed class StandingChange {
    /**
     * The weight of the instance is clearly different from the one that was reported last.
     *
     * @property calls the recent calls of all nodes to the instance
     * @property slowness their mean latency as a multiple of what their routes usually take
     */
    public data class Weighed(
        public val weight: Double,
        public val calls: Double,
        public val slowness: Double,
    ) : StandingChange()

    /** The instance gets no calls for [time], the [count]th time in succession. */
    public data class Ejected(
        public val reason: EjectionReason,
        public val time: Duration,
        public val count: Int,
        public val weight: Double,
    ) : StandingChange()

    /** The instance responded to a trial call and gets calls again, [after] its ejection. */
    public data class Returned(public val after: Duration) : StandingChange()
}

/** Determines which calls an instance gets. */
internal sealed class Standing {
    /** Gets calls by its weight; it was ejected [ejections] times before [since]. */
    data class Trusted(val since: MonotonicTime?, val ejections: Int) : Standing()

    /** Gets no calls before [until], and then one at a time until it responds to one. */
    data class Ejected(
        val at: MonotonicTime,
        val until: MonotonicTime,
        val reason: EjectionReason,
        val ejections: Int,
    ) : Standing()

    companion object {
        /** The standing of an instance that was never ejected. */
        val INITIAL: Standing = Trusted(since = null, ejections = 0)
    }
}

/** Returns how often in succession the instance has been ejected; a long time of trust ends the succession. */
internal fun Standing.ejections(now: MonotonicTime): Int =
    when (this) {
        is Standing.Trusted -> if (since != null && now - since < FORGIVENESS) ejections else 0
        is Standing.Ejected -> ejections
    }

/** Returns the standing after a further ejection, which lasts twice as long as the last one in succession. */
internal fun Standing.eject(reason: EjectionReason, now: MonotonicTime): Standing.Ejected {
    val count = ejections(now) + 1
    val time = BASE_EJECTION * (1 shl minOf(count - 1, MAX_DOUBLINGS))
    return Standing.Ejected(now, now + time, reason, count)
}

/** The least ejection: as long as it takes until the sums no longer hold most of the calls that caused it. */
private val BASE_EJECTION: Duration = MEMORY

/** Limits an ejection to about half a minute, since only a call can show that an instance has recovered. */
private const val MAX_DOUBLINGS = 3

/** After this time without an ejection, a former one counts no more. */
private val FORGIVENESS: Duration = 60.seconds
