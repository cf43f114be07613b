package gypsumcart.core.membership

import gypsumcart.core.NodeId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against naming hosts that are gone and leaving out hosts that run, whatever is lost at the same time.
 *
 * Each seed draws zones of one to nine hosts and faults that overlap: losses of power and restarts of hosts and whole
 * zones, freezes, cuts between hosts and zones both ways and one way, cuts from the store, and outages of the store.
 */
class LostHostScenariosTest {
    /** Describes a fault that begins at [start] and is undone at [end]. */
    private class Fault(val start: Duration, val end: Duration, val begin: () -> Unit, val undo: () -> Unit)

    private class Scenario(seed: Long) {
        private val random = Random(seed)
        private val zoneSizes = List(random.nextInt(2, 6)) { random.nextInt(1, 10) }
        val fleet = SimulatedFleet(zoneSizes, seed = seed)
        private val faults = List(random.nextInt(1, 5)) { drawFault() }

        /** Since when each host has been running, or off, and each pair of hosts in contact, in its present state. */
        private val changedAt = HashMap<Any, Pair<Any, Duration>>()
        private var faultsChangedAt = Duration.ZERO
        val violations = ArrayList<String>()

        private fun drawFault(): Fault {
            val start = (random.nextInt(80, 250) * 100).milliseconds
            val end = start + (random.nextInt(10, 160) * 100).milliseconds
            val zone = random.nextInt(zoneSizes.size)
            val host = NodeId("z$zone-${random.nextInt(1, zoneSizes[zone] + 1)}")
            val wholeZone = (1..zoneSizes[zone]).map { NodeId("z$zone-$it") }
            return when (random.nextInt(FAULT_KINDS)) {
                0 -> loss(start, end, listOf(host))
                1 -> loss(start, end, wholeZone)
                2 -> freeze(start, end, listOf(host))
                3 -> freeze(start, end, wholeZone)
                4 -> cut(start, end, listOf(host), random.nextBoolean())
                5 -> cut(start, end, wholeZone, random.nextBoolean())
                6 -> cutOfZones(start, end, zone, (zone + 1) % zoneSizes.size)
                7 -> storeCut(start, end, if (random.nextBoolean()) listOf(host) else wholeZone)
                else -> Fault(start, end, { fleet.storeAnswers = false }, { fleet.storeAnswers = true })
            }
        }

        private fun loss(start: Duration, end: Duration, hosts: List<NodeId>): Fault {
            val permanent = random.nextInt(3) == 0
            return Fault(
                start,
                end,
                { hosts.forEach { fleet.node(it.text).running = false } },
                { if (!permanent) hosts.forEach(fleet::restart) },
            )
        }

        private fun freeze(start: Duration, end: Duration, hosts: List<NodeId>): Fault {
            val frozen = ArrayList<SimulatedFleet.SimulatedNode>()
            return Fault(
                start,
                end,
                {
                    frozen += hosts.map { fleet.node(it.text) }.filter { it.running }
                    frozen.forEach { it.running = false }
                },
                { frozen.filter { it in fleet.nodes }.forEach { it.running = true } },
            )
        }

        private fun cut(start: Duration, end: Duration, hosts: List<NodeId>, oneWay: Boolean): Fault {
            val others = fleet.nodes.map { it.id }.filter { it !in hosts }
            val pairs = hosts.flatMap { host -> others.map { host to it } }
            val all = if (oneWay) pairs else pairs + pairs.map { (from, to) -> to to from }
            return Fault(start, end, { fleet.cuts += all }, { fleet.cuts -= all.toSet() })
        }

        private fun cutOfZones(start: Duration, end: Duration, one: Int, other: Int): Fault {
            val pairs =
                (1..zoneSizes[one]).flatMap { from ->
                    (1..zoneSizes[other]).map { NodeId("z$one-$from") to NodeId("z$other-$it") }
                }
            val all = pairs + pairs.map { (from, to) -> to to from }
            return Fault(start, end, { fleet.cuts += all }, { fleet.cuts -= all.toSet() })
        }

        private fun storeCut(start: Duration, end: Duration, hosts: List<NodeId>): Fault =
            Fault(start, end, { fleet.storeCuts += hosts }, { fleet.storeCuts -= hosts.toSet() })

        fun play() {
            fleet.start()
            for (fault in faults) {
                fleet.schedule(fault.start) { apply(fault.begin) }
                fleet.schedule(fault.end) { apply(fault.undo) }
            }
            while (fleet.now < END) {
                fleet.runUntil(fleet.now + STEP)
                if (fleet.now > 7.seconds) check()
            }
        }

        private fun apply(change: () -> Unit) {
            change()
            faultsChangedAt = fleet.now
        }

        private fun check() {
            for (observer in fleet.nodes) {
                for (host in fleet.nodes) {
                    if (host !== observer) check(observer, host)
                }
            }
        }

        private fun check(observer: SimulatedFleet.SimulatedNode, host: SimulatedFleet.SimulatedNode) {
            val observed = timeInState(observer.key, observer.running)
            val knows = timeInState("contact" to observer.key, observer.canKnow())
            val inState = timeInState(host.key, host.running)
            val met = timeInState(observer.key to host.key, observer.canMeet(host))
            if (!observer.running) return
            val isNamed = host.id in observer.members
            val inTouch = observer.canKnow() && minOf(observed, knows) >= CONTACT
            val mustNotName = !host.running && inTouch && inState > OFF_LIMIT
            if (isNamed && mustNotName) violations += "${fleet.now}: ${observer.id} names ${host.id}, off for $inState"
            val isMet = observer.canMeet(host) && minOf(met, observed) >= RETURN_LIMIT
            val mustName = isMet && (isCalm() || inState < OFF_LIMIT)
            if (!isNamed &&
                mustName
            ) {
                violations += "${fleet.now}: ${observer.id} lacks ${host.id}, running for $inState"
            }
        }

        /** Returns whether no cut is in force and no fault has begun or ended lately. */
        private fun isCalm(): Boolean = fleet.cuts.isEmpty() && fleet.now - faultsChangedAt >= OFF_LIMIT

        /** Whether the node knows others, from the store, and hears of them: from the store, or from any other node. */
        private fun SimulatedFleet.SimulatedNode.canKnow(): Boolean =
            storeReads > 0 &&
                (reachesStore || fleet.nodes.any { it !== this && it.running && fleet.connects(id, it.id) })

        private fun SimulatedFleet.SimulatedNode.canMeet(host: SimulatedFleet.SimulatedNode): Boolean =
            host.running && running && reachesStore && host.reachesStore && fleet.connects(id, host.id)

        private fun timeInState(subject: Any, state: Any): Duration {
            val known = changedAt[subject]
            if (known == null || known.first != state) changedAt[subject] = state to fleet.now
            return fleet.now - changedAt.getValue(subject).second
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `hosts that are off leave the directory in time and hosts that run are named`(seed: Long) {
        val scenario = Scenario(seed)
        scenario.play()
        expectThat(scenario.violations.take(SHOWN)).isEmpty()
    }

    private companion object {
        @JvmStatic
        fun seeds(): LongRange = 1L..50L

        const val FAULT_KINDS = 9
        const val SHOWN = 5

        val STEP = 100.milliseconds
        val END = 50.seconds

        /** The time after which a node with a path to the store or a peer counts as in touch. */
        val CONTACT = 3.seconds

        /** The time after which no node in touch may name a host that is off. */
        val OFF_LIMIT = CONTACT + 1.seconds

        /** The time after which a host that runs and is in contact is named. */
        val RETURN_LIMIT = 2.seconds
    }
}
