package gypsumcart.core.streams

import gypsumcart.core.at
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Takes streams up in fleets of several sizes while two versions are in use or the second one comes. */
class TakeUpsInFleetTest {
    // Guards against refusing streams that clients take up at once, as their records reach other nodes late (LOST).
    @ParameterizedTest
    @ValueSource(ints = [3, 12, 35, 81, 400])
    fun `streams that clients take up at once go on in a fleet of any size`(nodeCount: Int) {
        val fleet = StreamFleet(nodeCount, seed = 58)
        fleet.run(perSecond = 4, duration = 10.seconds) { random ->
            random.nextInt(20, 2_000).milliseconds.takeIf { random.nextInt(3) == 0 }
        }
        fleet.expectNoneJoined()
        expectThat(fleet.takeUps.size).isGreaterThan(30)
        expectThat(fleet.takeUps.count { it.wentOn }).isEqualTo(fleet.takeUps.size)
    }

    // Guards against nodes that know one version joining the streams of others, or refusing them (ORDER, LOST).
    @ParameterizedTest
    @CsvSource("3, 1", "3, 2", "3, 3", "12, 1", "12, 2", "12, 3", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `streams go on before, while and after a second version joins`(nodeCount: Int, seed: Int) {
        val joinsAt = 4.seconds
        val fleet = StreamFleet(nodeCount, seed, versions = setOf(V1))
        val late = fleet.nodes.filter { it.rank % 10 == 7 }.onEach { it.maxFeedTime = 4.seconds }
        fleet.schedule(joinsAt) { fleet.release(V2) }
        fleet.run(perSecond = maxOf(15, 200 / nodeCount), duration = 8.seconds) { random ->
            random.nextInt(if (random.nextBoolean()) 100 else 2_000).milliseconds
        }
        fleet.expectNoneJoined()
        val inStep = fleet.takeUps.filter { it.node !in late && it.stream.node !in late }
        expectThat(inStep.filterNot { it.wentOn }).isEmpty()
        val ofFirstMoments = inStep.filter { it.stream.version == V2 && it.at < at(joinsAt + 500.milliseconds) }
        expectThat(ofFirstMoments.size).isGreaterThanOrEqualTo(1)
    }

    // Guards against a release of this build during which most take-ups are refused, or some joined (LOST, ORDER).
    // Models the pace at which nodes of the build before write their records, but not how they search for others'.
    @ParameterizedTest
    @CsvSource("17, 1", "17, 2", "17, 3", "34, 1", "34, 2", "34, 3")
    fun `at least half of the take-ups go on beside nodes of the build before`(oldCount: Int, seed: Int) {
        val fleet = StreamFleet(35, seed, oldCount)
        fleet.run(perSecond = 4, duration = 10.seconds) { random -> random.nextInt(20, 2_000).milliseconds }
        fleet.expectNoneJoined()
        expectThat(fleet.takeUps.count { it.wentOn } * 2).isGreaterThanOrEqualTo(fleet.takeUps.size)
    }
}
