package gypsumcart.cli.explain

import java.time.temporal.ChronoUnit

/**
 * Counts the requests that ended in one way.
 *
 * @property medianMillis the median time to the end of an answer, or null where there was none
 * @property slowMillis the 99th percentile of the same
 */
internal class CauseCount(val cause: String, val requests: Int, val medianMillis: Long?, val slowMillis: Long?)

/** Counts [this] by cause, the most frequent first. */
internal fun List<Story>.countCauses(): List<CauseCount> =
    map { it.ending }
        .groupBy { it.cause }
        .map { (cause, endings) ->
            val times = endings.filterIsInstance<Ending.Answered>().map { it.afterMillis }.sorted()
            CauseCount(cause, endings.size, times.percentileOrNull(MEDIAN), times.percentileOrNull(SLOW))
        }.sortedByDescending { it.requests }

/** Renders the counts as a table. */
internal fun List<CauseCount>.toTable(): String {
    val width = maxOf(CAUSE.length, maxOfOrNull { it.cause.length } ?: 0)
    val rows =
        map {
            "%-${width}s %8d %8s %8s".format(
                it.cause,
                it.requests,
                it.medianMillis.orDash(),
                it.slowMillis.orDash(),
            )
        }
    return (listOf("%-${width}s %8s %8s %8s".format(CAUSE, "requests", "p50 ms", "p99 ms")) + rows).joinToString("\n")
}

/** Draws how many requests ended in each second, a line for each cause, as an SVG image. */
internal fun List<Story>.toPlot(): String {
    val start = minOfOrNull { it.endedAt } ?: return EMPTY_PLOT
    val seconds = groupBy { ChronoUnit.SECONDS.between(start, it.endedAt).toInt() }
    val last = seconds.keys.max()
    val causes = countCauses().map { it.cause }
    val highest =
        seconds.values.maxOf { stories ->
            stories
                .groupingBy { it.ending.cause }
                .eachCount()
                .values
                .max()
        }
    val lines =
        causes.mapIndexed { i, cause ->
            val points =
                (0..last).joinToString(" ") { second ->
                    val count = seconds[second].orEmpty().count { it.ending.cause == cause }
                    "${LEFT + second * PLOT_WIDTH / maxOf(last, 1)},${BOTTOM - count * PLOT_HEIGHT / highest}"
                }
            val color = COLORS[i % COLORS.size]
            """<polyline fill="none" stroke="$color" points="$points"/>""" +
                """<text x="$LEGEND" y="${GAP + (i + 1) * LINE_HEIGHT}" fill="$color">$cause</text>"""
        }
    return svg(
        """<text x="0" y="$LINE_HEIGHT">$highest</text><text x="0" y="$BOTTOM">0</text>""" +
            """<text x="$LEFT" y="${BOTTOM + LINE_HEIGHT}">requests ended in each second from $start</text>""" +
            lines.joinToString("\n"),
    )
}

private fun svg(content: String): String =
    """<svg xmlns="http://www.w3.org/2000/svg" width="900" height="280" font-family="sans-serif" font-size="12">""" +
        "\n$content\n</svg>\n"

private fun List<Long>.percentileOrNull(part: Double): Long? = getOrNull((size * part).toInt().coerceAtMost(size - 1))

private fun Long?.orDash(): String = this?.toString() ?: "-"

private const val CAUSE = "cause"
private const val MEDIAN = 0.5
private const val SLOW = 0.99
private const val LEFT = 40
private const val BOTTOM = 240
private const val PLOT_WIDTH = 640
private const val PLOT_HEIGHT = 220
private const val LEGEND = 690
private const val LINE_HEIGHT = 14
private const val GAP = 10
private val EMPTY_PLOT = svg("")
private val COLORS = listOf("#2a7", "#c33", "#36c", "#a3a", "#b80", "#088", "#666")
