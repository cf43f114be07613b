package gypsumcart.http

import java.io.ByteArrayOutputStream

/** Cuts the bytes of a `text/event-stream` into whole events. */
public class EventStream {
    private val pending = ByteArrayOutputStream()

    /** The id of the last whole event that was taken, or null when none carried one. */
    public var lastId: String? = null
        private set

    /** Whether bytes of an event that is not whole are held back. */
    public val hasRest: Boolean get() = pending.size() > 0

    /** Adds the first [length] of [bytes] and returns the events that are whole now, as they came. */
    public fun take(bytes: ByteArray, length: Int): ByteArray {
        pending.write(bytes, 0, length)
        val all = pending.toByteArray()
        val end = all.endOfLastEvent()
        if (end == 0) return EMPTY
        pending.reset()
        pending.write(all, end, all.size - end)
        val whole = all.copyOf(end)
        whole.lastIdOrNull()?.let { lastId = it }
        return whole
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** Returns the index behind the last empty line, which ends an event, or 0 when there is none. */
private fun ByteArray.endOfLastEvent(): Int {
    for (i in indices.reversed()) {
        if (this[i] == LINE_FEED && i > 0 && lineIsEmptyBefore(i)) return i + 1
    }
    return 0
}

private fun ByteArray.lineIsEmptyBefore(lineFeed: Int): Boolean {
    val before = this[lineFeed - 1]
    return before == LINE_FEED || before == CARRIAGE_RETURN && lineFeed > 1 && this[lineFeed - 2] == LINE_FEED
}

private fun ByteArray.lastIdOrNull(): String? =
    decodeToString()
        .lineSequence()
        .lastOrNull { it.startsWith("id:") }
        ?.removePrefix("id:")
        ?.trim()
