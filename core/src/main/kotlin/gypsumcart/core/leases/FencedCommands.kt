package gypsumcart.core.leases

import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName

/** Describes a call to the platform that only the lease holder makes, with its fencing token. */
public sealed class FencedCommand {
    /** Reports how many requests of each team started to run in a window. */
    public data class ReportUsage(
        public val window: WindowNumber,
        public val counts: Map<TeamName, Int>,
    ) : FencedCommand()

    /**
     * Sets the number of spot or on-demand back ends of [service] in [zone].
     *
     * @property count the total number wanted, not a number to add
     * @property spot whether the order is for spot back ends, which the platform may reclaim, or on-demand ones
     */
    public data class OrderBackEnds(
        public val service: ServiceName,
        public val zone: ZoneName,
        public val count: Int,
        public val spot: Boolean,
    ) : FencedCommand()
}

/** Describes how a [FencedCommand] ended. */
public enum class CommandResult {
    /** The platform accepted the command. */
    DONE,

    /** The platform rejected the command: it has seen a higher fencing token, or has no capacity for the order. */
    CONFLICT,

    /** The command failed and had no effect. */
    REFUSED,

    /** No answer arrived; the command may have taken effect, or may still take effect later. */
    UNKNOWN,
}
