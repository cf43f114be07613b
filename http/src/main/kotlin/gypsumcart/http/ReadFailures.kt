package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.ktor.http.cio.ParserException
import io.ktor.utils.io.ByteReadChannel
import kotlinx.io.EOFException
import kotlinx.io.IOException
import kotlin.coroutines.cancellation.CancellationException

/** Says why a message could not be read. */
public sealed class ReadFailure {
    /** The connection ended before the first byte of a message. */
    public data object Ended : ReadFailure()

    /** The connection ended within a message. */
    public data object Truncated : ReadFailure()

    /** The sender took longer than it may. */
    public data object TooSlow : ReadFailure()

    /** The header is longer than it may be. */
    public data object HeaderTooLarge : ReadFailure()

    /** The body is longer than it may be. */
    public data object BodyTooLarge : ReadFailure()

    /** The bytes are not a message, or their end can't be told for certain. */
    public data object Malformed : ReadFailure()
}

/** Runs [read], which reads a message from this channel, and turns what the parser throws into failures. */
internal suspend fun <T> ByteReadChannel.readOrFailure(
    read: suspend () -> Result<T, ReadFailure>,
): Result<T, ReadFailure> =
    try {
        read()
    } catch (e: CancellationException) {
        throw e
    } catch (_: EOFException) {
        Err(ReadFailure.Truncated)
    } catch (_: ParserException) {
        Err(ReadFailure.Malformed)
    } catch (_: IOException) {
        // The parser reports both broken connections and broken messages as input errors.
        Err(if (isClosedForRead) ReadFailure.Truncated else ReadFailure.Malformed)
    } catch (_: IndexOutOfBoundsException) {
        // The parser looks methods and header names up in tables of one-byte characters.
        Err(ReadFailure.Malformed)
    } catch (_: IllegalStateException) {
        Err(ReadFailure.Malformed)
    } catch (_: IllegalArgumentException) {
        Err(ReadFailure.Malformed)
    }
