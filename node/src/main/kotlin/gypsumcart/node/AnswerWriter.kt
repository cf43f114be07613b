package gypsumcart.node

import gypsumcart.core.dispatch.DeliveryProgress
import gypsumcart.http.ResponseHead
import gypsumcart.http.ResponseWriter

/** Writes one answer to a client, which several back ends may contribute to. */
internal class AnswerWriter(private val response: ResponseWriter) {
    private class Whole(val head: ResponseHead, val body: ByteArray)

    private var lastEvent: String? = null
    private var spare: Whole? = null

    /** How much of the answer the client has. */
    val progress: DeliveryProgress
        get() = if (response.isStarted) DeliveryProgress.Started(lastEvent) else DeliveryProgress.None

    /** Keeps a back end's own failure, to be passed on unless something better comes. */
    fun keep(head: ResponseHead, body: ByteArray) {
        spare = Whole(head, body)
    }

    suspend fun whole(head: ResponseHead, body: ByteArray): Unit = response.send(head, body)

    /** Writes the head of a stream; of a resumed one the client has it already. */
    suspend fun start(head: ResponseHead) {
        if (!response.isStarted) response.startChunked(head)
    }

    /** Writes whole events, the last of which is called [last]. */
    suspend fun events(bytes: ByteArray, last: String?) {
        response.writeChunk(bytes)
        lastEvent = last ?: lastEvent
    }

    suspend fun end(): Unit = response.endChunked()

    /** Gives the answer that the system itself has for the request, unless the client has part of another one. */
    suspend fun conclude(head: ResponseHead) {
        if (response.isStarted) return
        val kept = spare
        if (kept != null) response.send(kept.head, kept.body) else response.send(head, ByteArray(0))
    }
}
