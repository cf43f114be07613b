package gypsumcart.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Lets a back end answer an upload at once and reset the connection while the node still writes the request. */
class ResetDuringUploadTest {
    private val fleet = StandInFleet()

    /** Answers each request once its head was read, and resets the connection after some milliseconds. */
    private fun serve(listener: ServerSocket) {
        var count = 0
        while (!listener.isClosed) {
            val socket = runCatching { listener.accept() }.getOrNull() ?: return
            val pause = (count++ % MAX_PAUSE_MILLIS).toLong()
            thread(isDaemon = true) { runCatching { socket.use { it.answerAndReset(pause) } } }
        }
    }

    private fun Socket.answerAndReset(pauseMillis: Long) {
        val head = generateSequence { getInputStream().read().takeIf { it >= 0 }?.toChar() }
        val text = StringBuilder()
        head.first { text.append(it).endsWith("\r\n\r\n") }
        val id = text.lines().first { it.startsWith("X-Attempt-Id", ignoreCase = true) }
        getOutputStream().send("HTTP/1.1 200 OK\r\n$id\r\nX-Response-Signature: s\r\n\r\nonly a part of it")
        Thread.sleep(pauseMillis)
        setSoLinger(true, 0)
    }

    private fun RunningNode.upload(id: String): String =
        exchange(
            settings.clients,
            "POST /uploads/1 HTTP/1.1\r\nHost: bookings.example\r\nX-Attempt-Id: $id\r\nX-Deadline-Ms: 1500\r\n" +
                "Api-Key: key-1\r\nContent-Length: $UPLOAD_BYTES\r\nConnection: close\r\n\r\n" +
                "u".repeat(UPLOAD_BYTES),
        )

    // Guards against a part of a body passed on as a whole one, as only the writer learns of the reset (MIXED).
    @Test
    fun `a part of a body without framing is not passed on where the back end resets the upload`() {
        ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")).use { listener ->
            thread(isDaemon = true) { serve(listener) }
            fleet.configure(1, listOf(ConfiguredRoute("/uploads/", "non_idempotent", "bookings", maxAttempts = 1)))
            val address = "127.0.0.1:${listener.localPort}"
            repeat(BACK_ENDS) {
                fleet.store.put(
                    "servers",
                    "i-$it",
                    """{"service":"bookings","address":"$address","zone":"a","batchSlots":6,""" +
                        """"state":"ready","born":1}""",
                )
            }
            val node = fleet.startNode("node-1")
            awaitCondition { get(node.settings.readiness, "/readiness").startsWith("HTTP/1.1 200") }
            val responses = List(UPLOADS) { node.upload("r-$it") }
            expectThat(responses.count { it.startsWith("HTTP/1.1 200") }).isEqualTo(0)
            expectThat(responses.count { it.startsWith("HTTP/1.1 502") } > 0).isEqualTo(true)
        }
    }

    private companion object {
        const val UPLOAD_BYTES = 3_000_000
        const val UPLOADS = 60
        const val MAX_PAUSE_MILLIS = 30

        /** Enough for a failing one to be left out without leaving none. */
        const val BACK_ENDS = 10
        const val BACKLOG = 50
    }
}
