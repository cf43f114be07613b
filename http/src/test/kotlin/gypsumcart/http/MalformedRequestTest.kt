package gypsumcart.http

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

/** Reads requests whose field lines or trailers are not what HTTP/1.1 defines. */
class MalformedRequestTest {
    private val reservation = MemoryBudget.unlimited().open(Traffic.Forwarded)
    private val limits = MessageLimits(2_000, 10_000, 1.seconds, 1.seconds)

    private fun read(request: String): Any? =
        runBlocking {
            val input = ByteReadChannel(request.toByteArray(Charsets.ISO_8859_1))
            val result = input.readRequest(limits, reservation)
            result.getError() ?: result.get()?.body?.decodeToString()
        }

    // Guards against a request whose body ends elsewhere for a back end, or that is passed on with a damaged field.
    @Test
    fun `a request with a line that is no field is malformed, whatever stands beside it`() {
        val accepted =
            NO_FIELDS.filter { line ->
                listOf("$line\r\nContent-Length: 2\r\n", "Content-Length: 2\r\n$line\r\n").any {
                    read("POST /x HTTP/1.1\r\nHost: a\r\n${it}X-Last: a\r\n\r\nab") != ReadFailure.Malformed
                }
            }
        expectThat(accepted).isEmpty()
    }

    @Test
    fun `a trailer that is no field makes a request malformed`() {
        val head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
        expectThat(read("${head}X-Sum: 1\r\n\r\n")).isEqualTo("ab")
        expectThat(NO_FIELDS.filter { read("$head$it\r\n\r\n") == "ab" }).isEmpty()
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "A:", "a:b", "X-Colon: a:b:c", "X-Tab:\ta\t b \t", "X-Quote: \"a, b\";q=1", "X-High: \u00e9\u00ff",
            "!#$%&'*+-.^_`|~09azAZ: 1",
        ],
    )
    fun `a request is read with a field that HTTP defines`(field: String) {
        expectThat(read("POST /x HTTP/1.1\r\nHost: a\r\n$field\r\nContent-Length: 2\r\n\r\nab")).isEqualTo("ab")
        expectThat(read("\r\nPOST /x HTTP/1.1\nHost: a\n$field\nContent-Length: 2\n\nab")).isEqualTo("ab")
    }

    // Guards against a request whose line another parser splits elsewhere, or whose method is no token.
    @Test
    fun `a request line that HTTP does not define is malformed`() {
        val accepted =
            listOf(
                "POST /x HTTP/1.1\rX: a",
                "POST /x HTTP/1.1\rContent-Length: 2",
                "POST /x\r HTTP/1.1",
                "\rPOST /x HTTP/1.1",
                "POST /x HTTP/1.1\u0000",
                "POST /x HTTP/1.123",
                "POST /x HTTP/1.1 y",
                "P\u0001ST /x HTTP/1.1",
                "P(ST /x HTTP/1.1",
            ).filter { line -> read("$line\r\nHost: a\r\nContent-Length: 2\r\n\r\nab") == "ab" }
        expectThat(accepted).isEmpty()
    }

    private companion object {
        val NO_FIELDS =
            listOf(
                "no field",
                "X-Id",
                ":",
                ": 2",
                " : 2",
                "Content-Length : 2",
                "Content-Length\t: 2",
                "Content Length: 2",
                " Content-Length: 2",
                "\tfolded",
                " folded: value",
                "Content-Length\u0000: 2",
                "X\u0001Y: 2",
                "\u007fX: 2",
                "X\u001b: 2",
                "X-L\u00e9ngth: 2",
                "X\u00a0: 2",
                "X(Y): 2",
                "X/Y: 2",
                "X\"Y: 2",
                "X-Value: a\u0000b",
                "X-Value: a\u0001",
                "X-Value: a\u007f",
                "X-Value: a\rb",
                "X-Value: a\r",
                "POST /x HTTP/1.1",
                "{\"a\": 1}",
            )
    }
}
