package gypsumcart.core.routing

import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests to a back end that has asked this node for a pause (BUDGET in the pausing days). */
class PausedBackEndTest {
    private val random = Random(7)

    private fun ServingFleet.pauseNowAndThen(duration: Duration) {
        pauseOf = { if (it.id.text == "e1" && random.nextDouble() < 0.03) duration else null }
    }

    /** Returns the calls that [pause] forbids, from half a second after its statement on. */
    private fun ServingFleet.callsIn(pause: Pause): Int =
        calledEngines.count { (time, engine, node) ->
            engine == pause.engine && node == pause.node && time >= pause.from + 500.milliseconds && time < pause.until
        }

    @Test
    fun `110 requests a second over three back ends, one of which turns some away for 3 seconds`() {
        val serving = ServingFleet(zoneSizes = listOf(1, 1, 1), engines = 3)
        serving.pauseNowAndThen(3.seconds)
        val sent = serving.serve(20.seconds, perSecond = 110)
        serving.run(1.seconds)
        expectThat(serving.pauses.size).isGreaterThan(6)
        expectThat(serving.pauses.sumOf { serving.callsIn(it) }).isEqualTo(0)
        expectThat(serving.answered(sent)).isEqualTo(sent.size)
    }

    @Test
    fun `a pause binds only the node that was asked`() {
        val serving = ServingFleet(zoneSizes = listOf(1, 1, 1), engines = 3)
        serving.pauseOf = { if (it.id.text == "e1" && serving.pauses.isEmpty()) 5.seconds else null }
        serving.serve(4.seconds, perSecond = 110)
        val asked = serving.pauses.map { it.node }.toSet()
        val others = serving.calledEngines.filter { it.second.text == "e1" && it.third !in asked }
        expectThat(asked.size).isLessThan(3)
        expectThat(others.size).isGreaterThan(20)
    }

    @Test
    fun `a back end that turns everything away gets two calls at most in each pause, however long it lasts`() {
        for (duration in listOf(700.milliseconds, 3.seconds, 300.days)) {
            val serving = ServingFleet(zoneSizes = listOf(1, 1), engines = 3)
            serving.pauseOf = { if (it.id.text == "e1") duration else null }
            serving.serve(5.seconds, perSecond = 60)
            serving.eachServer { list() }
            serving.relist("e1") { it.copy(slots = 63) }
            serving.serve(5.seconds, perSecond = 60)
            expectThat(serving.pauses).all { get { serving.callsIn(this) }.isEqualTo(0) }
        }
    }

    @Test
    fun `a pause lasts while its back end is taken off the list and comes back`() {
        val serving = ServingFleet(zoneSizes = listOf(1), engines = 3)
        serving.pauseOf = { if (it.id.text == "e1") 8.seconds else null }
        serving.serve(2.seconds)
        serving.eachServer { route(RoutingEvent.BackEndsListed(listOf(serving.engine("e0")))) }
        serving.serve(1.seconds)
        serving.eachServer { list() }
        serving.serve(6.seconds)
        expectThat(serving.pauses.sumOf { serving.callsIn(it) }).isEqualTo(0)
    }

    @Test
    fun `when all back ends pause, requests are refused at once and told when a pause has ended`() {
        val serving = ServingFleet(zoneSizes = listOf(1), engines = 2)
        serving.pauseOf = { 3.seconds }
        serving.serve(500.milliseconds)
        val pausesEnd = serving.pauses.minOf { it.until }
        serving.pauseOf = { null }
        val sent = List(30) { serving.send("z0-1", promptOf("system", "subject-$it")) }
        expectThat(sent).all {
            get { serving.endings[this]?.outcome as? Outcome.NotRun }.isNotNull().and {
                get { reason }.isEqualTo(RefusalReason.BackEndsPaused)
                get { serving.fleet.now + checkNotNull(retryAfter) }.isGreaterThanOrEqualTo(pausesEnd)
            }
        }
        val returns = sent.mapNotNull { (serving.endings[it]?.outcome as? Outcome.NotRun)?.retryAfter }
        expectThat(returns.distinct().size).isEqualTo(sent.size)
        serving.run(returns.min())
        val returned = serving.send("z0-1", promptOf("system", "subject"))
        serving.run(1.seconds)
        expectThat(serving.answered(listOf(returned))).isEqualTo(1)
    }

    @Test
    fun `the only back end's own refusal tells the client when its pause ends`() {
        val serving = ServingFleet(zoneSizes = listOf(1), engines = 1)
        serving.pauseOf = { 2.seconds }
        val sent = serving.send("z0-1", promptOf("system", "subject"))
        serving.run(100.milliseconds)
        expectThat(serving.endings[sent]?.outcome).isEqualTo(Outcome.NotRun(RefusalReason.BackEndsPaused, 2.seconds))
    }
}
