package gypsumcart.core.admission

import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.Quota
import gypsumcart.core.QuotaUnit
import gypsumcart.core.RefusalReason
import gypsumcart.core.TeamName
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
    private val quota = Quota(perSecond = 1_000.0, burst = 1_000.0, unit = QuotaUnit.Tokens(plain = 10))
    private val team = TeamName("team")

    private fun admission(quota: Quota? = null, bounds: QuotaBounds = BOUNDS): Admission =
        Admission(bounds).also {
            val routes = listOf(route(CallKind.Idempotent))
            it.decide(AdmissionEvent.Configured(configuration(routes = routes, quota = quota)), MonotonicTime(0))
        }

    private fun reasonOrNull(effects: List<AdmissionEffect>): RefusalReason? =
        (effects.single() as? AdmissionEffect.Refuse)?.outcome?.reason

    @Test
    fun `a request before the first configuration may come back later`() {
        val effects = Admission(BOUNDS).decide(AdmissionEvent.Submitted(submission()), MonotonicTime(0))
        expectThat(effects.single()).isA<AdmissionEffect.Refuse>()
        expectThat(reasonOrNull(effects)).isEqualTo(RefusalReason.NoConfiguration)
    }

    @Test
    fun `a key that no team holds is refused`() {
        val effects = admission().decide(AdmissionEvent.Submitted(submission(key = "other")), MonotonicTime(0))
        expectThat(reasonOrNull(effects)).isEqualTo(RefusalReason.UnknownKey)
    }

    @Test
    fun `a path without a route is refused before its key is looked at`() {
        val request = submission(path = "/elsewhere", key = "other")
        val effects = admission().decide(AdmissionEvent.Submitted(request), MonotonicTime(0))
        expectThat(reasonOrNull(effects)).isEqualTo(RefusalReason.NoRoute)
    }

    @Test
    fun `the answer is due when the client or the route gives up, whichever is first`() {
        val effects = admission().decide(AdmissionEvent.Submitted(submission()), MonotonicTime(0))
        val admitted = (effects.single() as AdmissionEffect.Route).admitted
        expectThat(admitted.due).isEqualTo(at(1.5.seconds))
    }

    @Test
    fun `a team over its quota is refused with the time at which it has some again`() {
        val admission = admission(quota)
        hear(admission, second = 0.0, QuotaPeers(emptyMap(), emptyList(), nodes = 1, isolated = false))
        expectThat(reasonOrNull(spend(admission, second = 1.0, tokens = 2_000))).isNull()
        expectThat(reasonOrNull(spend(admission, second = 4.0, tokens = 3_000))).isNull()
        expectThat(reasonOrNull(spend(admission, second = 6.0, tokens = 4_000))).isNull()
        val refusal = spend(admission, second = 8.6, tokens = 10).single()
        expectThat(refusal).isA<AdmissionEffect.Refuse>()
        val outcome: Outcome.NotRun = (refusal as AdmissionEffect.Refuse).outcome
        expectThat(outcome.retryAfter).isEqualTo(400.milliseconds)
        expectThat(reasonOrNull(spend(admission, second = 9.0, tokens = 10))).isNull()
    }

    @Test
    fun `a burst on one node is admitted while the others leave room`() {
        val admission = admission(quota)
        val others = QuotaPeers(mapOf(team to QuotaUse(asked = 300.0, spent = 2_400.0)), emptyList(), 4, false)
        admission.decide(AdmissionEvent.PeersTold(mapOf(team to QuotaUse(100.0, 800.0))), at(0.seconds))
        hear(admission, second = 0.0, others)
        expectThat(reasonOrNull(spend(admission, second = 1.0, tokens = 700))).isNull()
        expectThat(reasonOrNull(spend(admission, second = 1.1, tokens = 200))).isNull()
        expectThat(reasonOrNull(spend(admission, second = 1.2, tokens = 100))).isEqualTo(RefusalReason.QuotaExceeded)
    }

    @Test
    fun `a lower quota takes effect over a window`() {
        val admission = admission(quota)
        hear(admission, second = 0.0, QuotaPeers(emptyMap(), emptyList(), nodes = 1, isolated = false))
        expectThat(reasonOrNull(spend(admission, second = 1.0, tokens = 3_000))).isNull()
        val lower = quota.copy(perSecond = 100.0, burst = 100.0)
        configure(admission, lower, second = 4.0)
        expectThat(reasonOrNull(spend(admission, second = 4.0, tokens = 100))).isNull()
        expectThat(reasonOrNull(spend(admission, second = 12.1, tokens = 1_000))).isNull()
        expectThat(reasonOrNull(spend(admission, second = 13.0, tokens = 10))).isEqualTo(RefusalReason.QuotaExceeded)
    }

    @Test
    fun `nodes that hear of each other admit a quota together in any window, and not once each`() {
        val spent = play(List(4) { admission(quota) }, seconds = 24, heard = { { true } })
        expectThat(mostInWindow(spent)).isLessThanOrEqualTo(8 * 1_000.0 + 1_000.0 + 4 * REQUEST)
        expectThat(spent.sum()).isGreaterThan(24 * 900.0)
    }

    @Test
    fun `nodes admit a quota together while a team's clients move between them`() {
        val spent =
            play(List(4) { admission(quota) }, 24, heard = { { true } }) { node, second ->
                node ==
                    second / 4 % 4
            }
        expectThat(mostInWindow(spent)).isLessThanOrEqualTo(8 * 1_000.0 + 1_000.0 + 4 * REQUEST)
    }

    @Test
    fun `a node that is cut off takes an even part at most while the others leave it one`() {
        val spent =
            play(List(4) { admission(quota) }, seconds = 24, heard = { second ->
                { node ->
                    node != 0 ||
                        second < 8
                }
            })
        expectThat(mostInWindow(spent)).isLessThanOrEqualTo(8 * 1_000.0 + 1_000.0 + 4 * REQUEST)
    }

    @Test
    fun `most of what is tolerated beyond a quota is admitted`() {
        val tolerant = QuotaBounds(window = 8.seconds, overshoot = 0.1, slack = 10_000.0)
        val spent = play(List(4) { admission(quota, tolerant) }, seconds = 24, heard = { { true } })
        expectThat(mostInWindow(spent)).isLessThanOrEqualTo(9_000.0 * 1.1 + 10_000.0).isGreaterThan(9_000.0 * 1.5)
    }

    @Test
    fun `a node that starts again goes on where it was`() {
        val nodes = MutableList(1) { admission(quota) }
        val alone = QuotaPeers(emptyMap(), emptyList(), nodes = 1, isolated = false)
        hear(nodes[0], second = 0.0, alone)
        expectThat(reasonOrNull(spend(nodes[0], second = 1.0, tokens = 9_000))).isNull()
        nodes[0] = admission(quota)
        hear(nodes[0], second = 2.0, alone.copy(use = mapOf(team to QuotaUse(asked = 0.0, spent = 9_000.0))))
        expectThat(reasonOrNull(spend(nodes[0], second = 2.0, tokens = 10))).isEqualTo(RefusalReason.QuotaExceeded)
    }

    private fun hear(admission: Admission, second: Double, peers: QuotaPeers) {
        admission.decide(AdmissionEvent.PeersHeard(peers), at(second.seconds))
    }

    private fun configure(admission: Admission, quota: Quota, second: Double) {
        val configuration = configuration(version = 2, listOf(route(CallKind.Idempotent)), quota)
        admission.decide(AdmissionEvent.Configured(configuration), at(second.seconds))
    }

    private fun spend(admission: Admission, second: Double, tokens: Int): List<AdmissionEffect> {
        val request = submission(prompt = prompt(tokens), arrivedAt = at(second.seconds))
        return admission.decide(AdmissionEvent.Submitted(request), at(second.seconds))
    }

    /**
     * Sends ten requests each tenth of a second to each node that is [asked], and returns what was admitted in each
     * tenth. The nodes tell each other once a second, which the others hear a second later.
     */
    private fun play(
        nodes: List<Admission>,
        seconds: Int,
        heard: (Int) -> (Int) -> Boolean,
        asked: (Int, Int) -> Boolean = { _, _ -> true },
    ): List<Double> {
        val told = HashMap<Int, Map<TeamName, QuotaUse>>()
        return (0 until seconds * 10).map { tenth ->
            val now = at((tenth * 100).milliseconds)
            val second = tenth / 10
            if (tenth % 10 == 0) tell(nodes, told, heard(second), now)
            val asking = nodes.filterIndexed { i, _ -> asked(i, second) }
            asking.sumOf { node -> List(10) { if (admits(node, now)) REQUEST else 0.0 }.sum() }
        }
    }

    private fun mostInWindow(spent: List<Double>): Double = spent.windowed(80).maxOf { it.sum() }

    private fun admits(node: Admission, now: MonotonicTime): Boolean {
        val request = submission(prompt = prompt(REQUEST.toInt()), arrivedAt = now)
        return node.decide(AdmissionEvent.Submitted(request), now).single() is AdmissionEffect.Route
    }

    /** Lets the nodes hear what was told a second ago, and tell anew. */
    private fun tell(
        nodes: List<Admission>,
        told: MutableMap<Int, Map<TeamName, QuotaUse>>,
        heard: (Int) -> Boolean,
        now: MonotonicTime,
    ) {
        nodes.forEachIndexed { i, node ->
            val others = told.filterKeys { it != i && heard(it) }.values.mapNotNull { it[team] }
            val use = others.fold(QuotaUse(0.0, 0.0), QuotaUse::plus)
            val silent = if (heard(i)) nodes.indices.filterNot(heard).map { told[it].orEmpty() } else emptyList()
            val peers = QuotaPeers(mapOf(team to use), silent, nodes.size, isolated = !heard(i))
            node.decide(AdmissionEvent.PeersHeard(peers), now)
        }
        nodes.forEachIndexed { i, node ->
            val report = node.decide(AdmissionEvent.ReportDue, now).single() as AdmissionEffect.Report
            if (!heard(i)) return@forEachIndexed
            told[i] = report.use
            node.decide(AdmissionEvent.PeersTold(report.use), now)
        }
    }

    private companion object {
        const val REQUEST = 50.0
        val BOUNDS = QuotaBounds(window = 8.seconds, overshoot = 0.0, slack = 0.0)
    }
}
