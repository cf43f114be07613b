package gypsumcart.core.streams

import gypsumcart.core.at
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Kills nodes of a fleet while two versions are in use; the streams of their clients are taken up at other nodes. */
class TakeUpsAfterKillsTest {
    /** Streams last 0.2, 0.4 and 2 s in the ratio 4:4:1, as on the sheet of the deployment. */
    private fun life(random: Random): Duration =
        when (random.nextInt(9)) {
            in 0..3 -> 200.milliseconds
            in 4..7 -> 400.milliseconds
            else -> 2.seconds
        }

    /** Breaks some streams off at nodes that run. */
    private fun breaksAfter(random: Random): Duration? =
        random.nextInt(20, 2_000).milliseconds.takeIf { random.nextInt(3) == 0 }

    /** Expects that no stream was joined, and that half of the take-ups went on, as new streams all begin. */
    private fun StreamFleet.expectHalf() {
        expectNoneJoined()
        expectThat(takeUps.size).isGreaterThanOrEqualTo(12)
        expectThat(takeUps.count { it.wentOn } * 2).isGreaterThanOrEqualTo(takeUps.size)
    }

    /** Expects that those streams went on whose records had the time to reach other nodes before [KILL_TIME]. */
    private fun StreamFleet.expectKnownWentOn() {
        val known = takeUps.filter { it.stream.beganAt !in at(KILL_TIME - SEND_TIME)..at(KILL_TIME) }
        expectThat(known.filterNot { it.wentOn }).isEmpty()
    }

    // Guards against streams that end with the node that began them, as no other one knows them yet (LOST).
    @ParameterizedTest
    @CsvSource("12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `streams of killed nodes go on at others`(nodeCount: Int, seed: Int) {
        val fleet = StreamFleet(nodeCount, seed)
        fleet.schedule(KILL_TIME) { fleet.kill((fleet.nodes - fleet.recorders.toSet()).take(5), 2.seconds) }
        fleet.run(perSecond = 15, duration = 8.seconds, ::life, ::breaksAfter)
        fleet.expectHalf()
        fleet.expectKnownWentOn()
    }

    // Guards against streams whose nodes run and are refused elsewhere as a node that kept their records died (LOST).
    @ParameterizedTest
    @CsvSource("12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `streams go on when a node that keeps records is killed, before and after it starts again`(
        nodeCount: Int,
        seed: Int,
    ) {
        val fleet = StreamFleet(nodeCount, seed)
        fleet.schedule(KILL_TIME) { fleet.kill(listOf(fleet.recorders.first()), 2.seconds) }
        fleet.run(perSecond = 15, duration = 8.seconds, ::life, ::breaksAfter)
        fleet.expectHalf()
        fleet.expectKnownWentOn()
    }

    // Guards against refusals until membership lapses when nobody keeps records any more (LOST).
    @ParameterizedTest
    @CsvSource("12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `half of the streams go on when all nodes that keep records are killed`(nodeCount: Int, seed: Int) {
        val fleet = StreamFleet(nodeCount, seed)
        fleet.schedule(KILL_TIME) { fleet.kill(fleet.recorders) }
        fleet.run(perSecond = 15, duration = 10.seconds, ::life, ::breaksAfter)
        fleet.expectHalf()
        val ofWindow = fleet.takeUps.filter { it.at in at(KILL_TIME)..at(KILL_TIME + LAPSE_TIME) }
        expectThat(ofWindow.count { it.wentOn } * 2).isGreaterThanOrEqualTo(ofWindow.size)
    }

    // Guards against a zone that takes both nodes with it that knew a stream (LOST).
    @ParameterizedTest
    @CsvSource("12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `streams go on when a zone is killed`(nodeCount: Int, seed: Int) {
        val fleet = StreamFleet(nodeCount, seed)
        val zone = fleet.nodes[seed % 4].zone
        fleet.schedule(KILL_TIME) { fleet.kill(fleet.nodes.filter { it.zone == zone }) }
        fleet.run(perSecond = 15, duration = 8.seconds, ::life, ::breaksAfter)
        fleet.expectHalf()
        fleet.expectKnownWentOn()
    }

    // Guards against records that only memory holds, or that are stored too late for streams of a usual length (LOST).
    @ParameterizedTest
    @CsvSource("3, 1", "3, 2", "12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1", "81, 2", "400, 1", "400, 2")
    fun `half of the streams go on when all nodes are killed at once and start again`(nodeCount: Int, seed: Int) {
        val fleet = StreamFleet(nodeCount, seed)
        fleet.schedule(KILL_TIME) { fleet.kill(fleet.nodes, 1.5.seconds) }
        fleet.run(perSecond = minOf(15, 1_600 / nodeCount), duration = 4.seconds, ::life) { null }
        fleet.expectHalf()
    }

    // Guards against a node that starts with one version in its list while another one's streams go on (ORDER).
    @ParameterizedTest
    @CsvSource("3, 1", "3, 2", "12, 1", "12, 2", "35, 1", "35, 2", "35, 3")
    fun `no stream is joined when nodes are killed while a second version joins`(nodeCount: Int, seed: Int) {
        val fleet = StreamFleet(nodeCount, seed, versions = setOf(V1))
        fleet.schedule(KILL_TIME - 200.milliseconds) { fleet.release(V2) }
        fleet.schedule(KILL_TIME) { fleet.kill(fleet.nodes.filter { it.rank % 3 == 0 }, 1.5.seconds) }
        fleet.schedule(KILL_TIME + 300.milliseconds) {
            fleet.kill(fleet.nodes.filter { it.rank % 3 == 1 }, 1.5.seconds)
        }
        fleet.run(perSecond = 15, duration = 8.seconds, ::life, ::breaksAfter)
        fleet.expectHalf()
    }

    private companion object {
        val KILL_TIME = 3.seconds

        /** In this time a record reaches another node, also if it waits for the message before. */
        val SEND_TIME = 20.milliseconds

        /** After this time the nodes know of the loss. */
        val LAPSE_TIME = 4.seconds
    }
}
