package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.ktor.http.cio.ParserException
import io.ktor.utils.io.ByteReadChannel
import kotlinx.io.EOFException
import kotlinx.io.IOException
import kotlin.coroutines.cancellation.CancellationException

/** Describes why a message could not be read. */
public sealed class ReadFailure {
    /** The connection closed before the first byte of a message. */
    public data object Ended : ReadFailure()

    /** The connection closed within a message. */
    public data object Truncated : ReadFailure()

    /** The sender exceeded a timeout of [MessageLimits]. */
    public data object TooSlow : ReadFailure()

    /** The head exceeds [MessageLimits.maxHeaderBytes], or the bound for heads of responses. */
    public data object HeaderTooLarge : ReadFailure()

    /** The body exceeds [MessageLimits.maxBodyBytes]. */
    public data object BodyTooLarge : ReadFailure()

    /** The message does not fit in the memory that is left for it; see [MemoryBudget]. */
    public data object NoMemory : ReadFailure()

    /** The bytes are not a valid message, or the end of its body is ambiguous. */
    public data object Malformed : ReadFailure()
}

/** Calls [read] to read a message from this channel, and converts exceptions of channel and parser to failures. */
internal suspend fun <T> ByteReadChannel.readCatching(
    read: suspend () -> Result<T, ReadFailure>,
): Result<T, ReadFailure> =
    try {
        read()
    } catch (e: CancellationException) {
        throw e
    } catch (_: EOFException) {
        Err(ReadFailure.Truncated)
    } catch (_: HeadTooLargeException) {
        Err(ReadFailure.HeaderTooLarge)
    } catch (_: NoMemoryException) {
        Err(ReadFailure.NoMemory)
    } catch (_: MalformedMessageException) {
        Err(ReadFailure.Malformed)
    } catch (_: ParserException) {
        Err(ReadFailure.Malformed)
    } catch (_: IOException) {
        // The parser throws IOException both for broken connections and for malformed messages.
        Err(if (isClosedForRead) ReadFailure.Truncated else ReadFailure.Malformed)
    } catch (_: IndexOutOfBoundsException) {
        // The parser's lookup tables for methods and header names cover one-byte characters only.
        Err(ReadFailure.Malformed)
    } catch (_: IllegalStateException) {
        Err(ReadFailure.Malformed)
    } catch (_: IllegalArgumentException) {
        Err(ReadFailure.Malformed)
    }
