package gypsumcart.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Holds a reading of one process's monotonic clock, in nanoseconds from an arbitrary origin.
 *
 * Readings of different processes can't be compared; decisions use no other clock.
 */
@JvmInline
public value class MonotonicTime(public val nanos: Long) : Comparable<MonotonicTime> {
    public operator fun plus(duration: Duration): MonotonicTime = MonotonicTime(nanos + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): MonotonicTime = MonotonicTime(nanos - duration.inWholeNanoseconds)

    /** Returns how long after [other] this reading was taken. */
    public operator fun minus(other: MonotonicTime): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: MonotonicTime): Int = nanos.compareTo(other.nanos)
}

/** Holds a point in true time, in milliseconds since the start of 1970. */
@JvmInline
public value class UnixMillis(public val millis: Long) : Comparable<UnixMillis> {
    override fun compareTo(other: UnixMillis): Int = millis.compareTo(other.millis)

    override fun toString(): String = millis.toString()
}
