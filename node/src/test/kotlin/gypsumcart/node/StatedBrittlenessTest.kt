package gypsumcart.node

import gypsumcart.core.Address
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.ServiceName
import gypsumcart.core.ZoneName
import gypsumcart.core.routing.BrittlenessChange
import gypsumcart.core.routing.BrittlenessReport
import gypsumcart.core.routing.BrittlenessStatement
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.RoutingEffect
import gypsumcart.core.routing.RoutingFindings
import gypsumcart.core.routing.key
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

/** Guards against statements of brittle back ends that do not reach routing or the other nodes. */
class StatedBrittlenessTest {
    private val state = NodeState()
    private val heard = ArrayList<Pair<InstanceKey, BrittlenessStatement>>()
    private val stated = StatedBrittleness(state) { instance, statement -> heard += instance to statement }
    private val brittle = BrittlenessStatement.Brittle(3)

    private fun backEnd(id: String, service: String): BackEnd =
        BackEnd(
            id = BackEndId(id),
            incarnation = Incarnation(1),
            service = ServiceName(service),
            address = Address("10.0.0.1", 80),
            zone = ZoneName("a"),
            slots = 4,
            draining = false,
            spot = false,
            terminatesIn = null,
        )

    private fun change(of: BackEnd, change: BrittlenessChange) {
        RoutingEffect.BrittlenessChanged(of.service, of.key, change).record(state, Metrics())
    }

    @Test
    fun `statements that a back end is not brittle are passed on only while others of its service are`() {
        val (one, other, foreign) = listOf(backEnd("1", "a"), backEnd("2", "a"), backEnd("3", "b"))
        stated.observe(one, BrittlenessStatement.Sturdy)
        stated.observe(one, null)
        expectThat(heard).isEmpty()
        stated.observe(one, brittle)
        change(one, BrittlenessChange.TurnedBrittle(3))
        stated.observe(other, BrittlenessStatement.Sturdy)
        stated.observe(foreign, BrittlenessStatement.Sturdy)
        expectThat(heard).containsExactly(one.key to brittle, other.key to BrittlenessStatement.Sturdy)
        change(one, BrittlenessChange.TurnedSturdy)
        expectThat(state.brittleBackEnds).isEqualTo(emptyMap())
    }

    @Test
    fun `what nodes tell each other of brittle back ends is read as it was written`() {
        val instance = backEnd("1", "a").key
        for (statement in listOf(brittle, BrittlenessStatement.Sturdy)) {
            val report = BrittlenessReport(ServiceName("a"), instance, statement, 250.milliseconds)
            val findings = RoutingFindings(brittleness = listOf(report))
            expectThat(findings.toWireOrNull().toFindings()).isEqualTo(findings)
        }
    }
}
