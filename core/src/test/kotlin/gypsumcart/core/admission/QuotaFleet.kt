package gypsumcart.core.admission

import gypsumcart.core.CallKind
import gypsumcart.core.LoanRequestId
import gypsumcart.core.NodeId
import gypsumcart.core.Quota
import gypsumcart.core.QuotaUnit
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket
import gypsumcart.core.configuration
import gypsumcart.core.membership.MembershipEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.SimulatedFleet
import gypsumcart.core.membership.SimulatedNetwork
import gypsumcart.core.prompt
import gypsumcart.core.route
import gypsumcart.core.submission
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes what the clients of one team ask.
 *
 * @property demand what they ask as a multiple of the quota's rate
 * @property favoredFraction the part of their requests that goes to two nodes, and the rest evenly to all
 * @property favorPeriod the time after which other nodes are favored
 * @property largeFraction the part of the requests that are of [LARGE_TOKENS]; the others are of [SMALL_TOKENS]
 * @property notRunFraction the part of the admitted requests that do not run
 */
internal class TeamLoad(
    val demand: Double,
    val favoredFraction: Double = 0.0,
    val favorPeriod: Duration = 3.seconds,
    val largeFraction: Double = 0.1,
    val notRunFraction: Double = 0.0,
)

internal const val LARGE_TOKENS = 9_000
internal const val SMALL_TOKENS = 1_000

/** Runs admission and membership of many nodes, their loans, and the clients of one team. */
internal class QuotaFleet(
    seed: Long,
    zoneSizes: List<Int>,
    network: SimulatedNetwork,
    private val load: TeamLoad,
    private val sharing: QuotaSharing,
) {
    class Charge(val at: Duration, val tokens: Int)

    val random = Random(seed)
    val fleet = SimulatedFleet(zoneSizes, network, seed)
    val admissions = HashMap<NodeId, Admission>()
    private val admitted = LinkedHashMap<Ticket, Charge>()
    val refused = ArrayList<Charge>()
    val retryTimes = ArrayList<Duration>()
    val waits = ArrayList<Duration>()
    private val submittedAt = HashMap<Ticket, Duration>()
    var loansAsked = 0
    private var lastRequest = 0L
    private var lastLoanRequest = 0L

    val ran: Collection<Charge> get() = admitted.values

    fun start() {
        fleet.start()
        fleet.nodes.toList().forEach(::attach)
        fleet.schedule(250.milliseconds, ::measureUse)
        fleet.schedule(TRAFFIC_START, ::sendRequests)
    }

    fun attach(node: SimulatedFleet.SimulatedNode) {
        val admission = Admission(BOUNDS, sharing)
        val configuration = configuration(routes = listOf(route(CallKind.Idempotent)), quota = QUOTA)
        admission.decide(AdmissionEvent.Configured(configuration), node.time())
        admissions[node.id] = admission
        node.onEffect = { effect ->
            when (effect) {
                is MembershipEffect.UpdateQuotaPeers -> decide(node, AdmissionEvent.PeersUpdated(effect.peers))
                is MembershipEffect.ShareQuotaUse -> decide(node, AdmissionEvent.UsePublished(effect.use))
                else -> Unit
            }
        }
    }

    fun restart(id: NodeId) {
        fleet.restart(id)
        attach(fleet.nodes.last())
    }

    /** Returns the first lender of the team's quota if all nodes are live. */
    fun lender(): NodeId {
        val nodes = fleet.nodes.map { Lender(it.id, it.target.address, it.target.zone) }
        return LendingNodes(nodes.first().node, nodes).lendersOf(TeamName("team")).first().node
    }

    private fun decide(node: SimulatedFleet.SimulatedNode, event: AdmissionEvent) {
        if (!node.running) return
        admissions.getValue(node.id).decide(event, node.time()).forEach { execute(node, it) }
    }

    private fun execute(node: SimulatedFleet.SimulatedNode, effect: AdmissionEffect) {
        when (effect) {
            is AdmissionEffect.Route -> admit(node, effect)

            is AdmissionEffect.Refuse -> {
                refused += Charge(fleet.now, effect.submission.prompt?.tokens ?: 0)
                effect.outcome.retryAfter?.let(retryTimes::add)
            }

            is AdmissionEffect.AskLoan -> ask(node, effect)
            is AdmissionEffect.CheckLoansAt ->
                fleet.schedule(effect.time - node.time()) { decide(node, AdmissionEvent.CheckLoans) }

            is AdmissionEffect.Report -> node.decide(MembershipEvent.QuotaUseMeasured(effect.use))
            is AdmissionEffect.AnswerLoan -> error("is handled where the loan is asked for")
        }
    }

    private fun admit(node: SimulatedFleet.SimulatedNode, effect: AdmissionEffect.Route) {
        val ticket = effect.admitted.ticket
        waits += fleet.now - submittedAt.getValue(ticket)
        if (random.nextDouble() >= load.notRunFraction) {
            val tokens = checkNotNull(effect.admitted.submission.prompt).tokens
            admitted[ticket] = Charge(fleet.now, tokens)
            return
        }
        // One in five settlements is lost, one in five comes twice, and all come at different times.
        val copies =
            if (random.nextInt(5) == 0) {
                0
            } else if (random.nextInt(4) == 0) {
                2
            } else {
                1
            }
        repeat(copies) {
            fleet.schedule(3.seconds * random.nextDouble()) { decide(node, AdmissionEvent.Settled(ticket)) }
        }
    }

    private fun ask(node: SimulatedFleet.SimulatedNode, effect: AdmissionEffect.AskLoan) {
        loansAsked++
        val lender = fleet.nodes.firstOrNull { it.id == effect.lender.node && it.running }

        fun end(answer: LoanAnswer) = decide(node, AdmissionEvent.LoanAnswered(effect.loan, effect.team, answer))
        fleet.schedule(300.milliseconds) { end(LoanAnswer.NoAnswer) }
        if (lender == null) return
        fleet.transmit(node.id, lender.id) {
            if (lender.running) {
                val asked =
                    AdmissionEvent.LoanAsked(
                        LoanRequestId(++lastLoanRequest),
                        effect.team,
                        effect.needed,
                        effect.wanted,
                    )
                val answers = admissions.getValue(lender.id).decide(asked, lender.time())
                val answer = (answers.single() as AdmissionEffect.AnswerLoan).answer
                fleet.transmit(lender.id, node.id) { end(answer) }
            }
        }
    }

    private fun measureUse() {
        for (node in fleet.nodes.filter { it.running }) decide(node, AdmissionEvent.ReportDue)
        fleet.schedule(500.milliseconds, ::measureUse)
    }

    private fun sendRequests() {
        val favored = (fleet.now / load.favorPeriod).toInt() * 5
        val index =
            if (random.nextDouble() < load.favoredFraction) {
                favored + random.nextInt(2)
            } else {
                random.nextInt(fleet.nodes.size)
            }
        val node = fleet.nodes[index % fleet.nodes.size]
        val tokens = if (random.nextDouble() < load.largeFraction) LARGE_TOKENS else SMALL_TOKENS
        val request = submission(++lastRequest, prompt(tokens), arrivedAt = node.time())
        if (node.running) {
            submittedAt[request.ticket] = fleet.now
            decide(node, AdmissionEvent.Submitted(request))
        }
        val mean = load.largeFraction * LARGE_TOKENS + (1 - load.largeFraction) * SMALL_TOKENS
        val interval = (mean / (QUOTA.ratePerSecond * load.demand)).seconds
        fleet.schedule(interval * -ln(1 - random.nextDouble()), ::sendRequests)
    }

    /** Returns the most that ran in any window, in tokens. */
    fun maxInWindow(): Double {
        val charges = ran.toList()
        var first = 0
        var sum = 0.0
        var max = 0.0
        for (charge in charges) {
            sum += charge.tokens
            while (charge.at - charges[first].at >= BOUNDS.window) sum -= charges[first++].tokens
            max = maxOf(max, sum)
        }
        return max
    }

    /** Returns what ran on average in a window between [from] and [to], as a part of the quota for a window. */
    fun usedFraction(from: Duration, to: Duration): Double {
        val tokens = ran.filter { it.at > from && it.at <= to }.sumOf { it.tokens.toDouble() }
        return tokens * (BOUNDS.window / (to - from)) / LIMIT
    }

    /** Returns the part of the requests after [from] that was refused, of those of [tokens] if given. */
    fun refusedFraction(from: Duration, tokens: Int? = null): Double {
        val lost = refused.count { it.at > from && (tokens == null || it.tokens == tokens) }
        val served = ran.count { it.at > from && (tokens == null || it.tokens == tokens) }
        return lost.toDouble() / (lost + served)
    }

    companion object {
        val QUOTA = Quota(ratePerSecond = 60_000.0, burst = 60_000.0, unit = QuotaUnit.Tokens(defaultTokens = 10))
        val BOUNDS = QuotaBounds(8.seconds, overshoot = 0.1, slack = 110_000.0)

        /** What the quota grants in a window, and what is tolerated, in tokens. */
        val LIMIT = QUOTA.ratePerSecond * 8 + QUOTA.burst
        val TOLERATED = LIMIT * (1 + BOUNDS.overshoot) + BOUNDS.slack

        /** The fleet has started by then. */
        val TRAFFIC_START = 10.seconds
    }
}
