package gypsumcart.core

import kotlin.time.Duration

/** Holds the operator's configuration, which takes effect as a whole or not at all. */
public data class Configuration(
    public val version: ConfigurationVersion,
    public val routes: List<Route>,
    public val services: Map<ServiceName, Service>,
    public val teams: List<Team>,
    public val limits: ClientLimits,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.prefix.length } }

    private val teamsByKey: Map<ApiKey, Team> =
        teams.flatMap { team -> team.keys.map { it to team } }.toMap()

    /** Returns the route of [host] with the longest prefix that [path] starts with, or null if there is none. */
    public fun routeOrNull(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** Returns the team to which [key] belongs, or null if there is none. */
    public fun teamOrNull(key: ApiKey): Team? = teamsByKey[key]
}

/**
 * Describes how requests to [host] are handled whose path starts with [prefix].
 *
 * @property timeout the longest time that a client waits for the complete response
 * @property targetLatency the latency within which a response has its full value to the client
 * @property priority the urgency of the requests; 0 is the most urgent
 * @property services the services among which the requests are divided by weight
 * @property maxAttempts the maximum number of back ends on which one request may run
 * @property isPublic whether requests need no API key
 */
public data class Route(
    public val host: String,
    public val prefix: String,
    public val kind: CallKind,
    public val timeout: Duration,
    public val targetLatency: Duration,
    public val priority: Int,
    public val services: List<WeightedService>,
    public val maxAttempts: Int,
    public val isPublic: Boolean,
) {
    /** Identifies the route among all of a configuration. */
    public val key: RouteKey get() = RouteKey(host, prefix)
}

/** Identifies a route, which keeps its key when the operator changes it. */
public data class RouteKey(public val host: String, public val prefix: String)

/** Assigns a service its share of a route's requests, relative to the weights of the other services. */
public data class WeightedService(public val service: ServiceName, public val weight: Int)

/** Determines whether a call whose response was lost may be retried. */
public sealed class CallKind {
    /** A call that may run any number of times. */
    public data object Idempotent : CallKind()

    /** A call that may run at most once. */
    public data object AtMostOnce : CallKind()

    /**
     * A call whose response is a stream of events.
     *
     * @property resumable whether another back end can continue the stream after the last event received
     * @property maxPause the longest pause between two events with which a stream still counts as on time
     */
    public data class Streamed(public val resumable: Boolean, public val maxPause: Duration) : CallKind()

    /** Whether the call may be retried after an attempt that may have run. */
    public val isRetryable: Boolean
        get() =
            when (this) {
                Idempotent -> true
                AtMostOnce -> false
                is Streamed -> resumable
            }
}

/**
 * Describes a service and the back ends that provide it.
 *
 * @property healthPath the path at which a back end responds to health checks
 * @property maxConnections the maximum number of connections that one back end accepts from all callers together
 * @property engine the capacity of each back end's inference engine, or null if the service is not a model
 * @property scaling how many back ends may be ordered and at which prices, or null if none can be ordered
 */
public data class Service(
    public val name: ServiceName,
    public val healthPath: String,
    public val maxConnections: Int,
    public val engine: InferenceEngine?,
    public val scaling: Scaling?,
)

/**
 * Describes the inference engine of each back end of a model.
 *
 * @property batchSlots the number of requests for which it generates tokens at once
 * @property kvCacheTokens the number of tokens that its KV cache holds
 */
public data class InferenceEngine(public val batchSlots: Int, public val kvCacheTokens: Long)

/**
 * Limits the number of back ends of one service in each zone and states their prices.
 *
 * @property bootDuration the time that a new back end takes until it serves requests
 * @property spotPrice the price of a spot back end as a fraction of the on-demand price
 * @property zonePrices the price per second of an on-demand back end, by zone
 */
public data class Scaling(
    public val min: Int,
    public val max: Int,
    public val bootDuration: Duration,
    public val spotPrice: Double,
    public val zonePrices: Map<ZoneName, Double>,
)

/**
 * Describes a team, one of the customers that share the back ends.
 *
 * @property priority the urgency of its requests, which overrides the route's priority, or null to use the route's
 */
public data class Team(
    public val name: TeamName,
    public val keys: Set<ApiKey>,
    public val priority: Int?,
    public val quota: Quota?,
)

/**
 * Limits the usage of a team over all nodes: [ratePerSecond] on average and [burst] at once.
 *
 * @property unit what the rate and the burst count
 */
public data class Quota(public val ratePerSecond: Double, public val burst: Double, public val unit: QuotaUnit)

/** Determines what a quota counts. */
public sealed class QuotaUnit {
    /** Counts each request as one. */
    public data object Requests : QuotaUnit()

    /** Counts the tokens of a request, or [defaultTokens] for a request that states none. */
    public data class Tokens(public val defaultTokens: Int) : QuotaUnit()

    /** Returns the amount that a request with [prompt] counts for, in this unit. */
    public fun costOf(prompt: Prompt?): Double =
        when (this) {
            Requests -> 1.0
            is Tokens -> (prompt?.let { it.tokens + it.maxNewTokens } ?: defaultTokens).toDouble()
        }
}

/** Limits the size of a client's requests, the time to receive their headers and the wait for further data. */
public data class ClientLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)
