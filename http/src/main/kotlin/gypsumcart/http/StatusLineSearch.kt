package gypsumcart.http

/** Searches the bytes of a body, as they come, for the start of a status line. */
internal class StatusLineSearch {
    /** How many bytes of a status line the bytes that were seen end with. */
    private var matched = 0

    /** Whether the bytes that were seen end within a status line. */
    val isWithin: Boolean get() = matched >= MIN_PART

    /** Returns whether a status line was seen once [length] bytes of [bytes] from [offset] are added. */
    fun isFoundIn(bytes: ByteArray, offset: Int, length: Int): Boolean {
        if (matched == STATUS_LINE_BYTES) return true
        for (i in offset until offset + length) {
            val byte = bytes[i].toInt()
            // No other column can hold the first character, so that a mismatch starts again at most one column in.
            matched =
                if (fitsStatusLine(matched, byte)) {
                    matched + 1
                } else if (byte == FIRST) {
                    1
                } else {
                    0
                }
            if (matched == STATUS_LINE_BYTES) return true
        }
        return false
    }

    private companion object {
        const val FIRST = 'H'.code

        /** The length of `HTTP/`; a text may well end with less. */
        const val MIN_PART = 5
    }
}
