package gypsumcart.core.streams

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.ZoneName
import gypsumcart.core.membership.NodeKey
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Covers the choice of the nodes that keep records of streams. */
class RecordersTest {
    private fun peers(count: Int): List<StreamPeer> =
        List(count) { number ->
            val key = NodeKey(NodeId("node-$number"), Incarnation(1))
            StreamPeer(key, Address("10.0.0.$number", 1), ZoneName("zone-${number % ZONES}"))
        }

    private fun List<StreamPeer>.chosenByZone(): Map<ZoneName, Set<NodeKey>> =
        chooseRecorders().groupBy({ it.zone }, { it.key }).mapValues { (_, keys) -> keys.toSet() }

    // Guards against nodes that send records to others than those that are asked for them (LOST).
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 12, 35, 81, 400])
    fun `all nodes choose the same ones, whatever the order in which they know them`(count: Int) {
        val peers = peers(count)
        val chosen = peers.chooseRecorders().map { it.key }.toSet()
        for (seed in 1..20) {
            expectThat(
                peers
                    .shuffled(Random(seed))
                    .chooseRecorders()
                    .map { it.key }
                    .toSet(),
            ).isEqualTo(chosen)
        }
    }

    // Guards against records that are lost with one zone, and against more questions for a take-up than stated.
    @ParameterizedTest
    @ValueSource(ints = [12, 35, 81, 400])
    fun `those that keep records are spread over the zones`(count: Int) {
        val sizes = peers(count).chosenByZone().values.map { it.size }
        expectThat(sizes).hasSize(ZONES)
        expectThat(sizes.max() - sizes.min()).isLessThanOrEqualTo(1)
        expectThat(sizes.sum()).isGreaterThanOrEqualTo(5)
        expectThat(sizes.sum()).isLessThanOrEqualTo(maxOf(2 * ZONES, count / 20 + ZONES))
    }

    // Guards against a small zone that keeps the records of all, or none, and with it against one copy of each (LOST).
    @Test
    fun `a zone of one node keeps records beside large ones`() {
        val peers = peers(90).map { if (it.zone == ZoneName("zone-3")) it.copy(zone = ZoneName("zone-0")) else it }
        val small = StreamPeer(NodeKey(NodeId("small"), Incarnation(1)), Address("10.0.1.1", 1), ZoneName("zone-3"))
        val chosen = (peers + small).chosenByZone()
        expectThat(chosen.getValue(small.zone)).isEqualTo(setOf(small.key))
        expectThat(chosen.getValue(ZoneName("zone-0"))).hasSize(3)
        expectThat(chosen.getValue(ZoneName("zone-1"))).hasSize(2)
    }

    // Guards against records that nobody asks for any more since a node of another zone was lost (LOST).
    @ParameterizedTest
    @ValueSource(ints = [12, 35, 41, 51, 81, 121, 400])
    fun `the loss of a node changes the choice in its zone only, by one node at most`(count: Int) {
        val peers = peers(count)
        val before = peers.chosenByZone()
        for (lost in peers) {
            val after = (peers - lost).chosenByZone()
            expectThat(after - lost.zone).isEqualTo(before - lost.zone)
            expectThat(before.getValue(lost.zone) - after.getValue(lost.zone)).get { size }.isLessThanOrEqualTo(1)
        }
    }

    // Guards against records of all nodes that the same few keep.
    @Test
    fun `nodes prefer different ones, and themselves first`() {
        val peers = peers(400)
        val chosen = peers.chooseRecorders()
        val loads = peers.groupingBy { chosen.preferredBy(it.key.node).first().key }.eachCount()
        expectThat(loads.values.max()).isLessThanOrEqualTo(30)
        expectThat(chosen.filter { chosen.preferredBy(it.key.node).first() != it }).isEmpty()
    }

    private companion object {
        const val ZONES = 4
    }
}
