package gypsumcart.core

import kotlin.time.Duration

/** Holds a price in micro-dollars for each hour. */
@JvmInline
public value class HourlyPrice(public val microDollars: Long) : Comparable<HourlyPrice> {
    override fun compareTo(other: HourlyPrice): Int = microDollars.compareTo(other.microDollars)

    override fun toString(): String = "$microDollars"
}

/** Says whether the cloud may take a machine back. */
public enum class Tenure { RECLAIMABLE, ON_DEMAND }

/** Describes one zone and the region that it belongs to. */
public data class Zone(public val name: ZoneName, public val region: RegionName)

/** Describes what one class of machine costs in one zone. */
public data class MachineOffer(
    public val machineClass: MachineClassName,
    public val zone: ZoneName,
    public val tenure: Tenure,
    public val price: HourlyPrice,
    public val accelerators: Int,
)

/** Describes one backend server as the configuration declares it. */
public data class BackEnd(
    public val id: BackEndId,
    public val service: ServiceName,
    public val address: Address,
    public val zone: ZoneName,
    public val machineClass: MachineClassName,
    public val tenure: Tenure,
)

/** Describes a service: a model served by engines, or a plain service. */
public sealed class Service {
    public abstract val name: ServiceName

    /** Whether the back ends refuse an order with an old fencing number. */
    public abstract val checksFencing: Boolean

    /**
     * A model.
     *
     * @property firstTokenTarget the latency target from submission to the first token
     * @property tokenGapTarget the latency target between two tokens
     * @property concurrency how many requests one replica generates for at once
     * @property contextTokens the most tokens of prompt and answer together
     */
    public data class Model(
        override val name: ServiceName,
        override val checksFencing: Boolean,
        public val firstTokenTarget: Duration,
        public val tokenGapTarget: Duration,
        public val concurrency: Int,
        public val contextTokens: Int,
    ) : Service()

    /**
     * A plain service.
     *
     * @property operations what may be called, the first that matches counts
     * @property timeout how long one call may take
     * @property concurrency how many calls one replica takes at once
     */
    public data class Application(
        override val name: ServiceName,
        override val checksFencing: Boolean,
        public val operations: List<Operation>,
        public val timeout: Duration,
        public val concurrency: Int,
    ) : Service()
}

/** Describes the calls of a plain service that have [method] and a path that starts with [pathPrefix]. */
public data class Operation(
    public val method: String,
    public val pathPrefix: String,
    public val kind: CallKind,
)

/**
 * Describes a team that shares the fleet.
 *
 * @property weight the team's part of the capacity against the other teams' weights
 * @property maxInProgress the most requests in progress at once
 * @property tokensPerMinute the most tokens, of prompts and answers together, in a minute
 * @property sharesQuestions whether equal questions of one caller count as one request without a key
 */
public data class Team(
    public val name: TeamName,
    public val weight: Int,
    public val keys: List<KeyHash>,
    public val services: Set<ServiceName>,
    public val priority: Priority,
    public val maxInProgress: Int,
    public val tokensPerMinute: Int,
    public val sharesQuestions: Boolean,
)

/** Describes an operator and what it may change. */
public data class Operator(
    public val name: OperatorName,
    public val keys: List<KeyHash>,
    public val role: OperatorRole,
    public val teams: Set<TeamName>,
)

/** Says what an operator may do: see, change its own teams, or change everything. */
public enum class OperatorRole { VIEWER, TEAM_ADMIN, FLEET_ADMIN }

/** Holds a whole configuration, which is in force as one or not at all. */
public data class Fleet(
    public val name: String,
    public val zones: List<Zone>,
    public val offers: List<MachineOffer>,
    public val services: Map<ServiceName, Service>,
    public val backEnds: List<BackEnd>,
    public val teams: Map<TeamName, Team>,
    public val operators: List<Operator>,
) {
    /** Returns the team that holds [key], or null when none does. */
    public fun teamOrNull(key: KeyHash): Team? = teams.values.firstOrNull { key in it.keys }

    /** Returns the operator who holds [key], or null when none does. */
    public fun operatorOrNull(key: KeyHash): Operator? = operators.firstOrNull { key in it.keys }
}

/** Returns the kind of the call [method] on [path]; one that no operation names is [CallKind.AtMostOnce]. */
public fun Service.Application.kindOf(method: String, path: String): CallKind =
    operations.firstOrNull { it.method.equals(method, ignoreCase = true) && path.startsWith(it.pathPrefix) }?.kind
        ?: CallKind.AtMostOnce
