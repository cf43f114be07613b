package gypsumcart.node

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * Compresses the messages between nodes, whose reports differ mostly in numbers.
 *
 * Used by the edge thread alone.
 */
internal class PeerBytes {
    private val deflater = Deflater(Deflater.BEST_SPEED)
    private val inflater = Inflater()
    private val buffer = ByteArray(BUFFER_BYTES)

    /** Returns the bytes that stand for [text]; short texts stay as they are. */
    fun pack(text: String): ByteArray {
        val bytes = text.encodeToByteArray()
        if (bytes.size < MIN_PACKED_BYTES) return bytes
        deflater.reset()
        deflater.setInput(bytes)
        deflater.finish()
        val packed = ByteArrayOutputStream(bytes.size / EXPECTED_RATIO)
        while (!deflater.finished()) packed.write(buffer, 0, deflater.deflate(buffer))
        return packed.toByteArray()
    }

    /** Returns the bytes of the text for which [bytes] stand, or null if they are cut off, damaged or too many. */
    fun unpackOrNull(bytes: ByteArray): ByteArray? {
        if (bytes.firstOrNull() == FIRST_OF_TEXT) return bytes
        inflater.reset()
        inflater.setInput(bytes)
        val text = ByteArrayOutputStream(bytes.size * EXPECTED_RATIO)
        return try {
            while (!inflater.finished() && text.size() <= MAX_TEXT_BYTES) {
                val count = inflater.inflate(buffer)
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) return null
                text.write(buffer, 0, count)
            }
            text.takeIf { inflater.finished() }?.toByteArray()
        } catch (_: DataFormatException) {
            null
        }
    }

    private companion object {
        const val BUFFER_BYTES = 8_192

        /** About the size of two reports; less does not fill a packet. */
        const val MIN_PACKED_BYTES = 1_024

        /** The usual size of a text by that of its packed form, for the first size of buffers. */
        const val EXPECTED_RATIO = 4

        /** The first byte of a text, with which no packed form starts. */
        const val FIRST_OF_TEXT = '{'.code.toByte()

        /** Several times the reports of all nodes of a large fleet, so that no message exhausts the memory. */
        const val MAX_TEXT_BYTES = 4 * MAX_PEER_MESSAGE_BYTES
    }
}
