package gypsumcart.http

import java.io.ByteArrayOutputStream
import java.io.IOException

/**
 * Reads the whole body, or returns null if it is longer than [maxBytes].
 *
 * Holds at most [maxBytes] and one buffer in memory, whatever the server sends.
 *
 * @throws IOException if the connection closes before the end of the body
 */
public suspend fun ResponseBody.readAtMost(maxBytes: Int): ByteArray? {
    val content = ByteArrayOutputStream()
    val buffer = ByteArray(BUFFER_BYTES)
    while (true) {
        val n = read(buffer)
        if (n < 0) return content.toByteArray()
        if (content.size() + n > maxBytes) return null
        content.write(buffer, 0, n)
    }
}
