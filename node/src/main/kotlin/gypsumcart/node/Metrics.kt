package gypsumcart.node

import gypsumcart.core.Outcome
import gypsumcart.core.ServiceName
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import gypsumcart.http.HeaderField
import gypsumcart.http.Headers
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.pipeline.Ring
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.config.MeterFilter
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Counts and times what a node does, and serves the figures as text that Prometheus reads. */
internal class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        registry.config().meterFilter(LatencyBuckets)
    }

    /** Counts a request that ended [after] its arrival without a back end's answer. */
    fun countConcluded(outcome: Outcome, after: Duration): Unit = timeRequest(outcome.toLogWord(), after)

    /** Counts a call to a back end that ended with [result], [after] the arrival of its request. */
    fun countCall(service: ServiceName, result: CallResult, after: Duration) {
        val word = result.toLogWord()
        registry
            .timer("gypsumcart.calls", "service", service.text, "result", word)
            .record(after.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        if (result is CallResult.Answered) timeRequest(word, after)
    }

    /** Counts an act for the fleet. */
    fun countAct(act: FencedCommand, result: CommandResult) {
        val name =
            when (act) {
                is FencedCommand.ReportUsage -> "report_usage"
                is FencedCommand.OrderBackEnds -> "order_back_ends"
            }
        registry.counter("gypsumcart.acts", "act", name, "result", result.name.lowercase()).increment()
    }

    /** Counts a write to the store that failed, by the [kind] of row. */
    fun countUnwritten(kind: String): Unit = registry.counter("gypsumcart.store.unwritten", "rows", kind).increment()

    /** Shows how many events wait in [ring]. */
    fun watch(ring: Ring<*>) {
        registry.gauge("gypsumcart.ring.events", listOf(tag("ring", ring.name)), ring) { it.size.toDouble() }
    }

    /** Shows what [state] says and how many requests are [inProgress]. */
    fun watch(state: NodeState, inProgress: () -> Int) {
        Gauge
            .builder("gypsumcart.requests.in.progress", inProgress) { it().toDouble() }
            .strongReference(true) // Nothing else holds the function.
            .register(registry)
        registry.gauge("gypsumcart.ready", state) { if (it.isReady) 1.0 else 0.0 }
        registry.gauge("gypsumcart.lease.held", state) { if (it.leaseHeld) 1.0 else 0.0 }
        registry.gauge("gypsumcart.members", state) { it.members.size.toDouble() }
        registry.gauge("gypsumcart.back.ends", listOf(tag("state", "staying")), state) { it.staying.toDouble() }
        registry.gauge("gypsumcart.back.ends", listOf(tag("state", "leaving")), state) { it.leaving.toDouble() }
        registry.gauge("gypsumcart.configuration.version", state) {
            it.configuration
                ?.version
                ?.number
                ?.toDouble() ?: Double.NaN
        }
    }

    /** Answers with all figures. */
    val page: RequestHandler =
        RequestHandler { request, response ->
            if (request.path == PATH) {
                response.send(ResponseHead(OK, TEXT), registry.scrape().encodeToByteArray())
            } else {
                response.send(ResponseHead(NOT_FOUND, Headers.EMPTY), ByteArray(0))
            }
        }

    private fun timeRequest(outcome: String, after: Duration): Unit =
        registry.timer("gypsumcart.requests", "outcome", outcome).record(after.inWholeNanoseconds, TimeUnit.NANOSECONDS)

    private fun tag(name: String, value: String) = Tag.of(name, value)

    /** Sorts all latencies into the same buckets, so that those of several nodes can be added. */
    private object LatencyBuckets : MeterFilter {
        /** Nanoseconds in a millisecond. */
        private const val MS = 1e6

        /** Around the latency targets and timeouts of plain services and of models. */
        private val BUCKETS =
            DistributionStatisticConfig
                .builder()
                .serviceLevelObjectives(
                    25 * MS,
                    50 * MS,
                    100 * MS,
                    200 * MS,
                    400 * MS,
                    600 * MS,
                    800 * MS,
                    1_500 * MS,
                    3_000 * MS,
                    5_000 * MS,
                    15_000 * MS,
                ).build()

        override fun configure(id: Meter.Id, config: DistributionStatisticConfig): DistributionStatisticConfig =
            if (id.type == Meter.Type.TIMER) BUCKETS.merge(config) else config
    }

    private companion object {
        const val PATH = "/metrics"
        const val OK = 200
        const val NOT_FOUND = 404
        val TEXT = Headers(listOf(HeaderField("Content-Type", "text/plain; version=0.0.4")))
    }
}
