package gypsumcart.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.lang.management.ManagementFactory
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class SocketLoopTest {
    private val loop = SocketLoop("loop-under-test")
    private val scope = CoroutineScope(loop)

    @AfterEach
    fun close() {
        loop.close()
    }

    @Test
    fun `coroutines, also after a delay, run on the thread of the loop`() {
        val names =
            runBlocking {
                scope
                    .async {
                        val before = Thread.currentThread().name
                        delay(5.milliseconds)
                        before to Thread.currentThread().name
                    }.await()
            }
        expectThat(names.toList().map { it.substringBefore(' ') }.distinct()).isEqualTo(listOf("loop-under-test"))
    }

    @Test
    fun `timers fire in the order of their times and not early`() {
        val fired = ArrayList<Int>()
        val elapsed =
            measureTime {
                runBlocking {
                    listOf(60, 20, 40)
                        .map { millis ->
                            scope.launch {
                                delay(millis.milliseconds)
                                fired += millis
                            }
                        }.forEach { it.join() }
                }
            }
        expectThat(fired).isEqualTo(arrayListOf(20, 40, 60))
        expectThat(elapsed).isGreaterThanOrEqualTo(59.milliseconds)
    }

    @Test
    fun `a read that times out leaves the connection usable`() {
        ServerSocket(0).use { listener ->
            val received =
                runBlocking(loop) {
                    val connection = loop.connect("127.0.0.1", listener.localPort)
                    val peer = listener.accept()
                    val nothing = withTimeoutOrNull(30.milliseconds) { connection.input.awaitContent(1) }
                    peer.getOutputStream().write(7)
                    val something = connection.input.awaitContent(1)
                    connection.close()
                    nothing to something
                }
            expectThat(received.first).isNull()
            expectThat(received.second).isTrue()
        }
    }

    @Test
    fun `a connection that its peer closed or wrote to is not empty and open`() {
        ServerSocket(0).use { listener ->
            val states =
                runBlocking(loop) {
                    val connection = loop.connect("127.0.0.1", listener.localPort)
                    val peer = listener.accept()
                    val fresh = connection.input.isOpenAndEmpty()
                    peer.getOutputStream().write("late".toByteArray())
                    delay(20.milliseconds)
                    val written = connection.input.isOpenAndEmpty()
                    val other = loop.connect("127.0.0.1", listener.localPort)
                    listener.accept().close()
                    delay(20.milliseconds)
                    listOf(fresh, written, other.input.isOpenAndEmpty())
                }
            expectThat(states).isEqualTo(listOf(true, false, false))
        }
    }

    @Test
    fun `a writer waits for a peer that does not read, and goes on when it is cancelled`() {
        ServerSocket(0).use { listener ->
            runBlocking {
                val connected = scope.async { loop.connect("127.0.0.1", listener.localPort) }
                val peer = listener.accept()
                val connection = connected.await()
                val writing =
                    scope.launch {
                        val writer =
                            ResponseWriter(connection.output, "GET", loop.memory.open(Traffic.Forwarded)) { false }
                        writer.send(ResponseHead(200, Headers.EMPTY), ByteArray(64 * 1024 * 1024))
                    }
                delay(100.milliseconds)
                expectThat(writing.isActive).isTrue()
                expectThat(withTimeoutOrNull(1.seconds) { writing.cancelAndJoin() } != null).isTrue()
                peer.close()
            }
        }
    }

    @Test
    fun `the thread sleeps while nothing happens`() {
        runBlocking { scope.launch { delay(1.milliseconds) }.join() }
        val threads = ManagementFactory.getThreadMXBean()
        val id =
            Thread
                .getAllStackTraces()
                .keys
                .first { it.name == "loop-under-test" }
                .id
        val before = threads.getThreadCpuTime(id)
        Thread.sleep(500)
        expectThat(threads.getThreadCpuTime(id) - before).isLessThan(50_000_000L)
    }
}
