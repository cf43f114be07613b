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
 * Lets a parser read the head of a message from [input], and fails once [maxBytes] were received and it needs more,
 * once the head has more than [MAX_LINES] lines, or at a line that HTTP/1.1 does not define.
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
    startLine: StartLine,
) : ByteReadChannel by input {
    private var remaining = maxBytes - input.availableForRead
    private val syntax = HeadSyntax(startLine)

    /** Whether the empty line at the end of the head was received. */
    val isHeadComplete: Boolean get() = syntax.isComplete

    init {
        checkReceived(0)
    }

    override suspend fun awaitContent(min: Int): Boolean {
        val before = input.availableForRead
        if (before < min && remaining <= 0) throw HeadTooLargeException("$maxBytes bytes")
        val hasContent = input.awaitContent(min)
        remaining -= input.availableForRead - before
        checkReceived(before)
        return hasContent
    }

    /** Checks what [input] has received beyond its first [known] bytes. */
    @OptIn(InternalAPI::class)
    private fun checkReceived(known: Int) {
        val added = input.availableForRead - known
        if (added <= 0 || syntax.isComplete) return
        val unread = input.readBuffer.peek()
        unread.skip(known.toLong())
        val oldBytes = syntax.headBytes
        syntax.add(unread.readByteArray(added))
        if (!reservation.tryGrow((syntax.headBytes - oldBytes) * PARSER_COST)) throw NoMemoryException()
        if (syntax.lines > MAX_LINES) throw HeadTooLargeException("$MAX_LINES lines")
    }

    /** Releases what the parser has taken beyond the text of the head. */
    fun releaseParser(): Unit = reservation.shrink(syntax.headBytes * (PARSER_COST - 1))

    private companion object {
        /** The bytes in memory for one of the head: in the connection's buffer, as a character, and in a string. */
        const val PARSER_COST = 4

        /** Twice the number of fields that common HTTP servers accept. */
        const val MAX_LINES = 200
    }
}
