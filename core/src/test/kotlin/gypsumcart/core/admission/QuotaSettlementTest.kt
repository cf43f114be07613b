package gypsumcart.core.admission

import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Quota
import gypsumcart.core.QuotaUnit
import gypsumcart.core.Ticket
import gypsumcart.core.at
import gypsumcart.core.configuration
import gypsumcart.core.prompt
import gypsumcart.core.route
import gypsumcart.core.submission
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checks what becomes of the charge of a request that turns out not to have run. */
class QuotaSettlementTest {
    private val admission = admission(QuotaSharing.Lending)

    private fun admission(sharing: QuotaSharing): Admission =
        Admission(QuotaBounds(window = 8.seconds, overshoot = 0.0, slack = 0.0), sharing).also {
            val quota = Quota(ratePerSecond = 1_000.0, burst = 1_000.0, unit = QuotaUnit.Tokens(defaultTokens = 10))
            val configuration = configuration(routes = listOf(route(CallKind.Idempotent)), quota = quota)
            it.decide(AdmissionEvent.Configured(configuration), MonotonicTime(0))
            val alone = QuotaPeers(emptyMap(), emptyList(), nodeCount = 1, isolated = false)
            it.decide(AdmissionEvent.PeersUpdated(alone), MonotonicTime(0))
        }

    private fun Admission.admits(number: Long, tokens: Int, elapsed: Duration): Boolean {
        val request = submission(number, prompt(tokens), arrivedAt = at(elapsed))
        return decide(AdmissionEvent.Submitted(request), at(elapsed)).single() is AdmissionEffect.Route
    }

    private fun Admission.settle(number: Long, elapsed: Duration): List<AdmissionEffect> =
        decide(AdmissionEvent.Settled(Ticket(number)), at(elapsed))

    private fun Admission.spent(elapsed: Duration): Double {
        val report = decide(AdmissionEvent.ReportDue, at(elapsed)).single()
        expectThat(report).isA<AdmissionEffect.Report>()
        return (report as AdmissionEffect.Report)
            .use.values
            .single()
            .spent
    }

    // Pattern: overload uses up the quota of those who come back, because refused requests stay charged.
    @Test
    fun `a request that did not run leaves its part of the quota to the next`() {
        expectThat(admission.admits(1, tokens = 3_500, elapsed = 1.seconds)).isTrue()
        expectThat(admission.admits(2, tokens = 100, elapsed = 2.seconds)).isFalse()
        admission.settle(1, elapsed = 2.1.seconds)
        expectThat(admission.admits(3, tokens = 3_500, elapsed = 2.2.seconds)).isTrue()
    }

    @Test
    fun `of requests that were charged together only those that did not run are returned`() {
        admission.admits(1, tokens = 100, elapsed = 1.seconds)
        admission.admits(2, tokens = 30, elapsed = 1.01.seconds)
        admission.admits(3, tokens = 7, elapsed = 1.02.seconds)
        admission.settle(2, elapsed = 2.seconds)
        expectThat(admission.spent(3.seconds)).isEqualTo(107.0)
    }

    @Test
    fun `a settlement that comes twice returns a charge once`() {
        admission.admits(1, tokens = 100, elapsed = 1.seconds)
        admission.admits(2, tokens = 100, elapsed = 1.seconds)
        repeat(2) { admission.settle(1, elapsed = 2.seconds) }
        expectThat(admission.spent(3.seconds)).isEqualTo(100.0)
    }

    @Test
    fun `a settlement that comes after the charge has left the window returns nothing`() {
        admission.admits(1, tokens = 100, elapsed = 1.seconds)
        admission.admits(2, tokens = 100, elapsed = 8.seconds)
        admission.settle(1, elapsed = 10.seconds)
        expectThat(admission.spent(10.seconds)).isEqualTo(100.0)
    }

    @Test
    fun `a settlement that is lost leaves the charge until it leaves the window`() {
        admission.admits(1, tokens = 100, elapsed = 1.seconds)
        expectThat(admission.spent(8.9.seconds)).isEqualTo(100.0)
        expectThat(admission.spent(9.1.seconds)).isEqualTo(0.0)
    }

    @Test
    fun `the settlement of a request that was refused or never seen returns nothing`() {
        admission.admits(1, tokens = 3_500, elapsed = 1.seconds)
        admission.admits(2, tokens = 100, elapsed = 1.seconds)
        admission.settle(2, elapsed = 2.seconds)
        admission.settle(7, elapsed = 2.seconds)
        expectThat(admission.spent(3.seconds)).isEqualTo(3_500.0)
    }

    @Test
    fun `without lending a charge stays charged`() {
        val separate = admission(QuotaSharing.Separate)
        separate.admits(1, tokens = 100, elapsed = 1.seconds)
        separate.settle(1, elapsed = 2.seconds)
        expectThat(separate.spent(3.seconds)).isEqualTo(100.0)
    }
}
