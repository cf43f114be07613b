package gypsumcart.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import kotlinx.io.EOFException
import kotlinx.io.IOException

/**
 * Decodes a body in chunked transfer coding from [input].
 *
 * Ktor's own decoder accepts a connection that closes between two chunks as the end of the body, so it can't
 * distinguish a complete body from a truncated one.
 */
internal class ChunkReader(private val input: ByteReadChannel) {
    private var remainingInChunk = 0L

    /** Whether the last chunk and the trailers were read. */
    var isEnded = false
        private set

    /**
     * Reads some bytes into [buffer] from [offset], at most [length], and returns their number, or -1 after the last
     * chunk.
     *
     * @throws IOException if the input ends before the last chunk, or is not in chunked transfer coding
     */
    suspend fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        if (isEnded || remainingInChunk == 0L && !readChunkHeader()) return -1
        val n = input.readAvailable(buffer, offset, minOf(remainingInChunk, length.toLong()).toInt())
        if (n < 0) throw EOFException("connection closed $remainingInChunk bytes before the end of the chunk")
        remainingInChunk -= n
        if (remainingInChunk == 0L && readLine().isNotEmpty()) {
            throw MalformedMessageException("chunk is longer than its declared size")
        }
        return n
    }

    /** Reads the size of the next chunk and returns whether the chunk holds data; the last chunk holds none. */
    private suspend fun readChunkHeader(): Boolean {
        val line = readLine()
        val digits = line.substringBefore(';').trimEnd(' ', '\t')
        val isSize = digits.length in SIZE_DIGITS && digits.all(::isHexadecimal) && line.isFieldText()
        if (!isSize) throw MalformedMessageException("chunk size is missing or invalid")
        remainingInChunk = digits.toLong(HEX_RADIX)
        if (remainingInChunk > 0) return true
        skipTrailers()
        isEnded = true
        return false
    }

    private suspend fun skipTrailers() {
        repeat(MAX_TRAILERS) {
            val line = readLine()
            if (line.isEmpty()) return
            if (!line.isField()) throw MalformedMessageException("a trailer is no field")
        }
        throw IOException("more than $MAX_TRAILERS trailers")
    }

    private suspend fun readLine(): String =
        input.readLineStrict(MAX_LINE_BYTES) ?: throw EOFException("connection closed before the end of the chunks")

    private fun isHexadecimal(char: Char): Boolean = char in '0'..'9' || char in 'a'..'f' || char in 'A'..'F'

    private companion object {
        const val HEX_RADIX = 16

        /** The permitted number of hexadecimal digits in a chunk size; eight digits allow chunks up to 4 GiB. */
        val SIZE_DIGITS = 1..8

        /** Trailers are skipped; few servers send any. */
        const val MAX_TRAILERS = 64

        /** Limits the line of a chunk size with its extensions, and the line of a trailer field. */
        const val MAX_LINE_BYTES = 4_096L
    }
}
