package gypsumcart.http

import java.io.ByteArrayOutputStream

/**
 * Splits the bytes of a `text/event-stream` at the ends of events.
 *
 * Lines may end with LF or CRLF.
 *
 * @property maxEventBytes the size above which an incomplete event is not collected any further
 */
public class EventStreamSplitter(private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES) {
    private val pending = ByteArrayOutputStream()

    /** The value of the last `id` field in the events returned so far, or null if none had one. */
    public var lastEventId: String? = null
        private set

    /** Whether the buffered event is larger than allowed; the stream is then not to be read any further. */
    public val isOversized: Boolean get() = pending.size() > maxEventBytes

    /** Whether bytes of an incomplete event are buffered. */
    public val hasIncompleteEvent: Boolean get() = pending.size() > 0

    /**
     * Appends the first [length] bytes of [bytes] to the buffer, and removes and returns its complete events.
     *
     * The returned bytes are those of the stream, unchanged; they are empty if no event is complete.
     */
    public fun append(bytes: ByteArray, length: Int): ByteArray {
        pending.write(bytes, 0, length)
        val all = pending.toByteArray()
        val end = all.endOfLastEvent()
        if (end == 0) return EMPTY
        pending.reset()
        pending.write(all, end, all.size - end)
        val complete = all.copyOf(end)
        complete.lastEventIdOrNull()?.let { lastEventId = it }
        return complete
    }

    public companion object {
        /** Far more than the text of one event, and little for a process that reads many streams. */
        public const val DEFAULT_MAX_EVENT_BYTES: Int = 262_144
        private val EMPTY = ByteArray(0)
    }
}

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** Returns the index after the last empty line, which ends an event, or 0 if there is none. */
private fun ByteArray.endOfLastEvent(): Int {
    for (i in indices.reversed()) {
        if (this[i] == LINE_FEED && i > 0 && endsEmptyLine(i)) return i + 1
    }
    return 0
}

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
