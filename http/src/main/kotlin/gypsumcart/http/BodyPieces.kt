package gypsumcart.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Holds the body of a message in the pieces in which it was received, which saves a copy of the whole. */
public class BodyPieces internal constructor(internal val pieces: List<ByteArray>) {
    /** The size of the body. */
    public val sizeBytes: Int = pieces.sumOf { it.size }

    /** Returns the whole body, or null if the copy does not fit in [reservation], which then holds that copy only. */
    internal fun joinOrNull(reservation: Reservation): ByteArray? {
        if (pieces.size <= 1) return pieces.firstOrNull() ?: ByteArray(0)
        if (!reservation.tryGrow(sizeBytes)) return null
        val whole = ByteArray(sizeBytes)
        pieces.fold(0) { end, piece ->
            piece.copyInto(whole, end)
            end + piece.size
        }
        reservation.shrink(sizeBytes)
        return whole
    }
}

/**
 * Reads the whole body of at most [maxBytes] and reserves what it takes.
 *
 * Reads nothing of a body that says it is larger.
 */
internal suspend fun BodySource.readPieces(maxBytes: Int, reservation: Reservation): Result<BodyPieces, ReadFailure> {
    val declared = declaredBytes
    if (declared != null && declared > maxBytes) return Err(ReadFailure.BodyTooLarge)
    val pieces = ArrayList<ByteArray>()
    var size = 0
    while (declared == null || size < declared) {
        val capacity = minOf(declared?.minus(size) ?: Long.MAX_VALUE, BUFFER_BYTES.toLong()).toInt()
        if (!reservation.tryGrow(capacity)) return Err(ReadFailure.NoMemory)
        val piece = ByteArray(capacity)
        val length = fill(piece)
        size += length
        if (size > maxBytes) return Err(ReadFailure.BodyTooLarge)
        if (length > 0) pieces += if (length < capacity) piece.copyOf(length) else piece
        reservation.shrink(capacity - length)
        if (length < capacity) break
    }
    return Ok(BodyPieces(pieces))
}

/** Reads up to the size of [buffer] and returns the number of bytes, which is smaller only at the end of the body. */
private suspend fun BodySource.fill(buffer: ByteArray): Int {
    var length = 0
    while (length < buffer.size) {
        val n = read(buffer, length, buffer.size - length)
        if (n < 0) break
        length += n
    }
    return length
}

/** Reads the body up to its end, without keeping it, and returns whether it ended within [maxBytes]. */
internal suspend fun BodySource.discard(maxBytes: Int): Boolean {
    if ((declaredBytes ?: 0) > maxBytes) return false
    val buffer = ByteArray(DISCARD_BUFFER_BYTES)
    var size = 0L
    while (size <= maxBytes) {
        val n = read(buffer, 0, buffer.size)
        if (n < 0) return true
        size += n
    }
    return false
}

private const val DISCARD_BUFFER_BYTES = 1_024
