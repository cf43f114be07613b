package gypsumcart.core.routing

import gypsumcart.core.at
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

/** Guards against back ends that fall over because nodes together send more than they have room for (LIMIT). */
class BrittleBackEndsTest {
    /** What the users' rule allows in one time in which a service of [backEnds] back ends is brittle. */
    private fun allowedFalls(backEnds: Int): Int = 2 + backEnds / 10

    /** Serves for 20 s while the back ends are brittle, and returns the fraction of requests that were answered. */
    private fun BrittleFleet.serveBrittle(load: Double): Double {
        serve(5.seconds, load)
        turnBrittle()
        val sent = serve(20.seconds, load)
        fleet.runUntil(fleet.now + 1.seconds)
        return sent.count { it in answered }.toDouble() / sent.count()
    }

    @Tag("known-red")
    @Test
    fun `brittle back ends at full load stay up, and the room that is left stays in use`() {
        val serving = BrittleFleet()
        expectThat(serving.serveBrittle(load = 1.0)).isGreaterThan(0.8)
        expectThat(serving.falls.size).isLessThanOrEqualTo(allowedFalls(6))
    }

    @Tag("known-red")
    @Test
    fun `brittle back ends at more than twice their load stay up, and the room that is left stays in use`() {
        val serving = BrittleFleet()
        expectThat(serving.serveBrittle(load = 2.3)).isGreaterThan(0.36)
        expectThat(serving.falls.size).isLessThanOrEqualTo(allowedFalls(6))
    }

    @Test
    fun `nodes learn that back ends are brittle before any has turned a request away`() {
        val serving = BrittleFleet()
        serving.turnBrittle()
        serving.serve(2.seconds, load = 0.1)
        val brittle = serving.changes.filter { it.second == BrittlenessChange.TurnedBrittle(3) }
        expectThat(brittle).hasSize(18)
        serving.turnSturdy()
        serving.serve(8.seconds, load = 0.3)
        expectThat(serving.changes.filter { it.second == BrittlenessChange.TurnedSturdy }).hasSize(18)
    }

    // Guards against brittleness that ends by a single response, or never.
    @Test
    fun `one response that omits that a back end is brittle does not end it`() {
        val brittleness = Brittleness()
        val start = at(1.seconds)
        brittleness.hear(BrittlenessStatement.Brittle(3), start)
        expectThat(brittleness.hear(BrittlenessStatement.Sturdy, start + 2.seconds)).isEqualTo(false)
        expectThat(brittleness.toleranceOrNull(start + 2.seconds)).isEqualTo(3)
        expectThat(brittleness.hear(BrittlenessStatement.Sturdy, start + 3.seconds)).isEqualTo(true)
        expectThat(brittleness.toleranceOrNull(start + 3.seconds)).isEqualTo(null)
        brittleness.hear(BrittlenessStatement.Brittle(4), start + 4.seconds)
        expectThat(brittleness.toleranceOrNull(start + 60.seconds)).isEqualTo(null)
    }

    @Test
    fun `a back end that has yet to say anything is taken for as brittle as others of its service`() {
        val service = ServiceBrittleness()
        val (known, unknown) = List(2) { Brittleness().also { it.service = service } }
        val start = at(1.seconds)
        known.hear(BrittlenessStatement.Brittle(3), start)
        expectThat(unknown.toleranceOrNull(start + 5.seconds)).isEqualTo(3)
        expectThat(unknown.toleranceOrNull(start + 15.seconds)).isEqualTo(null)
        unknown.hear(BrittlenessStatement.Sturdy, start + 5.seconds)
        expectThat(unknown.toleranceOrNull(start + 5.seconds)).isEqualTo(null)
    }

    @Test
    fun `falls and rejections of brittle back ends are reported`() {
        val serving = BrittleFleet()
        serving.turnBrittle()
        serving.serve(6.seconds, load = 3.0)
        expectThat(serving.changes.map { it.second }).contains(BrittlenessChange.Rejected)
    }
}
