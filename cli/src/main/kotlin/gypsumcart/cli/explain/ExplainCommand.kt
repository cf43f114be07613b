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

/** Tells from the logs of nodes what became of a request, or of all requests in a span of time. */
internal class ExplainCommand : CliktCommand("explain") {
    private val logs by argument("LOG").path(mustExist = true, canBeDir = false).multiple()
    private val request by option("--request", help = "tell the story of the request with this id")
    private val from by option("--from", help = "only requests that ended since, as 2026-01-31T12:00:00 in UTC")
        .convert { timeOrNull(it) ?: fail("$it is not a time") }
    private val to by option("--to", help = "only requests that ended before, in the same form")
        .convert { timeOrNull(it) ?: fail("$it is not a time") }
    private val plot by option(
        "--plot",
        help = "write a plot by cause and second to this SVG file",
    ).path(canBeDir = false)

    override fun help(context: Context): String =
        "Explains requests from the logs of one or more nodes, or from standard input. Without --request it counts " +
            "how requests ended. Exits with 1 if the logs say nothing of the request."

    override fun run() {
        val lines = readLines()
        val id = request
        if (id != null) tell(lines, RequestId(id)) else summarize(lines)
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

    private fun tell(lines: List<LogLine>, id: RequestId) {
        val story = lines.toStories().firstOrNull { it.request == id }
        if (story == null) {
            echo("the logs say nothing of request $id", err = true)
            throw ProgramResult(1)
        }
        echo("request $id: ${story.ending.cause}")
        story.lines.forEach { echo("${it.time} ${it.source} ${it.text}") }
        echo("what the node knew when it ended, newest last:")
        lines.beliefsBehind(story).forEach { echo("${it.age.toMillis()} ms before: ${it.line.source} ${it.line.text}") }
    }

    private fun summarize(lines: List<LogLine>) {
        val since = from
        val until = to
        val stories =
            lines.toStories().filter {
                (since == null || it.endedAt >= since) && (until == null || it.endedAt < until)
            }
        echo(stories.countCauses().toTable())
        plot?.let { Files.writeString(it, stories.toPlot()) }
    }
}
