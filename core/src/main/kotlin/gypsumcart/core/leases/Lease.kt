package gypsumcart.core.leases

import gypsumcart.core.Decider
import gypsumcart.core.FencingNumber
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.UnixMillis
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Holds the lease as the store has it.
 *
 * @property version the store's version of the row, which every write raises
 * @property fence the version of the write that began the holder's term; null in that very write
 */
public data class LeaseRow(
    public val holder: NodeId,
    public val incarnation: Incarnation,
    public val version: Long,
    public val fence: FencingNumber?,
)

/** Returns the number that orders the term of the row's holder among all terms. */
public val LeaseRow.term: FencingNumber get() = fence ?: FencingNumber(version)

/** Says how a write of the lease ended. */
public sealed class LeaseWriteResult {
    /** The store has it as version [version]. */
    public data class Written(public val version: Long) : LeaseWriteResult()

    /** The row had changed; the store has [current] now, or no row. */
    public data class Outdated(public val current: LeaseRow?) : LeaseWriteResult()

    /** No answer came; the write may have been done, or may be done later. */
    public data object Unknown : LeaseWriteResult()
}

/** Tells the lease duty what happened. Each event carries the time of day, which goes on while a host is suspended. */
public sealed class LeaseEvent {
    /** The time of day when the event was made. */
    public abstract val wall: UnixMillis

    /** The store has [row], or no row. */
    public data class Seen(public val row: LeaseRow?, override val wall: UnixMillis) : LeaseEvent()

    /** A write ended. */
    public data class WriteEnded(
        public val result: LeaseWriteResult,
        override val wall: UnixMillis,
    ) : LeaseEvent()

    /** Reading the row failed. */
    public data class ReadFailed(override val wall: UnixMillis) : LeaseEvent()

    /** A duty wants [act] done in the holder's name. */
    public data class Wanted(public val act: DutyAct, override val wall: UnixMillis) : LeaseEvent()

    /** The platform has seen a higher number than [fence]. */
    public data class Superseded(public val fence: FencingNumber, override val wall: UnixMillis) : LeaseEvent()

    /** The time came to look at the lease. */
    public data class Tick(override val wall: UnixMillis) : LeaseEvent()

    /** This node stops and wants the lease no longer. */
    public data class Stopping(override val wall: UnixMillis) : LeaseEvent()
}

/** Says what the lease duty wants done. */
public sealed class LeaseEffect {
    /** Writes the row if the store has version [expected] of it; 0 means no row. */
    public data class Write(public val expected: Long, public val fence: FencingNumber?) : LeaseEffect()

    /** Reads the row. */
    public data object Read : LeaseEffect()

    /** Does [act] with the number of the term in hand. */
    public data class Perform(public val act: DutyAct, public val fence: FencingNumber) : LeaseEffect()

    /** This node holds the lease as [fence], or does not hold it when null. */
    public data class HoldingChanged(public val fence: FencingNumber?) : LeaseEffect()
}

/**
 * Decides which node acts for the fleet.
 *
 * A term counts from before its write was sent. The monotonic clock stands still while a host is suspended, so a jump
 * of the time of day against it ends the term in hand.
 *
 * @property term how long a holder may act after a renewal
 * @property jumpLimit how far the two clocks may part before the term counts as lost
 */
public class Lease(
    private val node: NodeId,
    private val incarnation: Incarnation,
    private val term: Duration,
    private val jumpLimit: Duration,
) : Decider<LeaseEvent, LeaseEffect> {
    private var row: LeaseRow? = null
    private var known = false
    private var seenAt = MonotonicTime(0)
    private var pendingSince: MonotonicTime? = null
    private var reading = false
    private var until: MonotonicTime? = null
    private var holding: FencingNumber? = null
    private var lostFence: FencingNumber? = null
    private var stopping = false
    private var lastWall: UnixMillis? = null
    private var lastNow = MonotonicTime(0)

    override fun decide(event: LeaseEvent, now: MonotonicTime): List<LeaseEffect> {
        val effects = ArrayList<LeaseEffect>()
        if (clocksParted(event.wall, now)) {
            until = null
            seenAt = now
            pendingSince = null
            if (!reading) effects += read()
        }
        effects += handle(event, now)
        effects += holdingChange(now)
        return effects
    }

    private fun clocksParted(wall: UnixMillis, now: MonotonicTime): Boolean {
        val before = lastWall
        val parted =
            before != null && ((wall.millis - before.millis).milliseconds - (now - lastNow)).absoluteValue > jumpLimit
        lastWall = wall
        lastNow = now
        return parted
    }

    private fun handle(event: LeaseEvent, now: MonotonicTime): List<LeaseEffect> =
        when (event) {
            is LeaseEvent.Seen -> see(event.row, now)
            is LeaseEvent.WriteEnded -> endWrite(event.result, now)
            is LeaseEvent.ReadFailed -> emptyList<LeaseEffect>().also { reading = false }
            is LeaseEvent.Wanted -> perform(event.act, now)
            is LeaseEvent.Superseded -> giveUp(event.fence)
            is LeaseEvent.Tick -> tick(now)
            is LeaseEvent.Stopping -> emptyList<LeaseEffect>().also { stopping = true }
        }

    private fun see(row: LeaseRow?, now: MonotonicTime): List<LeaseEffect> {
        reading = false
        if (!known || row?.version != this.row?.version) {
            if (known && (row?.version ?: 0) < (this.row?.version ?: 0)) return emptyList()
            known = true
            this.row = row
            seenAt = now
        }
        return emptyList()
    }

    private fun endWrite(result: LeaseWriteResult, now: MonotonicTime): List<LeaseEffect> {
        val sentAt = pendingSince ?: return listOf(read())
        pendingSince = null
        when (result) {
            is LeaseWriteResult.Written -> {
                val mine = row?.takeIf(::isMine)
                row = LeaseRow(node, incarnation, result.version, mine?.term)
                seenAt = now
                until = sentAt + term
            }

            is LeaseWriteResult.Outdated -> see(result.current, now)

            LeaseWriteResult.Unknown -> return listOf(read())
        }
        return emptyList()
    }

    private fun perform(act: DutyAct, now: MonotonicTime): List<LeaseEffect> {
        val fence = heldOrNull(now) ?: return emptyList()
        return listOf(LeaseEffect.Perform(act, fence))
    }

    /** A number that was refused is not used again; the row shows who has a higher one. */
    private fun giveUp(fence: FencingNumber): List<LeaseEffect> {
        lostFence = fence
        return if (reading) emptyList() else listOf(read())
    }

    private fun tick(now: MonotonicTime): List<LeaseEffect> {
        if (!known) return if (reading) emptyList() else listOf(read())
        if (stopping || pendingSince != null || reading) return emptyList()
        val row = this.row
        return when {
            row == null -> write(now, expected = 0, fence = null)
            isMine(row) -> if (renewalDue(now)) write(now, row.version, row.term) else emptyList()
            now - seenAt > term + TAKE_OVER_MARGIN -> write(now, row.version, fence = null)
            else -> emptyList()
        }
    }

    private fun renewalDue(now: MonotonicTime): Boolean {
        val end = until ?: return true
        return now >= end - term * (1 - RENEWAL_PART)
    }

    private fun write(now: MonotonicTime, expected: Long, fence: FencingNumber?): List<LeaseEffect> {
        pendingSince = now
        return listOf(LeaseEffect.Write(expected, fence))
    }

    private fun read(): LeaseEffect {
        reading = true
        return LeaseEffect.Read
    }

    private fun holdingChange(now: MonotonicTime): List<LeaseEffect> {
        val held = heldOrNull(now)
        if (held == holding) return emptyList()
        holding = held
        return listOf(LeaseEffect.HoldingChanged(held))
    }

    private fun heldOrNull(now: MonotonicTime): FencingNumber? {
        val row = this.row?.takeIf(::isMine) ?: return null
        val end = until ?: return null
        return row.term.takeIf { now < end && it != lostFence }
    }

    private fun isMine(row: LeaseRow): Boolean = row.holder == node && row.incarnation == incarnation

    private companion object {
        /** A holder renews after this part of its term, so that one lost renewal does not end it. */
        const val RENEWAL_PART = 0.4

        /** How much longer than a term others wait, for what the holder still has under way. */
        val TAKE_OVER_MARGIN: Duration = 500.milliseconds
    }
}
