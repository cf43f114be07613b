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
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class MessageReadersTest {
    /** Represents a request whose body is sent in chunks of [chunkSize] bytes, or with a length if [chunkSize] is 0. */
    class SentRequest(val path: String, val body: String, val chunkSize: Int) {
        val bytes: ByteArray get() = "POST $path HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n$framedBody".toByteArray()

        private val framedBody: String
            get() =
                if (chunkSize == 0) {
                    "Content-Length: ${body.length}\r\n\r\n$body"
                } else {
                    val chunks =
                        body.chunked(chunkSize).joinToString("") { "${it.length.toString(HEX_RADIX)}\r\n$it\r\n" }
                    "Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n"
                }

        override fun toString(): String = "$path body=${body.length} chunkSize=$chunkSize"
    }

    private val limits = MessageLimits(10_000, 10_000, 5.seconds, 5.seconds)
    private val reservation = MemoryBudget.unlimited().open(Traffic.Forwarded)

    @Provide
    fun request(): Arbitrary<SentRequest> =
        Combinators
            .combine(
                Arbitraries.strings().alpha().ofMaxLength(20),
                Arbitraries.strings().ascii().ofMaxLength(300),
                Arbitraries.integers().between(0, 100),
            ).`as` { path, body, chunkSize -> SentRequest("/$path", body, chunkSize) }

    /**
     * Guards against a head of many short fields that stops the thread of all connections for seconds (CONFIG).
     *
     * The library compares each field with all earlier ones of the same name.
     */
    @Test
    fun `the time for a head does not grow with the square of its fields`() {
        val fields = "a:b\r\n".repeat(12_000)
        val largeHeads = MessageLimits(65_536, 10_000, 5.seconds, 5.seconds)
        val elapsed =
            measureTime {
                runBlocking {
                    val response = ByteReadChannel("HTTP/1.1 200 OK\r\n$fields\r\n".toByteArray())
                    expectThat(response.readResponseHead(reservation).getError()).isEqualTo(ReadFailure.HeaderTooLarge)
                    val request = ByteReadChannel("GET / HTTP/1.1\r\nHost: h\r\n$fields\r\n".toByteArray())
                    expectThat(
                        request.readRequest(largeHeads, reservation).getError(),
                    ).isEqualTo(ReadFailure.HeaderTooLarge)
                }
            }
        expectThat(elapsed).isLessThan(500.milliseconds)
    }

    @Test
    fun `the lines of a body do not count as fields of the head that they come with`() {
        val body = "\n".repeat(5_000)
        val text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n$body"
        val request = text.toByteArray().readRequests(1).single()
        expectThat(request.get()?.body?.size).isEqualTo(body.length)
        val withFields = text.replace("Host: h", "Host: h" + "\r\nX-Field: y".repeat(150))
        expectThat(
            withFields
                .toByteArray()
                .readRequests(1)
                .single()
                .get(),
        ).isNotNull()
    }

    private fun ByteArray.readRequests(count: Int): List<Result<HttpRequest, ReadFailure>> =
        runBlocking {
            val channel = ByteReadChannel(this@readRequests)
            List(count) { channel.readRequest(limits, reservation) }
        }

    @Property(tries = TRIES, seed = SEED)
    fun `pipelined requests are read as they were sent for any sizes of the arriving pieces`(
        @ForAll("requests") requests: List<SentRequest>,
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
                requests.map { channel.readRequest(limits, reservation).get() }
            }
        expectThat(read.map { it?.path to it?.body?.decodeToString() }).isEqualTo(requests.map { it.path to it.body })
    }

    @Provide
    fun requests(): Arbitrary<List<SentRequest>> = request().list().ofMinSize(1).ofMaxSize(4)

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
    fun `a request truncated at any byte is a failure`(
        @ForAll("request") request: SentRequest,
        @ForAll @IntRange(min = 0, max = 2_000) at: Int,
    ) {
        val bytes = request.bytes
        val result = bytes.copyOf(at % bytes.size).readRequests(1).single()
        expectThat(result.getError()).isNotNull().isContainedIn(
            listOf(ReadFailure.Ended, ReadFailure.Truncated, ReadFailure.Malformed),
        )
    }

    @Property(tries = TRIES, seed = SEED)
    fun `a request with one garbled byte is either read or a failure`(
        @ForAll("request") request: SentRequest,
        @ForAll @IntRange(min = 0, max = 2_000) at: Int,
        @ForAll garbled: Byte,
    ) {
        val bytes = request.bytes
        bytes[at % bytes.size] = garbled
        val result = bytes.readRequests(1).single()
        val body = result.get()?.body
        if (body != null) expectThat(body.size <= limits.maxBodyBytes).isEqualTo(true)
        if (body == null) expectThat(result.getError()).isNotNull()
    }

    @Test
    fun `a head on which the parser throws is malformed`() {
        val heads = listOf("PO\u00fdST / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP\u00931.1\r\nHost: h\r\n\r\n")
        for (head in heads) {
            val result = head.toByteArray(Charsets.ISO_8859_1).readRequests(1).single()
            expectThat(result.getError()).isEqualTo(ReadFailure.Malformed)
        }
    }

    @Property(tries = TRIES, seed = SEED)
    fun `a response head with one garbled byte is either read or a failure`(
        @ForAll @IntRange(min = 0, max = 2_000) at: Int,
        @ForAll garbled: Byte,
    ) {
        val bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: 1\r\n\r\n".toByteArray()
        bytes[at % bytes.size] = garbled
        val result = runBlocking { ByteReadChannel(bytes).readResponseHead(reservation) }
        if (result.get() == null) expectThat(result.getError()).isNotNull()
    }

    private companion object {
        const val TRIES = 500
        const val SEED = "4711"
        const val HEX_RADIX = 16
    }
}
