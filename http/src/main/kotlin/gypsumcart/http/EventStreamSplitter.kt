package gypsumcart.http

/**
 * Splits the bytes of a `text/event-stream` at the ends of events.
 *
 * Lines may end with LF or CRLF.
 *
 * @property maxEventBytes the size above which an incomplete event is not collected any further
 * @property reservation holds the memory that events take beyond a small initial buffer
 * @param resumedAfter the id of the event that came before the first one, or null if there is none
 */
public class EventStreamSplitter(
    private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
    private val reservation: Reservation = MemoryBudget.unlimited().open(Traffic.Forwarded),
    resumedAfter: String? = null,
) {
    private val ids = EventIds(resumedAfter)
    private var pending = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** What is reserved for [pending], which is nothing for the initial buffer. */
    private var pendingReserved = 0

    /** What is reserved for the events returned last. */
    private var returnedReserved = 0
    private var isRefused = false

    /** The value of the last `id` field in the events returned so far, or null if none had one. */
    public val lastEventId: String? get() = ids.last

    /**
     * Whether an event came whose numeric id is not above the last one, such as that of a stream that is repeated or
     * starts again; the stream is then not to be read any further.
     */
    public var isOutOfOrder: Boolean = false
        private set

    /**
     * Whether the buffered event is larger than allowed or does not fit in the memory for messages; the stream is then
     * not to be read any further.
     */
    public val isOversized: Boolean get() = size > maxEventBytes || isRefused

    /** Whether bytes of an incomplete event are buffered. */
    public val hasIncompleteEvent: Boolean get() = size > 0

    /**
     * Appends the first [length] bytes of [bytes] to the buffer, and removes and returns its complete events.
     *
     * The returned bytes are those of the stream, unchanged, up to an event that is out of order; they are empty if no
     * event is complete. The time is in proportion to [length] and to the number of bytes returned, whatever the size
     * of the buffer. The memory of the returned events counts as held until the next call.
     */
    public fun append(bytes: ByteArray, length: Int): ByteArray {
        reservation.shrink(returnedReserved)
        returnedReserved = 0
        val oldSize = size
        if (!ensureCapacity(oldSize + length)) return EMPTY
        bytes.copyInto(pending, oldSize, 0, length)
        size += length
        val end = endOfLastEvent(oldSize)
        if (end == 0) return EMPTY
        if (!tryReserve(end)) return EMPTY
        returnedReserved = end
        val complete = pending.copyOf(end)
        pending.copyInto(pending, 0, end, size)
        size -= end
        if (pending.size > MAX_KEPT_BYTES && size <= INITIAL_BYTES) resize(INITIAL_BYTES, 0)
        val increasing = ids.countIncreasing(complete)
        isOutOfOrder = increasing < end
        return if (isOutOfOrder) complete.copyOf(increasing) else complete
    }

    private fun ensureCapacity(capacity: Int): Boolean {
        if (pending.size >= capacity) return true
        val newCapacity = maxOf(capacity, minOf(2 * capacity, maxEventBytes))
        if (!tryReserve(newCapacity)) return false
        resize(newCapacity, newCapacity)
        return true
    }

    private fun resize(capacity: Int, reserved: Int) {
        pending = pending.copyOf(capacity)
        reservation.shrink(pendingReserved)
        pendingReserved = reserved
    }

    private fun tryReserve(bytes: Int): Boolean {
        isRefused = !reservation.tryGrow(bytes)
        return !isRefused
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

        /** The size of a buffer that is kept after its events were returned; larger events are rare. */
        private const val MAX_KEPT_BYTES = 16_384
    }
}

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

private fun ByteArray.endsEmptyLine(lineFeed: Int): Boolean {
    val before = this[lineFeed - 1]
    return before == LINE_FEED || before == CARRIAGE_RETURN && lineFeed > 1 && this[lineFeed - 2] == LINE_FEED
}

/** Follows the ids of the events of a stream, which increase. */
private class EventIds(resumedAfter: String?) {
    private var lastNumber = resumedAfter?.toNumberOrNull()

    /** The last id, or null if no event had one. */
    var last: String? = null
        private set

    /** Returns how many of the bytes of [events] come before the first event whose id does not increase. */
    fun countIncreasing(events: ByteArray): Int {
        var eventStart = 0
        var lineStart = 0
        var id: String? = null
        for (i in events.indices) {
            if (events[i] != LINE_FEED) continue
            if (events.startsId(lineStart)) {
                id = events.decodeToString(lineStart + ID_FIELD.length, i).trim()
            } else if (events.isEmptyLine(lineStart, i)) {
                if (id != null && !accepts(id)) return eventStart
                id = null
                eventStart = i + 1
            }
            lineStart = i + 1
        }
        return events.size
    }

    private fun accepts(id: String): Boolean {
        val number = id.toNumberOrNull()
        val before = lastNumber
        if (number != null && before != null && number <= before) return false
        lastNumber = number ?: before
        last = id
        return true
    }
}

private const val ID_FIELD = "id:"

/** Returns whether there is nothing from [lineStart] to the end of the line at [lineFeed]. */
private fun ByteArray.isEmptyLine(lineStart: Int, lineFeed: Int): Boolean =
    lineFeed == lineStart || lineFeed == lineStart + 1 && this[lineStart] == CARRIAGE_RETURN

private fun ByteArray.startsId(lineStart: Int): Boolean =
    lineStart + ID_FIELD.length <= size && ID_FIELD.indices.all { this[lineStart + it] == ID_FIELD[it].code.toByte() }

private fun String.toNumberOrNull(): Long? = takeIf { it.all(Char::isAsciiDigit) }?.toLongOrNull()
