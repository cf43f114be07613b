package gypsumcart.core.usage

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.membership.NodeReport
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers the counts that nodes did not share before they ended, as when many hosts are reclaimed at once. */
class LostCountsTest {
    private val settings = UsageSettings(5.seconds, 10.seconds, unsharedTime = 500.milliseconds)
    private val window = WindowNumber(20)
    private val before = WindowNumber(19)
    private val team = TeamName("team")

    private fun report(node: String, countBefore: Int, count: Int, until: Long) =
        NodeReport(
            node = NodeId(node),
            incarnation = Incarnation(1),
            clientAddress = Address("10.0.0.1", 80),
            peerAddress = null,
            zone = ZoneName("a"),
            accepting = true,
            heartbeat = 1,
            usage = mapOf(before to mapOf(team to countBefore), window to mapOf(team to count)),
            usageUntil = UnixMillis(until),
            quotaUse = emptyMap(),
            load = emptyMap(),
            latency = emptyMap(),
            lease = null,
        )

    private fun estimateOf(vararg reports: NodeReport): Map<TeamName, Int> =
        LostCounts(settings).sumOf(window, reports.toList())

    @Test
    fun `a node that went on beyond the window, or ended before it, lost nothing in it`() {
        expectThat(estimateOf(report("late", 50, 50, 105_000), report("early", 50, 0, 99_999))).isEmpty()
    }

    @Test
    fun `a node that ended within the window went on for the unshared time as before`() {
        expectThat(estimateOf(report("node", 50, 30, 103_000))).isEqualTo(mapOf(team to 5))
        expectThat(estimateOf(report("node", 50, 0, 100_000))).isEqualTo(mapOf(team to 5))
    }

    @Test
    fun `a node that ended right before the end of the window lost the rest of it at most`() {
        expectThat(estimateOf(report("node", 50, 49, 104_900))).isEqualTo(mapOf(team to 1))
    }

    @Test
    fun `many small losses count together`() {
        val reports = (1..10).map { report("node-$it", 3, 1, 102_000) }
        expectThat(estimateOf(*reports.toTypedArray())).isEqualTo(mapOf(team to 3))
    }

    @Test
    fun `nothing is estimated without an unshared time`() {
        val none = LostCounts(settings.copy(unsharedTime = 0.seconds))
        expectThat(none.sumOf(window, listOf(report("node", 50, 30, 103_000)))).isEmpty()
    }

    /** Thirteen nodes end at the same time; each shares counts a quarter of a second old twice a second. */
    @Test
    fun `the sum of a herd kill is off by less than one in a hundred on average`() {
        val random = Random(3)
        var worst = 0.0
        var total = 0.0
        repeat(200) {
            val killedAt = 100_000 + random.nextLong(1_000, 4_500)
            var truth = 0
            val reports =
                (1..36).map { number ->
                    val isKilled = number <= 13
                    val starts = List(120) { 95_000 + random.nextLong(10_000) }
                    val ranUntil = if (isKilled) killedAt else 105_000
                    truth += starts.count { it in 100_000..<ranUntil }
                    val sharedUntil = if (isKilled) killedAt - random.nextLong(250, 750) else 105_000
                    val shared = starts.filter { it < sharedUntil }
                    report("node-$number", shared.count { it < 100_000 }, shared.count { it >= 100_000 }, sharedUntil)
                }
            val sum =
                reports.sumOf { it.usage.getValue(window).getValue(team) } +
                    (estimateOf(*reports.toTypedArray())[team] ?: 0)
            val error = abs(sum - truth) / truth.toDouble()
            worst = maxOf(worst, error)
            total += error
        }
        println("herd kill of 13 of 36 nodes: error of a window's sum ${total / 200} on average, $worst at worst")
        expectThat(total / 200).isLessThan(0.01)
        expectThat(worst).isLessThan(0.02)
    }
}
