package gypsumcart.http

import com.github.michaelbull.result.fold
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

/** Lets a server answer before it has read the request, and end the connection while the client still writes. */
class ResetDuringUploadTest {
    private val loop = SocketLoop("test")
    private val client = HttpClient(loop, 1.seconds)
    private val listener = ServerSocket(0, 50, InetAddress.getByName(LoopbackServer.HOST))

    @AfterEach
    fun close() {
        listener.close()
        loop.close()
    }

    /** Uploads, lets [serve] answer on the connection and close it, and returns what the caller is told. */
    private fun upload(serve: (Socket) -> Unit): String =
        runBlocking {
            val request = OutgoingRequest("POST", "/x", Headers.EMPTY, ByteArray(UPLOAD_BYTES))
            val endpoint = Endpoint(LoopbackServer.HOST, listener.localPort)
            val result =
                async {
                    client.exchange(endpoint, request) { (head, body) ->
                        "${head.status} ${body.readAtMost(MAX_BODY_BYTES)?.decodeToString()}"
                    }
                }
            yield()
            listener.accept().use { socket ->
                socket.getInputStream().read()
                serve(socket)
            }
            result.await().fold({ it }, { it::class.simpleName.orEmpty() })
        }

    /**
     * Sends [response] to an upload and resets the connection, both while the loop's thread is held, so that reader
     * and writer find the reset together; returns what the caller is told.
     */
    private fun uploadAndReset(response: String): String =
        upload { socket ->
            // The writer has filled the buffers of both sockets by then.
            Thread.sleep(PAUSE_MILLIS)
            val isHeld = CountDownLatch(1)
            val release = CountDownLatch(1)
            loop.execute {
                isHeld.countDown()
                release.await()
            }
            isHeld.await()
            socket.getOutputStream().write(response.toByteArray())
            Thread.sleep(PAUSE_MILLIS)
            socket.setSoLinger(true, 0)
            socket.close()
            Thread.sleep(PAUSE_MILLIS)
            release.countDown()
        }

    // Guards against a part of a body that is taken for all of it, because only the writer learns of the reset (MIXED).
    @ParameterizedTest
    @ValueSource(strings = ["", "part"])
    fun `a body without framing is lost where the connection is reset during the upload`(body: String) {
        expectThat(uploadAndReset("HTTP/1.1 200 OK\r\n\r\n$body")).isEqualTo("ConnectionLost")
    }

    @Test
    fun `a response that was received whole counts though the connection is reset during the upload`() {
        expectThat(uploadAndReset("HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nlong")).isEqualTo("413 long")
    }

    // Guards against a part taken for a whole body, whose server closes before it resets the connection (MIXED).
    @Test
    fun `a body without framing is lost where the server closes the connection during the upload`() {
        val results =
            List(10) {
                upload { socket ->
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".toByteArray())
                    socket.shutdownOutput()
                    Thread.sleep(PAUSE_MILLIS)
                }
            }
        expectThat(results).isEqualTo(List(10) { "ConnectionLost" })
    }

    @Test
    fun `a body without framing is whole where the server goes on to read the upload`() {
        val result =
            upload { socket ->
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nwhole".toByteArray())
                socket.shutdownOutput()
                socket.getInputStream().skipNBytes(UPLOAD_BYTES.toLong())
            }
        expectThat(result).isEqualTo("200 whole")
    }

    private companion object {
        /** More than the buffers of both sockets hold. */
        const val UPLOAD_BYTES = 50_000_000
        const val MAX_BODY_BYTES = 1_000
        const val PAUSE_MILLIS = 100L
    }
}
