package gypsumcart.core.routing

import gypsumcart.core.Incarnation
import gypsumcart.core.directory.DirectoryEvent
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests to a back end that has said that it leaves (DRAIN in the leaving days). */
class LeavingBackEndTest {
    private val serving = ServingFleet(zoneSizes = listOf(1, 1, 1), engines = 3)
    private val leavingEngine = InstanceKey(serving.engine("e1").id, Incarnation(1))

    /** Returns the calls to the leaving engine, each of a node that had received a statement before. */
    private fun callsAfterStatement(): Int =
        serving.calledEngines.count { (time, id, node) ->
            id == leavingEngine.id && serving.departures[node to leavingEngine]?.let { time > it } ?: false
        }

    @Test
    fun `110 requests a second over three back ends, one leaving for 20 seconds, its entry unchanged`() {
        serving.serve(3.seconds, perSecond = 110)
        serving.leaving += leavingEngine
        val sent = serving.serve(20.seconds, perSecond = 110)
        serving.run(1.seconds)
        expectThat(serving.departures.size).isEqualTo(3)
        expectThat(callsAfterStatement()).isEqualTo(0)
        expectThat(serving.answered(sent)).isEqualTo(sent.size)
    }

    @Test
    fun `calls that run on a back end when it says that it leaves end there`() {
        val streams = List(12) { serving.send("z0-1", promptOf("system", "subject-$it")) }
        serving.run(50.milliseconds)
        serving.leaving += leavingEngine
        serving.run(1.seconds)
        expectThat(serving.answered(streams)).isEqualTo(streams.size)
        expectThat(serving.calledEngines.count { it.second == leavingEngine.id }).isGreaterThan(1)
    }

    @Test
    fun `a back end that leaves gets no calls while the store is away and its entry lapses and returns`() {
        serving.serve(3.seconds, perSecond = 110)
        serving.leaving += leavingEngine
        serving.serve(1.seconds, perSecond = 110)
        serving.eachServer { list(DirectoryEvent.RegistryUnavailable) }
        serving.serve(3.seconds, perSecond = 110)
        serving.eachServer { list(DirectoryEvent.Changed(emptyList(), listOf(leavingEngine.id))) }
        serving.serve(2.seconds, perSecond = 110)
        serving.eachServer { list(DirectoryEvent.RegistryAvailable) }
        serving.eachServer { list() }
        serving.serve(3.seconds, perSecond = 110)
        expectThat(callsAfterStatement()).isEqualTo(0)
    }

    @Test
    fun `a later start under the same id is used again, an equal or older listing is not`() {
        serving.leaving += leavingEngine
        serving.serve(3.seconds, perSecond = 110)
        for (incarnation in listOf(1L, 0L)) {
            serving.relist("e1") { it.copy(incarnation = Incarnation(incarnation), slots = 63) }
            serving.serve(2.seconds, perSecond = 110)
        }
        expectThat(callsAfterStatement()).isEqualTo(0)
        val restartedAt = serving.fleet.now
        serving.relist("e1") { it.copy(incarnation = Incarnation(2)) }
        serving.serve(2.seconds, perSecond = 110)
        expectThat(
            serving.calledEngines.count { (time, id) -> time >= restartedAt && id == leavingEngine.id },
        ).isGreaterThan(20)
    }
}
