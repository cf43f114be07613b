package gypsumcart.core.rollout

import gypsumcart.core.BackEnd
import gypsumcart.core.FencingToken
import gypsumcart.core.ServiceName
import gypsumcart.core.leases.era
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.StoreEra
import kotlin.time.Duration

/** Represents an input of the [Rollout] decider. */
public sealed class RolloutEvent {
    /** The operator ordered a roll-out; the order may have been seen before. */
    public data class Ordered(public val order: RolloutOrder) : RolloutEvent()

    /** The operator's configuration names [services]. */
    public data class ServicesConfigured(public val services: Set<ServiceName>) : RolloutEvent()

    /** The directory lists [backEnds], those of all services. */
    public data class BackEndsListed(public val backEnds: List<BackEnd>) : RolloutEvent()

    /** The store contains [row]. */
    public data class RowRead(public val row: RolloutRow) : RolloutEvent()

    /** A read of the row of [service] ended with [row], or with null if there is none or the read failed. */
    public data class ReadEnded(public val service: ServiceName, public val row: RolloutRow?) : RolloutEvent()

    /** The store answered, and the rows are as they were known. */
    public data object RowsConfirmed : RolloutEvent()

    /** The write of [row] ended with [result]. */
    public data class WriteEnded(
        public val row: RolloutRow,
        public val result: RolloutWriteResult,
    ) : RolloutEvent()

    /**
     * This node acquired the lease with [token], or lost it if null.
     *
     * @property acquiredIn the era of the store in which it did
     */
    public data class HoldingChanged(
        public val token: FencingToken?,
        public val acquiredIn: StoreEra = token?.era ?: StoreEra.UNNAMED,
    ) : RolloutEvent()

    /** The reports of all other nodes that are known; those that run, this node included, are in [live]. */
    public data class ReportsReceived(
        public val reports: List<NodeRollouts>,
        public val live: Set<NodeKey>,
    ) : RolloutEvent()

    /** Routing reports what it has done by its rules. */
    public data class VersionsUsed(public val uses: List<VersionUse>) : RolloutEvent()

    /** A call to a back end of [service] showed something of its version. */
    public data class CallObserved(public val service: ServiceName, public val call: ObservedCall) : RolloutEvent()

    /** A call to an old back end of [service] ended [elapsed] after it had started. */
    public data class OldCallEnded(
        public val service: ServiceName,
        public val elapsed: Duration,
    ) : RolloutEvent()

    /** A timer tick, on which evidence is judged and the holder moves roll-outs on. */
    public data object Tick : RolloutEvent()
}

/** Represents an output of the [Rollout] decider. */
public sealed class RolloutEffect {
    /**
     * Replaces the rules by which routing divides requests between versions.
     *
     * @property revision a number that grows with each change, by which routing states what it has done by the rules
     */
    public data class Rule(public val rules: List<VersionRule>, public val revision: Long) : RolloutEffect()

    /**
     * Shares what this node knows and has seen of the roll-outs with the other nodes.
     *
     * @property isUrgent whether the others should hear it before the next report is due
     */
    public data class Share(public val reports: List<RolloutReport>, public val isUrgent: Boolean) : RolloutEffect()

    /**
     * Writes [row] and the operator's status of the roll-out, in one transaction.
     *
     * @property expectedVersion the version of the row to replace, or 0 if there must be none
     */
    public data class Write(public val row: RolloutRow, public val expectedVersion: Long) : RolloutEffect()

    /** Reads the row of [service]. */
    public data class Read(public val service: ServiceName) : RolloutEffect()

    /** Reports that a newer [row] is in force, and the [evidence] at that time. */
    public data class StageChanged(public val row: RolloutRow, public val evidence: EvidenceSummary) : RolloutEffect()

    /** Reports that this node stops using the new version, on [evidence]. */
    public data class Condemned(public val order: RolloutOrder, public val evidence: EvidenceSummary) : RolloutEffect()
}

/**
 * Summarizes the evidence of all nodes, for logs.
 *
 * @property suspicion the strongest evidence against the version on any route, as a logarithm of the likelihood ratio
 * @property unsealed the live nodes that still have calls in progress on the old version or may start some
 */
public data class EvidenceSummary(
    public val old: ResponseCounts,
    public val new: ResponseCounts,
    public val suspicion: Double,
    public val requests: Int,
    public val exposed: Int,
    public val unsealed: Int,
)
