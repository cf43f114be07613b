package gypsumcart.cli.explain

import com.github.ajalt.clikt.testing.test
import gypsumcart.core.RequestId
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.startsWith
import java.nio.file.Files
import java.nio.file.Path

class ExplainCommandTest {
    private val log =
        """
        time=2026-06-17T06:22:50.000 level=INFO logger=FleetDuties event=lease_held fence=3
        time=2026-06-17T06:22:59.000 level=INFO logger=Node event=node_started node=node-1
        time=2026-06-17T06:23:00.100 level=INFO logger=RequestDuties event=back_ends_listed count=2 leaving=1
        time=2026-06-17T06:23:00.900 level=INFO logger=RequestDuties event=back_ends_listed count=1 leaving=0
        time=2026-06-17T06:23:01.000 level=INFO logger=RequestDuties event=assigned request=r-1 attempt=1 back_end=i-1
        time=2026-06-17T06:23:01.200 level=INFO logger=ClientEdge event=call request=r-1 attempt=1 result=cut after_ms=200
        time=2026-06-17T06:23:01.201 level=INFO logger=RequestDuties event=assigned request=r-1 attempt=2 back_end=i-2
        time=2026-06-17T06:23:01.400 level=INFO logger=ClientEdge event=call request=r-1 attempt=2 result=answered_200 after_ms=400
        time=2026-06-17T06:23:02.000 level=INFO logger=RequestDuties event=refused request=r-2 reason=quota team=t
        time=2026-06-17T06:23:02.001 level=INFO logger=ClientEdge event=concluded request=r-2 outcome=not_run:quota after_ms=1
        time=2026-06-17T06:23:03.000 level=INFO logger=ClientEdge event=call request=r-3 attempt=1 result=client_gone after_ms=9
        time=2026-06-17T06:23:04.000 level=INFO logger=RequestDuties event=assigned request=r-4 attempt=1 back_end=i-1
        """.trimIndent()
    private val lines = log.lines().mapNotNull { logLineOrNull(it, "node-1") }

    private fun explain(folder: Path, arguments: String): String {
        val file = folder.resolve("node-1.log")
        Files.writeString(file, log)
        val result = ExplainCommand().test("$arguments $file")
        return "exit ${result.statusCode}\n${result.output}"
    }

    @Test
    fun `the cause of each request is derived from its log lines`() {
        expectThat(lines.toTraces().map { "${it.request} ${it.end.cause}" })
            .isEqualTo(listOf("r-1 answered 200", "r-2 not_run quota", "r-3 client gone", "r-4 open"))
    }

    @Test
    fun `the node state at the end of a request has the latest line of each kind since the start of the node`() {
        val trace = lines.toTraces().first { it.request == RequestId("r-1") }
        expectThat(lines.nodeStateAtEnd(trace).map { "${it.age.toMillis()} ${it.line.text}" })
            .isEqualTo(listOf("2400 event=node_started node=node-1", "500 event=back_ends_listed count=1 leaving=0"))
    }

    @Test
    fun `the node state names each prompt part that was quarantined`() {
        val lines =
            """
            time=2026-06-17T06:23:00.100 level=WARN logger=RequestDuties event=quarantine_started part=aa crashes=i-1/1
            time=2026-06-17T06:23:00.200 level=WARN logger=RequestDuties event=quarantine_started part=bb crashes=i-2/1
            time=2026-06-17T06:23:00.300 level=INFO logger=RequestDuties event=refused request=r-1 reason=quarantined part=aa
            """.trimIndent().lines().mapNotNull {
                logLineOrNull(it, "node-1")
            }
        expectThat(
            lines.nodeStateAtEnd(lines.toTraces().single()).map { it.line["part"] },
        ).isEqualTo(listOf("aa", "bb"))
    }

    // Guards against a statement of one back end that hides those of the others in the explanation of a request.
    @Test
    fun `the node state names each back end that leaves or has asked for a pause`() {
        val lines =
            """
            time=2026-06-17T06:23:00.100 level=INFO logger=StatedAvailability event=pause_stated back_end=i-1 pause_ms=900
            time=2026-06-17T06:23:00.200 level=INFO logger=StatedAvailability event=pause_stated back_end=i-2 pause_ms=800
            time=2026-06-17T06:23:00.300 level=INFO logger=StatedAvailability event=pause_stated back_end=i-2 pause_ms=700
            time=2026-06-17T06:23:00.400 level=INFO logger=StatedAvailability event=back_end_leaving back_end=i-1
            time=2026-06-17T06:23:00.500 level=INFO logger=ClientEdge event=concluded request=r-1 outcome=not_run:paused
            """.trimIndent().lines().mapNotNull {
                logLineOrNull(it, "node-1")
            }
        expectThat(
            lines.nodeStateAtEnd(lines.toTraces().single()).map { "${it.line.event.text} ${it.line["back_end"]}" },
        ).isEqualTo(listOf("pause_stated i-1", "pause_stated i-2", "back_end_leaving i-1"))
    }

    @Test
    fun `the word before the time is the source of the line`() {
        val line =
            logLineOrNull("  14.1153 edge-1 time=2026-06-17T06:23:00.100 level=INFO event=node_started node=x", "file")
        expectThat(line?.source).isEqualTo(LogSource("edge-1"))
    }

    @Test
    fun `text without a valid time is not parsed as a log line`() {
        expectThat(logLineOrNull("at java.lang.Thread.run", "file")).isNull()
        expectThat(logLineOrNull("time=yesterday event=call request=r-1", "file")).isNull()
    }

    @Test
    fun `the command shows the lines of one request and the node state at its end`(
        @TempDir folder: Path,
    ) {
        expectThat(explain(folder, "--request r-1"))
            .startsWith("exit 0\nrequest r-1: answered 200")
            .contains("node-1.log event=call request=r-1 attempt=1 result=cut")
            .contains("500 ms before: node-1.log event=back_ends_listed count=1 leaving=0")
        expectThat(explain(folder, "--request r-9")).startsWith("exit 1")
    }

    @Test
    fun `the command counts the requests of a time range by cause`(
        @TempDir folder: Path,
    ) {
        val plot = folder.resolve("plot.svg")
        expectThat(
            explain(folder, "--to 2026-06-17T06:23:02.500 --plot $plot")
                .lines()
                .drop(1)
                .map { it.trim() }
                .take(3),
        ).isEqualTo(
            listOf(
                "cause         requests   p50 ms   p99 ms",
                "answered 200         1      400      400",
                "not_run quota        1        -        -",
            ),
        )
        expectThat(Files.readString(plot)).startsWith("<svg").contains("not_run quota</text>")
    }
}
