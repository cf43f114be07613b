package gypsumcart.core.admission

import gypsumcart.core.CallKind
import gypsumcart.core.LEDGER
import gypsumcart.core.MODEL
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.Quota
import gypsumcart.core.QuotaUnit
import gypsumcart.core.RefusalReason
import gypsumcart.core.StreamTakeUp
import gypsumcart.core.TeamName
import gypsumcart.core.WeightedService
import gypsumcart.core.at
import gypsumcart.core.configuration
import gypsumcart.core.prompt
import gypsumcart.core.route
import gypsumcart.core.submission
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionTest {
    private val quota = Quota(ratePerSecond = 1_000.0, burst = 1_000.0, unit = QuotaUnit.Tokens(defaultTokens = 10))
    private val team = TeamName("team")

    private fun admission(quota: Quota? = null, bounds: QuotaBounds = BOUNDS): Admission =
        Admission(bounds).also {
            val routes = listOf(route(CallKind.Idempotent))
            it.decide(AdmissionEvent.Configured(configuration(routes = routes, quota = quota)), MonotonicTime(0))
        }

    private fun reasonOrNull(effects: List<AdmissionEffect>): RefusalReason? =
        (effects.single() as? AdmissionEffect.Refuse)?.outcome?.reason

    @Test
    fun `a request before the first configuration is refused for lack of a configuration`() {
        val effects = Admission(BOUNDS).decide(AdmissionEvent.Submitted(submission()), MonotonicTime(0))
        expectThat(effects.single()).isA<AdmissionEffect.Refuse>()
        expectThat(reasonOrNull(effects)).isEqualTo(RefusalReason.NoConfiguration)
    }

    @Test
    fun `a request whose key belongs to no team is refused`() {
        val effects = admission().decide(AdmissionEvent.Submitted(submission(key = "other")), MonotonicTime(0))
        expectThat(reasonOrNull(effects)).isEqualTo(RefusalReason.UnknownKey)
    }

    @Test
    fun `a request without a route is refused for that reason even if its key is unknown`() {
        val request = submission(path = "/elsewhere", key = "other")
        val effects = admission().decide(AdmissionEvent.Submitted(request), MonotonicTime(0))
        expectThat(reasonOrNull(effects)).isEqualTo(RefusalReason.NoRoute)
    }

    // Guards against a stream that goes on at another service of its route than the one that began it.
    @Test
    fun `a request for the rest of a stream goes to the service of the request that began it`() {
        val services = listOf(WeightedService(LEDGER, 1), WeightedService(MODEL, 1))
        val routes = listOf(route(CallKind.Idempotent).copy(services = services))
        val admission = Admission(BOUNDS)
        admission.decide(AdmissionEvent.Configured(configuration(routes = routes)), MonotonicTime(0))
        for (number in 1L..20L) {
            val first = submission(number)
            val second = submission(number + 100).copy(takeUp = StreamTakeUp(first.requestId, "1"))
            val chosen =
                listOf(first, second).map {
                    val effects = admission.decide(AdmissionEvent.Submitted(it), MonotonicTime(0))
                    (effects.single() as AdmissionEffect.Route).admitted.service
                }
            expectThat(chosen[1]).isEqualTo(chosen[0])
        }
    }

    @Test
    fun `the deadline of a request is the earlier of the client's and the route's`() {
        val effects = admission().decide(AdmissionEvent.Submitted(submission()), MonotonicTime(0))
        val admitted = (effects.single() as AdmissionEffect.Route).admitted
        expectThat(admitted.deadline).isEqualTo(at(1.5.seconds))
    }

    @Test
    fun `a team over its quota is refused with the time after which quota is available again`() {
        val admission = admission(quota)
        updatePeers(admission, second = 0.0, QuotaPeers(emptyMap(), emptyList(), nodeCount = 1, isolated = false))
        expectThat(reasonOrNull(submit(admission, second = 1.0, tokens = 2_000))).isNull()
        expectThat(reasonOrNull(submit(admission, second = 4.0, tokens = 3_000))).isNull()
        expectThat(reasonOrNull(submit(admission, second = 6.0, tokens = 4_000))).isNull()
        val refusal = submit(admission, second = 8.6, tokens = 10).single()
        expectThat(refusal).isA<AdmissionEffect.Refuse>()
        val outcome: Outcome.NotRun = (refusal as AdmissionEffect.Refuse).outcome
        expectThat(outcome.retryAfter).isEqualTo(400.milliseconds)
        expectThat(reasonOrNull(submit(admission, second = 9.0, tokens = 10))).isNull()
    }

    @Test
    fun `a burst on one node is admitted as far as the other nodes leave quota unused`() {
        val admission = admission(quota)
        val others =
            QuotaPeers(mapOf(team to QuotaUse(demandPerSecond = 300.0, spent = 2_400.0)), emptyList(), 4, false)
        admission.decide(AdmissionEvent.UsePublished(mapOf(team to QuotaUse(100.0, 800.0))), at(0.seconds))
        updatePeers(admission, second = 0.0, others)
        expectThat(reasonOrNull(submit(admission, second = 1.0, tokens = 700))).isNull()
        expectThat(reasonOrNull(submit(admission, second = 1.1, tokens = 200))).isNull()
        expectThat(reasonOrNull(submit(admission, second = 1.2, tokens = 100))).isEqualTo(RefusalReason.QuotaExceeded)
    }

    @Test
    fun `a lower quota is phased in over one window`() {
        val admission = admission(quota)
        updatePeers(admission, second = 0.0, QuotaPeers(emptyMap(), emptyList(), nodeCount = 1, isolated = false))
        expectThat(reasonOrNull(submit(admission, second = 1.0, tokens = 3_000))).isNull()
        val lower = quota.copy(ratePerSecond = 100.0, burst = 100.0)
        configure(admission, lower, second = 4.0)
        expectThat(reasonOrNull(submit(admission, second = 4.0, tokens = 100))).isNull()
        expectThat(reasonOrNull(submit(admission, second = 12.1, tokens = 1_000))).isNull()
        expectThat(reasonOrNull(submit(admission, second = 13.0, tokens = 10))).isEqualTo(RefusalReason.QuotaExceeded)
    }

    @Test
    fun `nodes that know of each other together admit one quota in any window, not one each`() {
        val spent = simulate(List(4) { admission(quota) }, seconds = 24, reachable = { { true } })
        expectThat(maxSpentInWindow(spent)).isLessThanOrEqualTo(8 * 1_000.0 + 1_000.0 + 4 * REQUEST_TOKENS)
        expectThat(spent.sum()).isGreaterThan(24 * 900.0)
    }

    @Test
    fun `nodes together admit one quota while a team's clients move between them`() {
        val spent =
            simulate(List(4) { admission(quota) }, seconds = 24, reachable = { { true } }) { node, second ->
                node == second / 4 % 4
            }
        expectThat(maxSpentInWindow(spent)).isLessThanOrEqualTo(8 * 1_000.0 + 1_000.0 + 4 * REQUEST_TOKENS)
    }

    @Test
    fun `an isolated node takes at most an even share, which the other nodes reserve for it`() {
        val spent =
            simulate(
                List(4) { admission(quota) },
                seconds = 24,
                reachable = { second -> { node -> node != 0 || second < 8 } },
            )
        expectThat(maxSpentInWindow(spent)).isLessThanOrEqualTo(8 * 1_000.0 + 1_000.0 + 4 * REQUEST_TOKENS)
    }

    @Test
    fun `most of the tolerated excess over a quota is admitted`() {
        val tolerant = QuotaBounds(window = 8.seconds, overshoot = 0.1, slack = 10_000.0)
        val spent = simulate(List(4) { admission(quota, tolerant) }, seconds = 24, reachable = { { true } })
        expectThat(maxSpentInWindow(spent)).isLessThanOrEqualTo(9_000.0 * 1.1 + 10_000.0).isGreaterThan(9_000.0 * 1.5)
    }

    @Test
    fun `a restarted node counts what it admitted before the restart`() {
        val nodes = MutableList(1) { admission(quota) }
        val alone = QuotaPeers(emptyMap(), emptyList(), nodeCount = 1, isolated = false)
        updatePeers(nodes[0], second = 0.0, alone)
        expectThat(reasonOrNull(submit(nodes[0], second = 1.0, tokens = 9_000))).isNull()
        nodes[0] = admission(quota)
        val useBeforeRestart = mapOf(team to QuotaUse(demandPerSecond = 0.0, spent = 9_000.0))
        updatePeers(nodes[0], second = 2.0, alone.copy(use = useBeforeRestart))
        expectThat(reasonOrNull(submit(nodes[0], second = 2.0, tokens = 10))).isEqualTo(RefusalReason.QuotaExceeded)
    }

    private fun updatePeers(admission: Admission, second: Double, peers: QuotaPeers) {
        admission.decide(AdmissionEvent.PeersUpdated(peers), at(second.seconds))
    }

    private fun configure(admission: Admission, quota: Quota, second: Double) {
        val configuration = configuration(version = 2, listOf(route(CallKind.Idempotent)), quota)
        admission.decide(AdmissionEvent.Configured(configuration), at(second.seconds))
    }

    private fun submit(admission: Admission, second: Double, tokens: Int): List<AdmissionEffect> {
        val request = submission(prompt = prompt(tokens), arrivedAt = at(second.seconds))
        return admission.decide(AdmissionEvent.Submitted(request), at(second.seconds))
    }

    /**
     * Sends ten requests every tenth of a second to each node that is [active] in that second, and returns the tokens
     * admitted in each tenth. Nodes that are [reachable] in a second publish a report, which the others get a second
     * later.
     */
    private fun simulate(
        nodes: List<Admission>,
        seconds: Int,
        reachable: (Int) -> (Int) -> Boolean,
        active: (Int, Int) -> Boolean = { _, _ -> true },
    ): List<Double> {
        val published = HashMap<Int, Map<TeamName, QuotaUse>>()
        return (0 until seconds * 10).map { tenth ->
            val now = at((tenth * 100).milliseconds)
            val second = tenth / 10
            if (tenth % 10 == 0) exchangeReports(nodes, published, reachable(second), now)
            val receiving = nodes.filterIndexed { i, _ -> active(i, second) }
            receiving.sumOf { node -> List(10) { if (admits(node, now)) REQUEST_TOKENS else 0.0 }.sum() }
        }
    }

    private fun maxSpentInWindow(spent: List<Double>): Double = spent.windowed(80).maxOf { it.sum() }

    private fun admits(node: Admission, now: MonotonicTime): Boolean {
        val request = submission(prompt = prompt(REQUEST_TOKENS.toInt()), arrivedAt = now)
        return node.decide(AdmissionEvent.Submitted(request), now).single() is AdmissionEffect.Route
    }

    /** Gives all nodes the reports published a second ago; then each node that is [reachable] publishes a new one. */
    private fun exchangeReports(
        nodes: List<Admission>,
        published: MutableMap<Int, Map<TeamName, QuotaUse>>,
        reachable: (Int) -> Boolean,
        now: MonotonicTime,
    ) {
        nodes.forEachIndexed { i, node ->
            val others = published.filterKeys { it != i && reachable(it) }.values.mapNotNull { it[team] }
            val use = others.fold(QuotaUse(0.0, 0.0), QuotaUse::plus)
            val unreachable =
                if (reachable(i)) nodes.indices.filterNot(reachable).map { published[it].orEmpty() } else emptyList()
            val peers = QuotaPeers(mapOf(team to use), unreachable, nodes.size, isolated = !reachable(i))
            node.decide(AdmissionEvent.PeersUpdated(peers), now)
        }
        nodes.forEachIndexed { i, node ->
            val report = node.decide(AdmissionEvent.ReportDue, now).single() as AdmissionEffect.Report
            if (!reachable(i)) return@forEachIndexed
            published[i] = report.use
            node.decide(AdmissionEvent.UsePublished(report.use), now)
        }
    }

    private companion object {
        const val REQUEST_TOKENS = 50.0
        val BOUNDS = QuotaBounds(window = 8.seconds, overshoot = 0.0, slack = 0.0)
    }
}
