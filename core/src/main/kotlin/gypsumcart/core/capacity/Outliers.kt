package gypsumcart.core.capacity

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Ejects instances of one service that are far worse than their peers, never more than a part of them.
 *
 * Each is compared with the median, so that none is ejected if all are alike.
 */
internal fun List<InstanceCapacity>.ejectOutliers(now: MonotonicTime) {
    val judged = filter { it.sums.calls >= MIN_EVIDENCE && it.isJudged(now) }
    if (judged.size < MIN_PEERS) return
    val usualSlowness = judged.median { it.sums.slowness / it.sums.calls }
    val usualFailures = judged.median { it.sums.failures / it.sums.calls }
    for (instance in judged) {
        val (calls, slowness, failures) = instance.sums
        val reason =
            when {
                failures / calls > usualFailures + FAILURE_EXCESS -> EjectionReason.FAILING
                !instance.hasLeastWeight -> null
                slowness / calls > usualSlowness * SLOWNESS_EXCESS -> EjectionReason.SLOW
                else -> null
            }
        if (reason != null && mayEject()) instance.eject(reason, now)
    }
}

/** Ejects instances of one service that respond to none of several calls while others respond. */
internal fun List<InstanceCapacity>.ejectDark(now: MonotonicTime) {
    val longestSilence = longestSilence()
    for (instance in this) {
        if (!instance.isOut && instance.silence(now) >= longestSilence && mayEject()) {
            instance.eject(EjectionReason.DARK, now)
        }
    }
}

/**
 * Returns for how long an instance may respond to no call before it counts as dark.
 *
 * By Little's law, the calls that wait are the rate of responses times the usual wait.
 */
internal fun List<InstanceCapacity>.longestSilence(): Duration {
    val waits = filter { it.sums.responses >= 1 }.map { MEMORY * (it.sums.waiting / it.sums.responses) }
    return maxOf(REPORT_TIME, if (waits.isEmpty()) Duration.ZERO else waits.sorted()[waits.size / 2] * SILENCE_FACTOR)
}

/** Returns whether one more instance may be ejected. */
internal fun List<InstanceCapacity>.mayEject(): Boolean = (count { it.isOut } + 1) * MIN_KEPT_RATIO <= size

private inline fun List<InstanceCapacity>.median(value: (InstanceCapacity) -> Double): Double =
    map(value).sorted()[(size - 1) / 2]

/** Longer than it takes until a response to any node is known here. */
private val REPORT_TIME: Duration = 1.5.seconds

/** Several times the usual wait is too long for a pause between two responses by chance. */
private const val SILENCE_FACTOR = 4

/** With fewer calls, single ones would decide. */
private const val MIN_EVIDENCE = 8.0

/** With fewer instances that can be compared, none is the odd one. */
private const val MIN_PEERS = 3

/** Of this many instances at most one is ejected, since the others must carry its load. */
private const val MIN_KEPT_RATIO = 3

/** The part of failed calls beyond the usual one that ejects: a lower weight makes up for fewer failures. */
private const val FAILURE_EXCESS = 0.4

/** A multiple of the usual latency beyond what the lowest weight makes up for. */
private const val SLOWNESS_EXCESS = 4.0
