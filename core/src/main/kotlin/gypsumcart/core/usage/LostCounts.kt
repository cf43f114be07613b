package gypsumcart.core.usage

import gypsumcart.core.TeamName
import gypsumcart.core.WindowNumber
import gypsumcart.core.membership.NodeReport
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Estimates what nodes counted that ended before they could share it.
 *
 * A node whose counts stop within a window, although all others went on, has ended there. It is taken to have gone on
 * for [UsageSettings.unsharedTime] as in that window and the one before it. The estimates of all such nodes are added
 * up before they are rounded, since each is mostly less than a request.
 */
internal class LostCounts(private val settings: UsageSettings) {
    /** Returns the estimate for [window], which must have ended and settled. */
    fun sumOf(window: WindowNumber, reports: List<NodeReport>): Map<TeamName, Int> {
        if (settings.unsharedTime == Duration.ZERO) return emptyMap()
        val sum = HashMap<TeamName, Double>()
        for (report in reports) {
            for ((team, estimate) in estimate(window, report)) sum.merge(team, estimate, Double::plus)
        }
        return sum.mapValues { it.value.roundToInt() }.filterValues { it > 0 }
    }

    private fun estimate(window: WindowNumber, report: NodeReport): Map<TeamName, Double> {
        val start = (settings.window.inWholeMilliseconds * window.number).milliseconds
        val counted = report.usageUntil.millis.milliseconds - start
        if (counted < Duration.ZERO || counted >= settings.window) return emptyMap()
        val before = report.usage[WindowNumber(window.number - 1)].orEmpty()
        val within = report.usage[window].orEmpty()
        val fraction = minOf(settings.unsharedTime, settings.window - counted) / (settings.window + counted)
        return (before.keys + within.keys).associateWith { ((before[it] ?: 0) + (within[it] ?: 0)) * fraction }
    }
}
