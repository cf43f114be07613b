package gypsumcart.standins

import java.io.BufferedReader
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Represents a request that a [ScriptedBackEnd] has received.
 *
 * @property id the id of the request
 * @property lastEventId the id of the event after which a stream is to go on, or null
 * @property previousId the id of the request before it on the same connection, or null if it is the first one
 */
internal class ScriptedRequest(val id: String, val lastEventId: String?, val previousId: String?)

/**
 * Accepts connections and lets [answer] write raw bytes for each request, such as no HTTP library would.
 *
 * The connection is closed after a request for which [answer] returns false, and reset after a [ResetException].
 */
internal class ScriptedBackEnd(private val answer: (ScriptedRequest, OutputStream) -> Boolean) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val received = CopyOnWriteArrayList<String>()

    val address: String get() = "127.0.0.1:${listener.localPort}"

    /** The ids of the requests in the order in which they arrived. */
    val requestIds: List<String> get() = received

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { serve(socket) }
            }
        }
    }

    override fun close(): Unit = listener.close()

    private fun serve(socket: Socket) {
        try {
            socket.use(::answerRequests)
        } catch (_: IOException) {
            // The node has closed the connection.
        }
    }

    private fun answerRequests(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader()
        var previousId: String? = null
        try {
            do {
                val request = reader.requestOrNull(previousId) ?: return
                received += request.id
                previousId = request.id
            } while (answer(request, socket.getOutputStream()))
        } catch (_: ResetException) {
            socket.setSoLinger(true, 0)
        }
    }

    private fun BufferedReader.requestOrNull(previousId: String?): ScriptedRequest? {
        val lines = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        if (lines.isEmpty()) return null
        val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        repeat(headers["content-length"]?.toInt() ?: 0) { read() }
        return ScriptedRequest(headers.getValue("x-attempt-id"), headers["last-event-id"], previousId)
    }

    private companion object {
        const val BACKLOG = 50
    }
}

/** Thrown by the answer of a [ScriptedBackEnd] to reset the connection instead of closing it. */
internal class ResetException : IOException("the script resets the connection")

/** Writes the registry row of [backEnd] as a ready one of [service]. */
internal fun StandInFleet.register(service: String, id: String, backEnd: ScriptedBackEnd) {
    store.put(
        "servers",
        id,
        """{"service":"$service","address":"${backEnd.address}","zone":"a","batchSlots":6,"state":"ready","born":1}""",
    )
}

internal fun OutputStream.send(text: String) {
    write(text.toByteArray())
    flush()
}
