package gypsumcart.http

/**
 * Splits the bytes of a `text/event-stream` at the ends of events.
 *
 * Lines may end with LF or CRLF.
 *
 * @property maxEventBytes the size above which an incomplete event is not collected any further
 */
public class EventStreamSplitter(private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES) {
    private var pending = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** The value of the last `id` field in the events returned so far, or null if none had one. */
    public var lastEventId: String? = null
        private set

    /** Whether the buffered event is larger than allowed; the stream is then not to be read any further. */
    public val isOversized: Boolean get() = size > maxEventBytes

    /** Whether bytes of an incomplete event are buffered. */
    public val hasIncompleteEvent: Boolean get() = size > 0

    /**
     * Appends the first [length] bytes of [bytes] to the buffer, and removes and returns its complete events.
     *
     * The returned bytes are those of the stream, unchanged; they are empty if no event is complete. The time is in
     * proportion to [length] and to the number of bytes returned, whatever the size of the buffer.
     */
    public fun append(bytes: ByteArray, length: Int): ByteArray {
        val oldSize = size
        if (pending.size < oldSize + length) pending = pending.copyOf(2 * (oldSize + length))
        bytes.copyInto(pending, oldSize, 0, length)
        size += length
        val end = endOfLastEvent(oldSize)
        if (end == 0) return EMPTY
        val complete = pending.copyOf(end)
        pending.copyInto(pending, 0, end, size)
        size -= end
        complete.lastEventIdOrNull()?.let { lastEventId = it }
        return complete
    }

    /** Returns the index after the last empty line that ends at [from] or later, or 0 if there is none. */
    private fun endOfLastEvent(from: Int): Int {
        for (i in size - 1 downTo from) {
            if (pending[i] == LINE_FEED && i > 0 && pending.endsEmptyLine(i)) return i + 1
        }
        return 0
    }

    public companion object {
        /** Far more than the text of one event, and little for a process that reads many streams. */
        public const val DEFAULT_MAX_EVENT_BYTES: Int = 262_144
        private val EMPTY = ByteArray(0)

        /** The initial size of the buffer, which grows for a larger event. */
        private const val INITIAL_BYTES = 1_024
    }
}

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

private fun ByteArray.endsEmptyLine(lineFeed: Int): Boolean {
    val before = this[lineFeed - 1]
    return before == LINE_FEED || before == CARRIAGE_RETURN && lineFeed > 1 && this[lineFeed - 2] == LINE_FEED
}

private fun ByteArray.lastEventIdOrNull(): String? =
    decodeToString()
        .lineSequence()
        .lastOrNull { it.startsWith("id:") }
        ?.removePrefix("id:")
        ?.trim()
