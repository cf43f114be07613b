package gypsumcart.core.routing

import gypsumcart.core.ServiceName
import kotlin.time.Duration

/**
 * Describes what the routing of one node has found out about back ends, for the other nodes.
 *
 * @property limits the latest statements that the node itself has heard
 * @property brittleness the same of how many requests back ends can turn away
 */
public data class RoutingFindings(
    public val crashEvidence: List<CrashEvidence> = emptyList(),
    public val limits: List<LimitReport> = emptyList(),
    public val brittleness: List<BrittlenessReport> = emptyList(),
) {
    /** Whether there is nothing to tell. */
    public val isEmpty: Boolean get() = crashEvidence.isEmpty() && limits.isEmpty() && brittleness.isEmpty()

    /** Returns the same findings as seen [elapsed] later. */
    public fun olderBy(elapsed: Duration): RoutingFindings =
        RoutingFindings(
            crashEvidence.map { it.olderBy(elapsed) },
            limits.map { it.copy(age = it.age + elapsed) },
            brittleness.map { it.copy(age = it.age + elapsed) },
        )

    /** Returns whether the findings say the same, except for ages. */
    public fun hasContentOf(other: RoutingFindings): Boolean =
        crashEvidence.map { it.part to it.crashes.keys } == other.crashEvidence.map { it.part to it.crashes.keys } &&
            limits.associate { it.instance to it.statement } ==
            other.limits.associate { it.instance to it.statement } &&
            brittleness.associate { it.instance to it.statement } ==
            other.brittleness.associate { it.instance to it.statement }

    public companion object {
        /** No findings. */
        public val NONE: RoutingFindings = RoutingFindings()
    }
}

/** Describes what [instance] stated [age] ago. */
public data class LimitReport(
    public val instance: InstanceKey,
    public val statement: LimitStatement,
    public val age: Duration,
)

/** Describes what [instance] of [service] stated [age] ago about how many requests it can turn away. */
public data class BrittlenessReport(
    public val service: ServiceName,
    public val instance: InstanceKey,
    public val statement: BrittlenessStatement,
    public val age: Duration,
)
