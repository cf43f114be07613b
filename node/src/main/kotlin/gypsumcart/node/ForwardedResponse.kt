package gypsumcart.node

import gypsumcart.core.dispatch.DeliveryProgress
import gypsumcart.http.BodyPieces
import gypsumcart.http.Reservation
import gypsumcart.http.ResponseHead
import gypsumcart.http.ResponseWriter

/** Writes the response to one client request, to which several upstream calls may contribute. */
internal class ForwardedResponse(private val response: ResponseWriter) {
    private class BufferedResponse(val head: ResponseHead, val body: BodyPieces)

    private var lastEventId: String? = null
    private var fallback: BufferedResponse? = null

    /** Whether the client may have received the head of the response. */
    val isStarted: Boolean get() = response.isStarted

    /** How much of the response has been delivered to the client. */
    val progress: DeliveryProgress
        get() = if (isStarted) DeliveryProgress.Started(lastEventId) else DeliveryProgress.None

    /**
     * Stores a back end's error response, which [conclude] sends if no later call succeeds.
     *
     * The memory that [held] holds for it counts for the request from then on.
     */
    fun storeFallback(head: ResponseHead, body: BodyPieces, held: Reservation) {
        response.reservation.takeOver(held)
        fallback = BufferedResponse(head, body)
    }

    suspend fun send(head: ResponseHead, body: BodyPieces): Unit = response.send(head, body)

    /** Writes the head of a stream, unless an earlier call has already written it and this one resumes the stream. */
    suspend fun startStream(head: ResponseHead) {
        if (!isStarted) response.startChunked(head)
    }

    /** Writes complete events; [lastId] is the last event id that this call has received, or null if there is none. */
    suspend fun writeEvents(bytes: ByteArray, lastId: String?) {
        response.writeChunk(bytes)
        lastEventId = lastId ?: lastEventId
    }

    suspend fun endStream(): Unit = response.endChunked()

    /** Sends the stored fallback, or [head] without a body if there is none; does nothing if a response has started. */
    suspend fun conclude(head: ResponseHead) {
        if (isStarted) return
        val stored = fallback
        if (stored != null) response.send(stored.head, stored.body) else response.send(head, ByteArray(0))
    }
}
