package gypsumcart.core.routing

import gypsumcart.core.Address
import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ZoneName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BackEndPathsTest {
    private val paths = BackEndPaths()
    private val start = MonotonicTime(0)

    private fun backEnd(number: Int) = InstanceKey(BackEndId("i-$number"), Incarnation(1))

    private fun decide(event: PathEvent, atMillis: Int) = paths.decide(event, start + atMillis.milliseconds)

    private fun pathTo(number: Int, atMillis: Int) = paths.pathTo(backEnd(number), start + atMillis.milliseconds)

    @Test
    fun `a back end that only another node reaches is reached through others, and tried once a second`() {
        expectThat(decide(PathEvent.Unreached(backEnd(1), isCarried = true), 0)).isEmpty()
        expectThat(pathTo(1, 10)).isEqualTo(BackEndPath.Carried(isProbeDue = false))
        expectThat(pathTo(2, 10)).isEqualTo(BackEndPath.Direct)
        expectThat(pathTo(1, 1_000)).isEqualTo(BackEndPath.Carried(isProbeDue = true))
        expectThat(pathTo(1, 1_010)).isEqualTo(BackEndPath.Carried(isProbeDue = false))
        decide(PathEvent.Connected(backEnd(1)), 1_100)
        expectThat(pathTo(1, 1_110)).isEqualTo(BackEndPath.Direct)
    }

    // Guards against a back end that is down and is taken for a cut of the node.
    @Test
    fun `a back end that no node reaches stays on the direct path`() {
        repeat(10) { expectThat(decide(PathEvent.Unreached(backEnd(1), isCarried = false), it * 300)).isEmpty() }
        expectThat(pathTo(1, 4_000)).isEqualTo(BackEndPath.Direct)
        expectThat(paths.isCutOff).isFalse()
    }

    // Guards against a zone of back ends that is lost and keeps all nodes from opening connections to the others.
    @Test
    fun `back ends that no node reaches are no cut while others respond`() {
        decide(PathEvent.Unreached(backEnd(1), isCarried = false), 0)
        decide(PathEvent.Received, 50)
        decide(PathEvent.Unreached(backEnd(2), isCarried = false), 100)
        expectThat(decide(PathEvent.Unreached(backEnd(3), isCarried = false), 200)).isEmpty()
        expectThat(pathTo(4, 210)).isEqualTo(BackEndPath.Direct)
    }

    @Test
    fun `back ends that no node reaches are a cut if nothing arrives from the others`() {
        decide(PathEvent.Received, 0)
        (1..2).forEach { decide(PathEvent.Unreached(backEnd(it), isCarried = false), 50 * it) }
        val effects = decide(PathEvent.Unreached(backEnd(3), isCarried = false), 200)
        expectThat(effects).isEqualTo(listOf(PathEffect.CutOffChanged(true)))
    }

    @Test
    fun `two back ends that only other nodes reach cut the node off until a connection is established`() {
        decide(PathEvent.Unreached(backEnd(1), isCarried = true), 0)
        val effects = decide(PathEvent.Unreached(backEnd(2), isCarried = true), 100)
        expectThat(effects).isEqualTo(listOf(PathEffect.CutOffChanged(true)))
        expectThat(pathTo(3, 110)).isEqualTo(BackEndPath.Carried(isProbeDue = false))
        expectThat(decide(PathEvent.Connected(backEnd(3)), 1_200)).isEqualTo(listOf(PathEffect.CutOffChanged(false)))
        expectThat((1..3).map { pathTo(it, 1_210) }.toSet()).isEqualTo(setOf(BackEndPath.Direct))
    }

    @Test
    fun `a connection in between or a long time shows that the node is not cut off`() {
        decide(PathEvent.Unreached(backEnd(1), isCarried = true), 0)
        decide(PathEvent.Connected(backEnd(3)), 50)
        expectThat(decide(PathEvent.Unreached(backEnd(2), isCarried = true), 100)).isEmpty()
        expectThat(decide(PathEvent.Unreached(backEnd(4), isCarried = true), 3_200)).isEmpty()
        expectThat(paths.isCutOff).isFalse()
    }

    // Guards against a sound back end that falls silent for a moment and whose calls are ended.
    @Test
    fun `silence asks for one connection a second and ends nothing by itself`() {
        val waitingSince = start + 100.milliseconds
        decide(PathEvent.Received, 200)
        expectThat(paths.verdictOnSilence(waitingSince, start + 300.milliseconds))
            .isEqualTo(SilenceVerdict.Wait(start + 600.milliseconds))
        expectThat(paths.verdictOnSilence(waitingSince, start + 600.milliseconds)).isEqualTo(SilenceVerdict.Probe)
        decide(PathEvent.Connected(backEnd(1)), 610)
        expectThat(paths.verdictOnSilence(waitingSince, start + 1_050.milliseconds))
            .isEqualTo(SilenceVerdict.Wait(start + 1_600.milliseconds))
        expectThat(paths.isCutOff).isFalse()
    }

    @Test
    fun `silence and a connection that fails cut the node off and give up its connections`() {
        val effects = decide(PathEvent.SilenceConfirmed(start + 400.milliseconds), 700)
        expectThat(effects).isEqualTo(listOf(PathEffect.CutOffChanged(true), PathEffect.AbandonConnections))
        expectThat(paths.verdictOnSilence(start, start + 2.seconds)).isEqualTo(SilenceVerdict.Confirmed)
    }

    @Test
    fun `something that arrives while a connection is tried shows that the others live`() {
        decide(PathEvent.Received, 500)
        expectThat(decide(PathEvent.SilenceConfirmed(start + 400.milliseconds), 700)).isEmpty()
        expectThat(paths.isCutOff).isFalse()
    }

    @Test
    fun `connections lost to two back ends in a row, or during a cut, close the idle ones`() {
        expectThat(decide(PathEvent.Lost(backEnd(1)), 0)).isEmpty()
        decide(PathEvent.Received, 10)
        expectThat(decide(PathEvent.Lost(backEnd(2)), 20)).isEmpty()
        expectThat(decide(PathEvent.Lost(backEnd(1)), 30)).isEqualTo(listOf(PathEffect.CloseIdle))
        decide(PathEvent.SilenceConfirmed(start + 40.milliseconds), 300)
        expectThat(decide(PathEvent.Lost(backEnd(3)), 400)).isEqualTo(listOf(PathEffect.CloseIdle))
    }

    @Test
    fun `the node of the own zone is asked first and one of another zone second, others each time`() {
        val carriers = listOf("a" to "n-1", "a" to "n-2", "b" to "n-3").map { (zone, node) -> carrier(node, zone) }
        val choice = CarrierChoice(ZoneName("a"))
        val chosen = List(4) { choice.choose(carriers, start) }
        expectThat(chosen.map { it.first().node.text }.toSet()).isEqualTo(setOf("n-1", "n-2"))
        expectThat(chosen.map { it.last().node.text }.toSet()).isEqualTo(setOf("n-3"))
    }

    @Test
    fun `a node that failed is passed over for a while`() {
        val carriers = listOf(carrier("n-1", "a"), carrier("n-2", "b"))
        val choice = CarrierChoice(ZoneName("a"))
        choice.recordFailure(NodeId("n-1"), start)
        expectThat(choice.choose(carriers, start + 900.milliseconds)).isEqualTo(listOf(carriers[1]))
        expectThat(choice.choose(carriers, start + 1.seconds).size == 2).isTrue()
    }

    private fun carrier(node: String, zone: String) = Carrier(NodeId(node), Address(node, 1), ZoneName(zone))
}
