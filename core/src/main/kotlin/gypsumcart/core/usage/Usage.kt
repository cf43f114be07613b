package gypsumcart.core.usage

import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.membership.StoreEra
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Represents an input of the [Usage] decider. */
public sealed class UsageEvent {
    /** A request of [team] started to run on a back end at [at]. */
    public data class RequestStarted(public val team: TeamName, public val at: MonotonicTime) : UsageEvent()

    /** The nodes agreed on the time: [unix] corresponds to [at] on this process's monotonic clock. */
    public data class TimeSynchronized(public val unix: UnixMillis, public val at: MonotonicTime) : UsageEvent()

    /** The reports of all nodes, including this one, were updated to [reports]. */
    public data class ReportsUpdated(public val reports: List<NodeReport>) : UsageEvent()

    /** This node acquired or lost the lease under which one node acts for the fleet. */
    public data class HoldingChanged(public val holding: Boolean) : UsageEvent()

    /** The store came back from an older copy, which may lack reports that it had acknowledged. */
    public data object StoreRestored : UsageEvent()

    /**
     * The store was asked since when it holds all that it has acknowledged.
     *
     * @property intactSince a time after which it has not come back from an older copy, or null if it never has
     * @property era the era of the store for which this holds
     */
    public data class StoreHistoryRead(
        public val intactSince: MonotonicTime?,
        public val era: StoreEra = StoreEra.UNNAMED,
    ) : UsageEvent()

    /**
     * The store holds [counts] as the final report for [window]; another node may have stored it.
     *
     * @property writtenIn the era of the store in which this node stored it just now, or null if the store held it
     */
    public data class ReportStored(
        public val window: WindowNumber,
        public val counts: Map<TeamName, Int>,
        public val writtenIn: StoreEra? = null,
    ) : UsageEvent()

    /** Storing the report for [window] failed, or its outcome is unknown, or the store was read and holds none. */
    public data class StoreReportFailed(public val window: WindowNumber) : UsageEvent()

    /** An attempt to send the report for [window] ended with [result]. */
    public data class SendCompleted(public val window: WindowNumber, public val result: CommandResult) : UsageEvent()

    /** A timer tick, on which counts are published and due reports are stored or sent. */
    public data object Tick : UsageEvent()
}

/** Represents an output of the [Usage] decider. */
public sealed class UsageEffect {
    /** Publishes this node's counts to the other nodes; they are complete up to [until]. */
    public data class Publish(
        public val usage: Map<WindowNumber, Map<TeamName, Int>>,
        public val until: UnixMillis,
    ) : UsageEffect()

    /** Stores [counts] as the report for [window], unless the store already holds one. */
    public data class StoreReport(
        public val window: WindowNumber,
        public val counts: Map<TeamName, Int>,
    ) : UsageEffect()

    /** Reads the report that the store holds for [window]. */
    public data class ReadReport(public val window: WindowNumber) : UsageEffect()

    /** Asks since when the store holds all that it has acknowledged. */
    public data object ReadStoreHistory : UsageEffect()

    /** Sends a report that the store holds. */
    public data class SendReport(public val command: FencedCommand.ReportUsage) : UsageEffect()
}

/**
 * Configures the usage reports.
 *
 * @property window the length of a window
 * @property lateAfter the time after the end of a window from which its report is late
 * @property unsharedTime the mean time for which a node that ends has not shared its counts; they are estimated
 */
public data class UsageSettings(
    public val window: Duration,
    public val lateAfter: Duration,
    public val unsharedTime: Duration = Duration.ZERO,
)

/**
 * Counts the requests that started to run and, on the lease holder, reports the sum over all nodes for each window.
 *
 * A report is stored before it is sent, so that a retry, also by another lease holder, sends exactly the same. If the
 * store comes back from an older copy, all nodes store again what they know it had acknowledged. A report that is
 * missing there may have been sent, so a window that ended before is summed up only by a node that has held the lease
 * since.
 */
public class Usage(private val settings: UsageSettings) : Decider<UsageEvent, UsageEffect> {
    private class PendingReport(var storedCounts: Map<TeamName, Int>?, var attemptedAt: MonotonicTime)

    private val losses = LostCounts(settings)
    private val counts = HashMap<WindowNumber, HashMap<TeamName, Int>>()
    private val pending = HashMap<WindowNumber, PendingReport>()
    private var reports: List<NodeReport> = emptyList()
    private var clockReference: UsageEvent.TimeSynchronized? = null
    private var heldSince: MonotonicTime? = null
    private val stored = StoredReports()
    private var history: UsageEvent.StoreHistoryRead? = null
    private var historyReadAt: MonotonicTime? = null
    private val finished = HashSet<WindowNumber>()

    override fun decide(event: UsageEvent, now: MonotonicTime): List<UsageEffect> =
        when (event) {
            is UsageEvent.RequestStarted -> noEffects { count(event) }
            is UsageEvent.TimeSynchronized -> noEffects { clockReference = event }
            is UsageEvent.ReportsUpdated -> noEffects { reports = event.reports }
            is UsageEvent.HoldingChanged -> changeHolding(event.holding, now)
            is UsageEvent.StoreRestored -> restore(now)
            is UsageEvent.StoreHistoryRead -> noEffects { history = event }
            is UsageEvent.ReportStored -> sendReport(event, now)
            is UsageEvent.StoreReportFailed -> noEffects { pending[event.window]?.storedCounts = null }
            is UsageEvent.SendCompleted -> noEffects { if (event.result == CommandResult.DONE) finish(event.window) }
            UsageEvent.Tick -> tick(now)
        }

    private inline fun noEffects(change: () -> Unit): List<UsageEffect> {
        change()
        return emptyList()
    }

    private fun count(event: UsageEvent.RequestStarted) {
        val at = unixTimeOrNull(event.at) ?: return
        counts.getOrPut(windowOf(at), ::HashMap).merge(event.team, 1, Int::plus)
    }

    private fun changeHolding(holding: Boolean, now: MonotonicTime): List<UsageEffect> {
        if (!holding) {
            heldSince = null
            pending.clear()
            return emptyList()
        }
        if (heldSince != null) return emptyList()
        heldSince = now
        return readHistory(now)
    }

    private fun restore(now: MonotonicTime): List<UsageEffect> {
        stored.doubt()
        return stored.dueAgain(now, RETRY_PERIOD) + if (heldSince != null) readHistory(now) else emptyList()
    }

    private fun readHistory(now: MonotonicTime): List<UsageEffect> {
        history = null
        historyReadAt = now
        return listOf(UsageEffect.ReadStoreHistory)
    }

    private fun tick(now: MonotonicTime): List<UsageEffect> {
        val time = unixTimeOrNull(now) ?: return emptyList()
        val current = windowOf(time)
        counts.keys.removeIf { it.number < current.number - KEPT_WINDOWS }
        finished.removeIf { it.number < current.number - KEPT_WINDOWS }
        stored.forgetBefore(WindowNumber(current.number - KEPT_WINDOWS))
        val publish = UsageEffect.Publish(counts.mapValues { it.value.toMap() }, time)
        val storedAgain = stored.dueAgain(now, RETRY_PERIOD)
        return listOf(publish) + storedAgain + if (heldSince != null) reportAll(current, time, now) else emptyList()
    }

    private fun reportAll(current: WindowNumber, time: UnixMillis, now: MonotonicTime): List<UsageEffect> {
        val isHistoryDue = history == null && historyReadAt?.let { now - it >= RETRY_PERIOD } ?: true
        val historyRead = if (isHistoryDue) readHistory(now) else emptyList()
        return historyRead +
            (current.number - REPORTED_WINDOWS until current.number)
                .map(::WindowNumber)
                .filter { it !in finished && isReadyToReport(it, time) }
                .mapNotNull { reportWindow(it, time, now) }
    }

    private fun reportWindow(window: WindowNumber, time: UnixMillis, now: MonotonicTime): UsageEffect? {
        val previous = pending[window]
        if (previous != null && now - previous.attemptedAt < RETRY_PERIOD) return null
        val known = previous?.storedCounts ?: stored.countsOrNull(window)
        pending[window] = PendingReport(known, now)
        return when {
            known != null -> UsageEffect.SendReport(FencedCommand.ReportUsage(window, known))
            heldSince.isBeforeEndOf(window) -> storeOrNull(window)
            else -> history?.let { if (it.isIntactFor(window)) storeOrNull(window) else readOrNull(window, time) }
        }
    }

    private fun storeOrNull(window: WindowNumber): UsageEffect? {
        val sum = sumOf(window)
        if (sum.isNotEmpty()) return UsageEffect.StoreReport(window, sum)
        finished += window
        return null
    }

    /** Looks for a report that another node stores again, as long as it would not be late. */
    private fun readOrNull(window: WindowNumber, time: UnixMillis): UsageEffect? {
        val isLate = time.millis > endOf(window) + settings.lateAfter.inWholeMilliseconds
        if (!isLate && sumOf(window).isNotEmpty()) return UsageEffect.ReadReport(window)
        finished += window
        return null
    }

    private fun UsageEvent.StoreHistoryRead.isIntactFor(window: WindowNumber): Boolean =
        intactSince == null || intactSince.isBeforeEndOf(window)

    private fun MonotonicTime?.isBeforeEndOf(window: WindowNumber): Boolean =
        this?.let(::unixTimeOrNull)?.let { it.millis <= endOf(window) } ?: false

    /** Returns whether all nodes have counted the window to its end, or waiting longer could make the report late. */
    private fun isReadyToReport(window: WindowNumber, time: UnixMillis): Boolean {
        val end = endOf(window)
        if (time.millis < end + SETTLING_TIME.inWholeMilliseconds) return false
        if (time.millis > end + (settings.lateAfter * WAIT_FRACTION).inWholeMilliseconds) return true
        return reports.all { it.usageUntil.millis >= end || time.millis - it.usageUntil.millis > STALE_MILLIS }
    }

    private fun sumOf(window: WindowNumber): Map<TeamName, Int> {
        val sum = HashMap<TeamName, Int>()
        for (report in reports) report.usage[window]?.forEach { (team, n) -> sum.merge(team, n, Int::plus) }
        for ((team, estimate) in losses.sumOf(window, reports)) sum.merge(team, estimate, Int::plus)
        return sum
    }

    private fun sendReport(event: UsageEvent.ReportStored, now: MonotonicTime): List<UsageEffect> {
        if (event.mayReplaceLostReport) {
            finish(event.window)
            return emptyList()
        }
        val agrees = stored.record(event.window, event.counts)
        if (event.window in finished) return emptyList()
        if (!agrees) {
            // Either counts may have been sent.
            finish(event.window)
            return emptyList()
        }
        if (heldSince == null) return emptyList()
        pending[event.window] = PendingReport(event.counts, now)
        return listOf(UsageEffect.SendReport(FencedCommand.ReportUsage(event.window, event.counts)))
    }

    /** Whether the store, which held no report when this one was stored, may have lost one since it was asked. */
    private val UsageEvent.ReportStored.mayReplaceLostReport: Boolean
        get() {
            val isFirst = stored.countsOrNull(window) == null && !heldSince.isBeforeEndOf(window)
            return writtenIn != null && isFirst && writtenIn != history?.era
        }

    private fun finish(window: WindowNumber) {
        pending -= window
        finished += window
    }

    private fun unixTimeOrNull(at: MonotonicTime): UnixMillis? =
        clockReference?.let { UnixMillis(it.unix.millis + (at - it.at).toLong(DurationUnit.MILLISECONDS)) }

    private fun windowOf(time: UnixMillis): WindowNumber =
        WindowNumber(Math.floorDiv(time.millis, settings.window.inWholeMilliseconds))

    private fun endOf(window: WindowNumber): Long = (window.number + 1) * settings.window.inWholeMilliseconds

    private companion object {
        /** The number of past windows that a node keeps: those that may still have to be reported, and one more. */
        const val KEPT_WINDOWS = 5

        /** The number of past windows that are reported if no node has reported them yet. */
        const val REPORTED_WINDOWS = 4

        /** The time to wait after the end of a window; the reports of nodes take about a second to arrive. */
        val SETTLING_TIME: Duration = 1.5.seconds

        /** The fraction of [UsageSettings.lateAfter] for which a report waits for missing counts of nodes. */
        const val WAIT_FRACTION = 0.6

        /** A node whose counts are older than this is assumed to have stopped; no report waits for it. */
        const val STALE_MILLIS = 30_000

        /** The time after which storing or sending a report is attempted again if it has not succeeded. */
        val RETRY_PERIOD: Duration = 1.seconds
    }
}
