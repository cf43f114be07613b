package gypsumcart.node

import gypsumcart.core.Outcome
import gypsumcart.core.ServiceName
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import gypsumcart.core.replicas.Waste
import gypsumcart.http.HeaderField
import gypsumcart.http.Headers
import gypsumcart.http.MemoryBudget
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.pipeline.Ring
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.config.MeterFilter
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Records the metrics of a node and serves them in the Prometheus text format. */
internal class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        registry.config().meterFilter(LatencyBuckets)
    }

    /** Records a request that ended without a back end's response, [elapsed] after its arrival. */
    fun recordConcluded(outcome: Outcome, elapsed: Duration): Unit = recordRequest(outcome.toLogValue(), elapsed)

    /** Records an upstream call to [service] that ended with [result], [elapsed] after the arrival of its request. */
    fun recordCall(service: ServiceName, result: CallResult, elapsed: Duration) {
        val resultValue = result.toLogValue()
        registry
            .timer("gypsumcart.calls", "service", service.text, "result", resultValue)
            .record(elapsed.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        if (result is CallResult.Answered) recordRequest(resultValue, elapsed)
    }

    /** Counts a fenced command that ended with [result]. */
    fun countCommand(command: FencedCommand, result: CommandResult) {
        val name =
            when (command) {
                is FencedCommand.ReportUsage -> "report_usage"
                is FencedCommand.OrderBackEnds -> "order_back_ends"
            }
        registry.counter("gypsumcart.acts", "act", name, "result", result.name.lowercase()).increment()
    }

    /** Adds [amount] to what orders of back ends for [service] wasted. */
    fun countWaste(service: ServiceName, waste: Waste, amount: Double): Unit =
        registry
            .counter("gypsumcart.scaling.waste", "service", service.text, "waste", waste.name.lowercase())
            .increment(amount)

    /** Counts a stage of a roll-out that this node learned of, by its [name]. */
    fun countStage(name: String): Unit = registry.counter("gypsumcart.rollout.stages", "stage", name).increment()

    /** Counts a [change] of a brittle back end of [service]. */
    fun countBrittleness(service: ServiceName, change: String): Unit =
        registry.counter("gypsumcart.brittle.changes", "service", service.text, "change", change).increment()

    /** Counts a failed write to the store by [kind], the kind of row. */
    fun countFailedWrite(kind: String): Unit = registry.counter("gypsumcart.store.unwritten", "rows", kind).increment()

    /** Counts an exchange of messages that this node started with another. */
    fun countPeerExchange(succeeded: Boolean): Unit =
        registry
            .counter("gypsumcart.peer.exchanges", "result", if (succeeded) "answered" else "failed")
            .increment()

    /** Counts an attempt to have another node carry the connection of a call, by its [result]. */
    fun countCarriedCall(result: String): Unit =
        registry.counter("gypsumcart.carried.calls", "result", result).increment()

    /** Registers gauges for the connections of other nodes that this one carries, and for whether it is cut off. */
    fun registerGauges(carriedConnections: () -> Int, isCutOff: () -> Boolean) {
        registerGauge("gypsumcart.carried.connections", carriedConnections)
        registerGauge("gypsumcart.cut.off") { if (isCutOff()) 1 else 0 }
    }

    /** Counts a loan of quota that ended with [result]; [side] says whether this node `asked` or `answered`. */
    fun countLoan(side: String, result: String): Unit =
        registry.counter("gypsumcart.quota.loans", "side", side, "result", result).increment()

    /** Counts a request for the rest of a stream by its [result]; [source] says how its version became known. */
    fun countTakeUp(source: String, result: String): Unit =
        registry.counter("gypsumcart.stream.take.ups", "source", source, "result", result).increment()

    /** Counts a message about streams by its [result]; [side] says whether this node `sent` or `received` it. */
    fun countStreamMessage(side: String, result: String): Unit =
        registry.counter("gypsumcart.stream.messages", "side", side, "result", result).increment()

    /** Counts [count] stored records of streams, the first of which had waited for [delay] before the write. */
    fun countStreamRecords(count: Int, delay: Duration) {
        registry.counter("gypsumcart.stream.records").increment(count.toDouble())
        registry.timer("gypsumcart.stream.record.delay").record(delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Registers a gauge for the number of events that wait in [ring]. */
    fun registerGauges(ring: Ring<*>) {
        registry.gauge("gypsumcart.ring.events", listOf(tag("ring", ring.name)), ring) { it.size.toDouble() }
    }

    /** Registers a gauge for the era that [store] has named last. */
    fun registerStoreEra(store: RowStore) {
        registry.gauge("gypsumcart.store.era", store) { it.eraOrNull()?.number?.toDouble() ?: Double.NaN }
    }

    /** Registers meters for what messages hold of [memory], and for those that did not fit. */
    fun registerGauges(memory: MemoryBudget) {
        registry.gauge("gypsumcart.memory.held.bytes", memory) { it.heldBytes.toDouble() }
        FunctionCounter.builder("gypsumcart.memory.refused", memory) { it.refusals.toDouble() }.register(registry)
    }

    /**
     * Registers gauges for [state], for the number of requests in progress and for the number of back ends that have
     * asked this node for a pause.
     */
    fun registerGauges(state: NodeState, inProgress: () -> Int, pausedBackEnds: () -> Int) {
        registerGauge("gypsumcart.requests.in.progress", inProgress)
        registerGauge("gypsumcart.paused.back.ends", pausedBackEnds)
        registry.gauge("gypsumcart.calls.in.flight", state) { it.callsInFlight.toDouble() }
        registry.gauge("gypsumcart.waiting.requests", state) { it.waitingRequests.toDouble() }
        registry.gauge("gypsumcart.ready", state) { if (it.isReady) 1.0 else 0.0 }
        registry.gauge("gypsumcart.lease.held", state) { if (it.leaseHeld) 1.0 else 0.0 }
        registry.gauge("gypsumcart.linked", state) { if (it.linked) 1.0 else 0.0 }
        registry.gauge("gypsumcart.limited.back.ends", state) { it.limitedBackEnds.size.toDouble() }
        registry.gauge("gypsumcart.brittle.back.ends", state) { it.brittleBackEnds.size.toDouble() }
        registry.gauge("gypsumcart.ejected.back.ends", state) { it.ejectedBackEnds.size.toDouble() }
        registry.gauge("gypsumcart.quarantined.parts", state) { it.quarantinedParts.size.toDouble() }
        registry.gauge("gypsumcart.rollouts", state) { it.rolledOutVersions.size.toDouble() }
        registry.gauge("gypsumcart.members", state) { it.members.size.toDouble() }
        registry.gauge("gypsumcart.back.ends", listOf(tag("state", "staying")), state) { it.activeBackEnds.toDouble() }
        registry.gauge(
            "gypsumcart.back.ends",
            listOf(tag("state", "leaving")),
            state,
        ) { it.drainingBackEnds.toDouble() }
        registry.gauge("gypsumcart.configuration.version", state) {
            it.configuration
                ?.version
                ?.number
                ?.toDouble() ?: Double.NaN
        }
    }

    /** Responds with all metrics. */
    val handler: RequestHandler =
        RequestHandler { request, response ->
            if (request.path == PATH) {
                response.send(ResponseHead(OK, PROMETHEUS_TEXT), registry.scrape().encodeToByteArray())
            } else {
                response.send(ResponseHead(NOT_FOUND, Headers.EMPTY), ByteArray(0))
            }
        }

    private fun registerGauge(name: String, value: () -> Int) {
        Gauge
            .builder(name, value) { it().toDouble() }
            .strongReference(true) // A gauge's default reference is weak, and nothing else references the function.
            .register(registry)
    }

    private fun recordRequest(outcome: String, elapsed: Duration): Unit =
        registry
            .timer("gypsumcart.requests", "outcome", outcome)
            .record(elapsed.inWholeNanoseconds, TimeUnit.NANOSECONDS)

    private fun tag(name: String, value: String) = Tag.of(name, value)

    /** Gives the timers of all nodes the same histogram buckets, so that they can be summed over several nodes. */
    private object LatencyBuckets : MeterFilter {
        private const val NANOS_PER_MS = 1e6

        /** Bucket limits in nanoseconds, around the latency targets and timeouts of models and of other services. */
        private val BUCKETS =
            DistributionStatisticConfig
                .builder()
                .serviceLevelObjectives(
                    25 * NANOS_PER_MS,
                    50 * NANOS_PER_MS,
                    100 * NANOS_PER_MS,
                    200 * NANOS_PER_MS,
                    400 * NANOS_PER_MS,
                    600 * NANOS_PER_MS,
                    800 * NANOS_PER_MS,
                    1_500 * NANOS_PER_MS,
                    3_000 * NANOS_PER_MS,
                    5_000 * NANOS_PER_MS,
                    15_000 * NANOS_PER_MS,
                ).build()

        override fun configure(id: Meter.Id, config: DistributionStatisticConfig): DistributionStatisticConfig =
            if (id.type == Meter.Type.TIMER) BUCKETS.merge(config) else config
    }

    private companion object {
        const val PATH = "/metrics"
        const val OK = 200
        const val NOT_FOUND = 404
        val PROMETHEUS_TEXT = Headers(listOf(HeaderField("Content-Type", "text/plain; version=0.0.4")))
    }
}
