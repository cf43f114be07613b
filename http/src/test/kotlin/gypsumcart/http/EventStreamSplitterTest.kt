package gypsumcart.http

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

class EventStreamSplitterTest {
    @Test
    fun `an event that does not end is reported as too large`() {
        val splitter = EventStreamSplitter(maxEventBytes = 100)
        val bytes = ByteArray(60) { 'x'.code.toByte() }
        splitter.append(bytes, bytes.size)
        expectThat(splitter.isOversized).isEqualTo(false)
        splitter.append(bytes, bytes.size)
        expectThat(splitter.isOversized).isEqualTo(true)
    }

    // Guards against a node that stands still while it reads one event in pieces of a few bytes (CONFIG).
    @Test
    fun `the time for an event does not grow with the square of its size`() {
        val splitter = EventStreamSplitter()
        val piece = ByteArray(4) { 'x'.code.toByte() }
        val elapsed = measureTime { while (!splitter.isOversized) splitter.append(piece, piece.size) }
        expectThat(elapsed).isLessThan(500.milliseconds)
    }

    // Guards against many events, each within its bound, that together take all memory of the process (LOST).
    @Test
    fun `an event that does not fit in memory is given up`() {
        val memory = MemoryBudget(100_000)
        val splitter = EventStreamSplitter(reservation = memory.open(Traffic.Forwarded))
        val piece = ByteArray(1_000) { 'x'.code.toByte() }
        repeat(100) { if (!splitter.isOversized) splitter.append(piece, piece.size) }
        expectThat(splitter.isOversized).isTrue()
        expectThat(memory.heldBytes).isLessThan(100_000)
    }

    @Test
    fun `a large event holds memory only until the next one`() {
        val memory = MemoryBudget(1_000_000)
        val splitter = EventStreamSplitter(reservation = memory.open(Traffic.Forwarded))
        splitter.append("data: ${"x".repeat(100_000)}")
        expectThat(splitter.append("\n\n").length).isEqualTo(100_008)
        expectThat(memory.heldBytes).isGreaterThanOrEqualTo(100_008)
        splitter.append("id")
        expectThat(memory.heldBytes).isEqualTo(0)
    }

    private fun EventStreamSplitter.append(text: String): String =
        append(text.toByteArray(), text.length).decodeToString()

    @Test
    fun `an event is returned once its empty line is appended`() {
        val splitter = EventStreamSplitter()
        expectThat(splitter.append("id: 1\ndata: a\n")).isEqualTo("")
        expectThat(splitter.lastEventId).isNull()
        expectThat(splitter.hasIncompleteEvent).isTrue()
        expectThat(splitter.append("\nid: 2\n")).isEqualTo("id: 1\ndata: a\n\n")
        expectThat(splitter.lastEventId).isEqualTo("1")
    }

    @Test
    fun `events whose lines end with CRLF are split`() {
        val splitter = EventStreamSplitter()
        expectThat(splitter.append("id: 1\r\ndata: a\r\n\r\n")).isEqualTo("id: 1\r\ndata: a\r\n\r\n")
        expectThat(splitter.lastEventId).isEqualTo("1")
        expectThat(splitter.hasIncompleteEvent).isFalse()
    }

    @Property(seed = "4711")
    fun `the output equals the input for any sizes of the appended pieces`(
        @ForAll @Size(max = 20) sizes: List<Int>,
    ) {
        val lengths = sizes.map { Math.floorMod(it, MAX_PIECE_LENGTH) + 1 }
        val text = (1..12).joinToString("") { "id: $it\ndata: ${"x".repeat(it)}\n\n" }
        val splitter = EventStreamSplitter()
        val out = StringBuilder()
        var from = 0
        for (length in lengths + listOf(text.length)) {
            val to = (from + length).coerceAtMost(text.length)
            out.append(splitter.append(text.substring(from, to)))
            from = to
        }
        expectThat(out.toString()).isEqualTo(text)
        expectThat(splitter.lastEventId).isEqualTo("12")
    }

    // Guards against a repeated stream that is passed on behind the first one (MIXED).
    @Test
    fun `events are returned up to the first one whose id does not increase`() {
        for (repeated in listOf("10", "9", "0", " 010")) {
            val splitter = EventStreamSplitter()
            expectThat(splitter.append("id: 9\ndata: a\n\nid:10\r\n\r\n\n: note\n\n")).isEqualTo(
                "id: 9\ndata: a\n\nid:10\r\n\r\n\n: note\n\n",
            )
            expectThat(splitter.append("id: 11\n\nid: $repeated\ndata: b\n\nid: 12\n\n")).isEqualTo("id: 11\n\n")
            expectThat(splitter.isOutOfOrder).isTrue()
            expectThat(splitter.lastEventId).isEqualTo("11")
        }
    }

    @Test
    fun `the ids of a resumed stream increase from the event after which it is resumed`() {
        val splitter = EventStreamSplitter(resumedAfter = "7")
        expectThat(splitter.append("id: 7\n\n")).isEqualTo("")
        expectThat(splitter.isOutOfOrder).isTrue()
        expectThat(EventStreamSplitter(resumedAfter = "7").append("id: 8\n\n")).isEqualTo("id: 8\n\n")
    }

    @Test
    fun `ids that are no numbers are not compared`() {
        val splitter = EventStreamSplitter()
        val events = "id: b\n\nid: a\n\nid: 5\n\nid:\n\nid: 6\n\nid: -1\n\n"
        expectThat(splitter.append(events)).isEqualTo(events)
        expectThat(splitter.isOutOfOrder).isFalse()
    }

    // Guards against a stream that fails at an empty line that arrives in front of an event.
    @ParameterizedTest
    @ValueSource(strings = ["", "id: 1\n\n", ": ping\r\n\r\n"])
    fun `an empty line in front of an event is passed on`(first: String) {
        for (event in listOf("\nid: 2\n\n", "\r\nid: 2\r\n\r\n")) {
            val splitter = EventStreamSplitter()
            splitter.append(first.toByteArray(), first.length)
            val complete = splitter.append(event.toByteArray(), event.length)
            expectThat(complete.decodeToString()).isEqualTo(event)
            expectThat(splitter.lastEventId).isEqualTo("2")
        }
    }

    private companion object {
        const val MAX_PIECE_LENGTH = 30
    }
}
