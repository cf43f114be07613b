package gypsumcart.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.availableForRead
import kotlinx.io.IOException

/** Reports that a peer sent more bytes than the head of a message may have. */
internal class HeadTooLargeException(maxBytes: Int) : IOException("the head exceeds $maxBytes bytes")

/**
 * Lets a parser read the head of a message from [input], and fails once [maxBytes] were received and it needs more.
 *
 * The library's parser collects header fields as long as they come. Bytes of the body that arrive together with the end
 * of the head do not count, because no more are needed then.
 */
internal class HeadLimiter(
    private val input: ByteReadChannel,
    private val maxBytes: Int,
) : ByteReadChannel by input {
    private var remaining = maxBytes - input.availableForRead

    override suspend fun awaitContent(min: Int): Boolean {
        val before = input.availableForRead
        if (before < min && remaining <= 0) throw HeadTooLargeException(maxBytes)
        val hasContent = input.awaitContent(min)
        remaining -= input.availableForRead - before
        return hasContent
    }
}
