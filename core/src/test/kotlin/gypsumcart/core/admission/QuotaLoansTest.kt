package gypsumcart.core.admission

import gypsumcart.core.Address
import gypsumcart.core.CallKind
import gypsumcart.core.LoanId
import gypsumcart.core.LoanRequestId
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.Outcome
import gypsumcart.core.Quota
import gypsumcart.core.QuotaUnit
import gypsumcart.core.RefusalReason
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket
import gypsumcart.core.ZONES
import gypsumcart.core.at
import gypsumcart.core.configuration
import gypsumcart.core.prompt
import gypsumcart.core.route
import gypsumcart.core.submission
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Checks how one node borrows and lends quota. */
class QuotaLoansTest {
    private val team = TeamName("team")
    private val lenders = (1..36).map { Lender(NodeId("n$it"), Address("10.0.0.$it", 7601), ZONES[it % 3]) }
    private val holders = LendingNodes(lenders.first().node, lenders).lendersOf(team).map { it.node }
    private val borrower = admission(lenders.map { it.node }.first { it !in holders })
    private val lender = admission(holders.first())

    private fun admission(self: NodeId): Admission =
        Admission(QuotaBounds(window = 8.seconds, overshoot = 0.0, slack = 0.0), QuotaSharing.Lending).also {
            val quota = Quota(ratePerSecond = 1_000.0, burst = 1_000.0, unit = QuotaUnit.Tokens(defaultTokens = 10))
            val configuration = configuration(routes = listOf(route(CallKind.Idempotent)), quota = quota)
            it.decide(AdmissionEvent.Configured(configuration), MonotonicTime(0))
            val peers = QuotaPeers(emptyMap(), emptyList(), 36, isolated = false, lending = LendingNodes(self, lenders))
            it.decide(AdmissionEvent.PeersUpdated(peers), MonotonicTime(0))
        }

    private fun Admission.submit(number: Long, tokens: Int, elapsed: Duration): List<AdmissionEffect> =
        decide(AdmissionEvent.Submitted(submission(number, prompt(tokens), arrivedAt = at(elapsed))), at(elapsed))

    private fun Admission.answer(loan: LoanId, answer: LoanAnswer, elapsed: Duration): List<AdmissionEffect> =
        decide(AdmissionEvent.LoanAnswered(loan, team, answer), at(elapsed))

    private fun Admission.lend(amount: Double, elapsed: Duration): LoanAnswer {
        val effects = decide(AdmissionEvent.LoanAsked(LoanRequestId(1), team, amount, amount), at(elapsed))
        return (effects.single() as AdmissionEffect.AnswerLoan).answer
    }

    private fun List<AdmissionEffect>.asked(): AdmissionEffect.AskLoan =
        filterIsInstance<AdmissionEffect.AskLoan>().single()

    private fun List<AdmissionEffect>.routed(): List<Ticket> =
        filterIsInstance<AdmissionEffect.Route>().map { it.admitted.ticket }

    private fun List<AdmissionEffect>.refused(): List<Outcome.NotRun> =
        filterIsInstance<AdmissionEffect.Refuse>().map { it.outcome }

    // Pattern: a node refuses a prompt that is larger than its part, although the team has used nothing.
    @Test
    fun `a request beyond the node's part waits for a loan and is admitted when it is granted`() {
        val effects = borrower.submit(1, tokens = 900, elapsed = 1.seconds)
        expectThat(effects.routed()).isEmpty()
        expectThat(effects.refused()).isEmpty()
        expectThat(holders).contains(effects.asked().lender.node)
        expectThat(effects.asked().needed).isEqualTo(900.0)
        val answered = borrower.answer(effects.asked().loan, LoanAnswer.Granted(900.0), 1.01.seconds)
        expectThat(answered.routed()).containsExactly(Ticket(1))
    }

    @Test
    fun `a request within the node's part needs no loan`() {
        val effects = borrower.submit(1, tokens = 2, elapsed = 1.seconds)
        expectThat(effects).hasSize(1)
        expectThat(effects.single()).isA<AdmissionEffect.Route>()
    }

    @Test
    fun `what a lender lends is charged to it for longer than the borrower may spend it`() {
        expectThat(lender.lend(1_000.0, 1.seconds)).isEqualTo(LoanAnswer.Granted(1_000.0))

        fun spent(elapsed: Duration): Double? {
            val report = lender.decide(AdmissionEvent.ReportDue, at(elapsed)).single()
            return (report as AdmissionEffect.Report).use[team]?.spent
        }
        expectThat(spent(9.3.seconds)).isEqualTo(1_000.0)
        expectThat(spent(9.5.seconds)).isEqualTo(0.0)
    }

    @Test
    fun `a lender grants no more than its part and says when to return, later each time`() {
        val answers = List(100) { lender.lend(100.0, 1.seconds) }
        expectThat(answers.filterIsInstance<LoanAnswer.Granted>().sumOf { it.amount }).isLessThan(3_500.0 * 0.5)
        val times = answers.filterIsInstance<LoanAnswer.Refused>().take(5).map { it.retryAfter }
        expectThat(times.zipWithNext { a, b -> b > a }.toSet()).containsExactly(true)
        expectThat(times.last()).isLessThan(5.seconds)
        expectThat(times).hasSize(5)
    }

    @Test
    fun `a loan that is granted twice, or asked for twice, is spent once`() {
        val loan = borrower.submit(1, tokens = 900, elapsed = 1.seconds).asked().loan
        borrower.answer(loan, LoanAnswer.Granted(900.0), 1.01.seconds)
        borrower.answer(loan, LoanAnswer.Granted(900.0), 1.02.seconds)
        expectThat(borrower.submit(2, tokens = 900, elapsed = 1.03.seconds).routed()).isEmpty()
    }

    @Test
    fun `what is left of a loan serves the next request, and expires`() {
        val loan = borrower.submit(1, tokens = 900, elapsed = 1.seconds).asked().loan
        borrower.answer(loan, LoanAnswer.Granted(2_700.0), 1.01.seconds)
        expectThat(borrower.submit(2, tokens = 900, elapsed = 1.39.seconds).routed()).containsExactly(Ticket(2))
        expectThat(borrower.submit(3, tokens = 900, elapsed = 1.41.seconds).routed()).isEmpty()
    }

    @Test
    fun `a loan that is granted late admits nothing`() {
        val loan = borrower.submit(1, tokens = 900, elapsed = 1.seconds).asked().loan
        expectThat(borrower.answer(loan, LoanAnswer.Granted(900.0), 1.5.seconds).routed()).isEmpty()
        expectThat(borrower.submit(2, tokens = 900, elapsed = 1.51.seconds).routed()).isEmpty()
    }

    @Test
    fun `a request waits for a small part of its target latency, and asks the other lender meanwhile`() {
        val effects = borrower.submit(1, tokens = 900, elapsed = 1.seconds)
        val checkAt = effects.filterIsInstance<AdmissionEffect.CheckLoansAt>().single().time
        expectThat(checkAt).isEqualTo(at(1.025.seconds))
        val checked = borrower.decide(AdmissionEvent.CheckLoans, checkAt)
        expectThat(checked.asked().lender).isNotEqualTo(effects.asked().lender)
        val end = checked.filterIsInstance<AdmissionEffect.CheckLoansAt>().single().time
        expectThat(end).isEqualTo(at(1.05.seconds))
        val refused = borrower.decide(AdmissionEvent.CheckLoans, end).refused().single()
        expectThat(refused.reason).isEqualTo(RefusalReason.QuotaExceeded)
    }

    @Test
    fun `a request that both lenders refuse is told what the last one said`() {
        val first = borrower.submit(1, tokens = 900, elapsed = 1.seconds).asked()
        val second = borrower.answer(first.loan, LoanAnswer.Refused(2.seconds), 1.01.seconds).asked()
        expectThat(second.lender).isNotEqualTo(first.lender)
        val refused = borrower.answer(second.loan, LoanAnswer.Refused(3.seconds), 1.02.seconds).refused().single()
        expectThat(refused.retryAfter).isEqualTo(3.seconds)
    }

    // Pattern: all who are refused are told to return after the same 2.0 s.
    @Test
    fun `those refused after the lenders had nothing are told later and later times, without a message`() {
        val first = borrower.submit(1, tokens = 900, elapsed = 1.seconds).asked()
        val second = borrower.answer(first.loan, LoanAnswer.Refused(1.seconds), 1.01.seconds).asked()
        borrower.answer(second.loan, LoanAnswer.Refused(1.seconds), 1.02.seconds)
        val effects = (2L..4L).map { borrower.submit(it, tokens = 500, elapsed = 1.03.seconds).single() }
        val times = effects.map { checkNotNull((it as AdmissionEffect.Refuse).outcome.retryAfter) }
        expectThat(times.first()).isGreaterThan(1.seconds)
        expectThat(times.zipWithNext { a, b -> b > a }.toSet()).containsExactly(true)
    }

    @Test
    fun `a lender that does not answer is not asked again for a while`() {
        val first = borrower.submit(1, tokens = 900, elapsed = 1.seconds).asked()
        val other = borrower.answer(first.loan, LoanAnswer.NoAnswer, 1.01.seconds).asked()
        borrower.answer(other.loan, LoanAnswer.Granted(900.0), 1.02.seconds)
        val next = borrower.submit(2, tokens = 900, elapsed = 2.seconds).asked()
        expectThat(next.lender).isEqualTo(other.lender)
    }

    @Test
    fun `a request whose client leaves while it waits is dropped, and the loan serves the next`() {
        val loan = borrower.submit(1, tokens = 900, elapsed = 1.seconds).asked().loan
        borrower.decide(AdmissionEvent.Settled(Ticket(1)), at(1.01.seconds))
        expectThat(borrower.answer(loan, LoanAnswer.Granted(900.0), 1.02.seconds)).isEmpty()
        expectThat(borrower.submit(2, tokens = 900, elapsed = 1.03.seconds).routed()).containsExactly(Ticket(2))
    }

    @Test
    fun `what a request that did not run had borrowed serves the next, until the loan expires`() {
        val loan = borrower.submit(1, tokens = 900, elapsed = 1.seconds).asked().loan
        borrower.answer(loan, LoanAnswer.Granted(900.0), 1.01.seconds)
        borrower.decide(AdmissionEvent.Settled(Ticket(1)), at(1.1.seconds))
        expectThat(borrower.submit(2, tokens = 900, elapsed = 1.2.seconds).routed()).containsExactly(Ticket(2))
        borrower.decide(AdmissionEvent.Settled(Ticket(2)), at(1.5.seconds))
        expectThat(borrower.submit(3, tokens = 900, elapsed = 1.5.seconds).routed()).isEmpty()
    }

    @Test
    fun `an isolated node neither lends nor borrows`() {
        val isolated = QuotaPeers(emptyMap(), emptyList(), 36, true, 1.0, LendingNodes(holders.first(), lenders))
        lender.decide(AdmissionEvent.PeersUpdated(isolated), at(1.seconds))
        expectThat(lender.lend(1.0, 1.1.seconds)).isA<LoanAnswer.Refused>()
        expectThat(lender.submit(1, tokens = 900, elapsed = 1.2.seconds).single()).isA<AdmissionEffect.Refuse>()
    }

    @Test
    fun `the lenders of a team are of different zones, and differ between teams`() {
        val nodes = LendingNodes(NodeId("n1"), lenders)
        val pairs = (1..64).map { nodes.lendersOf(TeamName("team-$it")) }
        expectThat(pairs.filter { (one, other) -> one.zone == other.zone }).isEmpty()
        expectThat(
            pairs
                .flatten()
                .map { it.node }
                .distinct()
                .size,
        ).isGreaterThan(30)
        expectThat(LendingNodes(NodeId("n1"), emptyList()).lendersOf(team).firstOrNull()).isNull()
    }

    @Test
    fun `a borrower lets a bounded number of requests wait`() {
        val effects = (1L..400L).map { borrower.submit(it, tokens = 900, elapsed = 1.seconds) }
        expectThat(effects.count { it.refused().isNotEmpty() }).isEqualTo(400 - 256)
        val next = borrower.decide(AdmissionEvent.CheckLoans, at(1.2.seconds) + 1.milliseconds)
        expectThat(next.refused()).hasSize(256)
    }
}
