package gypsumcart.node

import gypsumcart.core.Address
import gypsumcart.http.RequestHandler

/** Lets the nodes of a zone follow the tables of the store through one of them. */
public interface FeedRelay {
    /** Responds to the nodes that follow tables through this one. */
    public val handler: RequestHandler

    /** Returns whether requests for [path] are for [handler]. */
    public fun handles(path: String): Boolean

    /**
     * Follows the tables through [relay], or from the store if it is null.
     *
     * @param others the nodes to turn to if neither responds, in the order of preference
     */
    public fun follow(relay: Address?, others: List<Address>)
}
