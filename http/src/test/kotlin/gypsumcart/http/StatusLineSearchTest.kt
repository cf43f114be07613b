package gypsumcart.http

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class StatusLineSearchTest {
    /** Adds [text] in pieces of [pieceBytes] and returns whether a status line was found. */
    private fun StatusLineSearch.findIn(text: String, pieceBytes: Int): Boolean =
        text.toByteArray(Charsets.ISO_8859_1).asList().chunked(pieceBytes).any {
            isFoundIn(byteArrayOf(0) + it, 1, it.size)
        }

    @ParameterizedTest
    @ValueSource(
        strings = ["HTTP/1.1 200", "aHTTP/1.0 503 F", "HHTTP/1.1 200", "HTTP/HTTP/1.1 200", "HTTP/1.1 2HTTP/1.1 200"],
    )
    fun `a status line is found at any position, however its bytes arrive`(text: String) {
        expectThat((1..text.length).filterNot { StatusLineSearch().findIn(text, it) }).isEqualTo(emptyList())
    }

    @ParameterizedTest
    @ValueSource(
        strings = ["HTTP/1.1 2x0", "HTTP/2 200", "http/1.1 200", "HTTP/1.1  200", "HTTP/1.1: 200", "\u00c8TTP/1.1 200"],
    )
    fun `other text is no status line`(text: String) {
        expectThat((1..text.length).filter { StatusLineSearch().findIn(text, it) }).isEqualTo(emptyList())
    }

    @Test
    fun `bytes end within a status line from the slash on`() {
        val line = "HTTP/1.1 200"
        val within =
            (1 until line.length).filter {
                StatusLineSearch()
                    .apply {
                        findIn(
                            "ab" + line.take(it),
                            3,
                        )
                    }.isWithin
            }
        expectThat(within).isEqualTo((5..11).toList())
    }

    @Test
    fun `a status line stays found`() {
        val search = StatusLineSearch()
        search.findIn("HTTP/1.1 200", 20)
        expectThat(search.findIn("more", 20)).isTrue()
    }
}
