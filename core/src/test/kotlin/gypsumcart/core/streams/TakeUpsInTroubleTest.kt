package gypsumcart.core.streams

import gypsumcart.core.ZoneName
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Takes streams up while two versions are in use and the store or the links between nodes are in trouble. */
class TakeUpsInTroubleTest {
    private fun breaksAfter(random: Random): Duration = random.nextInt(20, 2_000).milliseconds

    private fun StreamFleet.expectAllWentOn() {
        expectNoneJoined()
        expectThat(takeUps.size).isGreaterThan(100)
        expectThat(takeUps.filterNot { it.wentOn }).isEmpty()
    }

    // Guards against take-ups that depend on the store although the nodes that know the stream run (LOST).
    @ParameterizedTest
    @CsvSource("3, 1", "3, 2", "12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `streams go on while the store is slow`(nodeCount: Int, seed: Int) {
        val fleet = StreamFleet(nodeCount, seed)
        fleet.store.maxCallTime = 500.milliseconds
        fleet.run(perSecond = 6, duration = 8.seconds, breaksAfter = ::breaksAfter)
        fleet.expectAllWentOn()
    }

    // Guards against take-ups that depend on the store although the nodes that know the stream run (LOST).
    @ParameterizedTest
    @CsvSource("3, 1", "3, 2", "12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `streams go on while the store is away`(nodeCount: Int, seed: Int) {
        val fleet = StreamFleet(nodeCount, seed)
        fleet.schedule(2.seconds) { fleet.loseStore() }
        fleet.schedule(6.seconds) { fleet.returnStore(isCopy = false) }
        fleet.run(perSecond = 6, duration = 8.seconds, breaksAfter = ::breaksAfter)
        fleet.expectAllWentOn()
    }

    // Guards against a copy of the store that lacks the records of the last seconds, or their version (LOST, ORDER).
    @ParameterizedTest
    @CsvSource("3, 1", "3, 2", "12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `streams go on when the store comes back from a copy that lacks the second version`(
        nodeCount: Int,
        seed: Int,
    ) {
        val fleet = StreamFleet(nodeCount, seed, versions = setOf(V1))
        fleet.schedule(1.seconds) { fleet.store.takeCopy() }
        fleet.schedule(2.seconds) { fleet.release(V2) }
        fleet.schedule(5.seconds) { fleet.loseStore() }
        fleet.schedule(5.2.seconds) { fleet.returnStore(isCopy = true) }
        fleet.run(perSecond = 6, duration = 8.seconds, breaksAfter = ::breaksAfter)
        fleet.expectAllWentOn()
    }

    // Guards against nodes that start from a copy of the store, and know no second version by it (ORDER).
    @ParameterizedTest
    @CsvSource("3, 1", "3, 2", "12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "81, 1")
    fun `no stream is joined by nodes that start while the store is back from a copy`(nodeCount: Int, seed: Int) {
        val fleet = StreamFleet(nodeCount, seed, versions = setOf(V1))
        fleet.schedule(1.seconds) { fleet.store.takeCopy() }
        fleet.schedule(2.seconds) { fleet.release(V2) }
        fleet.schedule(5.seconds) { fleet.loseStore() }
        fleet.schedule(5.2.seconds) { fleet.returnStore(isCopy = true) }
        fleet.schedule(
            5.1.seconds,
        ) { fleet.kill(fleet.nodes.filter { it.zone == ZoneName("zone-1") }, 400.milliseconds) }
        fleet.run(perSecond = 15, duration = 8.seconds, breaksAfter = ::breaksAfter)
        fleet.expectNoneJoined()
    }

    // Guards against nodes that join streams as only others know of the second version, and keep no records (ORDER).
    @ParameterizedTest
    @CsvSource("12, 2", "12, 3", "35, 1", "35, 2")
    fun `no stream is joined by half of the nodes that start while the store is back from a copy`(
        nodeCount: Int,
        seed: Int,
    ) {
        val fleet = StreamFleet(nodeCount, seed, versions = setOf(V1))
        val zones = setOf(ZoneName("zone-0"), ZoneName("zone-1"))
        fleet.schedule(1.seconds) { fleet.store.takeCopy() }
        fleet.schedule(2.seconds) { fleet.release(V2) }
        fleet.schedule(5.seconds) { fleet.loseStore() }
        fleet.schedule(5.1.seconds) { fleet.kill(fleet.nodes.filter { it.zone in zones }, 400.milliseconds) }
        fleet.schedule(5.2.seconds) { fleet.returnStore(isCopy = true) }
        fleet.run(perSecond = 15, duration = 8.seconds, breaksAfter = ::breaksAfter)
        fleet.expectNoneJoined()
    }

    // Guards against a cut between zones that keeps records from the nodes that are asked for them (LOST, ORDER).
    @ParameterizedTest
    @CsvSource("3, 1", "12, 1", "12, 2", "35, 1", "35, 2", "35, 3", "35, 10", "81, 1")
    fun `streams go on through the store while nodes are cut off from each other`(nodeCount: Int, seed: Int) {
        for (isOneWay in listOf(false, true)) {
            val fleet = StreamFleet(nodeCount, seed)
            val side = setOf(ZoneName("zone-0"), ZoneName("zone-1"))
            fleet.schedule(2.seconds) { fleet.cut = StreamFleet.Cut(side, isOneWay) }
            fleet.schedule(6.seconds) { fleet.cut = null }
            fleet.run(perSecond = 6, duration = 8.seconds, breaksAfter = ::breaksAfter)
            fleet.expectAllWentOn()
        }
    }

    // Guards against proofs of a single version that hold only while nodes and the store are in touch (ORDER).
    @ParameterizedTest
    @CsvSource("3, 1", "3, 2", "12, 1", "12, 2", "12, 3", "35, 1", "35, 2", "35, 3", "35, 4")
    fun `no stream is joined when a second version joins amid a cut, a kill and a slow store`(
        nodeCount: Int,
        seed: Int,
    ) {
        val fleet = StreamFleet(nodeCount, seed, versions = setOf(V1))
        fleet.nodes.filter { it.rank % 5 == 2 }.forEach { it.maxFeedTime = 4.seconds }
        fleet.store.maxCallTime = 500.milliseconds
        fleet.schedule(2.seconds) { fleet.cut = StreamFleet.Cut(setOf(ZoneName("zone-0")), isOneWay = false) }
        fleet.schedule(3.seconds) { fleet.release(V2) }
        fleet.schedule(3.2.seconds) { fleet.kill(fleet.nodes.filter { it.zone == ZoneName("zone-1") }, 1.seconds) }
        fleet.run(perSecond = 15, duration = 6.seconds, breaksAfter = ::breaksAfter)
        fleet.expectNoneJoined()
        expectThat(fleet.takeUps.count { it.stream.version == V2 && it.wentOn }).isGreaterThan(10)
    }
}
