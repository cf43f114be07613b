package gypsumcart.core.replicas

import gypsumcart.core.BackEnd
import gypsumcart.core.Configuration
import gypsumcart.core.ServiceName
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand

/** Represents an input of the [Autoscaler] decider. */
public sealed class AutoscalerEvent {
    /** A configuration came into force. */
    public data class Configured(public val configuration: Configuration) : AutoscalerEvent()

    /** The directory lists [backEnds], those of all services. */
    public data class BackEndsListed(public val backEnds: List<BackEnd>) : AutoscalerEvent()

    /** This node acquired or lost the lease. */
    public data class HoldingChanged(public val holding: Boolean) : AutoscalerEvent()

    /**
     * The load of each service was measured.
     *
     * @property loads the load by service, one map for each node
     * @property latencies the time to the first piece of the slowest tenth of requests by service, as a fraction of
     * their latency target, one map for each node
     * @property lostCapacity the capacity that limits of back ends take away, as a number of back ends by service, one
     * map for each node
     * @property arrivals what clients ask of each service within the quotas, one map for each node
     */
    public data class LoadMeasured(
        public val loads: List<Map<ServiceName, Double>>,
        public val latencies: List<Map<ServiceName, Double>> = emptyList(),
        public val lostCapacity: List<Map<ServiceName, Double>> = emptyList(),
        public val arrivals: List<Map<ServiceName, Arrivals>> = emptyList(),
    ) : AutoscalerEvent()

    /** The store contains [counts], the number of back ends that each service had when the fleet began to scale it. */
    public data class InitialCountsRead(public val counts: Map<ServiceName, Int>) : AutoscalerEvent()

    /** The store came back from an older copy, which may lack the initial counts. */
    public data object StoreRestored : AutoscalerEvent()

    /**
     * The registry of back ends began or ceased to respond; while it does not, the list of back ends may be outdated.
     */
    public data class RegistryChanged(public val isAvailable: Boolean) : AutoscalerEvent()

    /** An order ended with [result]. */
    public data class OrderEnded(
        public val order: FencedCommand.OrderBackEnds,
        public val result: CommandResult,
    ) : AutoscalerEvent()

    /** A timer tick, on which the back ends present are compared with those required. */
    public data object Tick : AutoscalerEvent()
}

/** Represents an output of the [Autoscaler] decider. */
public sealed class AutoscalerEffect {
    /**
     * Places the order [command].
     *
     * @property required how many back ends the service requires in all zones together
     * @property load the peak load of the recent past, in requests, where a long prompt counts as more than one
     * @property loadPerBackEnd the load that each back end is expected to carry
     */
    public data class Order(
        public val command: FencedCommand.OrderBackEnds,
        public val required: Int,
        public val load: Double,
        public val loadPerBackEnd: Double,
    ) : AutoscalerEffect()

    /** Reports that orders for [service] wasted [amount] of the kind [waste] since the last report. */
    public data class ReportWaste(
        public val service: ServiceName,
        public val waste: Waste,
        public val amount: Double,
    ) : AutoscalerEffect()

    /** Stores for later lease holders how many back ends each service had initially. */
    public data class StoreInitialCounts(public val counts: Map<ServiceName, Int>) : AutoscalerEffect()
}
