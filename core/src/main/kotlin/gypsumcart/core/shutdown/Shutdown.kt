package gypsumcart.core.shutdown

import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limits the phases of a shutdown.
 *
 * @property grace the time after the request to stop within which the process must have ended
 * @property acceptance how long new requests are accepted, because clients still have the node's address
 */
public data class ShutdownLimits(public val grace: Duration, public val acceptance: Duration) {
    /**
     * The part of the grace period that is left for the process itself to end.
     *
     * At most a sixth, so that a call is never ended early in a short grace period.
     */
    internal val exitMargin: Duration = minOf(MAX_EXIT_MARGIN, grace / MIN_EXIT_FRACTION)

    private companion object {
        val MAX_EXIT_MARGIN: Duration = 700.milliseconds
        const val MIN_EXIT_FRACTION = 6
    }
}

/** Represents an input of the [Shutdown] decider. */
public sealed class ShutdownEvent {
    /** The process was asked to stop. */
    public data object Requested : ShutdownEvent()

    /** The check for which [ShutdownEffect.CheckAt] asked; [inProgress] is the number of requests in progress. */
    public data class Checked(public val inProgress: Int) : ShutdownEvent()
}

/** Represents an output of the [Shutdown] decider. */
public sealed class ShutdownEffect {
    /** Withdraws the node's address and accepts only requests that end before [callsEndAt]. */
    public data class Drain(public val callsEndAt: MonotonicTime) : ShutdownEffect()

    /** Refuses all new requests; those in progress continue. */
    public data object RefuseRequests : ShutdownEffect()

    /** Ends the requests in progress, each with an answer that is true. */
    public data object AbortRequests : ShutdownEffect()

    /**
     * Stops listening, ends the connections and then the process, which ends at [processEndsAt] in any case.
     *
     * @property closeTimeout how long to wait for connections to end, first by themselves and then after a close
     */
    public data class Finish(
        public val closeTimeout: Duration,
        public val processEndsAt: MonotonicTime,
    ) : ShutdownEffect()

    /** Requests a [ShutdownEvent.Checked] at [time]. */
    public data class CheckAt(public val time: MonotonicTime) : ShutdownEffect()
}

/** Decides when a node that was asked to stop refuses requests, ends those in progress and closes its connections. */
public class Shutdown(private val limits: ShutdownLimits) : Decider<ShutdownEvent, ShutdownEffect> {
    private sealed class Phase {
        data object Serving : Phase()

        data class Draining(val refuseAt: MonotonicTime, val callsEndAt: MonotonicTime) : Phase()

        /** @property idleSince when the last request in progress ended, or null if there is one */
        data class Refusing(val callsEndAt: MonotonicTime, val idleSince: MonotonicTime?) : Phase()

        data object Finishing : Phase()
    }

    private var phase: Phase = Phase.Serving

    override fun decide(event: ShutdownEvent, now: MonotonicTime): List<ShutdownEffect> =
        when (event) {
            ShutdownEvent.Requested -> if (phase == Phase.Serving) startDraining(now) else emptyList()
            is ShutdownEvent.Checked -> check(event.inProgress, now)
        }

    private fun startDraining(now: MonotonicTime): List<ShutdownEffect> {
        val callsEndAt = now + limits.grace - limits.exitMargin
        val refuseAt = minOf(now + limits.acceptance, callsEndAt)
        phase = Phase.Draining(refuseAt, callsEndAt)
        return listOf(ShutdownEffect.Drain(callsEndAt), ShutdownEffect.CheckAt(refuseAt))
    }

    private fun check(inProgress: Int, now: MonotonicTime): List<ShutdownEffect> =
        when (val current = phase) {
            is Phase.Draining ->
                if (now < current.refuseAt) {
                    listOf(ShutdownEffect.CheckAt(current.refuseAt))
                } else {
                    listOf(ShutdownEffect.RefuseRequests) + awaitIdle(current.callsEndAt, null, inProgress, now)
                }

            is Phase.Refusing -> awaitIdle(current.callsEndAt, current.idleSince, inProgress, now)

            Phase.Serving, Phase.Finishing -> emptyList()
        }

    private fun awaitIdle(
        callsEndAt: MonotonicTime,
        idleSince: MonotonicTime?,
        inProgress: Int,
        now: MonotonicTime,
    ): List<ShutdownEffect> {
        if (now >= callsEndAt) return listOf(ShutdownEffect.AbortRequests, finish(callsEndAt))
        val idleFrom = if (inProgress == 0) idleSince ?: now else null
        if (idleFrom != null && now - idleFrom >= IDLE_PERIOD) return listOf(finish(callsEndAt))
        phase = Phase.Refusing(callsEndAt, idleFrom)
        return listOf(ShutdownEffect.CheckAt(minOf(now + CHECK_PERIOD, callsEndAt)))
    }

    private fun finish(callsEndAt: MonotonicTime): ShutdownEffect {
        phase = Phase.Finishing
        val closeTimeout = limits.exitMargin / FINISH_STEPS
        return ShutdownEffect.Finish(closeTimeout, callsEndAt + closeTimeout * (FINISH_STEPS - 1))
    }

    private companion object {
        val CHECK_PERIOD: Duration = 100.milliseconds

        /** A refused client may return at once, and is better refused again than not answered. */
        val IDLE_PERIOD: Duration = 300.milliseconds

        /** Connections end, connections are closed, the hand-over to the process's end, and its end. */
        const val FINISH_STEPS = 4
    }
}
