package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEnd
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.Outcome
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DeliveryProgress
import gypsumcart.core.dispatch.Dispatch
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.membership.MembershipEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.SimulatedFleet
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Describes the back ends of a service.
 *
 * @property speeds how fast each back end works, as a multiple of the usual speed
 * @property tolerance the requests that a brittle one can turn away in a second
 * @property brittleQueue the requests that a brittle one keeps waiting
 * @property contactTime how long after its first statement it may fall
 */
internal class BrittleService(
    val speeds: List<Double> = List(6) { 1.0 },
    val slots: Int = 4,
    val tolerance: Int = 3,
    val work: Duration = 300.milliseconds,
    val brittleQueue: Int = 1,
    val contactTime: Duration = 3.seconds,
) {
    /** The requests a second that all back ends together complete. */
    val capacity: Double get() = speeds.sum() * slots / work.toDouble(DurationUnit.SECONDS)
}

/**
 * Runs the routing, dispatch and membership deciders of several nodes before back ends that turn brittle, in virtual
 * time.
 *
 * From a contact time after they first say it, back ends keep fewer than [USUAL_QUEUE] requests waiting,
 * and one that turns away more than it tolerates in a second falls over: its calls are cut, and another
 * instance is back [ABSENCE] later.
 */
internal class BrittleFleet(
    private val service: BrittleService = BrittleService(),
    zoneSizes: List<Int> = listOf(1, 1, 1),
    seed: Int = 5,
) {
    /** A request at a back end, of a [node] or of another caller. */
    private class Call(val node: Server?, val effect: DispatchEffect.Call?, val work: Duration)

    private fun Call.end(result: CallResult, speaker: BackEnd?) {
        if (node != null && effect != null) node.end(effect, result, speaker)
    }

    private inner class Replica(val backEnd: BackEnd, val speed: Double) {
        val running = HashSet<Call>()
        val queue = ArrayDeque<Call>()
        val rejections = ArrayDeque<Duration>()
        var isUp = true

        /** Ends this instance as if its host were lost; another one is back after a while. */
        fun stop() {
            if (isUp) end()
        }

        fun receive(call: Call) {
            when {
                !isUp -> schedule(NETWORK_TIME) { fail(call, CallFailure.ConnectFailed) }
                running.size < backEnd.slots -> run(call)
                queue.size < if (mayFall) service.brittleQueue else USUAL_QUEUE -> queue += call
                else -> reject(call)
            }
        }

        private fun run(call: Call) {
            running += call
            schedule(call.work / speed) { if (running.remove(call)) complete(call) }
        }

        private fun complete(call: Call) {
            schedule(NETWORK_TIME) { call.end(CallResult.Answered(200), backEnd) }
            queue.removeFirstOrNull()?.let(::run)
        }

        private fun reject(call: Call) {
            if (mayFall) rejected++
            rejections += fleet.now
            while (fleet.now - rejections.first() >= 1.seconds) rejections.removeFirst()
            schedule(NETWORK_TIME) { fail(call, CallFailure.Declined(503), backEnd) }
            if (mayFall && rejections.size > service.tolerance) fall()
        }

        private fun fall() {
            falls += fleet.now
            end()
        }

        private fun end() {
            isUp = false
            (running + queue).forEach { schedule(NETWORK_TIME) { fail(it, CallFailure.Truncated) } }
            running.clear()
            queue.clear()
            schedule(DELISTING_TIME) { list() }
            schedule(ABSENCE) {
                val successor = Replica(backEnd.copy(incarnation = successorOf(backEnd)), speed)
                replicas[replicas.indexOf(this)] = successor
                list()
            }
        }

        private fun fail(call: Call, failure: CallFailure, speaker: BackEnd? = null): Unit =
            call.end(CallResult.Failed(failure, DeliveryProgress.None), speaker)
    }

    val fleet = SimulatedFleet(zoneSizes)
    private val random = Random(seed)
    private val replicas =
        service.speeds
            .mapIndexed { i, speed -> Replica(backEnd("r$i", incarnation = 1, slots = service.slots), speed) }
            .toMutableList()
    private val servers = LinkedHashMap<NodeId, Server>()
    private var lastNumber = 0L
    private var brittleFrom: Duration? = null
    private val mayFall: Boolean get() = brittleFrom?.let { fleet.now >= it + service.contactTime } ?: false

    /** When back ends fell over. */
    val falls = ArrayList<Duration>()

    /** The requests that back ends have turned away since they may fall. */
    var rejected = 0
        private set

    /** The requests that got a response, and what became of the others. */
    val answered = HashSet<Long>()
    val outcomes = HashMap<Long, Outcome>()

    /** What the nodes reported of brittle back ends, with their ids. */
    val changes = ArrayList<Pair<NodeId, BrittlenessChange>>()

    init {
        fleet.start()
        fleet.nodes.forEach { addServer(it) }
        fleet.runUntil(5.seconds)
    }

    private fun successorOf(backEnd: BackEnd) = Incarnation(backEnd.incarnation.number + 1_000)

    private fun schedule(delay: Duration, run: () -> Unit): Unit = fleet.schedule(delay, run)

    private fun list(): Unit = servers.values.forEach { it.list() }

    /** Connects the deciders that serve requests to a node that has started. */
    fun addServer(node: SimulatedFleet.SimulatedNode) {
        servers[node.id] = Server(node)
    }

    /** Restarts the process of the node with [id] and connects the deciders that serve requests to it. */
    fun restart(id: NodeId) {
        fleet.restart(id)
        addServer(fleet.node(id.text))
    }

    /** Lets other callers than the nodes send [perSecond] requests a second for [duration]. */
    fun addOtherCallers(perSecond: Double, duration: Duration) {
        val end = fleet.now + duration

        fun next() {
            replicas.random(random).receive(Call(null, null, service.work))
            if (fleet.now < end) schedule((-ln(1 - random.nextDouble()) / perSecond).seconds, ::next)
        }
        next()
    }

    /** Ends the instance of the back end with [index] for a while, which is no fall. */
    fun stopReplica(index: Int): Unit = replicas[index].stop()

    /** Ends the process of one node for good. */
    fun removeNode() {
        val node = fleet.nodes.removeAt(0)
        node.running = false
    }

    fun turnBrittle() {
        brittleFrom = fleet.now
    }

    fun turnSturdy() {
        brittleFrom = null
    }

    /** Sends [load] times what the back ends complete, for [duration], through the nodes that [choose] returns. */
    fun serve(
        duration: Duration,
        load: Double,
        choose: (List<SimulatedFleet.SimulatedNode>) -> SimulatedFleet.SimulatedNode = { it.random(random) },
    ): LongRange {
        val first = lastNumber + 1
        val end = fleet.now + duration
        while (true) {
            fleet.runUntil(fleet.now + (-ln(1 - random.nextDouble()) / (load * service.capacity)).seconds)
            if (fleet.now >= end) return first..lastNumber
            send(choose(fleet.nodes.filter { it.running }))
        }
    }

    private fun send(node: SimulatedFleet.SimulatedNode) {
        val template = admitted(CallKind.Idempotent, ++lastNumber)
        val now = at(fleet.now)
        val request =
            template.copy(submission = template.submission.copy(arrivedAt = now), deadline = now + DEADLINE)
        servers.getValue(node.id).route(RoutingEvent.RequestAdmitted(request))
    }

    inner class Server(private val node: SimulatedFleet.SimulatedNode) {
        private val routing = Routing(RetryLimits(0.2, 50, 10.seconds))
        private val dispatch = Dispatch()

        init {
            node.onEffect = ::observe
            list()
            tick()
        }

        private fun tick() {
            if (!node.running) return
            route(RoutingEvent.ReportDue)
            route(RoutingEvent.Sweep)
            schedule(500.milliseconds, ::tick)
        }

        fun list(): Unit = route(RoutingEvent.BackEndsListed(replicas.filter { it.isUp }.map { it.backEnd }))

        fun route(event: RoutingEvent) {
            if (node.running) routing.decide(event, at(fleet.now)).forEach(::execute)
        }

        fun end(call: DispatchEffect.Call, result: CallResult, speaker: BackEnd?) {
            if (!node.running) return
            if (speaker != null) hear(speaker)
            if (result is CallResult.Answered) answered += call.admitted.ticket.number
            dispatch
                .decide(DispatchEvent.CallEnded(call.admitted.ticket, call.attempt, result), at(fleet.now))
                .forEach(::execute)
        }

        private fun hear(speaker: BackEnd) {
            val statement =
                if (brittleFrom !=
                    null
                ) {
                    BrittlenessStatement.Brittle(service.tolerance)
                } else {
                    BrittlenessStatement.Sturdy
                }
            route(RoutingEvent.BrittlenessStated(speaker.key, statement))
        }

        private fun observe(effect: MembershipEffect) {
            when (effect) {
                is MembershipEffect.UpdateNodeCount ->
                    route(RoutingEvent.NodeCountUpdated(effect.nodeCount, effect.rank))
                is MembershipEffect.ObserveFindings ->
                    route(RoutingEvent.FindingsReceived(effect.findings, effect.asOf))
                else -> Unit
            }
        }

        private fun execute(effect: RoutingEffect) {
            when (effect) {
                is RoutingEffect.Assign ->
                    dispatch
                        .decide(DispatchEvent.Assigned(effect.admitted, effect.attempt, effect.backEnd), at(fleet.now))
                        .forEach(::execute)
                is RoutingEffect.Conclude -> {
                    dispatch.decide(DispatchEvent.Concluded(effect.admitted.ticket), at(fleet.now))
                    conclude(effect.admitted, effect.outcome)
                }
                is RoutingEffect.ShareFindings -> node.decide(MembershipEvent.FindingsUpdated(effect.findings))
                is RoutingEffect.SweepAt ->
                    schedule((effect.time - at(fleet.now)).coerceAtLeast(Duration.ZERO)) { route(RoutingEvent.Sweep) }
                is RoutingEffect.BrittlenessChanged -> changes += node.id to effect.change
                else -> Unit
            }
        }

        private fun execute(effect: DispatchEffect) {
            when (effect) {
                is DispatchEffect.Call -> call(effect)
                is DispatchEffect.Conclude -> conclude(effect.admitted, effect.outcome)
                is DispatchEffect.Release ->
                    route(
                        RoutingEvent.CallReleased(
                            effect.ticket,
                            effect.instance,
                            effect.health,
                            effect.isError,
                            effect.room,
                        ),
                    )
                is DispatchEffect.Retry ->
                    route(
                        RoutingEvent.RetryRequested(
                            effect.admitted,
                            effect.attempt,
                            effect.excluded,
                            effect.fallbackOutcome,
                        ),
                    )
                else -> Unit
            }
        }

        private fun call(effect: DispatchEffect.Call) {
            val work = service.work * (0.5 + random.nextDouble())
            val call = Call(this, effect, work)
            val replica = replicas.firstOrNull { it.backEnd.key == effect.backEnd.key }
            schedule(NETWORK_TIME) {
                if (replica != null) {
                    replica.receive(call)
                } else {
                    end(effect, CallResult.Failed(CallFailure.ConnectFailed, DeliveryProgress.None), null)
                }
            }
        }

        private fun conclude(admitted: AdmittedRequest, outcome: Outcome) {
            outcomes[admitted.ticket.number] = outcome
        }
    }

    companion object {
        val ABSENCE = 3.seconds
        val DELISTING_TIME = 1.seconds
        val NETWORK_TIME = 2.milliseconds
        val DEADLINE = 1.5.seconds
        const val USUAL_QUEUE = 8
    }
}
