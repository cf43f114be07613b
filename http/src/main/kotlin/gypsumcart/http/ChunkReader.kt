package gypsumcart.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import kotlinx.io.EOFException
import kotlinx.io.IOException

/**
 * Reads a body in chunks from [input].
 *
 * The library's decoder takes a connection that ends between two chunks for the end of the body, so it can't tell a
 * whole body from one that was cut.
 */
internal class ChunkReader(private val input: ByteReadChannel) {
    private var left = 0L

    /** Whether the end mark was read. */
    var isEnded = false
        private set

    /**
     * Reads some bytes into [buffer] and returns how many, or -1 behind the end mark.
     *
     * @throws IOException if the input ends before the end mark, or holds no chunks
     */
    suspend fun read(buffer: ByteArray): Int {
        if (isEnded || left == 0L && !beginChunk()) return -1
        val n = input.readAvailable(buffer, 0, minOf(left, buffer.size.toLong()).toInt())
        if (n < 0) throw EOFException("the connection ended $left bytes before the chunk")
        left -= n
        if (left == 0L && line().isNotEmpty()) throw IOException("a chunk is longer than its size")
        return n
    }

    private suspend fun beginChunk(): Boolean {
        val digits = line().substringBefore(';').trim()
        val size = digits.takeIf { it.length in SIZE_DIGITS && it.all(::isHexadecimal) }?.toLong(HEXADECIMAL)
        left = size ?: throw IOException("a chunk has no readable size")
        if (left > 0) return true
        skipTrailers()
        isEnded = true
        return false
    }

    private suspend fun skipTrailers() {
        do {
            val trailer = line()
        } while (trailer.isNotEmpty())
    }

    private suspend fun line(): String =
        input.readLineStrict(MAX_LINE) ?: throw EOFException("the connection ended between chunks")

    private fun isHexadecimal(char: Char): Boolean = char in '0'..'9' || char in 'a'..'f' || char in 'A'..'F'

    private companion object {
        const val HEXADECIMAL = 16

        /** Sizes up to four gigabytes. */
        val SIZE_DIGITS = 1..8

        /** Room for a size, its extensions or a trailer field. */
        const val MAX_LINE = 4_096L
    }
}
