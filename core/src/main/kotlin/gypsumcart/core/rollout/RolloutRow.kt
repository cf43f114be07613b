package gypsumcart.core.rollout

import gypsumcart.core.BackEndVersion
import gypsumcart.core.FencingToken
import gypsumcart.core.OrderNumber
import gypsumcart.core.ServiceName
import kotlin.time.Duration

/**
 * Represents the operator's order to move the requests of [service] to the back ends of the version [target].
 *
 * @property duration the time after the order by which the roll-out is to be complete
 */
public data class RolloutOrder(
    public val service: ServiceName,
    public val target: BackEndVersion,
    public val duration: Duration,
    public val number: OrderNumber,
)

/** Describes how far a roll-out has come; only the lease holder moves it on. */
public sealed class RolloutStage {
    /** No request goes to the new version yet; its back ends are awaited. */
    public data object Prepared : RolloutStage()

    /** The new version gets [share] of the requests, from 0 to 1, and is compared with the old one. */
    public data class Watched(public val share: Double) : RolloutStage()

    /** The new version gets all requests; calls that are in progress on the old one come to their end. */
    public data object Committed : RolloutStage()

    /** No call is in progress on the old version, and none may follow. */
    public data object Complete : RolloutStage()

    /** The old version gets all requests. */
    public data class RolledBack(public val cause: RollbackCause) : RolloutStage()

    /** Whether the roll-out has ended. */
    public val isFinal: Boolean get() = this is Complete || this is RolledBack
}

/** Names the reason why a version is not used. */
public enum class RollbackCause {
    /** Its responses failed or were slow more often than those of the old version. */
    FAULT,

    /** Too few of its back ends came, or they left. */
    ABSENT,

    /** It got too few requests to be judged, or its responses left doubt. */
    UNPROVEN,

    /** The operator ordered another version before it was in force. */
    REPLACED,

    /** No configuration names the service. */
    UNKNOWN_SERVICE,
}

/**
 * Represents the state of a service's latest roll-out in the store.
 *
 * @property elapsed the time from the order to the event that the row came with
 * @property token the fencing token of the holder that wrote the row
 * @property givenUp the versions of earlier roll-outs that may still be listed and get no requests
 * @property replaced the versions that were in force when the order was taken up
 * @property version the store's version of the row, which every write increases; 0 in a row that is to be written
 */
public data class RolloutRow(
    public val service: ServiceName,
    public val order: OrderNumber,
    public val target: BackEndVersion,
    public val stage: RolloutStage,
    public val duration: Duration,
    public val elapsed: Duration,
    public val token: FencingToken,
    public val version: Long,
    public val givenUp: Set<BackEndVersion> = emptySet(),
    public val replaced: Set<BackEndVersion> = emptySet(),
)

/** Describes how a write of a roll-out's row ended. */
public sealed class RolloutWriteResult {
    /** The store accepted the row, which now has [version]. */
    public data class Written(public val version: Long) : RolloutWriteResult()

    /** The row had changed meanwhile; [current] is the stored one, or null if there is none. */
    public data class Outdated(public val current: RolloutRow?) : RolloutWriteResult()

    /** No definite answer arrived; the write may have been applied, or may still be applied later. */
    public data object Unknown : RolloutWriteResult()
}
