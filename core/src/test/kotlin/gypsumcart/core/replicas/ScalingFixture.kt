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
import kotlin.random.Random
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
    private val policy: ScalingPolicy = ScalingPolicy.ByDemand,
    private val maxPerZone: Int = 94,
    private val lateness: (Duration) -> Duration = { Duration.ZERO },
) {
    private class Engine(val backEnd: BackEnd, val listedAt: Duration, var endsAt: Duration? = null)

    /** One autoscaler for each node; the last one may hold the lease. */
    private var autoscaler = Autoscaler(policy)
    private var successor = Autoscaler(policy)

    /** The requests that wait for an engine. */
    private var waiting = 0.0

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
    val wasted = HashMap<Waste, Double>()

    /** The sum of the prices of all engines so far, in seconds of an on-demand engine. */
    var price = 0.0
        private set

    /** The requests that no engine took within [MAX_WAIT], and all requests. */
    var refused = 0.0
        private set
    var requests = 0.0
        private set

    val listed: List<BackEnd>
        get() = engines.filter { it.listedAt <= elapsed }.map { it.backEnd.leaving(it) }

    val staying: List<BackEnd> get() = listed.filterNot { it.draining }

    init {
        observe(AutoscalerEvent.Configured(configuration(scaling = SCALING.copy(max = maxPerZone))))
    }

    /** Lets the node that holds the lease die, and the other one acquire it. */
    fun replaceHolder() {
        autoscaler = successor
        successor = Autoscaler(policy)
        hold()
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

    /** Lets [count] engines fail, of all zones alike. */
    fun crash(count: Int) {
        engines.shuffled(Random(count)).take(count).forEach { engines -= it }
    }

    /** Lets the engines run for [duration], in steps of half a second, while [rate] requests arrive per second. */
    fun run(duration: Duration, rate: (Duration) -> Double = { 0.0 }) {
        val end = elapsed + duration
        while (elapsed < end) {
            elapsed += STEP
            lateOrders.filter { it.at <= elapsed }.forEach { carryOut(it.order) }
            lateOrders.removeIf { it.at <= elapsed }
            engines.removeIf { engine -> engine.endsAt?.let { it <= elapsed } ?: false }
            price += listed.sumOf { if (it.spot) SCALING.spotPrice else 1.0 } * (STEP / 1.seconds)
            observe(AutoscalerEvent.BackEndsListed(listed))
            observe(serve(rate(elapsed)))
            observe(AutoscalerEvent.Tick)
        }
    }

    /** Serves what arrives in a step at [rate]; engines that are being reclaimed serve until their end. */
    private fun serve(rate: Double): AutoscalerEvent.LoadMeasured {
        val seconds = STEP / 1.seconds
        val capacity = listed.size * ENGINE_RATE
        requests += rate * seconds
        val served = minOf(waiting / seconds + rate, capacity)
        waiting += (rate - served) * seconds
        val limit = capacity * (MAX_WAIT / 1.seconds)
        refused += (waiting - limit).coerceAtLeast(0.0)
        waiting = waiting.coerceIn(0.0, limit)
        val usage = if (capacity > 0) served / capacity else 1.0
        val latency = BASE_LATENCY / (1 - usage).coerceAtLeast(0.05)
        return AutoscalerEvent.LoadMeasured(
            loads = listOf(mapOf(MODEL to served * SERVICE_SECONDS + waiting)),
            latencies = if (served > 0) listOf(mapOf(MODEL to latency)) else emptyList(),
            arrivals = listOf(mapOf(MODEL to Arrivals(rate, 0.0, 0.0))),
        )
    }

    /** Passes on what all nodes see. */
    fun observe(event: AutoscalerEvent) {
        decide(event)
        successor.decide(event, now)
    }

    fun decide(event: AutoscalerEvent) {
        for (effect in autoscaler.decide(event, now)) {
            when (effect) {
                is AutoscalerEffect.Order -> place(effect.command)
                is AutoscalerEffect.ReportWaste -> wasted.merge(effect.waste, effect.amount, Double::plus)
                is AutoscalerEffect.StoreInitialCounts -> {
                    stored += effect.counts.getValue(MODEL)
                    observe(AutoscalerEvent.InitialCountsRead(effect.counts))
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

        /** The requests per second that an engine takes at most, each for [SERVICE_SECONDS]. */
        const val ENGINE_RATE = 40.0
        const val SERVICE_SECONDS = 0.5

        /** The time to the first piece of an idle engine as a fraction of the target. */
        private const val BASE_LATENCY = 0.15
        private val MAX_WAIT = 500.milliseconds
        private val STEP = 500.milliseconds
        private val NOTICE = 2.seconds
        private val DRAIN = 3.seconds
        private val LISTING = 1.seconds
    }
}
