package gypsumcart.http

import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Distinguishes the messages that share a [MemoryBudget]. */
public sealed class Traffic {
    /** Messages between clients and back ends. */
    public data object Forwarded : Traffic()

    /** Messages that the process needs for its own work. */
    public data object Control : Traffic()
}

/**
 * Bounds the memory that all messages of a [SocketLoop] hold at once; used on the thread of the loop only.
 *
 * A message may hold at most as many bytes as remain available to it, so that many messages that grow without end get
 * equal shares, whatever their number. Each kind of traffic has a reserve that the other one cannot use, and large
 * forwarded messages leave another one for small ones.
 *
 * @property capacityBytes the bytes that all messages may hold together
 */
public class MemoryBudget(public val capacityBytes: Long) {
    init {
        require(capacityBytes > 0) { "the capacity is not positive: $capacityBytes bytes" }
    }

    private val reserveBytes = capacityBytes / RESERVE_DIVISOR
    private var forwardedBytes = 0L
    private var controlBytes = 0L
    private var lastWarning: TimeMark? = null

    /** The bytes that messages hold now. */
    public val heldBytes: Long get() = forwardedBytes + controlBytes

    /** The number of messages that were given up because they did not fit. */
    public var refusals: Long = 0
        private set

    /** Returns a reservation of 0 bytes for one message, which the caller has to close. */
    public fun open(traffic: Traffic): Reservation = Reservation(this, traffic)

    internal fun fits(reservation: Reservation, bytes: Int): Boolean {
        val size = reservation.heldBytes + bytes
        return size <= availableBytes(reservation.traffic, size) - bytes
    }

    /** Returns the bytes that are left for a message which then holds [size] bytes. */
    private fun availableBytes(traffic: Traffic, size: Long): Long =
        when (traffic) {
            Traffic.Forwarded -> {
                val forSmallMessages = if (size > SMALL_MESSAGE_BYTES) reserveBytes else 0
                capacityBytes - forwardedBytes - maxOf(controlBytes, reserveBytes) - forSmallMessages
            }

            Traffic.Control -> capacityBytes - controlBytes - maxOf(forwardedBytes, reserveBytes)
        }

    internal fun add(traffic: Traffic, bytes: Long) {
        when (traffic) {
            Traffic.Forwarded -> forwardedBytes += bytes
            Traffic.Control -> controlBytes += bytes
        }
    }

    /** Counts a message that is given up and logs it, at most once in [WARNING_PERIOD]. */
    internal fun recordRefusal(reservation: Reservation, bytes: Int) {
        refusals++
        val last = lastWarning
        if (last != null && last.elapsedNow() < WARNING_PERIOD) return
        lastWarning = TimeSource.Monotonic.markNow()
        log.warn(
            "event=memory_refused traffic={} message_bytes={} held_bytes={} capacity_bytes={} refusals={}",
            reservation.traffic,
            reservation.heldBytes + bytes,
            heldBytes,
            capacityBytes,
            refusals,
        )
    }

    public companion object {
        private val log = LoggerFactory.getLogger(MemoryBudget::class.java)

        /** The part of the heap for messages; the rest is for the state of requests, connections and duties. */
        private const val HEAP_DIVISOR = 4

        /** The part of the capacity that one reserve takes; 5 MB of a heap of 160 MB. */
        private const val RESERVE_DIVISOR = 8

        /** Larger than most requests and responses; the reserve holds 150 such messages on the smallest heap. */
        private const val SMALL_MESSAGE_BYTES = 32_768

        private val WARNING_PERIOD = 1.seconds

        /** Returns a budget of a quarter of the maximum heap. */
        public fun ofHeap(): MemoryBudget = MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR)

        /** Returns a budget that every message fits in. */
        internal fun unlimited(): MemoryBudget = MemoryBudget(Long.MAX_VALUE / 2)
    }
}

/** Represents the bytes of a [MemoryBudget] that one message holds; used on the thread of the budget's loop only. */
public class Reservation internal constructor(
    private val budget: MemoryBudget,
    internal val traffic: Traffic,
) : AutoCloseable {
    /** The bytes that the message holds. */
    public var heldBytes: Long = 0
        private set

    /** Returns whether [bytes] more fit now; if not, the message is to be given up. */
    internal fun canGrow(bytes: Int): Boolean {
        val fits = budget.fits(this, bytes)
        if (!fits) budget.recordRefusal(this, bytes)
        return fits
    }

    /** Reserves [bytes] more and returns true, or returns false if they don't fit and the message is to be given up. */
    internal fun tryGrow(bytes: Int): Boolean {
        if (!canGrow(bytes)) return false
        heldBytes += bytes
        budget.add(traffic, bytes.toLong())
        return true
    }

    /** Releases [bytes] of those that are held. */
    internal fun shrink(bytes: Int): Unit = release(bytes.toLong())

    /** Takes over all bytes that [other] holds. */
    public fun takeOver(other: Reservation) {
        val bytes = other.heldBytes
        other.release(bytes)
        heldBytes += bytes
        budget.add(traffic, bytes)
    }

    /** Releases all bytes. */
    override fun close(): Unit = release(heldBytes)

    private fun release(bytes: Long) {
        check(bytes in 0..heldBytes) { "$bytes bytes are released and $heldBytes are held" }
        heldBytes -= bytes
        budget.add(traffic, -bytes)
    }
}
