package gypsumcart.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.availableForRead
import kotlinx.io.IOException
import kotlinx.io.readByteArray

/** Reports that a peer sent more than the head of a message may have, as [limit] says. */
internal class HeadTooLargeException(limit: String) : IOException("the head exceeds $limit")

/** Reports that the head of a message does not fit in the memory that is left for it. */
internal class NoMemoryException : IOException("no memory is left for the head")

/**
 * Lets a parser read the head of a message from [input], and fails once [maxBytes] were received and it needs more, or
 * once the head has more than [MAX_LINES] lines.
 *
 * Reserves the memory that the parser takes for the head.
 *
 * The library's parser collects header fields as long as they come, in a time that grows with the square of their
 * number. Bytes of the body that arrive together with the end of the head count for neither bound.
 */
internal class HeadLimiter(
    private val input: ByteReadChannel,
    private val maxBytes: Int,
    private val reservation: Reservation,
) : ByteReadChannel by input {
    private var remaining = maxBytes - input.availableForRead
    private val lines = HeadLines()

    /** Whether the empty line at the end of the head was received. */
    val isHeadComplete: Boolean get() = lines.areComplete

    init {
        countLines(0)
    }

    override suspend fun awaitContent(min: Int): Boolean {
        val before = input.availableForRead
        if (before < min && remaining <= 0) throw HeadTooLargeException("$maxBytes bytes")
        val hasContent = input.awaitContent(min)
        remaining -= input.availableForRead - before
        countLines(before)
        return hasContent
    }

    /** Counts the lines in what [input] has received beyond its first [known] bytes. */
    @OptIn(InternalAPI::class)
    private fun countLines(known: Int) {
        val added = input.availableForRead - known
        if (added <= 0 || lines.areComplete) return
        val unread = input.readBuffer.peek()
        unread.skip(known.toLong())
        val oldBytes = lines.headBytes
        lines.add(unread.readByteArray(added))
        if (!reservation.tryGrow((lines.headBytes - oldBytes) * PARSER_COST)) throw NoMemoryException()
        if (lines.count > MAX_LINES) throw HeadTooLargeException("$MAX_LINES lines")
    }

    /** Releases what the parser has taken beyond the text of the head. */
    fun releaseParser(): Unit = reservation.shrink(lines.headBytes * (PARSER_COST - 1))

    private companion object {
        /** The bytes in memory for one of the head: in the connection's buffer, as a character, and in a string. */
        const val PARSER_COST = 4

        /** Twice the number of fields that common HTTP servers accept. */
        const val MAX_LINES = 200
    }
}

/** Counts the lines of a head up to the empty one at its end; empty lines before the first line count too. */
private class HeadLines {
    private var isLineEmpty = true
    private var hasText = false

    var count = 0
        private set

    /** The number of bytes of the head that were seen. */
    var headBytes = 0
        private set

    /** Whether the empty line at the end of the head was seen. */
    var areComplete = false
        private set

    fun add(bytes: ByteArray) {
        for (byte in bytes) {
            if (areComplete) return
            headBytes++
            addByte(byte)
        }
    }

    private fun addByte(byte: Byte) {
        when (byte) {
            LINE_FEED -> {
                count++
                areComplete = isLineEmpty && hasText
                isLineEmpty = true
            }

            CARRIAGE_RETURN -> Unit

            else -> {
                isLineEmpty = false
                hasText = true
            }
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
