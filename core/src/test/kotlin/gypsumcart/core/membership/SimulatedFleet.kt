package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.QuotaPeers
import gypsumcart.core.at
import gypsumcart.core.streams.StreamPeer
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes how the simulated network treats messages between nodes.
 *
 * @property lossRate the fraction of messages that are lost
 * @property repeatRate the fraction of messages that arrive a second time, later
 */
internal class SimulatedNetwork(
    val minDelay: Duration = 2.milliseconds,
    val maxDelay: Duration = 20.milliseconds,
    val lossRate: Double = 0.0,
    val repeatRate: Double = 0.0,
)

/**
 * Runs the [Membership] deciders of several nodes in virtual time, with a store and a network between them.
 *
 * Each node is given the effects that concern the rest of the process through [SimulatedNode.onEffect].
 */
internal class SimulatedFleet(
    zoneSizes: List<Int>,
    private val network: SimulatedNetwork = SimulatedNetwork(),
    seed: Long = 1,
    private val relaysTables: Boolean = false,
    private val relayRankOf: (NodeId) -> RelayRank = { RelayRank.LOWEST },
) {
    private class Task(val at: Duration, val order: Long, val run: () -> Unit)

    private class StoredRow(val report: NodeReport, val heard: Map<NodeKey, Duration>, val writtenAt: Duration)

    private val random = Random(seed)
    private val tasks = PriorityQueue<Task>(compareBy<Task> { it.at }.thenBy { it.order })
    private var lastOrder = 0L
    private val storeRows = LinkedHashMap<NodeKey, StoredRow>()

    /** The virtual time. */
    var now: Duration = Duration.ZERO
        private set

    /** Whether the store answers. */
    var storeAnswers = true

    /** Nodes that do not reach the store. */
    val storeCuts = HashSet<NodeId>()

    /** Pairs of nodes between which no message passes, in the direction from the first to the second. */
    val cuts = HashSet<Pair<NodeId, NodeId>>()

    val nodes: MutableList<SimulatedNode> =
        zoneSizes
            .flatMapIndexed { zone, size -> (1..size).map { SimulatedNode("z$zone-$it", ZoneName("z$zone"), 1) } }
            .toMutableList()

    inner class SimulatedNode(name: String, zone: ZoneName, incarnation: Long) {
        val id = NodeId(name)
        val key = NodeKey(id, Incarnation(incarnation))
        private val address = Address(name, 7601)
        private val settings =
            MembershipSettings(id, key.incarnation, address, address, zone, 3.5.seconds, 8.seconds, relayRankOf(id))
        val membership = Membership(settings)
        val target = PeerTarget(key, address, zone, relayRankOf(id))
        var running = true
        var linked = false

        /** Whether another node follows the tables of the store for this one. */
        var relayed = false
        var members: List<NodeId> = emptyList()
        var streamPeers: List<StreamPeer> = emptyList()
        var reports: Map<NodeKey, NodeReport> = emptyMap()
        var storeReads = 0
        var storeWrites = 0

        /** The number of messages that this node answered. */
        var answered = 0
        val refused = ArrayList<NodeKey>()
        var quotaPeers: QuotaPeers? = null
        private var readRound = 0
        var onEffect: (MembershipEffect) -> Unit = {}

        /** Whether the store answers this node. */
        val reachesStore: Boolean get() = storeAnswers && id !in storeCuts

        fun start() {
            repeatEvery(250.milliseconds) { decide(MembershipEvent.ExchangeDue) }
            repeatEvery(500.milliseconds) { decide(MembershipEvent.ReportDue) }
            schedule(50.milliseconds) { readStorePeriodically() }
            decide(MembershipEvent.AcceptingChanged(true))
        }

        fun time(): MonotonicTime = at(now)

        private fun repeatEvery(period: Duration, action: () -> Unit) {
            fun next() {
                if (running) action()
                schedule(period, ::next)
            }
            schedule(period * random.nextDouble(), ::next)
        }

        private fun readStorePeriodically() {
            if (running) readStore()
            val round = ++readRound
            schedule(readPause()) { if (round == readRound) readStorePeriodically() }
        }

        private fun readPause(): Duration =
            when {
                !linked -> 700.milliseconds
                relayed -> 8.seconds
                else -> 4.seconds
            }

        private fun readStore() {
            if (!reachesStore) return
            storeReads++
            val ages = storeRows.mapValues { (_, row) -> now - row.writtenAt }
            val heard = HashMap<NodeKey, Duration>()
            for (row in storeRows.values) {
                row.heard.forEach { (key, age) -> heard.merge(key, age + (now - row.writtenAt), ::minOf) }
            }
            decide(MembershipEvent.ReportsReceived(storeRows.values.map { it.report }, emptyList(), ages, heard))
        }

        fun decide(event: MembershipEvent) {
            membership.decide(event, time()).forEach(::execute)
        }

        private fun execute(effect: MembershipEffect) {
            when (effect) {
                is MembershipEffect.Publish ->
                    if (reachesStore) {
                        storeWrites++
                        storeRows[effect.report.key] = StoredRow(effect.report, effect.heard, now)
                    }

                is MembershipEffect.RemoveReports -> effect.nodes.forEach(storeRows::remove)
                is MembershipEffect.UpdateMembers -> members = effect.members.map { it.node }
                is MembershipEffect.UpdateStreamPeers -> streamPeers = effect.peers
                is MembershipEffect.DistributeReports -> reports = effect.reports.associateBy { it.key }
                is MembershipEffect.LinkChanged -> changeLink(effect.linked)
                is MembershipEffect.RelaysChosen -> relayed = relaysTables && effect.relay != null
                is MembershipEffect.UpdateQuotaPeers -> quotaPeers = effect.peers
                is MembershipEffect.Refuse -> refused += effect.sender
                is MembershipEffect.Send -> send(effect)
                MembershipEffect.ReadStore -> schedule(5.milliseconds) { if (running) readStore() }
                else -> Unit
            }
            onEffect(effect)
        }

        private fun changeLink(linked: Boolean) {
            this.linked = linked
            if (!linked) schedule(5.milliseconds, ::readStorePeriodically)
        }

        private fun send(effect: MembershipEffect.Send) {
            val recipient = nodes.firstOrNull { it.id == effect.target.key.node && it.running }
            if (recipient != null) {
                transmit(id, recipient.id) { recipient.receive(effect, this) }
            }
            schedule(600.milliseconds) {
                if (running) decide(MembershipEvent.ExchangeEnded(effect.exchange, ExchangeResult.Failed))
            }
        }

        private fun receive(effect: MembershipEffect.Send, sender: SimulatedNode) {
            if (!running) return
            val effects = membership.decide(MembershipEvent.MessageReceived(effect.exchange, effect.message), time())
            val response = effects.filterIsInstance<MembershipEffect.Respond>().singleOrNull()
            if (response != null) answered++
            effects.filterNot { it is MembershipEffect.Respond }.forEach(::execute)
            val result = response?.let { ExchangeResult.Answered(it.message) } ?: ExchangeResult.Refused
            transmit(id, sender.id) {
                if (sender.running) sender.decide(MembershipEvent.ExchangeEnded(effect.exchange, result))
            }
        }
    }

    /** Starts a new process of the node with [id], at the same address. */
    fun restart(id: NodeId) {
        val old = nodes.single { it.id == id }
        old.running = false
        nodes -= old
        val node = SimulatedNode(id.text, old.target.zone, old.key.incarnation.number + 1)
        nodes += node
        node.start()
    }

    fun node(name: String): SimulatedNode = nodes.single { it.id.text == name }

    /** Cuts all messages between [id] and the other nodes, in both directions. */
    fun isolate(id: NodeId) {
        for (other in nodes) {
            cuts += id to other.id
            cuts += other.id to id
        }
    }

    /** Returns whether a message and its response pass between two running nodes. */
    fun connects(one: NodeId, other: NodeId): Boolean = one to other !in cuts && other to one !in cuts

    fun start() {
        nodes.toList().forEach { it.start() }
    }

    fun runUntil(end: Duration) {
        while (tasks.isNotEmpty() && tasks.peek().at <= end) {
            val task = tasks.remove()
            now = task.at
            task.run()
        }
        now = end
    }

    fun schedule(delay: Duration, run: () -> Unit) {
        tasks += Task(now + delay, lastOrder++, run)
    }

    /** Passes a message from one node to another as the network lets it: late, twice or not at all. */
    fun transmit(from: NodeId, to: NodeId, deliver: () -> Unit) {
        if (from to to in cuts || random.nextDouble() < network.lossRate) return
        schedule(delay(), deliver)
        if (random.nextDouble() < network.repeatRate) schedule(delay() * 3, deliver)
    }

    private fun delay(): Duration = network.minDelay + (network.maxDelay - network.minDelay) * random.nextDouble()
}
