package gypsumcart.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Represents a reading of one process's monotonic clock, in nanoseconds from an arbitrary origin.
 *
 * Readings of different processes are not comparable. Deciders measure elapsed time by this clock only.
 */
@JvmInline
public value class MonotonicTime(public val nanos: Long) : Comparable<MonotonicTime> {
    public operator fun plus(duration: Duration): MonotonicTime = MonotonicTime(nanos + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): MonotonicTime = MonotonicTime(nanos - duration.inWholeNanoseconds)

    /** Returns the time elapsed from [other] to this reading; negative if [other] is the later one. */
    public operator fun minus(other: MonotonicTime): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: MonotonicTime): Int = nanos.compareTo(other.nanos)
}

/** Represents a point in Unix time, in milliseconds since 1970-01-01T00:00Z. */
@JvmInline
public value class UnixMillis(public val millis: Long) : Comparable<UnixMillis> {
    override fun compareTo(other: UnixMillis): Int = millis.compareTo(other.millis)

    override fun toString(): String = millis.toString()
}
