package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds this node's calls in progress at one back end while it is brittle.
 *
 * The slots of the back end are divided among the nodes, so that together they never send more than it works on at
 * once. A few calls beyond them, almost as many as it can turn away in a second, are divided in the same way: if all of
 * them are turned away, the back end still stays up, and the nodes keep to their parts of the slots for a while.
 *
 * A node that is turned away sends nothing for a second. An instance that has just started gets as many calls at once
 * as it has answered, and one more.
 */
internal class BrittleRoom(private val brittleness: Brittleness) {
    private val parts = SettledPart()
    private val widestParts = SettledPart()
    private val rejections = ArrayDeque<MonotonicTime>()
    private val abandonedUntil = ArrayDeque<MonotonicTime>()
    private var window = 1.0
    private var caution = Duration.ZERO
    private var cautiousUntil = MonotonicTime(0)

    /**
     * The position of the back end among those of its service, from 0 to 1, which spreads the nodes over the back ends.
     */
    var position = 0.0

    /** Returns whether this node may send one call more than the [inFlight] ones that are in progress. */
    fun isOpen(slots: Int, inFlight: Int, place: NodePlace, now: MonotonicTime): Boolean {
        val tolerance = brittleness.toleranceOrNull(now) ?: return true
        forgetUntil(now)
        if (resumesAtOrNull(tolerance, place, now) != null) return false
        return inFlight + abandonedUntil.size < limit(slots, tolerance, place, now)
    }

    /** Returns when this node may call the back end if enough of its calls end by then, or null if it has no part. */
    fun opensAtOrNull(slots: Int, place: NodePlace, now: MonotonicTime): MonotonicTime? {
        val tolerance = brittleness.toleranceOrNull(now) ?: return now
        return resumesAtOrNull(tolerance, place, now) ?: if (limit(slots, tolerance, place, now) > 0) now else null
    }

    /** Records that the back end responded to a call. */
    fun recordResponse() {
        window += if (rejections.isEmpty()) 1.0 else 1 / window
    }

    /** Records the end of a call, besides which [inFlight] others are in progress. */
    fun recordEnd(event: RoutingEvent.CallReleased, inFlight: Int, now: MonotonicTime) {
        forgetUntil(now)
        when (event.room) {
            RoomSignal.FREED -> if (event.health == HealthSignal.HEALTHY) recordResponse()

            RoomSignal.REJECTED -> {
                rejections += now
                caution = (caution * 2).coerceIn(MIN_CAUTION, MAX_CAUTION)
                cautiousUntil = now + caution
                window = maxOf(1.0, minOf(window, inFlight.toDouble()))
            }

            RoomSignal.OCCUPIED -> abandonedUntil += now + ABANDONED_TIME
        }
    }

    private fun forgetUntil(now: MonotonicTime) {
        abandonedUntil.removeIf { it <= now }
        rejections.removeIf { now - it > MEMORY }
        if (rejections.isEmpty()) caution = Duration.ZERO
    }

    private fun limit(slots: Int, tolerance: Int, place: NodePlace, now: MonotonicTime): Int {
        val part = parts.update(place.partOf(slots, position), now)
        val widest = widestParts.update(place.partOf(slots + spareOf(tolerance), position), now)
        return if (window < part || now < cautiousUntil) minOf(part, window.toInt()) else maxOf(part, widest)
    }

    /** Returns when this node may call again if the back end has turned away its part of what it tolerates. */
    private fun resumesAtOrNull(tolerance: Int, place: NodePlace, now: MonotonicTime): MonotonicTime? {
        val tolerated = place.partOf(spareOf(tolerance), position).coerceAtLeast(1)
        val decisive = rejections.getOrNull(rejections.size - tolerated) ?: return null
        return (decisive + REJECTION_SPAN).takeIf { it > now }
    }

    /** Returns how many calls beyond its slots the back end can be sent. */
    private fun spareOf(tolerance: Int): Int = (tolerance - TOLERANCE_MARGIN).coerceAtLeast(0)

    private companion object {
        /** What nodes leave of what the back end tolerates, since other callers may be turned away too. */
        const val TOLERANCE_MARGIN = 1

        /** A second of the back end, and the time that calls spend on the way. */
        val REJECTION_SPAN: Duration = 1_250.milliseconds

        /** The time without rejections after which earlier ones are forgotten. */
        val MEMORY: Duration = 30.seconds

        /** How long a node keeps to its part after a rejection; twice as long after each further one. */
        val MIN_CAUTION: Duration = 2.5.seconds
        val MAX_CAUTION: Duration = 20.seconds

        /** How long a back end may go on with a request whose caller has given it up. */
        val ABANDONED_TIME: Duration = 1.seconds
    }
}

/** Follows a part that changes at different times on different nodes: it shrinks at once and grows later. */
internal class SettledPart {
    private val changes = ArrayDeque<Pair<MonotonicTime, Int>>()

    /** Returns the least part that held in the last [SETTLING_TIME], given the one that holds [now]. */
    fun update(part: Int, now: MonotonicTime): Int {
        if (changes.lastOrNull()?.second != part) changes += now to part
        while (changes.size > 1 && now - changes[1].first >= SETTLING_TIME) changes.removeFirst()
        return changes.minOf { it.second }
    }

    private companion object {
        /** Within this time all nodes learn how many they are and which back ends there are. */
        val SETTLING_TIME: Duration = 2.seconds
    }
}
