package gypsumcart.node

import gypsumcart.core.Address
import gypsumcart.core.LoanId
import gypsumcart.core.NodeId
import gypsumcart.core.TeamName
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.AdmissionEffect
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.admission.Lender
import gypsumcart.core.admission.LoanAnswer
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpServer
import gypsumcart.http.MessageLimits
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.Ring
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

/** Checks that requests for loans and their answers pass between two nodes. */
class QuotaLoanLinkTest {
    private val runtime = EdgeRuntime()
    private val client = HttpClient(runtime.loop, 1.seconds)
    private val port = ServerSocket(0).use { it.localPort }
    private val lenderEvents = Ring<AdmissionEvent>("lender", 16)
    private val borrowerEvents = Ring<AdmissionEvent>("borrower", 16)
    private val lender = link("lender", lenderEvents)
    private val borrower = link("borrower", borrowerEvents)
    private val team = TeamName("team")
    private val ask =
        AdmissionEffect.AskLoan(
            LoanId(7),
            Lender(NodeId("lender"), Address(HOST, port), ZoneName("a")),
            team,
            needed = 900.5,
            wanted = 1_800.0,
        )

    private fun link(name: String, events: Ring<AdmissionEvent>): QuotaLoanLink =
        QuotaLoanLink(NodeId(name), events, client, runtime.scope, MonotonicClock.SYSTEM, Metrics())

    @BeforeEach
    fun start() {
        val limits = MessageLimits(9_999, 9_999, 1.seconds, 9.seconds)
        val server = HttpServer("peers", HOST, port, runtime.loop, runtime.scope, { limits }, lender)
        runBlocking { server.start() }
    }

    @AfterEach
    fun close(): Unit = runtime.loop.close()

    /** Asks for the loan, lets the lender give [answer], and returns what the borrower receives. */
    private fun exchange(answer: LoanAnswer): LoanAnswer {
        borrower.ask(ask)
        val asked = checkNotNull(lenderEvents.takeOrNull(5.seconds)) as AdmissionEvent.LoanAsked
        expectThat(asked).isEqualTo(AdmissionEvent.LoanAsked(asked.request, team, 900.5, 1_800.0))
        lender.answer(AdmissionEffect.AnswerLoan(asked.request, team, answer))
        return received()
    }

    private fun received(): LoanAnswer {
        val answered = checkNotNull(borrowerEvents.takeOrNull(5.seconds)) as AdmissionEvent.LoanAnswered
        expectThat(answered.loan).isEqualTo(ask.loan)
        return answered.answer
    }

    @Test
    fun `a granted amount reaches the borrower exactly`() {
        val granted = LoanAnswer.Granted(900.1 + 0.2)
        expectThat(exchange(granted)).isEqualTo(granted)
    }

    @Test
    fun `a refusal reaches the borrower with the time to return`() {
        val refused = LoanAnswer.Refused(1.5.seconds)
        expectThat(exchange(refused)).isEqualTo(refused)
    }

    @Test
    fun `a lender that decides nothing counts as silent`() {
        borrower.ask(ask)
        expectThat(received()).isEqualTo(LoanAnswer.NoAnswer)
    }

    @Test
    fun `a lender that can't be reached counts as silent`() {
        val gone = ask.lender.copy(address = Address(HOST, ServerSocket(0).use { it.localPort }))
        borrower.ask(ask.copy(lender = gone))
        expectThat(received()).isEqualTo(LoanAnswer.NoAnswer)
    }

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
