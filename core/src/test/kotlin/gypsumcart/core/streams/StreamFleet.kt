package gypsumcart.core.streams

import gypsumcart.core.Address
import gypsumcart.core.BackEndVersion
import gypsumcart.core.Incarnation
import gypsumcart.core.LEDGER
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.Outcome
import gypsumcart.core.RequestId
import gypsumcart.core.Ticket
import gypsumcart.core.ZoneName
import gypsumcart.core.at
import gypsumcart.core.membership.ExchangeId
import gypsumcart.core.membership.NodeKey
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the deciders of [nodeCount] nodes in four zones with one store in virtual time.
 *
 * Each node begins streams at the versions that it has heard of, and clients take them up at any node that runs. The
 * [oldCount] last nodes have no link to others, as in a build that knows none.
 */
internal class StreamFleet(
    private val nodeCount: Int,
    seed: Int,
    private val oldCount: Int = 0,
    versions: Set<BackEndVersion?> = setOf(V1, V2),
) {
    /** A stream whose first event came to the process [key] of [node]. */
    class Stream(
        val id: RequestId,
        val version: BackEndVersion?,
        val beganAt: MonotonicTime,
        val node: Node,
        val key: NodeKey,
    )

    /** A take-up; [result] is null until it is answered. */
    class TakeUp(val stream: Stream, val at: MonotonicTime, val node: Node) {
        var result: Result? = null
        var answeredAt: MonotonicTime? = null
        var reads = 0

        val wentOn: Boolean get() = result is Result.WentOn
    }

    sealed class Result {
        data class WentOn(val version: BackEndVersion?) : Result()

        data class Refused(val outcome: Outcome.NotRun) : Result()
    }

    /** A message between nodes. */
    class Sent(val from: Node, val to: Node, val message: StreamMessage)

    /** Blocks messages from the nodes of [zones] to the others, and those to them unless [isOneWay]. */
    class Cut(private val zones: Set<ZoneName>, private val isOneWay: Boolean) {
        fun blocks(from: Node, to: Node): Boolean =
            if (isOneWay) from.zone in zones && to.zone !in zones else (from.zone in zones) != (to.zone in zones)
    }

    inner class Node(val rank: Int) {
        val zone = ZoneName("zone-${rank % ZONES}")
        private val isOld = rank >= nodeCount - oldCount
        private lateinit var origins: StreamOrigins
        private var starts = 0L

        /** How long a message to this node takes to fail while it does not run. */
        private var failureTime = Duration.ZERO
        private var isLearning = false

        var isRunning = false
            private set
        lateinit var peer: StreamPeer
            private set
        val peerOrNull: StreamPeer? get() = peer.takeUnless { isOld }

        /** How long the node may take to hear of a change of the registry. */
        var maxFeedTime: Duration = MAX_FEED_TIME
        private var heard: Set<BackEndVersion?> = emptySet()

        fun start() {
            starts++
            isRunning = true
            isLearning = false
            peer = StreamPeer(NodeKey(NodeId("node-$rank"), Incarnation(starts)), Address("10.0.0.$rank", 1), zone)
            members += this
            origins = StreamOrigins(peer.key.takeUnless { isOld })
            hearNow()
            readVersions()
            later(random.nextInt(1_000).milliseconds) { tick() }
        }

        /** Ends the process; its streams break off, and its clients go to other nodes. */
        fun stop() {
            isRunning = false
            failureTime = if (random.nextBoolean()) FAILURE_TIME else Duration.ZERO
            val waiting = open.filterValues { it.node == this }
            open.keys -= waiting.keys
            takeUps -= waiting.values.toSet()
            val broken = live.filter { it.node == this }
            live -= broken.toSet()
            (broken + waiting.values.map { it.stream }).forEach { schedule(reactionTime()) { takeUp(it) } }
        }

        /** Schedules an action of this process. */
        fun later(delay: Duration, run: () -> Unit) {
            val start = starts
            schedule(delay) { if (isRunning && starts == start) run() }
        }

        private fun tick() {
            decide(StreamEvent.Tick)
            later(1.seconds) { tick() }
        }

        private fun readVersions() {
            callStore({ store.versions }) { versions ->
                if (versions == null) later(1.seconds) { readVersions() }
                versions?.let { stored(it) }
            }
        }

        fun hear() {
            later(upTo(maxFeedTime)) { hearNow() }
        }

        private fun hearNow() {
            heard = store.registered
            decide(listed(heard))
        }

        /** Learns the members within the time that a node may take to hear of them. */
        fun learnMembers() {
            if (isLearning) return
            isLearning = true
            later(upTo(MAX_FEED_TIME)) { learnMembersNow() }
        }

        fun learnMembersNow() {
            isLearning = false
            decide(StreamEvent.RankUpdated(members.size, members.count { it.rank < rank }))
            if (!isOld) decide(StreamEvent.PeersUpdated(members.mapNotNull { it.peerOrNull }.shuffled(random)))
        }

        fun hearOfStore(isCopy: Boolean) {
            if (isCopy) {
                later(upTo(MAX_FEED_TIME)) {
                    decide(StreamEvent.StoreRestored)
                    readVersions()
                }
            }
            later(upTo(MAX_FEED_TIME)) {
                decide(StreamEvent.RegistryChanged(!store.isAway))
                if (!store.isAway) hear()
            }
        }

        fun begin(life: Duration, breaksAfter: Duration?) {
            val stream = Stream(RequestId("s-${actionCount++}"), heard.random(random), now, this, peer.key)
            live += stream
            decide(StreamEvent.StreamBegan(StreamRecord(stream.id, LEDGER, stream.version)))
            if (breaksAfter != null && breaksAfter < life) {
                schedule(breaksAfter) { if (live.remove(stream)) takeUp(stream) }
            } else {
                later(life) { if (live.remove(stream)) decide(StreamEvent.StreamEnded(stream.id)) }
            }
        }

        fun decide(event: StreamEvent) {
            origins.decide(event, now).forEach(::execute)
        }

        private fun execute(effect: StreamEffect) {
            when (effect) {
                is StreamEffect.Route ->
                    answer(effect.admitted.ticket, Result.WentOn(listOf(effect).routedVersions().single()))

                is StreamEffect.Refuse -> answer(effect.admitted.ticket, Result.Refused(effect.outcome))

                is StreamEffect.WakeAt -> later(effect.time - now) { decide(StreamEvent.Tick) }

                is StreamEffect.ReadRecord -> {
                    open[effect.ticket]?.let { it.reads++ }
                    callStore({ store.read(effect.beganAs) }) {
                        StreamEvent.RecordRead(effect.ticket, it ?: RecordReadResult.Failed)
                    }
                }

                is StreamEffect.CheckVersions ->
                    callStore({ VersionCheck.Confirmed(mapOf(LEDGER to store.registered + store.versions)) }) {
                        StreamEvent.VersionsChecked(it ?: VersionCheck.Failed)
                    }

                is StreamEffect.WriteRecords -> {
                    writeTimes += now
                    callStore({ store += effect.records }) { StreamEvent.RecordsWritten(it != null) }
                }

                is StreamEffect.Send -> send(effect)

                is StreamEffect.Respond -> exchanges.remove(effect.exchange)?.invoke(effect)

                is StreamEffect.WriteVersions ->
                    callStore({ store.versions = effect.versions }) {
                        StreamEvent.VersionsWritten(effect.service, effect.versions, it != null)
                    }
            }
        }

        private fun send(effect: StreamEffect.Send) {
            val target = nodesById.getValue(effect.peer.key.node)
            sent += Sent(this, target, effect.message)
            val exchange = ExchangeId(sent.size.toLong())
            exchanges[exchange] = { answer ->
                if (cut?.blocks(target, this) == true) {
                    endMessage(effect.peer.key, StreamMessageResult.Failed, FAILURE_TIME)
                } else {
                    val result = StreamMessageResult.Answered(answer.records, answer.versions)
                    endMessage(effect.peer.key, result, upTo(HALF_TRIP))
                }
            }
            schedule(upTo(HALF_TRIP)) {
                when {
                    cut?.blocks(this, target) == true ->
                        endMessage(effect.peer.key, StreamMessageResult.Failed, FAILURE_TIME)

                    !target.isRunning || target.peer.key != effect.peer.key ->
                        endMessage(effect.peer.key, StreamMessageResult.Failed, target.failureTime)

                    else -> target.decide(StreamEvent.MessageReceived(exchange, effect.message))
                }
            }
        }

        private fun endMessage(target: NodeKey, result: StreamMessageResult, delay: Duration) {
            later(delay) { decide(StreamEvent.MessageEnded(target, result)) }
        }

        /** Calls the store, which acts halfway through the call; the result is null if it is away. */
        private fun <T : Any> callStore(act: () -> T, toEvent: (T?) -> StreamEvent?) {
            val start = starts
            storeCalls++
            schedule(upTo(store.maxCallTime / 2)) {
                val result = if (store.isAway) null else act()
                schedule(upTo(store.maxCallTime / 2)) {
                    if (isRunning && starts == start) toEvent(result)?.let(::decide)
                }
            }
        }
    }

    private class Action(val at: MonotonicTime, val number: Int, val run: () -> Unit)

    private val random = Random(seed)
    private val actions = PriorityQueue<Action>(compareBy({ it.at }, { it.number }))
    private var actionCount = 0
    private val open = LinkedHashMap<Ticket, TakeUp>()
    private val live = LinkedHashSet<Stream>()
    private val exchanges = HashMap<ExchangeId, (StreamEffect.Respond) -> Unit>()

    /** The nodes that count as live, which those are for a while that were killed. */
    private val members = LinkedHashSet<Node>()

    var now: MonotonicTime = at(0.seconds)
        private set
    val store = FleetStore(versions)
    val nodes: List<Node> = List(nodeCount) { Node(it) }
    private val nodesById = nodes.associateBy { NodeId("node-${it.rank}") }
    private val running get() = nodes.filter { it.isRunning }

    /** What keeps nodes from each other, or null. */
    var cut: Cut? = null
    val takeUps = ArrayList<TakeUp>()
    val sent = ArrayList<Sent>()
    val writeTimes = ArrayList<MonotonicTime>()
    var storeCalls = 0
        private set
    var streamCount = 0
        private set

    /** The nodes that keep records for others. */
    val recorders: List<Node>
        get() = members.mapNotNull { it.peerOrNull }.chooseRecorders().map { nodesById.getValue(it.key.node) }

    /**
     * Begins [perSecond] streams at each node for [duration].
     *
     * They last for [life], unless they break off after [breaksAfter], or with their nodes, and are taken up.
     */
    fun run(
        perSecond: Int,
        duration: Duration,
        life: (Random) -> Duration = { 1.minutes },
        breaksAfter: (Random) -> Duration?,
    ) {
        nodes.forEach { it.start() }
        nodes.forEach { it.learnMembersNow() }
        val millis = duration.inWholeMilliseconds.toInt()
        for (node in nodes) {
            repeat(perSecond * millis / 1_000) {
                schedule(random.nextInt(millis).milliseconds) { begin(node, life(random), breaksAfter(random)) }
            }
        }
        while (now < at(duration + 5.seconds)) {
            val action = actions.poll() ?: break
            now = action.at
            action.run()
        }
    }

    fun schedule(delay: Duration, run: () -> Unit) {
        actions += Action(now + delay.coerceAtLeast(Duration.ZERO), actionCount++, run)
    }

    /** Kills [lost], which count as live for a while; they start again up to [maxRestartTime] later if it is given. */
    fun kill(lost: List<Node>, maxRestartTime: Duration? = null) {
        lost.forEach { it.stop() }
        schedule(LAPSE_TIME) {
            members -= lost.filterNot { it.isRunning }.toSet()
            announceMembers()
        }
        if (maxRestartTime != null) lost.forEach { schedule(upTo(maxRestartTime)) { restart(it) } }
    }

    /** Registers back ends of [version]; nodes hear of them one after the other. */
    fun release(version: BackEndVersion) {
        store.registered += version
        running.forEach { it.hear() }
    }

    /** Has the store end calls without an effect. */
    fun loseStore() {
        store.isAway = true
        running.forEach { it.hearOfStore(isCopy = false) }
    }

    /** Has the store respond again, with the content of its copy if [isCopy]. */
    fun returnStore(isCopy: Boolean) {
        val registered = store.registered
        store.isAway = false
        if (isCopy) {
            store.becomeCopy()
            schedule(upTo(MAX_REGISTRATION_TIME)) { registered.filterNotNull().forEach(::release) }
        }
        running.forEach { it.hearOfStore(isCopy) }
    }

    private fun restart(node: Node) {
        node.start()
        node.learnMembersNow()
        announceMembers()
    }

    private fun announceMembers() {
        running.forEach { it.learnMembers() }
    }

    private fun begin(node: Node, life: Duration, breaksAfter: Duration?) {
        val beginning = node.takeIf { it.isRunning } ?: running.randomOrNull(random) ?: return
        streamCount++
        beginning.begin(life, breaksAfter)
    }

    private fun takeUp(stream: Stream) {
        val node = running.randomOrNull(random) ?: return schedule(reactionTime()) { takeUp(stream) }
        val takeUp = TakeUp(stream, now, node)
        takeUps += takeUp
        val request = takeUp(stream.id.text, actionCount++.toLong(), now, TIME_LEFT)
        open[request.ticket] = takeUp
        node.decide(StreamEvent.TakenUp(request))
    }

    private fun answer(ticket: Ticket, result: Result) {
        val takeUp = checkNotNull(open.remove(ticket)) { "answered twice" }
        takeUp.result = result
        takeUp.answeredAt = now
    }

    /** How long a client takes to come back after its stream has broken off. */
    private fun reactionTime() = random.nextInt(20, 300).milliseconds

    private fun upTo(time: Duration) = random.nextLong(1, time.inWholeMilliseconds + 1).milliseconds

    private companion object {
        /** Less than any client of the stated deployments has left when its stream breaks off early. */
        val TIME_LEFT = 2.seconds
        const val ZONES = 4

        /** A node combines the changes that it hears of over up to this time. */
        val MAX_FEED_TIME = 500.milliseconds
        val HALF_TRIP = 3.milliseconds

        /** After this time without an answer, a message has failed. */
        val FAILURE_TIME = 300.milliseconds

        /** After this time without a report, a node no longer counts as live. */
        val LAPSE_TIME = 3.5.seconds

        /** Within this time back ends register again that a copy of the store lacks. */
        val MAX_REGISTRATION_TIME = 1.seconds
    }
}

internal fun StreamFleet.expectNoneJoined() {
    val joined =
        takeUps.filter { takeUp ->
            (takeUp.result as? StreamFleet.Result.WentOn)?.let { it.version != takeUp.stream.version } ?: false
        }
    expectThat(joined.map { "${it.stream.id.text} of ${it.stream.beganAt} at ${it.at}" }).isEmpty()
}
