package gypsumcart.cli.explain

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import gypsumcart.core.RequestId
import java.nio.file.Files
import java.nio.file.Path

/** Shows from the logs of nodes how one request ended, or how many requests ended in each way. */
internal class ExplainCommand : CliktCommand("explain") {
    private val logs by argument("LOG").path(mustExist = true, canBeDir = false).multiple()
    private val request by option(
        "--request",
        help = "show the log lines of the request with this id and the state of its nodes",
    )
    private val from by option(
        "--from",
        help = "count only requests that ended at or after this UTC time, such as 2026-01-31T12:00:00",
    ).convert { timeOrNull(it) ?: fail("$it is not a time such as 2026-01-31T12:00:00") }
    private val to by option("--to", help = "count only requests that ended before this UTC time")
        .convert { timeOrNull(it) ?: fail("$it is not a time such as 2026-01-31T12:00:00") }
    private val plot by option(
        "--plot",
        help = "plot the requests by cause and second into this SVG file",
    ).path(canBeDir = false)

    override fun help(context: Context): String =
        "Explains requests from the logs of one or more nodes, or from standard input. Without --request it counts " +
            "requests by how they ended. Exits with 1 if the logs have no line about the request."

    override fun run() {
        val lines = readLines()
        val id = request
        if (id != null) printTrace(lines, RequestId(id)) else printSummary(lines)
    }

    private fun readLines(): List<LogLine> =
        if (logs.isEmpty()) {
            generateSequence(::readlnOrNull).mapNotNull { logLineOrNull(it, "stdin") }.toList()
        } else {
            logs.flatMap(::readFile)
        }

    private fun readFile(path: Path): List<LogLine> =
        Files.newBufferedReader(path).useLines { lines ->
            lines.mapNotNull { logLineOrNull(it, path.fileName.toString()) }.toList()
        }

    private fun printTrace(lines: List<LogLine>, id: RequestId) {
        val trace = lines.toTraces().firstOrNull { it.request == id }
        if (trace == null) {
            echo("the logs have no line about request $id", err = true)
            throw ProgramResult(1)
        }
        echo("request $id: ${trace.end.cause}")
        trace.lines.forEach { echo("${it.time} ${it.source} ${it.text}") }
        echo("state of its nodes when the request ended, latest line last:")
        lines.nodeStateAtEnd(trace).forEach {
            echo("${it.age.toMillis()} ms before: ${it.line.source} ${it.line.text}")
        }
    }

    private fun printSummary(lines: List<LogLine>) {
        val since = from
        val until = to
        val traces =
            lines.toTraces().filter {
                (since == null || it.endedAt >= since) && (until == null || it.endedAt < until)
            }
        echo(traces.summarizeByCause().toTable())
        plot?.let { Files.writeString(it, traces.toPlot()) }
    }
}
