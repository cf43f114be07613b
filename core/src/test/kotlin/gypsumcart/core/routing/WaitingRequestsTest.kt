package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.CallKind
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket
import gypsumcart.core.admitted
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.seconds

class WaitingRequestsTest {
    private var lastNumber = 0L
    private val waiting = WaitingRequests(WaitingOrder.FairAmongTeams)

    private fun request(team: String, priority: Int = 2): AdmittedRequest =
        admitted(CallKind.AtMostOnce, ++lastNumber).copy(team = TeamName(team), priority = priority)

    private fun add(team: String, priority: Int = 2, work: Double = 1.0, deadline: Int = 5): Ticket {
        val admitted = request(team, priority)
        waiting.add(WaitingRequest(admitted, emptySet(), at(deadline.seconds)), work)
        return admitted.ticket
    }

    private fun serveNext(): AdmittedRequest =
        waiting
            .inOrder()
            .first()
            .admitted
            .also { waiting.removeAssigned(it.ticket) }

    @Test
    fun `sixteen rivals of which three ask eight times their usual are served alike`() {
        val served = HashMap<String, Int>()
        repeat(40) {
            for (n in 1..16) repeat(if (n <= 3) 8 else 1) { add("team-$n") }
            repeat(16) { served.merge(checkNotNull(serveNext().team).text, 1, Int::plus) }
        }
        // Each team that asks for one request in a round gets one, whatever its rivals ask.
        for (n in 4..16) expectThat(served["team-$n"] ?: 0).isGreaterThanOrEqualTo(38)
    }

    @Test
    fun `a large request is served before a rival's small ones have got more work than it asks for`() {
        val large = add("large", work = 8.0)
        repeat(40) { add("small") }
        val position = waiting.inOrder().indexOfFirst { it.admitted.ticket == large }
        expectThat(position).isLessThan(9)
    }

    @Test
    fun `urgent requests go first and others keep a floor`() {
        repeat(40) { add("urgent", priority = 0) }
        repeat(40) { add("patient", priority = 3) }
        val first = List(20) { serveNext().priority }
        expectThat(first.count { it == 0 }).isGreaterThanOrEqualTo(15)
        expectThat(first.count { it == 3 }).isGreaterThanOrEqualTo(2)
    }

    @Test
    fun `within a team the request with the least time left goes first`() {
        val late = add("team", deadline = 9)
        val soon = add("team", deadline = 2)
        expectThat(waiting.inOrder().map { it.admitted.ticket }).containsExactly(soon, late)
    }

    @Test
    fun `a team that fills the queue is not counted before the first request of another`() {
        repeat(30) { add("hot") }
        expectThat(waiting.countBefore(request("small"), work = 1.0)).isLessThan(3)
        expectThat(waiting.countBefore(request("hot"), work = 1.0)).isEqualTo(30)
        expectThat(waiting.countBefore(request("hot", priority = 0), work = 1.0)).isEqualTo(0)
    }

    @Test
    fun `a team that did not ask for a while has no credit for it`() {
        repeat(20) { add("busy") }
        repeat(20) { serveNext() }
        repeat(5) { add("busy") }
        repeat(5) { add("returning") }
        val teams = List(10) { checkNotNull(serveNext().team).text }
        expectThat(teams.take(4).count { it == "busy" }).isEqualTo(2)
    }
}
