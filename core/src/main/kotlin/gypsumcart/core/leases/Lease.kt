package gypsumcart.core.leases

import gypsumcart.core.Decider
import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.UnixMillis
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Describes how a write of the lease row ended. */
public sealed class LeaseWriteResult {
    /** The store accepted the write and assigned [version] to the row. */
    public data class Written(public val version: Long) : LeaseWriteResult()

    /** The write was rejected because the row had changed; [current] is the stored row, or null if there is none. */
    public data class Outdated(public val current: LeaseRow?) : LeaseWriteResult()

    /** No definite answer arrived; the write may have been applied, or may still be applied later. */
    public data object Unknown : LeaseWriteResult()
}

/**
 * Represents an input of the [Lease] decider.
 *
 * Each event carries the wall-clock time, which advances while a host is suspended.
 */
public sealed class LeaseEvent {
    /** The wall-clock time at which the event was created. */
    public abstract val wallTime: UnixMillis

    /** The store contains [row], or no lease row if null. */
    public data class RowObserved(public val row: LeaseRow?, override val wallTime: UnixMillis) : LeaseEvent()

    /** A write of the lease row ended with [result]. */
    public data class WriteEnded(
        public val result: LeaseWriteResult,
        override val wallTime: UnixMillis,
    ) : LeaseEvent()

    /** The store came back from an older copy, which may lack writes of the lease row that it had acknowledged. */
    public data class StoreRestored(override val wallTime: UnixMillis) : LeaseEvent()

    /** Reading the lease row failed. */
    public data class ReadFailed(override val wallTime: UnixMillis) : LeaseEvent()

    /** Another duty requests that [command] be executed if this node holds the lease. */
    public data class CommandRequested(
        public val command: FencedCommand,
        override val wallTime: UnixMillis,
    ) : LeaseEvent()

    /** The platform rejected [token] because it has seen a higher one. */
    public data class TokenSuperseded(public val token: FencingToken, override val wallTime: UnixMillis) : LeaseEvent()

    /** A timer tick, on which the lease is acquired or renewed if that is due. */
    public data class Tick(override val wallTime: UnixMillis) : LeaseEvent()

    /** This node is shutting down; it neither acquires nor renews the lease from now on. */
    public data class Stopping(override val wallTime: UnixMillis) : LeaseEvent()
}

/** Represents an output of the [Lease] decider. */
public sealed class LeaseEffect {
    /**
     * Writes the lease row with this node as the holder, provided that the stored version is [expectedVersion].
     *
     * @property expectedVersion the version to replace, or 0 if there must be no row
     * @property fencingToken the token to store, or null if it is the version of this write, which acquires the lease
     */
    public data class WriteRow(
        public val expectedVersion: Long,
        public val fencingToken: FencingToken?,
    ) : LeaseEffect()

    /** Reads the lease row. */
    public data object ReadRow : LeaseEffect()

    /** Executes [command] with [fencingToken], the token of the current term, if [permit] is still valid. */
    public data class Execute(
        public val command: FencedCommand,
        public val fencingToken: FencingToken,
        public val permit: CommandPermit,
    ) : LeaseEffect()

    /** Reports that this node wrote the lease row, which is now [row]. */
    public data class RowWritten(public val row: LeaseRow) : LeaseEffect()

    /**
     * Reports that this node now holds the lease with [fencingToken], or no longer holds it if null.
     *
     * @property acquiredIn the era of the store in which the lease was acquired
     */
    public data class HoldingChanged(
        public val fencingToken: FencingToken?,
        public val acquiredIn: StoreEra = fencingToken?.era ?: StoreEra.UNNAMED,
    ) : LeaseEffect()
}

/**
 * Acquires, renews and takes over the lease whose holder acts for the whole fleet.
 *
 * A term starts before its write is sent, so that a slow write does not extend it. The monotonic clock stops while a
 * host is suspended and the wall clock does not, so the current term ends when the two clocks diverge.
 *
 * A store that comes back from an older copy may show an earlier holder, or none. Its row is not evidence then: a node
 * whose term runs acquires the lease anew, with a higher token, and all others wait as long as a term may still run.
 *
 * @property term how long a holder may act after a renewal
 * @property maxClockJump the divergence of the wall clock from the monotonic clock between two events above which the
 * current term counts as lost
 */
public class Lease(
    private val node: NodeId,
    private val incarnation: Incarnation,
    private val term: Duration,
    private val maxClockJump: Duration,
) : Decider<LeaseEvent, LeaseEffect> {
    private class Held(val token: FencingToken, val acquiredIn: StoreEra, val until: MonotonicTime)

    /** @property isVoid whether what the write was based on has ceased to hold, so that its success starts no term */
    private class PendingWrite(val sentAt: MonotonicTime, val token: FencingToken?, var isVoid: Boolean = false)

    private var row: LeaseRow? = null
    private var isRowKnown = false
    private var rowChangedAt = MonotonicTime(0)
    private var pendingWrite: PendingWrite? = null
    private var isReading = false
    private var held: Held? = null

    /** Whether the row may be older than what the store had acknowledged. */
    private var isRowOutdated = false

    /** Whether the row was missing in the last observation and is being read again. */
    private var isAbsenceDoubtful = false

    /** The token in the last [LeaseEffect.HoldingChanged]. */
    private var announcedToken: FencingToken? = null
    private var stopping = false
    private var lastWallTime: UnixMillis? = null
    private var lastMonotonicTime = MonotonicTime(0)

    override fun decide(event: LeaseEvent, now: MonotonicTime): List<LeaseEffect> {
        val effects = ArrayList<LeaseEffect>()
        if (detectClockJump(event.wallTime, now)) {
            held = null
            rowChangedAt = now
            pendingWrite?.isVoid = true
            effects += readRow()
        }
        effects += handle(event, now)
        effects += announceHolding(now)
        return effects
    }

    private fun detectClockJump(wallTime: UnixMillis, now: MonotonicTime): Boolean {
        val previous = lastWallTime
        val jumped =
            previous != null &&
                ((wallTime.millis - previous.millis).milliseconds - (now - lastMonotonicTime)).absoluteValue >
                maxClockJump
        lastWallTime = wallTime
        lastMonotonicTime = now
        return jumped
    }

    private fun handle(event: LeaseEvent, now: MonotonicTime): List<LeaseEffect> =
        when (event) {
            is LeaseEvent.RowObserved -> observeRow(event.row, now)
            is LeaseEvent.WriteEnded -> endWrite(event.result, now)
            is LeaseEvent.StoreRestored -> restore(now)
            is LeaseEvent.ReadFailed -> emptyList<LeaseEffect>().also { isReading = false }
            is LeaseEvent.CommandRequested -> execute(event, now)
            is LeaseEvent.TokenSuperseded -> abandonToken(event.token, now)
            is LeaseEvent.Tick -> tick(now)
            is LeaseEvent.Stopping -> emptyList<LeaseEffect>().also { stopping = true }
        }

    private fun observeRow(row: LeaseRow?, now: MonotonicTime): List<LeaseEffect> {
        isReading = false
        val known = this.row
        if (row == null && known != null && isRowKnown) return observeAbsence(now)
        isAbsenceDoubtful = false
        if (isRowKnown && (row?.version ?: 0) <= (known?.version ?: 0)) return emptyList()
        if (row != null && known != null && row.isAfterReturnSince(known)) isRowOutdated = true
        isRowKnown = true
        this.row = row?.numberedAfter(known)
        rowChangedAt = now
        if (row?.supersedes(held) == true) held = null
        return emptyList()
    }

    /** The observation may be older than the known row; nobody removes the row, so a missing one has been lost. */
    private fun observeAbsence(now: MonotonicTime): List<LeaseEffect> {
        if (!isAbsenceDoubtful) {
            isAbsenceDoubtful = true
            return readRow()
        }
        isAbsenceDoubtful = false
        row = null
        rowChangedAt = now
        isRowOutdated = true
        return emptyList()
    }

    private fun restore(now: MonotonicTime): List<LeaseEffect> {
        isRowOutdated = true
        isRowKnown = false
        rowChangedAt = now
        pendingWrite?.isVoid = true
        return readRow()
    }

    private fun endWrite(result: LeaseWriteResult, now: MonotonicTime): List<LeaseEffect> {
        val write = pendingWrite ?: return readRow()
        pendingWrite = null
        if (write.isVoid) return readRow()
        return when (result) {
            is LeaseWriteResult.Written -> {
                val era = StorePosition(result.version).era
                val written = LeaseRow(node, incarnation, result.version, write.token, writtenIn = era)
                row = written
                rowChangedAt = now
                isRowOutdated = false
                held = Held(written.fencingToken, era, write.sentAt + term)
                listOf(LeaseEffect.RowWritten(written))
            }

            is LeaseWriteResult.Outdated -> observeRow(result.current, now)

            LeaseWriteResult.Unknown -> readRow()
        }
    }

    private fun execute(event: LeaseEvent.CommandRequested, now: MonotonicTime): List<LeaseEffect> {
        val term = heldOrNull(now) ?: return emptyList()
        val permit = CommandPermit(term.until, now, event.wallTime, maxClockJump)
        return listOf(LeaseEffect.Execute(event.command, term.token, permit))
    }

    /** Stops using [token] for good and reads the row, which shows the holder that has a higher one. */
    private fun abandonToken(token: FencingToken, now: MonotonicTime): List<LeaseEffect> {
        if (held?.token == token) held = null
        if (row?.takeIf(::isHeldByThisNode)?.fencingToken == token) {
            isRowOutdated = true
            rowChangedAt = now
            pendingWrite?.isVoid = true
        }
        return readRow()
    }

    private fun tick(now: MonotonicTime): List<LeaseEffect> {
        if (!isRowKnown) return readRow()
        if (stopping || pendingWrite != null || isReading) return emptyList()
        val row = this.row
        return when {
            isRowOutdated && heldOrNull(now) != null -> acquire(now)

            row == null && !isRowOutdated -> acquire(now)

            row != null && isHeldByThisNode(row) && !isRowOutdated ->
                if (isRenewalDue(now)) writeRow(now, row.fencingToken) else emptyList()

            now - rowChangedAt > term + TAKEOVER_MARGIN -> acquire(now)

            else -> emptyList()
        }
    }

    private fun isRenewalDue(now: MonotonicTime): Boolean {
        val end = held?.until ?: return true
        return now >= end - term * (1 - RENEWAL_FRACTION)
    }

    private fun acquire(now: MonotonicTime): List<LeaseEffect> =
        writeRow(now, if (isRowOutdated) null else row?.nextTokenOrNull())

    private fun writeRow(now: MonotonicTime, fencingToken: FencingToken?): List<LeaseEffect> {
        pendingWrite = PendingWrite(now, fencingToken)
        return listOf(LeaseEffect.WriteRow(row?.version ?: 0, fencingToken))
    }

    private fun readRow(): List<LeaseEffect> {
        if (isReading) return emptyList()
        isReading = true
        return listOf(LeaseEffect.ReadRow)
    }

    private fun announceHolding(now: MonotonicTime): List<LeaseEffect> {
        val held = heldOrNull(now)
        if (held?.token == announcedToken) return emptyList()
        announcedToken = held?.token
        return listOf(if (held == null) HOLDING_ENDED else LeaseEffect.HoldingChanged(held.token, held.acquiredIn))
    }

    private fun heldOrNull(now: MonotonicTime): Held? = held?.takeIf { now < it.until }

    private fun LeaseRow.supersedes(held: Held?): Boolean =
        held != null && !isHeldByThisNode(this) && fencingToken > held.token

    private fun isHeldByThisNode(row: LeaseRow): Boolean = row.holder == node && row.incarnation == incarnation

    private companion object {
        val HOLDING_ENDED = LeaseEffect.HoldingChanged(null)

        /** The holder renews after this fraction of its term, so that one lost renewal does not end the term. */
        const val RENEWAL_FRACTION = 0.4

        /** Added to the term before another node takes over, to let the holder's in-flight commands finish. */
        val TAKEOVER_MARGIN: Duration = 500.milliseconds
    }
}
