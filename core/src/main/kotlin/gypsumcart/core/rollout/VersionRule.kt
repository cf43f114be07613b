package gypsumcart.core.rollout

import gypsumcart.core.BackEndVersion
import gypsumcart.core.OrderNumber
import gypsumcart.core.ServiceName

/** Determines which of two versions the requests for a service go to. */
public sealed class VersionMode {
    /** None goes to the new version. */
    public data object Old : VersionMode()

    /**
     * A share of them goes to the new version.
     *
     * @property share the share, from 0 to 1, by the hash of the request's id
     * @property exposedShare the part of this node's requests since the order that may have gone to the new version
     * @property exposedExtra the number of requests that all nodes together may have sent there in addition
     */
    public data class Divided(
        public val share: Double,
        public val exposedShare: Double,
        public val exposedExtra: Int,
    ) : VersionMode()

    /** None goes to the old version. */
    public data object New : VersionMode()
}

/**
 * States how the requests for [service] are divided between [target], the new version, and the others.
 *
 * @property order the order that the rule follows from
 * @property barred versions that get no requests at all
 * @property isSettled whether the roll-out has ended, so that another version is used rather than none
 */
public data class VersionRule(
    public val service: ServiceName,
    public val order: OrderNumber,
    public val target: BackEndVersion,
    public val mode: VersionMode,
    public val barred: Set<BackEndVersion> = emptySet(),
    public val isSettled: Boolean = false,
)

/**
 * Describes what routing has done by a rule.
 *
 * @property revision the revision of the rules that were in force
 * @property requests the number of requests since the order
 * @property exposed the number of these that went to the new version
 * @property oldCalls the number of calls in progress on other versions
 */
public data class VersionUse(
    public val rule: VersionRule,
    public val revision: Long,
    public val requests: Int,
    public val exposed: Int,
    public val oldCalls: Int,
)
