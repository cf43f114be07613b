package gypsumcart.core.admission

/** Determines what nodes do for each other within the quotas of teams. */
public sealed class QuotaSharing {
    /** Each node spends its own share, and what was charged stays charged. */
    public data object Separate : QuotaSharing()

    /** The charge of a request that did not run is returned. */
    public data object Lending : QuotaSharing()
}
