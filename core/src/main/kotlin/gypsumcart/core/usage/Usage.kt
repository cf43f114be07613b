package gypsumcart.core.usage

import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.leases.ActResult
import gypsumcart.core.leases.DutyAct
import gypsumcart.core.membership.NodeReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Tells the usage duty what happened. */
public sealed class UsageEvent {
    /** A request of [team] began to run on a back end at [at]. */
    public data class Began(public val team: TeamName, public val at: MonotonicTime) : UsageEvent()

    /** The nodes agree that the true time [unix] was at [at] of this process's clock. */
    public data class TimeAgreed(public val unix: UnixMillis, public val at: MonotonicTime) : UsageEvent()

    /** All nodes' reports, this one's too. */
    public data class Reported(public val reports: List<NodeReport>) : UsageEvent()

    /** This node acts for the fleet, or does not any more. */
    public data class HoldingChanged(public val holding: Boolean) : UsageEvent()

    /** The store holds [counts] as the report for [window], once and for all. */
    public data class Fixed(public val window: WindowNumber, public val counts: Map<TeamName, Int>) : UsageEvent()

    /** The store could not be asked to hold the report for [window]. */
    public data class FixFailed(public val window: WindowNumber) : UsageEvent()

    /** Sending the report for [window] ended. */
    public data class Sent(public val window: WindowNumber, public val result: ActResult) : UsageEvent()

    /** The time came to say what was counted and to report what is due. */
    public data object Tick : UsageEvent()
}

/** Says what the usage duty wants done. */
public sealed class UsageEffect {
    /** Tells other nodes what this one counted. */
    public data class Share(
        public val usage: Map<WindowNumber, Map<TeamName, Int>>,
        public val until: UnixMillis,
    ) : UsageEffect()

    /** Makes [counts] the report for [window] unless the store holds another one already. */
    public data class Fix(public val window: WindowNumber, public val counts: Map<TeamName, Int>) : UsageEffect()

    /** Sends the report. */
    public data class Send(public val act: DutyAct.ReportUsage) : UsageEffect()
}

/**
 * Bounds the usage reports.
 *
 * @property window the length of a window
 * @property lateAfter how long after its end a window's report is late
 */
public data class UsageSettings(public val window: Duration, public val lateAfter: Duration)

/**
 * Counts the requests that began to run, and reports the sum over all nodes for each window.
 *
 * A report is fixed in the store before it is sent, so that another holder repeats exactly the same.
 */
public class Usage(private val settings: UsageSettings) : Decider<UsageEvent, UsageEffect> {
    private class Pending(var counts: Map<TeamName, Int>?, var triedAt: MonotonicTime)

    private val counts = HashMap<WindowNumber, HashMap<TeamName, Int>>()
    private val pending = HashMap<WindowNumber, Pending>()
    private var reports: List<NodeReport> = emptyList()
    private var agreed: UsageEvent.TimeAgreed? = null
    private var holding = false
    private val done = HashSet<WindowNumber>()

    override fun decide(event: UsageEvent, now: MonotonicTime): List<UsageEffect> =
        when (event) {
            is UsageEvent.Began -> nothing { count(event) }
            is UsageEvent.TimeAgreed -> nothing { agreed = event }
            is UsageEvent.Reported -> nothing { reports = event.reports }
            is UsageEvent.HoldingChanged -> nothing { changeHolding(event.holding) }
            is UsageEvent.Fixed -> send(event, now)
            is UsageEvent.FixFailed -> nothing { pending[event.window]?.counts = null }
            is UsageEvent.Sent -> nothing { if (event.result == ActResult.DONE) finish(event.window) }
            UsageEvent.Tick -> tick(now)
        }

    private inline fun nothing(change: () -> Unit): List<UsageEffect> {
        change()
        return emptyList()
    }

    private fun count(event: UsageEvent.Began) {
        val at = trueTimeOrNull(event.at) ?: return
        counts.getOrPut(windowOf(at), ::HashMap).merge(event.team, 1, Int::plus)
    }

    private fun changeHolding(holding: Boolean) {
        this.holding = holding
        if (!holding) pending.clear()
    }

    private fun tick(now: MonotonicTime): List<UsageEffect> {
        val time = trueTimeOrNull(now) ?: return emptyList()
        val current = windowOf(time)
        counts.keys.removeIf { it.number < current.number - KEPT_WINDOWS }
        done.removeIf { it.number < current.number - KEPT_WINDOWS }
        val share = UsageEffect.Share(counts.mapValues { it.value.toMap() }, time)
        return listOf(share) + if (holding) report(current, time, now) else emptyList()
    }

    private fun report(current: WindowNumber, time: UnixMillis, now: MonotonicTime): List<UsageEffect> {
        return (current.number - REPORTED_BACK until current.number)
            .map(::WindowNumber)
            .filter { it !in done && isSettled(it, time) }
            .mapNotNull { reportOne(it, now) }
    }

    private fun reportOne(window: WindowNumber, now: MonotonicTime): UsageEffect? {
        val tried = pending[window]
        if (tried != null && now - tried.triedAt < RETRY_PERIOD) return null
        val fixed = tried?.counts
        pending[window] = Pending(fixed, now)
        if (fixed != null) return UsageEffect.Send(DutyAct.ReportUsage(window, fixed))
        val sum = sumOf(window)
        if (sum.isEmpty()) {
            done += window
            return null
        }
        return UsageEffect.Fix(window, sum)
    }

    /** Whether every node has counted the window to its end, or there is no more time to wait for one. */
    private fun isSettled(window: WindowNumber, time: UnixMillis): Boolean {
        val end = endOf(window)
        if (time.millis < end + SETTLING.inWholeMilliseconds) return false
        if (time.millis > end + (settings.lateAfter * WAITING_PART).inWholeMilliseconds) return true
        return reports.all { it.usageUntil.millis >= end || time.millis - it.usageUntil.millis > STALE_MILLIS }
    }

    private fun sumOf(window: WindowNumber): Map<TeamName, Int> {
        val sum = HashMap<TeamName, Int>()
        for (report in reports) report.usage[window]?.forEach { (team, n) -> sum.merge(team, n, Int::plus) }
        return sum
    }

    private fun send(event: UsageEvent.Fixed, now: MonotonicTime): List<UsageEffect> {
        if (!holding) return emptyList()
        pending[event.window] = Pending(event.counts, now)
        return listOf(UsageEffect.Send(DutyAct.ReportUsage(event.window, event.counts)))
    }

    private fun finish(window: WindowNumber) {
        pending -= window
        done += window
    }

    private fun trueTimeOrNull(at: MonotonicTime): UnixMillis? =
        agreed?.let { UnixMillis(it.unix.millis + (at - it.at).toLong(DurationUnit.MILLISECONDS)) }

    private fun windowOf(time: UnixMillis): WindowNumber =
        WindowNumber(Math.floorDiv(time.millis, settings.window.inWholeMilliseconds))

    private fun endOf(window: WindowNumber): Long = (window.number + 1) * settings.window.inWholeMilliseconds

    private companion object {
        /** Windows that a node keeps: those that a report may still be due for, and one more. */
        const val KEPT_WINDOWS = 5

        /** Windows back from the current one that are reported if nobody has. */
        const val REPORTED_BACK = 4

        /** Reports of nodes travel for about a second. */
        val SETTLING: Duration = 1.5.seconds

        /** The part of the time to a late report that is spent waiting for a node's counts. */
        const val WAITING_PART = 0.6

        /** A node whose counts are older than this has stopped counting. */
        const val STALE_MILLIS = 30_000

        /** A call that is unanswered for so long is made again. */
        val RETRY_PERIOD: Duration = 1.seconds
    }
}
