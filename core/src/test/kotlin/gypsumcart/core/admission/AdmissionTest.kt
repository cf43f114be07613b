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

    private fun admission(quota: Quota? = null): Admission =
        Admission().also {
            val routes = listOf(route(CallKind.Idempotent))
            it.decide(AdmissionEvent.Configured(configuration(routes = routes, quota = quota)), MonotonicTime(0))
        }

    private fun reasonOrNull(effects: List<AdmissionEffect>): RefusalReason? =
        (effects.single() as? AdmissionEffect.Refuse)?.outcome?.reason

    @Test
    fun `a request before the first configuration may come back later`() {
        val effects = Admission().decide(AdmissionEvent.Submitted(submission()), MonotonicTime(0))
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
        admission.decide(
            AdmissionEvent.PeersHeard(QuotaPeers(emptyMap(), nodes = 1, silent = 0, isolated = false)),
            MonotonicTime(0),
        )
        val request = submission(prompt = prompt(1_500))
        expectThat(reasonOrNull(admission.decide(AdmissionEvent.Submitted(request), at(1.seconds)))).isNull()
        val refusal = admission.decide(AdmissionEvent.Submitted(request), at(1.seconds)).single()
        expectThat(refusal).isA<AdmissionEffect.Refuse>()
        val outcome: Outcome.NotRun = (refusal as AdmissionEffect.Refuse).outcome
        expectThat(outcome.retryAfter).isEqualTo(500.milliseconds)
    }

    @Test
    fun `nodes that hear of each other admit a quota together, and not once each`() {
        val nodes = List(4) { admission(quota) }
        val admitted = playSeconds(nodes, seconds = 10, heard = { true })
        expectThat(admitted).isLessThanOrEqualTo(1_000.0 + 10 * 1_000.0 + 4 * REQUEST)
        expectThat(admitted).isGreaterThan(10 * 900.0)
    }

    @Test
    fun `a node that is cut off takes an even part at most while the others leave it one`() {
        val nodes = List(4) { admission(quota) }
        playSeconds(nodes, seconds = 3, heard = { true }, requests = 1)
        val admitted = playSeconds(nodes, seconds = 8, heard = { it != 0 }, from = 3)
        expectThat(admitted).isLessThanOrEqualTo(1_000.0 + 8 * 1_000.0 + 4 * REQUEST)
    }

    /** Sends [requests] each tenth of a second to each node and returns what was admitted; nodes tell each other. */
    private fun playSeconds(
        nodes: List<Admission>,
        seconds: Int,
        heard: (Int) -> Boolean,
        requests: Int = 10,
        from: Int = 0,
    ): Double {
        var admitted = 0.0
        val told = HashMap<Int, Map<TeamName, Double>>()
        for (tick in from * 10 until (from + seconds) * 10) {
            val now = at((tick * 100).milliseconds)
            nodes.forEach { node -> repeat(requests) { if (admits(node, now)) admitted += REQUEST } }
            if (tick % 10 == 9) tell(nodes, told, heard, now)
        }
        return admitted
    }

    private fun admits(node: Admission, now: MonotonicTime): Boolean {
        val request = submission(prompt = prompt(REQUEST.toInt()), arrivedAt = now)
        return node.decide(AdmissionEvent.Submitted(request), now).single() is AdmissionEffect.Route
    }

    private fun tell(
        nodes: List<Admission>,
        told: MutableMap<Int, Map<TeamName, Double>>,
        heard: (Int) -> Boolean,
        now: MonotonicTime,
    ) {
        nodes.forEachIndexed { i, node ->
            val report = node.decide(AdmissionEvent.ReportDue, now).single() as AdmissionEffect.Report
            if (!heard(i)) return@forEachIndexed
            told[i] = report.demand
            node.decide(AdmissionEvent.PeersTold(report.demand), now)
        }
        nodes.forEachIndexed { i, node ->
            val others = told.filterKeys { it != i && heard(it) }.values.sumOf { it[team] ?: 0.0 }
            val silent = if (heard(i)) nodes.indices.count { !heard(it) } else 0
            val peers = QuotaPeers(mapOf(team to others), nodes.size, silent, isolated = !heard(i))
            node.decide(AdmissionEvent.PeersHeard(peers), now)
        }
    }

    private companion object {
        const val REQUEST = 50.0
    }
}
