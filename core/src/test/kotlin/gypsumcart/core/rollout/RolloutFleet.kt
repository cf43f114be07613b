package gypsumcart.core.rollout

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallKind
import gypsumcart.core.FencingToken
import gypsumcart.core.LEDGER
import gypsumcart.core.NodeId
import gypsumcart.core.OrderNumber
import gypsumcart.core.RolloutLimits
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.membership.MembershipEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.SimulatedFleet
import gypsumcart.core.membership.SimulatedNetwork
import gypsumcart.core.route
import gypsumcart.core.routing.HealthSignal
import gypsumcart.core.routing.RetryLimits
import gypsumcart.core.routing.Routing
import gypsumcart.core.routing.RoutingEffect
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.routing.key
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val V1 = BackEndVersion("v1")
internal val V2 = BackEndVersion("v2")
internal val V3 = BackEndVersion("v3")
internal val LIMITS = RolloutLimits(exposedShare = 0.1, exposedExtra = 50, rollbackTime = 5.seconds)

/** Describes a call to a back end: what it needs to decide whether its response is bad. */
internal class SimulatedCall(
    val version: BackEndVersion?,
    val prefix: String,
    val at: Duration,
    val concurrent: Int,
)

/** Describes a response. */
internal class SimulatedResponse(val time: Duration, val failed: Boolean = false)

/**
 * Runs the membership, routing and roll-out deciders of many nodes in virtual time, before back ends of two versions.
 *
 * @param respond decides on the response of a back end
 */
internal class RolloutFleet(
    private val seed: Long,
    zoneSizes: List<Int> = listOf(10, 9, 9),
    private val backEndCount: Int = 12,
    private val requestsPerSecond: Int = 240,
    network: SimulatedNetwork = SimulatedNetwork(lossRate = 0.02, repeatRate = 0.02),
    private val respond: (SimulatedCall, Random) -> SimulatedResponse = { _, random -> usual(random) },
) {
    class Sent(val at: Duration, val version: BackEndVersion?, val node: NodeId)

    val fleet = SimulatedFleet(zoneSizes, network, seed)
    private val random = Random(seed)
    private val servers = LinkedHashMap<NodeId, Server>()
    private val inFlight = HashMap<BackEnd, Int>()
    private var lastNumber = 0L
    private var storeVersion = 100L
    private var order: RolloutOrder? = null
    private var holder: NodeId? = null
    private var lastToken = 0L
    var backEnds = List(backEndCount) { version("old-$it", V1) }
        private set

    /** The row of the roll-out in the store, and all of its stages with the time at which they were written. */
    var row: RolloutRow? = null
        private set
    val stages = ArrayList<Pair<Duration, RolloutRow>>()
    val sent = ArrayList<Sent>()
    val badAnswers = ArrayList<Duration>()

    /** The calls that were in progress on old back ends when these stopped, and those that were sent there later. */
    var cutCalls = 0
        private set
    private val stopped = HashSet<BackEndVersion?>()

    /** What becomes of the next writes of rows; applied and answered if empty. */
    val writeFaults = ArrayDeque<WriteFault>()
    var orderedAt = Duration.ZERO
        private set

    enum class WriteFault { ANSWER_LOST, APPLIED_LATE }

    init {
        fleet.start()
        fleet.nodes.forEach { addServer(it) }
        fleet.runUntil(6.seconds)
        elect(fleet.nodes.first().id)
        arrive()
    }

    val state: RolloutStage? get() = row?.stage

    fun run(duration: Duration): Unit = fleet.runUntil(fleet.now + duration)

    /** Runs until the stage is final or [limit] has passed. */
    fun runToEnd(limit: Duration) {
        val end = fleet.now + limit
        while (fleet.now < end && state?.isFinal != true) run(100.milliseconds)
    }

    fun order(target: BackEndVersion, duration: Duration, bootTime: Duration? = 1.seconds) {
        order = RolloutOrder(LEDGER, target, duration, OrderNumber(++storeVersion))
        orderedAt = fleet.now
        stopped -= target
        if (bootTime != null) {
            fleet.schedule(bootTime) { list(backEnds + List(backEndCount) { version("new-$target-$it", target) }) }
        }
    }

    fun list(listed: List<BackEnd>) {
        backEnds = listed
        servers.values.forEach { server -> fleet.schedule(random.nextInt(1, 200).milliseconds) { server.list() } }
    }

    fun holder(): NodeId = checkNotNull(holder)

    /** Kills the node; another one holds the lease from 4 s later on if it held it. */
    fun kill(id: NodeId) {
        fleet.node(id.text).running = false
        if (id == holder) replaceHolder()
    }

    /** Lets another node hold the lease 4 s from now; the holder does not notice before [noticedAfter]. */
    fun replaceHolder(noticedAfter: Duration = 3.seconds) {
        val old = holder()
        holder = null
        fleet.schedule(noticedAfter) { servers.getValue(old).decide(RolloutEvent.HoldingChanged(null)) }
        fleet.schedule(4.seconds) { elect(fleet.nodes.first { it.running && it.id != old }.id) }
    }

    private fun elect(id: NodeId) {
        holder = id
        servers.getValue(id).decide(RolloutEvent.HoldingChanged(FencingToken(++lastToken)))
    }

    fun addServer(node: SimulatedFleet.SimulatedNode) {
        servers[node.id] = Server(node)
    }

    private fun arrive() {
        fleet.schedule((1.seconds / requestsPerSecond) * (random.nextDouble() * 2)) {
            val server = servers.values.filter { it.node.running }.random(random)
            server.admit(++lastNumber)
            arrive()
        }
    }

    private fun version(id: String, version: BackEndVersion) = backEnd(id, slots = 40).copy(version = version)

    /** Applies a write to the row if it has the expected version. */
    private fun apply(write: RolloutEffect.Write): RolloutWriteResult {
        val current = row
        if ((current?.version ?: 0) != write.expectedVersion) return RolloutWriteResult.Outdated(current)
        val written = write.row.copy(version = ++storeVersion)
        row = written
        stages += fleet.now to written
        if (written.stage == RolloutStage.Complete) stopOld(written.target)
        return RolloutWriteResult.Written(written.version)
    }

    private fun stopOld(target: BackEndVersion) {
        stopped += backEnds.map { it.version }.filter { it != target }
        cutCalls += inFlight.filterKeys { it.version in stopped }.values.sum()
        list(backEnds.filter { it.version == target })
    }

    /** The number of requests from the order to the end of its time. */
    fun requestsUntil(end: Duration): Int = sent.count { it.at in orderedAt..end }

    fun exposedUntil(end: Duration, version: BackEndVersion = V2): Int =
        sent.count { it.at in orderedAt..end && it.version == version }

    inner class Server(val node: SimulatedFleet.SimulatedNode) {
        private val rollout = Rollout(node.key, LIMITS)
        private val routing = Routing(RetryLimits(0.2, 50, 10.seconds))
        private var readAt = Duration.ZERO
        private var nodeCount = 1

        init {
            node.onEffect = ::observe
            decide(RolloutEvent.ServicesConfigured(setOf(LEDGER)))
            order?.let { decide(RolloutEvent.Ordered(it)) }
            list()
            every(250.milliseconds) { decide(RolloutEvent.Tick) }
            every(500.milliseconds) { route(RoutingEvent.ReportDue) }
            every(100.milliseconds) { readStore() }
        }

        private fun every(period: Duration, action: () -> Unit) {
            fun next() {
                if (servers[node.id] !== this || !node.running) return
                action()
                fleet.schedule(period, ::next)
            }
            fleet.schedule(period * random.nextDouble()) { next() }
        }

        fun list() {
            decide(RolloutEvent.BackEndsListed(backEnds))
            route(RoutingEvent.BackEndsListed(backEnds))
        }

        private fun readStore() {
            if (!node.reachesStore) return
            order?.let { decide(RolloutEvent.Ordered(it)) }
            if (fleet.now - readAt < (if (node.linked) 4.seconds else 700.milliseconds)) return
            readAt = fleet.now
            row?.let { decide(RolloutEvent.RowRead(it.copy(elapsed = fleet.now - orderedAt))) }
            decide(RolloutEvent.RowsConfirmed)
        }

        fun decide(event: RolloutEvent) {
            if (node.running) rollout.decide(event, at(fleet.now)).forEach(::execute)
        }

        private fun execute(effect: RolloutEffect) {
            when (effect) {
                is RolloutEffect.Rule -> route(RoutingEvent.VersionsRuled(effect.rules, effect.revision))
                is RolloutEffect.Share -> node.decide(MembershipEvent.RolloutsUpdated(effect.reports, effect.isUrgent))
                is RolloutEffect.Write -> fleet.schedule(NETWORK_TIME) { write(effect) }
                is RolloutEffect.Read -> fleet.schedule(NETWORK_TIME) { read(effect) }
                is RolloutEffect.StageChanged, is RolloutEffect.Condemned -> Unit
            }
        }

        private fun write(effect: RolloutEffect.Write) {
            if (!node.reachesStore) return end(effect, RolloutWriteResult.Unknown)
            when (writeFaults.removeFirstOrNull()) {
                null -> end(effect, apply(effect))
                WriteFault.ANSWER_LOST -> {
                    apply(effect)
                    fleet.schedule(1.seconds) { end(effect, RolloutWriteResult.Unknown) }
                }
                WriteFault.APPLIED_LATE -> {
                    fleet.schedule(1.seconds) { end(effect, RolloutWriteResult.Unknown) }
                    fleet.schedule(3.seconds) { apply(effect) }
                }
            }
        }

        private fun end(effect: RolloutEffect.Write, result: RolloutWriteResult) {
            decide(RolloutEvent.WriteEnded(effect.row, result))
        }

        private fun read(effect: RolloutEffect.Read) {
            decide(RolloutEvent.ReadEnded(effect.service, row.takeIf { node.reachesStore }))
        }

        private fun observe(effect: MembershipEffect) {
            when (effect) {
                is MembershipEffect.ObserveRollouts ->
                    decide(RolloutEvent.ReportsReceived(effect.reports, effect.live))
                is MembershipEffect.UpdateNodeCount -> {
                    if (effect.nodeCount == nodeCount) return
                    nodeCount = effect.nodeCount
                    route(RoutingEvent.NodeCountUpdated(effect.nodeCount, effect.rank))
                }
                else -> Unit
            }
        }

        private fun route(event: RoutingEvent) {
            if (!node.running) return
            routing.decide(event, at(fleet.now)).forEach { effect ->
                when (effect) {
                    is RoutingEffect.Assign -> call(effect)
                    is RoutingEffect.VersionsUsed -> decide(RolloutEvent.VersionsUsed(effect.uses))
                    else -> Unit
                }
            }
        }

        fun admit(number: Long) {
            val template = admitted(CallKind.Idempotent, number)
            val prefix = PREFIXES[(number % PREFIXES.size).toInt()]
            val arrivedAt = at(fleet.now)
            route(
                RoutingEvent.RequestAdmitted(
                    template.copy(
                        submission = template.submission.copy(arrivedAt = arrivedAt),
                        route = route(CallKind.Idempotent, prefix = prefix),
                        deadline = arrivedAt + 5.seconds,
                    ),
                ),
            )
        }

        private fun call(effect: RoutingEffect.Assign) {
            val backEnd = effect.backEnd
            val prefix = effect.admitted.route.prefix
            sent += Sent(fleet.now, backEnd.version, node.id)
            if (backEnd.version in stopped) cutCalls++
            inFlight.merge(backEnd, 1, Int::plus)
            val load = inFlight.getValue(backEnd)
            val response = respond(SimulatedCall(backEnd.version, prefix, fleet.now - orderedAt, load), random)
            fleet.schedule(response.time) { end(effect, response) }
        }

        private fun end(effect: RoutingEffect.Assign, response: SimulatedResponse) {
            val backEnd = effect.backEnd
            inFlight.merge(backEnd, -1, Int::plus)
            if (!node.running) return
            val isBad = response.failed || response.time > SLOW
            if (isBad && backEnd.version != V1) badAnswers += fleet.now
            val sign = if (response.failed) CallSign.Failed else CallSign.Answered(response.time)
            val route = effect.admitted.route
            val isNew = backEnd.version == order?.target
            val call = ObservedCall(route.key, route.targetLatency, backEnd.key, isNew, sign)
            if (state?.isFinal != true && order != null) decide(RolloutEvent.CallObserved(LEDGER, call))
            if (!isNew) decide(RolloutEvent.OldCallEnded(LEDGER, response.time))
            route(RoutingEvent.CallReleased(effect.admitted.ticket, backEnd.key, HealthSignal.HEALTHY))
        }
    }

    companion object {
        val NETWORK_TIME = 5.milliseconds
        val SLOW = 450.milliseconds
        val PREFIXES = listOf("/a/", "/a/", "/a/", "/b/", "/b/", "/c/")

        /** Returns a sound response, one of fifty of which takes several times as long as most. */
        fun usual(random: Random): SimulatedResponse =
            SimulatedResponse((if (random.nextInt(50) == 0) 350 else random.nextInt(60, 160)).milliseconds)

        /** Returns a response that fails or is slow. */
        fun bad(random: Random, slow: Boolean): SimulatedResponse =
            if (slow) {
                SimulatedResponse(
                    random.nextInt(480, 700).milliseconds,
                )
            } else {
                SimulatedResponse(50.milliseconds, true)
            }
    }
}
