package gypsumcart.core.capacity

import gypsumcart.core.BackEnd
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Features
import gypsumcart.core.LEDGER
import gypsumcart.core.NodeId
import gypsumcart.core.Outcome
import gypsumcart.core.Prompt
import gypsumcart.core.Ticket
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.routing.HealthSignal
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.RetryLimits
import gypsumcart.core.routing.Routing
import gypsumcart.core.routing.RoutingEffect
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.routing.key
import gypsumcart.core.routing.promptOf
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes a fake engine.
 *
 * @property speed its speed as a multiple of that of a usual one
 * @property knee the number of calls in progress beyond which each further one takes its time from the others
 */
internal class FakeEngine(val backEnd: BackEnd, var speed: Double, val knee: Int = 8) {
    var inProgress = 0

    /** The factor by which the engine works longer until a time. */
    var noise = 1.0

    /** Whether calls get an error at once. */
    var failing = false

    /** Whether calls get no response at all. */
    var dark = false

    /** Returns the time until a call that arrives now is answered. */
    fun timeOfCall(base: Duration): Duration = base / speed * noise * maxOf(1.0, (inProgress + 1.0) / knee)
}

/** Describes one call that ended or whose response started: the time, the engine, and how long it took. */
internal class CallRecord(
    val at: Duration,
    val engine: FakeEngine,
    val latency: Duration,
    val read: Boolean,
    val attempt: Int,
)

/** Describes that the standing of an engine changed at a node. */
internal class StandingRecord(val at: Duration, val node: NodeId, val engine: FakeEngine, val change: StandingChange)

/** Runs the routing of many nodes before engines in virtual time; reports reach other nodes late. */
internal class EngineFleet(
    nodeCount: Int,
    speeds: List<Double>,
    private val features: Features = Features(learnedCapacity = true),
    private val reportDelay: Duration = 1.seconds,
    private val base: Duration = 200.milliseconds,
    private val noiseShare: Double = 0.0,
) {
    private class Event(val at: Duration, val order: Long, val action: () -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event): Int = compareValuesBy(this, other, { it.at }, { it.order })
    }

    private inner class Server(val id: NodeId, val rank: Int) {
        val assigned = HashMap<Ticket, RoutingEffect.Assign>()
        val routing = Routing(RetryLimits(0.2, 50, 10.seconds), features)

        fun decide(event: RoutingEvent): Unit = routing.decide(event, at(now)).forEach { execute(this, it) }
    }

    private val random = Random(7)
    private val queue = PriorityQueue<Event>()
    private var order = 0L
    private var tickets = 0L
    private val cached = HashSet<Pair<String, String>>()
    var engines = speeds.mapIndexed { i, speed -> FakeEngine(backEnd("e$i", slots = 64), speed) }
        private set
    private val servers = List(nodeCount) { Server(NodeId("n$it"), it) }
    var now = Duration.ZERO
        private set
    val calls = ArrayList<CallRecord>()

    val standings = ArrayList<StandingRecord>()
    private val running = HashSet<Pair<Ticket, InstanceKey>>()

    /** When calls were ended before their response started. */
    val endedCalls = ArrayList<Duration>()

    /** When requests were refused. */
    val refusals = ArrayList<Duration>()

    init {
        for (server in servers) {
            server.decide(RoutingEvent.NodeCountUpdated(nodeCount, server.rank))
            schedule(REPORT_PERIOD * random.nextDouble()) { tick(server) }
        }
        list()
        if (noiseShare > 0) makeNoise()
    }

    /** Adds an engine, which all nodes see at once. */
    fun add(engine: FakeEngine) {
        engines = engines + engine
        list()
    }

    private fun list(): Unit = servers.forEach {
        it.decide(
            RoutingEvent.BackEndsListed(engines.map { e -> e.backEnd }),
        )
    }

    private fun tick(server: Server) {
        server.decide(RoutingEvent.ReportDue)
        server.decide(RoutingEvent.Sweep)
        schedule(REPORT_PERIOD) { tick(server) }
    }

    private fun makeNoise() {
        engines.forEach { it.noise = if (random.nextDouble() < noiseShare) NOISE_FACTOR else 1.0 }
        schedule(NOISE_PERIOD, ::makeNoise)
    }

    /** Sends [perSecond] requests a second through random nodes for [duration]; streams, if [prefixes] is not null. */
    fun serve(duration: Duration, perSecond: Int, prefixes: Int? = null, kind: CallKind = STREAM) {
        val end = now + duration
        while (now < end) {
            val prompt = prefixes?.let { promptOf("system", "subject-${random.nextInt(it)}") }
            send(servers.random(random), if (prefixes == null) CallKind.Idempotent else kind, prompt)
            run(1.seconds / perSecond * random.nextDouble() * 2)
        }
    }

    private fun send(server: Server, kind: CallKind, prompt: Prompt?) {
        val template = admitted(kind, ++tickets, prompt)
        val arrivedAt = at(now)
        val request =
            template.copy(
                submission = template.submission.copy(arrivedAt = arrivedAt),
                deadline = arrivedAt + 5.seconds,
            )
        server.decide(RoutingEvent.RequestAdmitted(request))
    }

    private fun execute(server: Server, effect: RoutingEffect) {
        when (effect) {
            is RoutingEffect.Assign -> {
                server.assigned[effect.admitted.ticket] = effect
                call(server, effect)
            }
            is RoutingEffect.EndCall -> endAndRetry(server, effect)
            is RoutingEffect.StandingChanged ->
                standings +=
                    StandingRecord(now, server.id, engines.first { it.backEnd.key == effect.instance }, effect.change)
            is RoutingEffect.ReportLoad ->
                servers.filter { it !== server }.forEach { other ->
                    val counted = at(now)
                    schedule(reportDelay) {
                        other.decide(RoutingEvent.CapacityReported(server.id, effect.capacity, counted))
                    }
                }
            is RoutingEffect.Conclude -> refusals += now
            else -> Unit
        }
    }

    private fun call(server: Server, effect: RoutingEffect.Assign) {
        val engine = engines.first { it.backEnd.key == effect.backEnd.key }
        val prefix =
            effect.admitted.submission.prompt
                ?.sharedPart
        val read = prefix != null && cached.add(engine.backEnd.id.text to prefix)
        val latency = if (engine.dark) HOLD_TIME else engine.timeOfCall(base)
        engine.inProgress++
        running += effect.admitted.ticket to effect.backEnd.key
        calls += CallRecord(now, engine, latency, read, effect.attempt.number)
        when {
            engine.failing -> schedule(FAILURE_TIME) { release(server, effect, HealthSignal.UNKNOWN, isError = true) }
            engine.dark -> schedule(latency) { release(server, effect, HealthSignal.FAILING) }
            effect.admitted.route.kind is CallKind.Streamed -> {
                schedule(latency) { start(server, effect) }
                schedule(latency * 2) { release(server, effect, HealthSignal.HEALTHY) }
            }
            else -> schedule(latency) { release(server, effect, HealthSignal.HEALTHY) }
        }
    }

    private fun start(server: Server, effect: RoutingEffect.Assign) {
        val ticket = effect.admitted.ticket
        server.decide(RoutingEvent.FirstPieceReceived(ticket, LEDGER, effect.backEnd.key, fraction = null))
    }

    private fun release(
        server: Server,
        effect: RoutingEffect.Assign,
        health: HealthSignal,
        isError: Boolean = false,
    ) {
        val key = effect.backEnd.key
        val ticket = effect.admitted.ticket
        if (!running.remove(ticket to key)) return
        engines.first { it.backEnd.key == key }.inProgress--
        server.decide(RoutingEvent.CallReleased(ticket, key, health, isError))
    }

    /** Ends a call as dispatch does for requests that may be repeated. */
    private fun endAndRetry(server: Server, effect: RoutingEffect.EndCall) {
        val assigned = server.assigned.getValue(effect.ticket)
        if (effect.ticket to effect.instance !in running) return
        endedCalls += now
        release(server, assigned, HealthSignal.FAILING)
        server.decide(
            RoutingEvent.RetryRequested(
                assigned.admitted,
                assigned.attempt.next(),
                setOf(effect.instance),
                Outcome.Failed(CallFailure.TimedOut),
            ),
        )
    }

    private val Prompt.sharedPart: String get() = parts.first { it.id.text != "system" }.id.text

    fun run(duration: Duration) {
        val end = now + duration
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val event = queue.poll()
            now = event.at
            event.action()
        }
        now = end
    }

    fun schedule(delay: Duration, action: () -> Unit) {
        queue += Event(now + delay, order++, action)
    }

    /** Returns the part of the requests since [since] that took more than [target] or were refused. */
    fun missedShare(since: Duration, target: Duration): Double {
        val recent = calls.filter { it.at >= since }
        val refused = refusals.count { it >= since }
        return (recent.count { it.latency > target } + refused).toDouble() / (recent.size + refused)
    }

    /** Returns the most engines that a single node had ejected at once. */
    fun mostEjected(): Int =
        standings.groupBy { it.node }.values.maxOf { ofNode ->
            val out = HashSet<FakeEngine>()
            ofNode.maxOf {
                when (it.change) {
                    is StandingChange.Ejected -> out += it.engine
                    is StandingChange.Returned -> out -= it.engine
                    is StandingChange.Weighed -> Unit
                }
                out.size
            }
        }

    /** Returns the calls since [since] to each engine, as a multiple of the mean. */
    fun shares(since: Duration): Map<FakeEngine, Double> {
        val recent = calls.filter { it.at >= since }
        val counts = recent.groupingBy { it.engine }.eachCount()
        return engines.associateWith { (counts[it] ?: 0) * engines.size / recent.size.toDouble() }
    }

    companion object {
        val STREAM = CallKind.Streamed(resumable = false, maxPause = 1.seconds)
        val REPORT_PERIOD = 500.milliseconds
        val NOISE_PERIOD = 600.milliseconds
        const val NOISE_FACTOR = 2.5

        /** How long a call to a dark engine is held: until the deadline of its client. */
        val HOLD_TIME = 5.seconds
        val FAILURE_TIME = 5.milliseconds
    }
}
