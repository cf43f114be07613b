package gypsumcart.node

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RequestId
import gypsumcart.core.Route
import gypsumcart.core.ServiceName
import gypsumcart.core.Submission
import gypsumcart.core.Ticket
import gypsumcart.core.ZoneName
import gypsumcart.core.addressOrNull
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DeliveryProgress
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.routing.AvailabilityStatement
import gypsumcart.core.routing.BrittlenessStatement
import gypsumcart.core.routing.CarrierChoice
import gypsumcart.core.routing.LimitStatement
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.http.Headers
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpRequest
import gypsumcart.http.HttpServer
import gypsumcart.http.MessageLimits
import gypsumcart.http.ResponseHead
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.Ring
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ClientEdgeTest {
    private val runtime = EdgeRuntime()
    private val admission = Ring<AdmissionEvent>("admission", 16)
    private val routing = Ring<RoutingEvent>("routing", 16, reservedCapacity = 8)
    private val dispatch = Ring<DispatchEvent>("dispatch", 16, reservedCapacity = 8)
    private val client = HttpClient(runtime.loop, 1.seconds)
    private val limits = StatedLimits(NodeState()) { _, _ -> }
    private val brittleness = StatedBrittleness(NodeState()) { _, _ -> }
    private val availability = StatedAvailability(MonotonicClock.SYSTEM, {}) { _, _ -> }
    private val connections =
        BackEndConnections(
            client,
            MonotonicClock.SYSTEM,
            runtime.scope,
            CarrierChoice(ZoneName("a")),
            Metrics(),
            { emptyList() },
            { emptyList() },
            {},
        ) {}
    private val calls =
        BackEndCalls(
            Codec,
            client,
            connections,
            MonotonicClock.SYSTEM,
            limits,
            brittleness,
            availability,
            ResponseLimits(),
            { _, _ -> },
        ) { _, _ -> }
    private val edge =
        ClientEdge(Codec, calls, EdgeRings(admission, routing, dispatch), MonotonicClock.SYSTEM, Metrics())
    private val port = ServerSocket(0).use { it.localPort }
    private val server =
        HttpServer(
            "clients",
            HOST,
            port,
            runtime.loop,
            runtime.scope,
            { MessageLimits(999, 999, 1.seconds, 9.seconds) },
            edge,
        )

    @AfterEach
    fun close(): Unit = runtime.loop.close()

    /** Sends a request and returns its connection, with the submission that admission received. */
    private fun sendRequest(): Pair<Socket, Submission> {
        val socket = Socket(HOST, port)
        socket.getOutputStream().write("GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
        val submitted = checkNotNull(admission.takeOrNull(5.seconds)) as AdmissionEvent.Submitted
        return socket to submitted.submission
    }

    private fun callFor(submission: Submission, port: Int = 1): DispatchEffect.Call {
        val route = Route("x", "/a/", CallKind.Idempotent, 1.seconds, 1.seconds, 3, emptyList(), 1, isPublic = true)
        val deadline = MonotonicClock.SYSTEM.now() + 5.seconds
        val admitted = AdmittedRequest(submission, route, ServiceName("s"), null, priority = 3, deadline)
        val backEnd =
            BackEnd(
                id = BackEndId("i-1"),
                incarnation = Incarnation(1),
                service = ServiceName("s"),
                address = checkNotNull(addressOrNull("127.0.0.1:$port")),
                zone = ZoneName("a"),
                slots = 1,
                draining = false,
                spot = false,
                terminatesIn = null,
            )
        return DispatchEffect.Call(admitted, AttemptNumber.FIRST, backEnd, resumeAfter = null)
    }

    /** Runs [action] while the thread of all connections stands still, which then handles all that happened at once. */
    @OptIn(InternalCoroutinesApi::class)
    private fun whileLoopStandsStill(action: () -> Unit) {
        val standsStill = CountDownLatch(1)
        val mayGoOn = CountDownLatch(1)
        val block =
            Runnable {
                standsStill.countDown()
                mayGoOn.await()
            }
        runtime.loop.invokeOnTimeout(1, block, runtime.scope.coroutineContext)
        standsStill.await()
        action()
        mayGoOn.countDown()
    }

    // Guards against calls that hold their slots for ever, until a node refuses all prompts (CONFIG after freezes).
    @Test
    fun `a call whose client leaves before the edge has received it is reported as ended`() {
        runBlocking { server.start() }
        val (socket, submission) = sendRequest()
        whileLoopStandsStill {
            edge.deliver(submission.ticket, EdgeCommand.Call(callFor(submission)))
            socket.close()
            Thread.sleep(NETWORK_MILLIS)
        }
        val ended = DispatchEvent.CallEnded(submission.ticket, AttemptNumber.FIRST, CallResult.ClientGone)
        expectThat(dispatch.takeOrNull(2.seconds)).isNotNull().isEqualTo(ended)
    }

    @Test
    fun `a call that is passed on after its client has left is reported as ended`() {
        runBlocking { server.start() }
        val (socket, submission) = sendRequest()
        socket.close()
        expectThat(routing.takeOrNull(2.seconds)).isEqualTo(RoutingEvent.RequestCancelled(submission.ticket))
        edge.deliver(submission.ticket, EdgeCommand.Call(callFor(submission)))
        val ended = DispatchEvent.CallEnded(submission.ticket, AttemptNumber.FIRST, CallResult.ClientGone)
        expectThat(dispatch.takeOrNull(2.seconds)).isEqualTo(ended)
    }

    // Pattern: what a request that never ran was charged never comes back.
    @Test
    fun `a request whose client leaves before a call is reported to admission as not run`() {
        runBlocking { server.start() }
        val (socket, submission) = sendRequest()
        socket.close()
        expectThat(admission.takeOrNull(2.seconds)).isEqualTo(AdmissionEvent.Settled(submission.ticket))
    }

    @Test
    fun `a request whose client leaves during a call is not reported to admission`() {
        ServerSocket(0).use { backEnd ->
            runBlocking { server.start() }
            val (socket, submission) = sendRequest()
            edge.deliver(submission.ticket, EdgeCommand.Call(callFor(submission, backEnd.localPort)))
            backEnd.accept().use {
                socket.close()
                expectThat(routing.takeOrNull(2.seconds)).isEqualTo(RoutingEvent.RequestCancelled(submission.ticket))
            }
            expectThat(admission.takeOrNull(NETWORK_MILLIS.milliseconds)).isNull()
        }
    }

    @Test
    fun `a call to a back end that does not respond is ended on demand as timed out, and its connection is closed`() {
        runBlocking { server.start() }
        ServerSocket(0).use { silent ->
            val (_, submission) = sendRequest()
            edge.deliver(submission.ticket, EdgeCommand.Call(callFor(submission, silent.localPort)))
            silent.accept().use { connection ->
                connection.soTimeout = 2_000
                val received = connection.getInputStream()
                check(received.read() >= 0) { "the back end got no request" }
                edge.endUnstartedCall(submission.ticket)
                val failed = CallResult.Failed(CallFailure.TimedOut, DeliveryProgress.None)
                val ended = DispatchEvent.CallEnded(submission.ticket, AttemptNumber.FIRST, failed)
                expectThat(dispatch.takeOrNull(2.seconds)).isEqualTo(ended)
                received.readAllBytes()
            }
        }
    }

    /** Decodes no more of a request than the edge needs. */
    private object Codec : CallCodec {
        override fun decode(request: HttpRequest, ticket: Ticket, arrivedAt: MonotonicTime): Submission =
            Submission(ticket, RequestId("r"), "x", request.path, null, null, null, arrivedAt)

        override fun callHeaders(
            request: HttpRequest,
            call: DispatchEffect.Call,
            remainingTime: Duration,
        ): Headers = Headers.EMPTY

        override fun classify(head: ResponseHead, id: RequestId, callee: BackEndId): ResponseKind = ResponseKind.Valid

        override fun limitStatementOrNull(head: ResponseHead): LimitStatement = LimitStatement.Unlimited

        override fun brittlenessStatementOrNull(head: ResponseHead): BrittlenessStatement = BrittlenessStatement.Sturdy

        override fun availabilityStatements(head: ResponseHead): List<AvailabilityStatement> = emptyList()

        override fun outcomeHead(outcome: Outcome, id: RequestId?): ResponseHead = ResponseHead(503, Headers.EMPTY)
    }

    private companion object {
        const val HOST = "127.0.0.1"

        /** Within this time the loop's selector can see what happened on the loopback interface. */
        const val NETWORK_MILLIS = 100L
    }
}
