package gypsumcart.core.admission

import gypsumcart.core.CallKind
import gypsumcart.core.NodeId
import gypsumcart.core.Quota
import gypsumcart.core.QuotaUnit
import gypsumcart.core.ZoneName
import gypsumcart.core.configuration
import gypsumcart.core.membership.MembershipEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.SimulatedFleet
import gypsumcart.core.membership.SimulatedNetwork
import gypsumcart.core.prompt
import gypsumcart.core.route
import gypsumcart.core.submission
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that nodes which share a quota over the peer link never admit more than the quota allows in any window,
 * whatever happens to their messages, their processes and the store.
 */
class QuotaSharesTest {
    /**
     * @property interval the time between two requests
     * @property favorPeriod the time after which other nodes get most requests
     */
    private class Load(val interval: Duration, val favorPeriod: Duration)

    private class Charge(val at: Duration, val tokens: Double)

    /** Runs admission and membership of several nodes, and clients of one team that move between the nodes. */
    private inner class QuotaFleet(val seed: Long, network: SimulatedNetwork, private val load: Load) {
        val random = Random(seed)
        val fleet = SimulatedFleet(listOf(3, 3, 2), network, seed)
        val admissions = HashMap<NodeId, Admission>()
        val admitted = ArrayList<Charge>()
        val refusedAt = ArrayList<Duration>()
        private var lastRequest = 0L

        fun start() {
            fleet.start()
            fleet.nodes.toList().forEach(::attach)
            fleet.schedule(250.milliseconds, ::measureUse)
            fleet.schedule(TRAFFIC_START, ::sendRequests)
        }

        fun attach(node: SimulatedFleet.SimulatedNode) {
            val admission = Admission(BOUNDS)
            val configuration = configuration(routes = listOf(route(CallKind.Idempotent)), quota = QUOTA)
            admission.decide(AdmissionEvent.Configured(configuration), node.time())
            admissions[node.id] = admission
            node.onEffect = { effect ->
                when (effect) {
                    is MembershipEffect.UpdateQuotaPeers ->
                        admission.decide(AdmissionEvent.PeersUpdated(effect.peers), node.time())

                    is MembershipEffect.ShareQuotaUse ->
                        admission.decide(AdmissionEvent.UsePublished(effect.use), node.time())

                    else -> Unit
                }
            }
        }

        private fun measureUse() {
            for (node in fleet.nodes.filter { it.running }) {
                val report = admissions.getValue(node.id).decide(AdmissionEvent.ReportDue, node.time()).single()
                node.decide(MembershipEvent.QuotaUseMeasured((report as AdmissionEffect.Report).use))
            }
            fleet.schedule(500.milliseconds, ::measureUse)
        }

        /** Sends most requests to two nodes, which change as [load] says. */
        private fun sendRequests() {
            val favored = (fleet.now / load.favorPeriod).toInt()
            val index =
                if (random.nextDouble() < 0.7) favored + random.nextInt(2) else random.nextInt(fleet.nodes.size)
            val node = fleet.nodes[index % fleet.nodes.size]
            if (node.running) {
                val request = submission(++lastRequest, prompt(REQUEST_TOKENS), arrivedAt = node.time())
                val effects =
                    admissions.getValue(node.id).decide(AdmissionEvent.Submitted(request), node.time())
                if (effects.single() is AdmissionEffect.Route) {
                    admitted += Charge(fleet.now, REQUEST_TOKENS.toDouble())
                } else {
                    refusedAt += fleet.now
                }
            }
            fleet.schedule(load.interval, ::sendRequests)
        }

        fun maxInWindow(): Double {
            var first = 0
            var sum = 0.0
            var max = 0.0
            for (charge in admitted) {
                sum += charge.tokens
                while (charge.at - admitted[first].at >= WINDOW) sum -= admitted[first++].tokens
                max = maxOf(max, sum)
            }
            return max
        }
    }

    private fun run(
        seed: Long,
        network: SimulatedNetwork,
        load: Load = SHIFTING_OVERLOAD,
        disturb: QuotaFleet.() -> Unit = {},
    ): QuotaFleet {
        val run = QuotaFleet(seed, network, load)
        run.start()
        run.disturb()
        run.fleet.runUntil(60.seconds)
        return run
    }

    private fun limitOfWindow(): Double =
        (QUOTA.ratePerSecond * 8 + QUOTA.burst) * (1 + BOUNDS.overshoot) + BOUNDS.slack

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `nodes in good contact admit nearly the whole quota and no more`(seed: Long) {
        val run = run(seed, SimulatedNetwork())
        expectThat(run.maxInWindow()).isLessThanOrEqualTo(limitOfWindow())
        expectThat(run.admitted.sumOf { it.tokens }).isGreaterThan(45 * QUOTA.ratePerSecond * 0.9)
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `lost, delayed, repeated and reordered messages never add up to more than the quota`(seed: Long) {
        val network =
            SimulatedNetwork(maxDelay = 400.milliseconds, lossRate = 0.3, repeatRate = 0.3)
        expectThat(run(seed, network).maxInWindow()).isLessThanOrEqualTo(limitOfWindow())
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `nodes that are cut off, one after the other or together, never add up to more than the quota`(seed: Long) {
        val run =
            run(seed, SimulatedNetwork(lossRate = 0.02)) {
                for (second in 20..50 step 5) {
                    fleet.schedule(second.seconds) {
                        fleet.cuts.clear()
                        repeat(random.nextInt(4)) { fleet.isolate(fleet.nodes.random(random).id) }
                        fleet.storeAnswers = random.nextBoolean()
                    }
                }
            }
        expectThat(run.maxInWindow()).isLessThanOrEqualTo(limitOfWindow())
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `processes that start again, one after the other or together, never add up to more than the quota`(seed: Long) {
        val run =
            run(seed, SimulatedNetwork()) {
                for (second in 20..50 step 7) {
                    fleet.schedule(second.seconds) {
                        val restarted = fleet.nodes.shuffled(random).take(1 + random.nextInt(fleet.nodes.size))
                        for (node in restarted.toList()) {
                            fleet.restart(node.id)
                            attach(fleet.nodes.last())
                        }
                    }
                }
            }
        expectThat(run.maxInWindow()).isLessThanOrEqualTo(limitOfWindow())
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `zones that are cut from each other never add up to more than the quota`(seed: Long) {
        val run =
            run(seed, SimulatedNetwork()) {
                for (second in 20..50 step 6) {
                    fleet.schedule(second.seconds) {
                        fleet.cuts.clear()
                        val (one, other) =
                            fleet.nodes
                                .map { it.target.zone }
                                .distinct()
                                .shuffled(random)
                        cutZones(one, other)
                        fleet.storeAnswers = random.nextBoolean()
                    }
                }
            }
        expectThat(run.maxInWindow()).isLessThanOrEqualTo(limitOfWindow())
    }

    private fun QuotaFleet.cutZones(one: ZoneName, other: ZoneName) {
        for (node in fleet.nodes.filter { it.target.zone == one }) {
            for (peer in fleet.nodes.filter { it.target.zone == other }) {
                fleet.cuts += node.id to peer.id
                fleet.cuts += peer.id to node.id
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `the loss of a zone refuses no request of the other nodes within what is not reserved for the zone`(
        seed: Long,
    ) {
        val run =
            run(seed, SimulatedNetwork(), STEADY_LOAD) {
                fleet.schedule(25.seconds) {
                    fleet.nodes.filter { it.target.zone == ZoneName("z2") }.forEach { it.running = false }
                }
            }
        expectThat(run.refusedAt.filter { it > 25.seconds }).isEmpty()
        expectThat(run.maxInWindow()).isLessThanOrEqualTo(limitOfWindow())
    }

    private companion object {
        /** A few seeds, and those that failed before. */
        @JvmStatic
        fun seeds(): List<Long> = (1L..16L) + 71L

        val WINDOW = 8.seconds
        val QUOTA = Quota(ratePerSecond = 1_000.0, burst = 1_000.0, unit = QuotaUnit.Tokens(defaultTokens = 10))
        val BOUNDS = QuotaBounds(WINDOW, overshoot = 0.1, slack = 900.0)
        const val REQUEST_TOKENS = 20

        /** 200 requests a second of 20 tokens: four times the quota. */
        val SHIFTING_OVERLOAD = Load(interval = 5.milliseconds, favorPeriod = 3.seconds)

        /** 25 requests a second of 20 tokens: half of the quota, and two thirds of what six of eight nodes may use. */
        val STEADY_LOAD = Load(interval = 40.milliseconds, favorPeriod = 1_000.seconds)

        /** The fleet has started by then. */
        val TRAFFIC_START = 10.seconds
    }
}
