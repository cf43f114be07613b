package gypsumcart.http

import com.github.michaelbull.result.get
import java.io.IOException

/**
 * Reads the whole body, or returns null if it is longer than [maxBytes] or does not fit in the memory for messages.
 *
 * The connection is then closed; a body that says it is longer is not read.
 *
 * @throws IOException if the connection closes before the end of the body
 */
public suspend fun ResponseBody.readAtMost(maxBytes: Int): ByteArray? =
    readPiecesAtMost(maxBytes)?.joinOrNull(reservation)

/** Does the same as [readAtMost], but keeps the pieces in which the body arrives and needs half the memory. */
public suspend fun ResponseBody.readPiecesAtMost(maxBytes: Int): BodyPieces? = readPieces(maxBytes).get()

/**
 * Reads the body without keeping it; if it ends within [maxBytes], the connection can be used again.
 *
 * @throws IOException if the connection closes before the end of the body
 */
public suspend fun ResponseBody.discardAtMost(maxBytes: Int): Unit = discard(maxBytes)
