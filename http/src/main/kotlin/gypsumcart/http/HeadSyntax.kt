package gypsumcart.http

import kotlinx.io.IOException

/** Reports that received bytes are not a message as HTTP/1.1 defines it. */
internal class MalformedMessageException(detail: String) : IOException(detail)

/** Describes how strictly the first line of a head is checked. */
internal sealed class StartLine {
    /** A line without control characters; the reader of requests checks the rest. Empty lines before it are skipped. */
    data object Request : StartLine()

    /** A status line with the status of a final response. */
    data object Status : StartLine()
}

/**
 * Follows a head byte by byte up to the empty line at its end, and checks its lines by RFC 9112.
 *
 * The library's parser skips or repairs what is no field, and a body would then end where no field says. Lines may end
 * with a bare LF.
 */
internal class HeadSyntax(private val startLine: StartLine) {
    private enum class Part { START_LINE, NAME, VALUE }

    private var part = Part.START_LINE
    private var column = 0
    private var isAfterReturn = false

    /** The number of lines that were seen, with empty ones before the first line. */
    var lines = 0
        private set

    /** The number of bytes of the head that were seen. */
    var headBytes = 0
        private set

    /** Whether the empty line at the end of the head was seen. */
    var isComplete = false
        private set

    /**
     * Adds [bytes], and ignores those after the end of the head.
     *
     * @throws MalformedMessageException if the bytes can't be part of a head
     */
    fun add(bytes: ByteArray) {
        for (byte in bytes) {
            if (isComplete) return
            headBytes++
            addByte(byte.toInt() and BYTE_MASK)
        }
    }

    private fun addByte(byte: Int) {
        when {
            byte == LINE_FEED -> endLine()
            isAfterReturn -> throw MalformedMessageException("a line of the head has a bare CR")
            byte == CARRIAGE_RETURN -> isAfterReturn = true
            else -> addText(byte)
        }
    }

    private fun addText(byte: Int) {
        when (part) {
            Part.START_LINE -> checkStartLine(byte)
            Part.NAME -> addNameByte(byte)
            Part.VALUE -> if (!isFieldText(byte)) throw MalformedMessageException("a field has a control character")
        }
        column++
    }

    private fun checkStartLine(byte: Int) {
        when (startLine) {
            StartLine.Request ->
                if (byte < SPACE || byte == DELETE) throw MalformedMessageException("the request line is invalid")

            StartLine.Status -> checkStatusLine(byte)
        }
    }

    private fun checkStatusLine(byte: Int) {
        val fits =
            when {
                column < STATUS_LINE_BYTES -> fitsStatusLine(column, byte)
                column == STATUS_LINE_BYTES -> byte == SPACE
                else -> isFieldText(byte)
            }
        if (!fits || column == STATUS_COLUMN && byte !in FINAL_STATUS_CLASSES) {
            throw MalformedMessageException("the status line is invalid")
        }
    }

    private fun addNameByte(byte: Int) {
        when {
            byte == COLON && column > 0 -> part = Part.VALUE
            !isTokenCharacter(byte) -> throw MalformedMessageException("a line of the head is no field")
        }
    }

    private fun endLine() {
        when (part) {
            Part.START_LINE -> endStartLine()
            Part.NAME -> if (column == 0) isComplete = true else throw MalformedMessageException("a field has no colon")
            Part.VALUE -> part = Part.NAME
        }
        lines++
        column = 0
        isAfterReturn = false
    }

    private fun endStartLine() {
        if (startLine == StartLine.Status && column < STATUS_LINE_BYTES) {
            throw MalformedMessageException("the status line is invalid")
        }
        if (column > 0) part = Part.NAME
    }

    private companion object {
        const val STATUS_COLUMN = 9
        val FINAL_STATUS_CLASSES = '2'.code..'5'.code
    }
}

/** Returns whether this line is a field by RFC 9112. */
internal fun String.isField(): Boolean {
    val colon = indexOf(':')
    return colon > 0 &&
        (0 until colon).all { isTokenCharacter(this[it].code) } &&
        substring(colon + 1).isFieldText()
}

/** Returns whether [byte] may stand at [column] of a status line, which is below [STATUS_LINE_BYTES]. */
internal fun fitsStatusLine(column: Int, byte: Int): Boolean =
    when (val expected = STATUS_LINE[column]) {
        '#' -> byte in DIGITS
        else -> byte == expected.code
    }

/** Returns whether this text holds no control characters but tabs. */
internal fun String.isFieldText(): Boolean = all { isFieldText(it.code) }

private fun isFieldText(byte: Int): Boolean = byte == TAB || byte >= SPACE && byte != DELETE

/** Returns whether this text is a token by RFC 9110. */
internal fun String.isToken(): Boolean = isNotEmpty() && all { isTokenCharacter(it.code) }

private fun isTokenCharacter(byte: Int): Boolean = byte < TOKEN_CHARACTERS.size && TOKEN_CHARACTERS[byte]

/** The characters of a `token` by RFC 9110, section 5.6.2, of which names of fields consist. */
private val TOKEN_CHARACTERS =
    BooleanArray(DELETE) { it.toChar() in "!#$%&'*+-.^_`|~" || it.toChar().isAsciiLetterOrDigit() }

private fun Char.isAsciiLetterOrDigit(): Boolean = this in '0'..'9' || this in 'A'..'Z' || this in 'a'..'z'

/** The start of a status line, up to the status; `#` stands for a digit. */
private const val STATUS_LINE = "HTTP/1.# ###"

/** The length of a status line without its reason phrase. */
internal const val STATUS_LINE_BYTES = STATUS_LINE.length

private val DIGITS = '0'.code..'9'.code
private const val BYTE_MASK = 0xff
private const val LINE_FEED = '\n'.code
private const val CARRIAGE_RETURN = '\r'.code
private const val COLON = ':'.code
private const val TAB = '\t'.code
private const val SPACE = ' '.code
private const val DELETE = 0x7f
