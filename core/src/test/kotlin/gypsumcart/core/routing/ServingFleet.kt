package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.Outcome
import gypsumcart.core.Prompt
import gypsumcart.core.PromptPart
import gypsumcart.core.PromptPartId
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.directory.BackEndDirectory
import gypsumcart.core.directory.DirectoryEffect
import gypsumcart.core.directory.DirectoryEvent
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DeliveryProgress
import gypsumcart.core.dispatch.Dispatch
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.membership.MembershipEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.SimulatedFleet
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns a prompt of [shared] parts and one of its own. */
internal fun promptOf(vararg shared: String): Prompt {
    val parts = (shared.toList() + "own-${ownParts++}").map { PromptPart(PromptPartId(it), 100) }
    return Prompt(parts.size * 100, 10, null, parts)
}

private var ownParts = 0

/** Describes how the request with a ticket ended: with a response, with [outcome], or not yet. */
internal class Ending(val answered: Boolean, val outcome: Outcome?)

/** Describes that [engine] asked [node] at [from] to send nothing until [until]. */
internal data class Pause(val node: NodeId, val engine: BackEndId, val from: Duration, val until: Duration)

/**
 * Runs the routing, dispatch and membership deciders of several nodes before engines, in virtual time.
 *
 * An engine starts to respond [START_TIME] after it was called. It crashes instead, with all of its calls, if [isDeadly]
 * holds for the prompt, and is back [ABSENCE] later as another instance.
 */
internal class ServingFleet(zoneSizes: List<Int> = listOf(2, 1, 1), engines: Int = 8) {
    private class Call(val node: Server, val effect: DispatchEffect.Call)

    val fleet = SimulatedFleet(zoneSizes)
    private var backEnds = List(engines) { backEnd("e$it", incarnation = 1, slots = 64) }
    private val calls = LinkedHashMap<Pair<InstanceKey, Long>, Call>()
    private val servers = HashMap<NodeId, Server>()
    private var lastNumber = 0L
    val endings = HashMap<Long, Ending>()

    /** The prompts that engines received, with the time since the start. */
    val received = ArrayList<Pair<Duration, Prompt>>()
    val crashTimes = ArrayList<Duration>()
    var isDeadly: (Prompt) -> Boolean = { false }

    /** The limit that an engine states in its responses, or null if it states none. */
    var limitOf: (BackEndId) -> Double? = { null }

    /** The engines that state in their responses that they are about to stop. */
    val leaving = HashSet<InstanceKey>()

    /** When each node first received such a statement from an engine. */
    val departures = HashMap<Pair<NodeId, InstanceKey>, Duration>()

    /** Returns the pause for which an engine asks when it turns a call away, or null if it accepts the call. */
    var pauseOf: (InstanceKey) -> Duration? = { null }

    /** The pauses for which engines asked nodes, with the time since the start. */
    val pauses = ArrayList<Pause>()

    /** The engines that received calls, with the node and the time since the start. */
    val calledEngines = ArrayList<Triple<Duration, BackEndId, NodeId>>()
    private val random = Random(3)

    init {
        fleet.start()
        fleet.nodes.forEach { addServer(it) }
        run(5.seconds)
    }

    /** Connects the deciders that serve requests to a node that has started. */
    fun addServer(node: SimulatedFleet.SimulatedNode) {
        servers[node.id] = Server(node)
    }

    fun engine(id: String): BackEnd = backEnds.first { it.id.text == id }

    fun eachServer(action: Server.() -> Unit): Unit = servers.values.forEach(action)

    fun server(name: String): Server = servers.getValue(NodeId(name))

    fun run(duration: Duration): Unit = fleet.runUntil(fleet.now + duration)

    /** Sends a request through the node named [node] and returns its number. */
    fun send(node: String, prompt: Prompt, kind: CallKind = ONCE): Long {
        val number = ++lastNumber
        val template = admitted(kind, number, prompt, maxAttempts = if (kind == ONCE) 1 else 3)
        val arrivedAt = at(fleet.now)
        server(node).route(
            RoutingEvent.RequestAdmitted(
                template.copy(
                    submission = template.submission.copy(arrivedAt = arrivedAt),
                    deadline = arrivedAt + 5.seconds,
                ),
            ),
        )
        return number
    }

    /** Sends [perSecond] requests a second through all nodes for [duration]. */
    fun serve(duration: Duration, perSecond: Int = 40): List<Long> {
        val sent = ArrayList<Long>()
        val end = fleet.now + duration
        while (fleet.now < end) {
            val node = fleet.nodes.filter { it.running }.random(random)
            sent += send(node.id.text, promptOf("system", "subject-${random.nextInt(40)}"))
            run(1.seconds / perSecond)
        }
        return sent
    }

    fun answered(requests: List<Long>): Int = requests.count { endings[it]?.answered ?: false }

    /** Replaces the entry of the engine named [id] in the registry. */
    fun relist(id: String, change: (BackEnd) -> BackEnd) {
        backEnds = backEnds.map { if (it.id.text == id) change(it) else it }
        servers.values.forEach { it.list() }
    }

    /** Crashes the engines that [choose] returns, at the same moment. */
    fun crash(choose: (List<BackEnd>) -> List<BackEnd>) {
        val chosen = choose(backEnds)
        val lost = calls.filterKeys { (instance, _) -> chosen.any { it.key == instance } }
        backEnds = backEnds - chosen.toSet()
        crashTimes += chosen.map { fleet.now }
        calls -= lost.keys
        lost.values.forEach { it.node.end(it.effect, CallResult.Failed(CallFailure.Truncated, DeliveryProgress.None)) }
        fleet.schedule(ABSENCE) {
            backEnds = backEnds + chosen.map { it.copy(incarnation = Incarnation(lastNumber + 1_000)) }
            servers.values.forEach { it.list() }
        }
        fleet.schedule(1.seconds) { servers.values.forEach { it.list() } }
    }

    inner class Server(private val node: SimulatedFleet.SimulatedNode) {
        private val routing = Routing(RetryLimits(0.2, 50, 10.seconds))
        private val dispatch = Dispatch()
        val directory = BackEndDirectory(expiryGracePeriod = 2.2.seconds)
        val quarantined = HashSet<String>()
        val limited = HashSet<InstanceKey>()

        init {
            node.onEffect = ::observe
            list()
            tick()
        }

        private fun tick() {
            if (!node.running) return
            route(RoutingEvent.ReportDue)
            route(RoutingEvent.Sweep)
            fleet.schedule(500.milliseconds, ::tick)
        }

        private fun sweep() {
            if (node.running) route(RoutingEvent.Sweep)
        }

        fun list(): Unit = list(DirectoryEvent.Snapshot(backEnds))

        fun list(event: DirectoryEvent): Unit =
            directory.decide(event, at(fleet.now)).forEach {
                when (it) {
                    is DirectoryEffect.Publish -> route(RoutingEvent.BackEndsListed(it.backEnds))
                }
            }

        fun route(event: RoutingEvent): Unit = routing.decide(event, at(fleet.now)).forEach(::execute)

        fun end(call: DispatchEffect.Call, result: CallResult) {
            dispatch
                .decide(
                    DispatchEvent.CallEnded(call.admitted.ticket, call.attempt, result),
                    at(fleet.now),
                ).forEach {
                    when (it) {
                        is DispatchEffect.Call -> call(it)
                        is DispatchEffect.Conclude -> conclude(it.admitted, it.outcome)
                        is DispatchEffect.Release -> route(RoutingEvent.CallReleased(it.ticket, it.instance, it.health))
                        is DispatchEffect.Reassign -> error("no call is withheld in this simulation")
                        is DispatchEffect.Retry ->
                            route(RoutingEvent.RetryRequested(it.admitted, it.attempt, it.excluded, it.fallbackOutcome))
                        is DispatchEffect.Abort, is DispatchEffect.ReportDurations -> error("no node stops")
                        is DispatchEffect.EndCall -> error("no call is overdue")
                    }
                }
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
                        .forEach { if (it is DispatchEffect.Call) call(it) }
                is RoutingEffect.Conclude -> {
                    dispatch.decide(DispatchEvent.Concluded(effect.admitted.ticket), at(fleet.now))
                    conclude(effect.admitted, effect.outcome)
                }
                is RoutingEffect.ShareFindings -> node.decide(MembershipEvent.FindingsUpdated(effect.findings))
                is RoutingEffect.QuarantineChanged ->
                    when (val change = effect.change) {
                        is QuarantineChange.Started -> quarantined += change.part.text
                        is QuarantineChange.Ended -> quarantined -= change.part.text
                    }
                is RoutingEffect.SweepAt ->
                    fleet.schedule((effect.time - at(fleet.now)).coerceAtLeast(Duration.ZERO)) { sweep() }
                is RoutingEffect.LimitChanged ->
                    if (effect.requestsPerSecond == null) limited -= effect.instance else limited += effect.instance
                is RoutingEffect.ReportLoad, is RoutingEffect.VersionsUsed -> Unit
                is RoutingEffect.EndCall, is RoutingEffect.StandingChanged -> error("capacity is not learned here")
                is RoutingEffect.BrittlenessChanged -> error("no engine is brittle here")
            }
        }

        private fun conclude(admitted: AdmittedRequest, outcome: Outcome) {
            endings[admitted.ticket.number] = Ending(answered = false, outcome)
        }

        private fun call(effect: DispatchEffect.Call) {
            val instance = effect.backEnd.key
            val number = effect.admitted.ticket.number
            if (backEnds.none { it.key == instance }) {
                end(effect, CallResult.Failed(CallFailure.ConnectFailed, DeliveryProgress.None))
                return
            }
            val prompt = checkNotNull(effect.admitted.submission.prompt)
            val pause = pauseOf(instance)
            if (pause != null) {
                calledEngines += Triple(fleet.now, instance.id, node.id)
                fleet.schedule(NETWORK_TIME) { turnAway(effect, pause) }
                return
            }
            received += fleet.now to prompt
            calledEngines += Triple(fleet.now, instance.id, node.id)
            calls[instance to number] = Call(this, effect)
            fleet.schedule(START_TIME) { if (instance to number in calls) start(effect, prompt) }
        }

        private fun turnAway(effect: DispatchEffect.Call, pause: Duration) {
            val instance = effect.backEnd.key
            pauses += Pause(node.id, instance.id, fleet.now, fleet.now + pause)
            route(RoutingEvent.PauseStated(instance, at(fleet.now + pause)))
            end(effect, CallResult.Failed(CallFailure.Declined(503), DeliveryProgress.None))
        }

        private fun stateLimit(instance: InstanceKey) {
            val limit = limitOf(instance.id)
            if (limit == null && instance !in limited) return
            val statement = limit?.let(LimitStatement::Limited) ?: LimitStatement.Unlimited
            route(RoutingEvent.LimitStated(instance, statement))
        }

        private fun start(effect: DispatchEffect.Call, prompt: Prompt) {
            val instance = effect.backEnd.key
            if (isDeadly(prompt)) {
                crash { listed -> listed.filter { it.key == instance } }
                return
            }
            val admitted = effect.admitted
            stateLimit(instance)
            if (instance in leaving) {
                departures.putIfAbsent(node.id to instance, fleet.now)
                list(DirectoryEvent.DepartureStated(instance))
            }
            route(RoutingEvent.FirstPieceReceived(admitted.ticket, admitted.service, instance, 0.1))
            fleet.schedule(START_TIME) {
                if (calls.remove(instance to admitted.ticket.number) != null) {
                    endings[admitted.ticket.number] = Ending(answered = true, null)
                    end(effect, CallResult.Answered(200))
                }
            }
        }
    }

    companion object {
        val ONCE = CallKind.Streamed(resumable = false, maxPause = 1.seconds)
        val RESUMABLE = CallKind.Streamed(resumable = true, maxPause = 1.seconds)
        val START_TIME = 100.milliseconds
        val NETWORK_TIME = 5.milliseconds
        val ABSENCE = 3.seconds
    }
}
