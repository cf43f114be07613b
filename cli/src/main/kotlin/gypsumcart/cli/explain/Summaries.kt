package gypsumcart.cli.explain

import java.time.temporal.ChronoUnit

/**
 * Summarizes the requests that ended with the same cause.
 *
 * @property medianMillis the median time from the arrival of a request to the end of its response, or null if none of
 *   the requests got a back end's response
 * @property p99Millis the 99th percentile of the same times
 */
internal class CauseSummary(val cause: String, val requests: Int, val medianMillis: Long?, val p99Millis: Long?)

/** Summarizes the requests by cause, the most frequent cause first. */
internal fun List<RequestTrace>.summarizeByCause(): List<CauseSummary> =
    map { it.end }
        .groupBy { it.cause }
        .map { (cause, ends) ->
            val times = ends.filterIsInstance<RequestEnd.Answered>().map { it.afterMillis }.sorted()
            CauseSummary(cause, ends.size, times.percentileOrNull(MEDIAN), times.percentileOrNull(P99))
        }.sortedByDescending { it.requests }

/** Formats the summaries as a table. */
internal fun List<CauseSummary>.toTable(): String {
    val width = maxOf(CAUSE_HEADING.length, maxOfOrNull { it.cause.length } ?: 0)
    val rows =
        map {
            "%-${width}s %8d %8s %8s".format(
                it.cause,
                it.requests,
                it.medianMillis.orDash(),
                it.p99Millis.orDash(),
            )
        }
    val heading = "%-${width}s %8s %8s %8s".format(CAUSE_HEADING, "requests", "p50 ms", "p99 ms")
    return (listOf(heading) + rows).joinToString("\n")
}

/** Plots the number of requests that ended in each second as an SVG image, with one line for each cause. */
internal fun List<RequestTrace>.toPlot(): String {
    val start = minOfOrNull { it.endedAt } ?: return EMPTY_PLOT
    val tracesBySecond = groupBy { ChronoUnit.SECONDS.between(start, it.endedAt).toInt() }
    val lastSecond = tracesBySecond.keys.max()
    val causes = summarizeByCause().map { it.cause }
    val maxCount =
        tracesBySecond.values.maxOf { traces ->
            traces
                .groupingBy { it.end.cause }
                .eachCount()
                .values
                .max()
        }
    val lines =
        causes.mapIndexed { i, cause ->
            val points =
                (0..lastSecond).joinToString(" ") { second ->
                    val count = tracesBySecond[second].orEmpty().count { it.end.cause == cause }
                    val x = PLOT_LEFT + second * PLOT_WIDTH / maxOf(lastSecond, 1)
                    val y = PLOT_BOTTOM - count * PLOT_HEIGHT / maxCount
                    "$x,$y"
                }
            val color = COLORS[i % COLORS.size]
            """<polyline fill="none" stroke="$color" points="$points"/>""" +
                """<text x="$LEGEND_LEFT" y="${LEGEND_TOP + (i + 1) * LINE_HEIGHT}" fill="$color">$cause</text>"""
        }
    return svg(
        """<text x="0" y="$LINE_HEIGHT">$maxCount</text><text x="0" y="$PLOT_BOTTOM">0</text>""" +
            """<text x="$PLOT_LEFT" y="${PLOT_BOTTOM + LINE_HEIGHT}">""" +
            """requests ended in each second from $start</text>""" +
            lines.joinToString("\n"),
    )
}

private fun svg(content: String): String =
    """<svg xmlns="http://www.w3.org/2000/svg" width="900" height="280" font-family="sans-serif" font-size="12">""" +
        "\n$content\n</svg>\n"

private fun List<Long>.percentileOrNull(fraction: Double): Long? =
    getOrNull((size * fraction).toInt().coerceAtMost(size - 1))

private fun Long?.orDash(): String = this?.toString() ?: "-"

private const val CAUSE_HEADING = "cause"
private const val MEDIAN = 0.5
private const val P99 = 0.99
private const val PLOT_LEFT = 40
private const val PLOT_BOTTOM = 240
private const val PLOT_WIDTH = 640
private const val PLOT_HEIGHT = 220
private const val LEGEND_LEFT = 690
private const val LINE_HEIGHT = 14
private const val LEGEND_TOP = 10
private val EMPTY_PLOT = svg("")
private val COLORS = listOf("#2a7", "#c33", "#36c", "#a3a", "#b80", "#088", "#666")
