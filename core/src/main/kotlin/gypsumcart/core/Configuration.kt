package gypsumcart.core

import kotlin.time.Duration

/** Holds a whole configuration of the operator, which is in force as one or not at all. */
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

    /** Returns the route of [host] with the longest prefix that [path] starts with, or null when none does. */
    public fun routeOrNull(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** Returns the team that holds [key], or null when none does. */
    public fun teamOrNull(key: ApiKey): Team? = teamsByKey[key]
}

/**
 * Describes what is done with the calls of one host whose path starts with [prefix].
 *
 * @property timeout how long a caller is kept waiting for a final answer
 * @property target the latency within which an answer has its full value
 * @property rank how urgent the calls are, 0 is the most urgent
 * @property services the services that share the calls, by weight
 * @property maxAttempts the most back ends on which one request may run
 * @property isPublic whether calls need no key
 */
public data class Route(
    public val host: String,
    public val prefix: String,
    public val kind: CallKind,
    public val timeout: Duration,
    public val target: Duration,
    public val rank: Int,
    public val services: List<WeightedService>,
    public val maxAttempts: Int,
    public val isPublic: Boolean,
)

/** Holds a service's part of a route's calls, relative to the weights of the others. */
public data class WeightedService(public val service: ServiceName, public val weight: Int)

/** Says what may be done with a call whose answer got lost. */
public sealed class CallKind {
    /** A call that may run any number of times. */
    public data object Idempotent : CallKind()

    /** A call that may run once at most. */
    public data object AtMostOnce : CallKind()

    /**
     * A call that is answered by a stream of events.
     *
     * @property resumable whether another back end can go on after the last event that arrived
     * @property maxPause the longest pause between two events of an answer that is on time
     */
    public data class Streamed(public val resumable: Boolean, public val maxPause: Duration) : CallKind()

    /** Whether the call may be run again after it may have run. */
    public val mayRepeat: Boolean
        get() =
            when (this) {
                Idempotent -> true
                AtMostOnce -> false
                is Streamed -> resumable
            }
}

/**
 * Describes a service.
 *
 * @property healthPath the path under which a back end answers health checks
 * @property maxConnections the most connections that one back end keeps from all callers together
 * @property engine what a model's back ends can do, or null for a plain service
 * @property scaling how many back ends may be ordered and what they cost, or null when none can be
 */
public data class Service(
    public val name: ServiceName,
    public val healthPath: String,
    public val maxConnections: Int,
    public val engine: Engine?,
    public val scaling: Scaling?,
)

/** Describes the engines of a model: requests generated for at once, and tokens kept in memory. */
public data class Engine(public val batchSlots: Int, public val cacheTokens: Long)

/**
 * Bounds the number of back ends of one service in each zone.
 *
 * @property boot how long a new back end takes until it serves
 * @property spotPrice the price of a reclaimable back end as a part of an on-demand one's
 * @property zonePrices the price of an on-demand back end for a second in each zone
 */
public data class Scaling(
    public val min: Int,
    public val max: Int,
    public val boot: Duration,
    public val spotPrice: Double,
    public val zonePrices: Map<ZoneName, Double>,
)

/**
 * Describes a team that shares the back ends.
 *
 * @property rank how urgent its calls are; goes before the route's rank
 */
public data class Team(
    public val name: TeamName,
    public val keys: Set<ApiKey>,
    public val rank: Int?,
    public val quota: Quota?,
)

/**
 * Limits a team over all nodes: [perSecond] on average and [burst] at once.
 *
 * @property unit what is counted
 */
public data class Quota(public val perSecond: Double, public val burst: Double, public val unit: QuotaUnit)

/** Says what a quota counts. */
public sealed class QuotaUnit {
    /** Each request counts as one. */
    public data object Requests : QuotaUnit()

    /** A request counts as its tokens; one that states none counts as [plain]. */
    public data class Tokens(public val plain: Int) : QuotaUnit()

    /** Returns what a request with [prompt] counts as. */
    public fun costOf(prompt: Prompt?): Double =
        when (this) {
            Requests -> 1.0
            is Tokens -> (prompt?.let { it.tokens + it.maxNewTokens } ?: plain).toDouble()
        }
}

/** Bounds what a client may send on a connection, and how long it may take. */
public data class ClientLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)
