package gypsumcart.node

import com.github.michaelbull.result.get
import gypsumcart.core.Address
import gypsumcart.core.BackEndVersion
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.ZoneName
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.streams.StreamEffect
import gypsumcart.core.streams.StreamEvent
import gypsumcart.core.streams.StreamMessage
import gypsumcart.core.streams.StreamMessageResult
import gypsumcart.core.streams.StreamPeer
import gypsumcart.core.streams.StreamRecord
import gypsumcart.http.Endpoint
import gypsumcart.http.Headers
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpServer
import gypsumcart.http.MessageLimits
import gypsumcart.http.OutgoingRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.http.readAtMost
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.Ring
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Checks that records of streams, questions for them and the answers pass between two nodes. */
class StreamLinkTest {
    private val runtime = EdgeRuntime()
    private val client = HttpClient(runtime.loop, 1.seconds)
    private val port = ServerSocket(0).use { it.localPort }
    private val keeperEvents = Ring<StreamEvent>("keeper", 16)
    private val senderEvents = Ring<StreamEvent>("sender", 16, reservedCapacity = 8)
    private val keeper = link(keeperEvents)
    private val sender = link(senderEvents)
    private val key = NodeKey(NodeId("keeper"), Incarnation(4))
    private val peer = StreamPeer(key, Address(HOST, port), ZoneName("a"))
    private val question = StreamMessage(asked = listOf(RequestId("asked")))

    private fun link(events: Ring<StreamEvent>): StreamLink =
        StreamLink(events, client, runtime.scope, MonotonicClock.SYSTEM, Metrics())

    private fun serve(handler: RequestHandler = keeper) {
        val limits = MessageLimits(9_999, 999_999, 1.seconds, 9.seconds)
        val server = HttpServer("peers", HOST, port, runtime.loop, runtime.scope, { limits }, handler)
        runBlocking { server.start() }
    }

    @AfterEach
    fun close(): Unit = runtime.loop.close()

    private fun record(request: String, version: String?) =
        StreamRecord(RequestId(request), ServiceName("drafts/1"), version?.let(::BackEndVersion))

    private fun records(count: Int, prefix: String): List<StreamRecord> = List(count) { record("$prefix$it", "v1") }

    private fun received(): StreamEvent.MessageReceived =
        checkNotNull(keeperEvents.takeOrNull(5.seconds)) as StreamEvent.MessageReceived

    /** Returns how the message that was sent ended. */
    private fun ended(): StreamMessageResult {
        val ended = checkNotNull(senderEvents.takeOrNull(5.seconds)) as StreamEvent.MessageEnded
        expectThat(ended.peer).isEqualTo(key)
        return ended.result
    }

    /** Sends [message], lets the keeper answer with [known], and returns what the keeper got and the sender gets. */
    private fun exchange(message: StreamMessage, known: List<StreamRecord>): Pair<StreamMessage, StreamMessageResult> {
        sender.send(StreamEffect.Send(peer, message))
        val received = received()
        keeper.respond(StreamEffect.Respond(received.exchange, known))
        return received.message to ended()
    }

    private fun post(body: ByteArray): Int? =
        runBlocking {
            val request = OutgoingRequest("POST", STREAMS_PATH, Headers.EMPTY, body)
            client
                .exchange(Endpoint(HOST, port), request) { (head, body) -> head.status.also { body.readAtMost(999) } }
                .get()
        }

    // Guards against a record that is kept with another version, or written to the store by no node or by two.
    @Test
    fun `records to store, records to keep and questions arrive as they were sent`() {
        serve()
        val message =
            StreamMessage(
                toStore = listOf(record("stored-1", "v1"), record("stored-2", null)),
                toKeep = listOf(record("kept", "v\"2")),
                asked = listOf(RequestId("asked-1"), RequestId("asked-2")),
            )
        expectThat(exchange(message, emptyList()))
            .isEqualTo(message to StreamMessageResult.Answered(emptyList()))
    }

    // Guards against a take-up that is refused, or goes on at a wrong version, although another node has the record.
    @Test
    fun `the records that the other node knows come back`() {
        serve()
        val known = listOf(record("asked", "v1"), record("asked-too", null))
        expectThat(exchange(question, known).second).isEqualTo(StreamMessageResult.Answered(known))
    }

    // Guards against a bound of the recipient below what nodes send, so that records under load reach no other node.
    @Test
    fun `the most that a node sends at once is accepted`() {
        serve()
        val asked = List(256) { RequestId("$it".padStart(200, 'q')) }
        val message = StreamMessage(records(100, "s"), records(100, "k"), asked)
        val known = asked.map { record(it.text, "v1") }
        expectThat(exchange(message, known)).isEqualTo(message to StreamMessageResult.Answered(known))
    }

    // Guards against a client that, by an id of its choice, has the records of all other streams refused.
    @Test
    fun `an id that is too long to have a record is not asked for`() {
        serve()
        val message = question.copy(toKeep = listOf(record("kept", "v1")))
        val tooLong = message.copy(asked = message.asked + RequestId("x".repeat(201)))
        expectThat(exchange(tooLong, emptyList())).isEqualTo(message to StreamMessageResult.Answered(emptyList()))
    }

    // Guards against a message without end, after which this node sends the other one nothing more.
    @Test
    fun `a message ends as failed if the duty of the other node does not respond`() {
        serve()
        sender.send(StreamEffect.Send(peer, question))
        expectThat(measureTimedValue { ended() })
            .and { get { value }.isEqualTo(StreamMessageResult.Failed) }
            .and { get { duration }.isLessThan(2.seconds) }
    }

    // Guards against the same for a node that stands still after it has accepted the connection.
    @Test
    fun `a message ends as failed if there is no answer`() {
        serve { _, _ -> delay(10.seconds) }
        sender.send(StreamEffect.Send(peer, question))
        expectThat(measureTimedValue { ended() })
            .and { get { value }.isEqualTo(StreamMessageResult.Failed) }
            .and { get { duration }.isLessThan(2.seconds) }
    }

    // Guards against the same for a node that has gone.
    @Test
    fun `a message ends as failed if the other node can't be reached`() {
        sender.send(StreamEffect.Send(peer, question))
        expectThat(ended()).isEqualTo(StreamMessageResult.Failed)
    }

    // Guards against records that count as kept because a node of another build, or another program, responds.
    @Test
    fun `a message ends as failed if the answer can't be read`() {
        val answers =
            listOf(200 to "", 200 to "[]", 200 to """{"form":2,"records":[]}""", 404 to "", 500 to """{"form":1}""")
        val responses = answers.iterator()
        serve { _, response ->
            val (status, body) = responses.next()
            response.send(ResponseHead(status, Headers.EMPTY), body.toByteArray())
        }
        repeat(answers.size) {
            sender.send(StreamEffect.Send(peer, question))
            expectThat(ended()).isEqualTo(StreamMessageResult.Failed)
        }
    }

    // Guards against a sender that fills the memory of another node.
    @Test
    fun `a message with too many records, too many ids or too long ones is refused`() {
        serve()
        val records = records(201, "r")
        val messages =
            listOf(
                StreamMessage(toStore = records),
                StreamMessage(toKeep = records),
                StreamMessage(toStore = records.take(101), toKeep = records.takeLast(100)),
                StreamMessage(asked = List(257) { RequestId("$it") }),
                StreamMessage(toKeep = listOf(record("x".repeat(201), "v1"))),
            )
        for (message in messages) expectThat(post(message.encode())).isEqualTo(400)
        val longId = """{"form":1,"asked":["${"x".repeat(201)}"]}"""
        expectThat(post(longId.toByteArray())).isEqualTo(400)
        expectThat(keeperEvents.takeOrNull(50.milliseconds)).isNull()
    }

    // Guards against fields that a later build gives another meaning, and against bytes that are no message.
    @Test
    fun `a message of another form and an unreadable one are refused`() {
        serve()
        val bodies = listOf("", "[]", "not json", "{}", """{"form":2,"asked":["r"]}""", """{"form":1,"keep":[{}]}""")
        for (body in bodies) expectThat(post(body.toByteArray())).isEqualTo(400)
        expectThat(keeperEvents.takeOrNull(50.milliseconds)).isNull()
    }

    // Guards against an earlier build that can't read the messages of a later one in the same form.
    @Test
    fun `fields that this build does not know are ignored`() {
        val body = """{"form":1,"later":7,"keep":[{"request":"r","service":"drafts/1","later":7}]}"""
        expectThat(decodeStreamMessage(body.toByteArray()).get())
            .isEqualTo(StreamMessage(toKeep = listOf(record("r", null))))
    }

    // Guards against a node that waits for each message although it can't take it, and its sender with it.
    @Test
    fun `a message that the ring has no room for is refused at once`() {
        serve()
        repeat(keeperEvents.capacity) { keeperEvents.offer(StreamEvent.Tick) }
        val responses = List(8) { measureTimedValue { post(question.encode()) } }
        expectThat(responses.map { it.value }.toSet()).isEqualTo(setOf(503))
        // Less than the time that the link waits for the duty; later requests need no new connection.
        expectThat(responses.minOf { it.duration }).isLessThan(200.milliseconds)
    }

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
