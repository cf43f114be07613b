package gypsumcart.core.leases

import gypsumcart.core.MonotonicTime
import gypsumcart.core.UnixMillis
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Permits the execution of a command until the term of the lease ends.
 *
 * The process may be delayed between the decision and the execution. The monotonic clock shows a delay, but not the
 * time for which the host was suspended; that shows as a jump of the wall clock.
 *
 * @property validUntil the end of the term
 * @property grantedAt the time of the decision, by the monotonic clock
 * @property grantedWallTime the time of the decision, by the wall clock
 * @property maxClockJump the divergence of the clocks since the decision above which the permit is void
 */
public data class CommandPermit(
    public val validUntil: MonotonicTime,
    public val grantedAt: MonotonicTime,
    public val grantedWallTime: UnixMillis,
    public val maxClockJump: Duration,
) {
    /** Returns whether the command may still be executed. */
    public fun isValid(now: MonotonicTime, wallTime: UnixMillis): Boolean {
        val jump = (wallTime.millis - grantedWallTime.millis).milliseconds - (now - grantedAt)
        return now < validUntil && jump.absoluteValue <= maxClockJump
    }
}
