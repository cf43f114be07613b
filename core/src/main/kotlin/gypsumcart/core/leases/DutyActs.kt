package gypsumcart.core.leases

import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName

/** Describes something that only the holder of the lease does. */
public sealed class DutyAct {
    /** Reports how many requests of each team began to run in a window. */
    public data class ReportUsage(
        public val window: WindowNumber,
        public val counts: Map<TeamName, Int>,
    ) : DutyAct()

    /** Orders that [service] has [count] back ends in [zone] of one kind: reclaimable ones if [spot]. */
    public data class OrderBackEnds(
        public val service: ServiceName,
        public val zone: ZoneName,
        public val count: Int,
        public val spot: Boolean,
    ) : DutyAct()
}

/** Says how an act ended. */
public enum class ActResult {
    /** It was taken. */
    DONE,

    /** It was refused: a higher number was seen, or nothing is to be had. */
    CONFLICT,

    /** It failed and had no effect. */
    REFUSED,

    /** No answer came; it may have been taken, or may be taken later. */
    UNKNOWN,
}
