package gypsumcart.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.seconds

class MessageReadersTest {
    /** A request as a client means it, with its body in chunks of [chunk] bytes, or with a length where that is 0. */
    class Sent(val path: String, val body: String, val chunk: Int) {
        val bytes: ByteArray get() = "POST $path HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n$framed".toByteArray()

        private val framed: String
            get() =
                if (chunk == 0) {
                    "Content-Length: ${body.length}\r\n\r\n$body"
                } else {
                    val chunks = body.chunked(chunk).joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" }
                    "Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n"
                }

        override fun toString(): String = "$path body=${body.length} chunk=$chunk"
    }

    private val limits = MessageLimits(10_000, 10_000, 5.seconds, 5.seconds)

    @Provide
    fun sent(): Arbitrary<Sent> =
        Combinators
            .combine(
                Arbitraries.strings().alpha().ofMaxLength(20),
                Arbitraries.strings().ascii().ofMaxLength(300),
                Arbitraries.integers().between(0, 100),
            ).`as` { path, body, chunk -> Sent("/$path", body, chunk) }

    private fun ByteArray.readAll(count: Int): List<Result<HttpRequest, ReadFailure>> =
        runBlocking {
            val channel = ByteReadChannel(this@readAll)
            List(count) { channel.readRequest(limits) }
        }

    @Property(tries = TRIES, seed = SEED)
    fun `requests that follow each other are read as they were sent however their bytes are cut`(
        @ForAll("requests") requests: List<Sent>,
        @ForAll @Size(max = 20) cuts: List<
            @IntRange(min = 0, max = 2_000)
            Int,
        >,
    ) {
        val bytes = requests.fold(ByteArray(0)) { all, request -> all + request.bytes }
        val read =
            runBlocking {
                val channel = ByteChannel()
                launch { channel.sendInPieces(bytes, cuts) }
                requests.map { channel.readRequest(limits).get() }
            }
        expectThat(read.map { it?.path to it?.body?.decodeToString() }).isEqualTo(requests.map { it.path to it.body })
    }

    @Provide
    fun requests(): Arbitrary<List<Sent>> = sent().list().ofMinSize(1).ofMaxSize(4)

    private suspend fun ByteChannel.sendInPieces(bytes: ByteArray, cuts: List<Int>) {
        val ends = (cuts.map { Math.floorMod(it, bytes.size) } + bytes.size).sorted()
        ends.fold(0) { start, end ->
            writeByteArray(bytes.copyOfRange(start, end))
            flush()
            yield()
            end
        }
        flushAndClose()
    }

    @Property(tries = TRIES, seed = SEED)
    fun `a request that breaks off anywhere is none`(
        @ForAll("sent") request: Sent,
        @ForAll @IntRange(min = 0, max = 2_000) at: Int,
    ) {
        val bytes = request.bytes
        val result = bytes.copyOf(at % bytes.size).readAll(1).single()
        expectThat(result.getError()).isNotNull().isContainedIn(
            listOf(ReadFailure.Ended, ReadFailure.Truncated, ReadFailure.Malformed),
        )
    }

    @Property(tries = TRIES, seed = SEED)
    fun `bytes that are garbled are read as a request or told to be none`(
        @ForAll("sent") request: Sent,
        @ForAll @IntRange(min = 0, max = 2_000) at: Int,
        @ForAll garbled: Byte,
    ) {
        val bytes = request.bytes
        bytes[at % bytes.size] = garbled
        val result = bytes.readAll(1).single()
        val body = result.get()?.body
        if (body != null) expectThat(body.size <= limits.maxBodyBytes).isEqualTo(true)
        if (body == null) expectThat(result.getError()).isNotNull()
    }

    @Test
    fun `what the parser throws on garbled heads is told as malformed`() {
        val heads = listOf("PO\u00fdST / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP\u00931.1\r\nHost: h\r\n\r\n")
        for (head in heads) {
            val result = head.toByteArray(Charsets.ISO_8859_1).readAll(1).single()
            expectThat(result.getError()).isEqualTo(ReadFailure.Malformed)
        }
    }

    @Property(tries = TRIES, seed = SEED)
    fun `an answer whose head is garbled is read or told to be none`(
        @ForAll @IntRange(min = 0, max = 2_000) at: Int,
        @ForAll garbled: Byte,
    ) {
        val bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: 1\r\n\r\n".toByteArray()
        bytes[at % bytes.size] = garbled
        val result = runBlocking { ByteReadChannel(bytes).readResponseHead() }
        if (result.get() == null) expectThat(result.getError()).isNotNull()
    }

    private companion object {
        const val TRIES = 500
        const val SEED = "4711"
        const val HEX = 16
    }
}
