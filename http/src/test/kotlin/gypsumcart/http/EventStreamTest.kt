package gypsumcart.http

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class EventStreamTest {
    private fun EventStream.take(text: String): String = take(text.toByteArray(), text.length).decodeToString()

    @Test
    fun `an event is held back until it is whole`() {
        val events = EventStream()
        expectThat(events.take("id: 1\ndata: a\n")).isEqualTo("")
        expectThat(events.lastId).isNull()
        expectThat(events.hasRest).isTrue()
        expectThat(events.take("\nid: 2\n")).isEqualTo("id: 1\ndata: a\n\n")
        expectThat(events.lastId).isEqualTo("1")
    }

    @Test
    fun `lines may end with a carriage return`() {
        val events = EventStream()
        expectThat(events.take("id: 1\r\ndata: a\r\n\r\n")).isEqualTo("id: 1\r\ndata: a\r\n\r\n")
        expectThat(events.lastId).isEqualTo("1")
        expectThat(events.hasRest).isFalse()
    }

    @Property(seed = "4711")
    fun `however the bytes are cut the same events come out`(
        @ForAll @Size(max = 20) sizes: List<Int>,
    ) {
        val cuts = sizes.map { Math.floorMod(it, MAX_CUT) + 1 }
        val text = (1..12).joinToString("") { "id: $it\ndata: ${"x".repeat(it)}\n\n" }
        val events = EventStream()
        val out = StringBuilder()
        var from = 0
        for (cut in cuts + listOf(text.length)) {
            val to = (from + cut).coerceAtMost(text.length)
            out.append(events.take(text.substring(from, to)))
            from = to
        }
        expectThat(out.toString()).isEqualTo(text)
        expectThat(events.lastId).isEqualTo("12")
    }

    private companion object {
        const val MAX_CUT = 30
    }
}
