package gypsumcart.core.admission

import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.SimulatedFleet
import gypsumcart.core.membership.SimulatedNetwork
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that 36 and 81 nodes which lend each other quota never admit more than the quota allows in any window,
 * whatever happens to their messages, their processes and the store, and how much of it they can use.
 */
class QuotaLoansFleetTest {
    /** Identifies one run of a fleet of [nodes]. */
    data class Run(val nodes: Int, val seed: Long)

    private fun run(
        run: Run,
        load: TeamLoad,
        network: SimulatedNetwork = SimulatedNetwork(lossRate = 0.02),
        disturb: QuotaFleet.() -> Unit = {},
    ): QuotaFleet {
        val fleet = QuotaFleet(run.seed, List(3) { run.nodes / 3 }, network, load, QuotaSharing.Lending)
        fleet.start()
        fleet.disturb()
        fleet.fleet.runUntil(END)
        return fleet
    }

    private fun QuotaFleet.every(seconds: Int, change: QuotaFleet.() -> Unit) {
        for (second in 16..END.inWholeSeconds.toInt() step seconds) fleet.schedule(second.seconds) { change() }
    }

    @ParameterizedTest
    @MethodSource("runs")
    fun `refunds that are late, lost or come twice never add up to more than the quota`(run: Run) {
        val fleet = run(run, TeamLoad(demand = 4.0, favoredFraction = 0.7, notRunFraction = 0.3))
        expectThat(fleet.maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
    }

    @ParameterizedTest
    @MethodSource("runs")
    fun `loans that are lost, late or repeated never add up to more than the quota`(run: Run) {
        val network = SimulatedNetwork(maxDelay = 25.milliseconds, lossRate = 0.2, repeatRate = 0.3)
        expectThat(run(run, EVEN_OVERLOAD, network).maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
    }

    @ParameterizedTest
    @MethodSource("runs")
    fun `lenders and other nodes that are cut off never add up to more than the quota`(run: Run) {
        val fleet =
            run(run, UNEVEN_OVERLOAD) {
                every(4) {
                    fleet.cuts.clear()
                    repeat(random.nextInt(8)) { fleet.isolate(fleet.nodes.random(random).id) }
                    if (random.nextBoolean()) fleet.isolate(lender())
                    fleet.storeAnswers = random.nextBoolean()
                }
            }
        expectThat(fleet.maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
    }

    @ParameterizedTest
    @MethodSource("runs")
    fun `zones that are cut off never add up to more than the quota`(run: Run) {
        val fleet =
            run(run, EVEN_OVERLOAD) {
                every(5) {
                    fleet.cuts.clear()
                    val zone =
                        fleet.nodes
                            .random(random)
                            .target.zone
                    val (inside, outside) = fleet.nodes.partition { it.target.zone == zone }
                    for (node in inside) cut(node, outside)
                    fleet.storeAnswers = random.nextBoolean()
                }
            }
        expectThat(fleet.maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
    }

    private fun QuotaFleet.cut(node: SimulatedFleet.SimulatedNode, others: List<SimulatedFleet.SimulatedNode>) {
        for (other in others) {
            fleet.cuts += node.id to other.id
            fleet.cuts += other.id to node.id
        }
    }

    @ParameterizedTest
    @MethodSource("runs")
    fun `lenders and other nodes that start again never add up to more than the quota`(run: Run) {
        val fleet =
            run(run, EVEN_OVERLOAD) {
                every(5) {
                    val others = fleet.nodes.shuffled(random).take(random.nextInt(fleet.nodes.size))
                    (others.map { it.id } + lender()).distinct().forEach(::restart)
                }
            }
        expectThat(fleet.maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
    }

    @ParameterizedTest
    @MethodSource("runs")
    fun `a lender with most of the demand that starts again never adds up to more than the quota`(run: Run) {
        val fleet = run(run, TeamLoad(6.0, 0.9, favorPeriod = 100.seconds)) { every(7) { restart(lender()) } }
        expectThat(fleet.maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
    }

    @ParameterizedTest
    @MethodSource("runs")
    fun `a change of lender never adds up to more than the quota`(run: Run) {
        val fleet =
            run(run, UNEVEN_OVERLOAD) {
                every(6) {
                    val lender = lender()
                    val node = fleet.nodes.first { it.id == lender }
                    node.decide(MembershipEvent.AcceptingChanged(false))
                    fleet.schedule(2.seconds) { node.decide(MembershipEvent.AcceptingChanged(true)) }
                }
            }
        expectThat(fleet.maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
    }

    // Pattern: nodes refuse with 429 although the team as a whole is within its quota.
    @ParameterizedTest
    @ValueSource(ints = [36, 81])
    fun `a team that asks for 0_6 of its quota is refused fewer than 1 in 100 requests`(nodes: Int) {
        for (load in listOf(TeamLoad(0.6), TeamLoad(0.6, favoredFraction = 0.7))) {
            val fleet = run(Run(nodes, 1), load, USUAL_NETWORK)
            expectThat(fleet.refusedFraction(16.seconds)).isLessThan(0.01)
            expectThat(fleet.maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [36, 81])
    fun `a team can use most of its quota, however its demand is spread over the nodes`(nodes: Int) {
        for (load in listOf(TeamLoad(1.5), TeamLoad(1.5, favoredFraction = 0.7), EVEN_OVERLOAD, UNEVEN_OVERLOAD)) {
            val fleet = run(Run(nodes, 1), load, USUAL_NETWORK)
            expectThat(fleet.usedFraction(20.seconds, END)).isGreaterThan(0.8)
            expectThat(fleet.maxInWindow()).isLessThanOrEqualTo(QuotaFleet.TOLERATED)
        }
    }

    // Pattern: the largest requests are refused more often, because a part that suffices for small ones is used first.
    @Test
    fun `the largest requests of a team beyond its quota are served nearly as often as the others`() {
        val fleet = run(Run(nodes = 36, seed = 1), EVEN_OVERLOAD, USUAL_NETWORK)
        val served = 1 - fleet.refusedFraction(16.seconds)
        expectThat(1 - fleet.refusedFraction(16.seconds, LARGE_TOKENS)).isGreaterThan(served * 0.7)
    }

    @ParameterizedTest
    @ValueSource(ints = [36, 81])
    fun `the sudden loss of a lender refuses few requests of a team that asks for 0_6 of its quota`(nodes: Int) {
        val fleet =
            run(Run(nodes, 1), TeamLoad(0.6), USUAL_NETWORK) {
                fleet.schedule(22.seconds) {
                    val lender = lender()
                    fleet.nodes.first { it.id == lender }.running = false
                }
            }
        expectThat(fleet.refusedFraction(22.seconds)).isLessThan(0.05)
    }

    private companion object {
        /** More seeds for the smaller fleet, as the larger takes four times as long. */
        @JvmStatic
        fun runs(): List<Run> = listOf(Run(36, 1), Run(36, 2), Run(36, 3), Run(81, 4))

        val END = 36.seconds
        val EVEN_OVERLOAD = TeamLoad(demand = 4.0)
        val UNEVEN_OVERLOAD = TeamLoad(demand = 4.0, favoredFraction = 0.7)

        /** Delays between hosts of one region, with some time in which their processes wait for a processor. */
        val USUAL_NETWORK = SimulatedNetwork(maxDelay = 8.milliseconds)
    }
}
