package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.MODEL
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Scaling
import gypsumcart.core.ZONES
import gypsumcart.core.ZoneName
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.configuration
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Plays a platform in virtual time around one autoscaler: engines boot after an order, are listed later, and leave when
 * a zone is reclaimed.
 *
 * @param lateness returns how long after it was given an order is carried out
 */
internal class FakeFleet(
    private val autoscaler: Autoscaler,
    private val maxPerZone: Int = 94,
    private val lateness: (Duration) -> Duration = { Duration.ZERO },
) {
    private class Engine(val backEnd: BackEnd, val listedAt: Duration, var endsAt: Duration? = null)

    private class Late(val order: FencedCommand.OrderBackEnds, val at: Duration)

    private val engines = ArrayList<Engine>()
    private val lateOrders = ArrayList<Late>()
    private val dryUntil = HashMap<ZoneName, Duration>()
    private var started = 0

    var elapsed: Duration = Duration.ZERO
        private set
    val now: MonotonicTime get() = at(elapsed)

    /** All orders, with the times at which they were placed. */
    val orders = ArrayList<Pair<Duration, FencedCommand.OrderBackEnds>>()
    val stored = ArrayList<Int>()

    /** The sum of the prices of all engines so far, in seconds of an on-demand engine. */
    var price = 0.0
        private set

    val listed: List<BackEnd>
        get() = engines.filter { it.listedAt <= elapsed }.map { it.backEnd.leaving(it) }

    val staying: List<BackEnd> get() = listed.filterNot { it.draining }

    init {
        decide(AutoscalerEvent.Configured(configuration(scaling = SCALING.copy(max = maxPerZone))))
    }

    fun hold(holding: Boolean = true): Unit = decide(AutoscalerEvent.HoldingChanged(holding))

    /** Lets [count] on-demand engines register one after the other in [over], from now on. */
    fun register(count: Int, over: Duration) {
        repeat(
            count,
        ) { engines += Engine(newEngine(ZONES[it % ZONES.size], spot = false), elapsed + over * it / count) }
    }

    /** Takes the spot engines of [zone] away after a notice; the zone then refuses orders for [dry]. */
    fun reclaim(zone: ZoneName, dry: Duration) {
        engines.filter { it.backEnd.zone == zone && it.backEnd.spot }.forEach {
            it.endsAt =
                it.endsAt ?: (elapsed + NOTICE)
        }
        dryUntil[zone] = elapsed + dry
    }

    /** Lets the engines run for [duration], in steps of half a second, with [load] as what the nodes measure. */
    fun run(duration: Duration, load: (Duration) -> Double = { 0.0 }) {
        val end = elapsed + duration
        while (elapsed < end) {
            elapsed += STEP
            lateOrders.filter { it.at <= elapsed }.forEach { carryOut(it.order) }
            lateOrders.removeIf { it.at <= elapsed }
            engines.removeIf { engine -> engine.endsAt?.let { it <= elapsed } ?: false }
            price += listed.sumOf { if (it.spot) SCALING.spotPrice else 1.0 } * (STEP / 1.seconds)
            decide(AutoscalerEvent.BackEndsListed(listed))
            decide(AutoscalerEvent.LoadMeasured(listOf(mapOf(MODEL to load(elapsed)))))
            decide(AutoscalerEvent.Tick)
        }
    }

    fun decide(event: AutoscalerEvent) {
        for (effect in autoscaler.decide(event, now)) {
            when (effect) {
                is AutoscalerEffect.Order -> place(effect.command)
                is AutoscalerEffect.StoreInitialCounts -> {
                    stored += effect.counts.getValue(MODEL)
                    decide(AutoscalerEvent.InitialCountsRead(effect.counts))
                }
            }
        }
    }

    private fun place(order: FencedCommand.OrderBackEnds) {
        orders += elapsed to order
        val delay = lateness(elapsed)
        val isDry = dryUntil[order.zone]?.let { elapsed < it } ?: false
        val result =
            when {
                delay > Duration.ZERO -> CommandResult.UNKNOWN
                isDry -> CommandResult.CONFLICT
                else -> CommandResult.DONE
            }
        if (result == CommandResult.DONE) carryOut(order)
        if (result == CommandResult.UNKNOWN) lateOrders += Late(order, elapsed + delay)
        decide(AutoscalerEvent.OrderEnded(order, result))
    }

    private fun carryOut(order: FencedCommand.OrderBackEnds) {
        val pool =
            engines.filter {
                it.endsAt == null && it.backEnd.zone == order.zone && it.backEnd.spot == order.spot
            }
        pool.drop(order.count).forEach { it.endsAt = elapsed + DRAIN }
        repeat(order.count - pool.size) {
            engines += Engine(newEngine(order.zone, order.spot), elapsed + SCALING.bootDuration + LISTING)
        }
    }

    private fun newEngine(zone: ZoneName, spot: Boolean): BackEnd = backEnd(
        "engine-${started++}",
        MODEL,
        zone,
        spot = spot,
    )

    private fun BackEnd.leaving(engine: Engine): BackEnd =
        engine.endsAt?.let { copy(draining = true, terminatesIn = if (spot) it - elapsed else null) } ?: this

    companion object {
        val SCALING = Scaling(1, 94, 4.seconds, 0.22, ZONES.zip(listOf(0.85, 1.2, 1.0)).toMap())
        private val STEP = 500.milliseconds
        private val NOTICE = 2.seconds
        private val DRAIN = 3.seconds
        private val LISTING = 1.seconds
    }
}
