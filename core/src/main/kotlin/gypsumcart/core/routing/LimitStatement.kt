package gypsumcart.core.routing

/** Describes what a back end says in a response about the rate of requests that it accepts. */
public sealed class LimitStatement {
    /** All nodes together may send [requestsPerSecond] requests a second. */
    public data class Limited(public val requestsPerSecond: Double) : LimitStatement()

    /** The rate of requests is not limited. */
    public data object Unlimited : LimitStatement()
}
