package gypsumcart.core.membership

import gypsumcart.core.NodeId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** Covers the choice of the relay of a zone among hosts of different sizes. */
class RelayRankTest {
    private fun fleetWithLargeHosts(vararg large: String): SimulatedFleet {
        val ids = large.map { NodeId(it) }
        return SimulatedFleet(listOf(4, 4, 4), relayRankOf = { RelayRank(if (it in ids) 2 else 0) }).apply {
            start()
            runUntil(6.seconds)
        }
    }

    private fun SimulatedFleet.relaysOf(zone: String, seconds: Int): List<String> {
        val ofZone = nodes.filter { it.target.zone.text == zone }
        val before = ofZone.associate { it.id to it.answered }
        runUntil(now + seconds.seconds)
        return ofZone.filter { it.answered - before.getValue(it.id) > 4 * seconds }.map { it.id.text }
    }

    @ParameterizedTest
    @CsvSource(
        "0.27, 7, 0",
        "0.27, 1000, 0",
        "1, 7, 0",
        "0.5, 16, 1",
        "1, 1000, 2",
        "64, 10000, 4",
        "NaN, 7, 0",
        "-1, 7, 0",
    )
    fun `a host ranks by the scarcer of its processor and its link`(cpu: Double, link: Double, level: Int) {
        expectThat(RelayRank.of(cpu, link)).isEqualTo(RelayRank(level))
    }

    @Test
    fun `the largest host of a zone is its relay, and the oldest of several large ones`() {
        val fleet = fleetWithLargeHosts("z0-3", "z1-2", "z1-4")
        expectThat(fleet.relaysOf("z0", 5)).isEqualTo(listOf("z0-3"))
        expectThat(fleet.relaysOf("z1", 5)).isEqualTo(listOf("z1-2"))
        expectThat(fleet.relaysOf("z2", 5)).isEqualTo(listOf("z2-1"))
        expectThat(fleet.nodes).all { get { linked }.isTrue() }
    }

    @Test
    fun `small hosts relay for each other while the large one is off, and it takes over again`() {
        val fleet = fleetWithLargeHosts("z0-3")
        fleet.node("z0-3").running = false
        fleet.runUntil(12.seconds)
        expectThat(fleet.relaysOf("z0", 5)).isEqualTo(listOf("z0-1"))
        expectThat(fleet.nodes.filter { it.running }).all { get { linked }.isTrue() }
        fleet.restart(NodeId("z0-3"))
        fleet.runUntil(25.seconds)
        expectThat(fleet.relaysOf("z0", 5)).isEqualTo(listOf("z0-3"))
        expectThat(fleet.nodes).all {
            get { linked }.isTrue()
            get { members }.hasSize(12)
        }
    }

    @Test
    fun `reports go on while a large host starts again and again`() {
        val fleet = fleetWithLargeHosts("z0-3")
        repeat(5) {
            fleet.restart(NodeId("z0-3"))
            fleet.runUntil(fleet.now + 4.seconds)
            val observer = fleet.node("z1-2")
            val key = fleet.node("z0-2").key
            val before = observer.reports.getValue(key).heartbeat
            fleet.runUntil(fleet.now + 2.seconds)
            expectThat(observer.reports.getValue(key).heartbeat).isGreaterThan(before)
        }
    }
}
