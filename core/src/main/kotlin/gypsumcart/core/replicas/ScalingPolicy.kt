package gypsumcart.core.replicas

/** Specifies what the [Autoscaler] goes by. */
public sealed class ScalingPolicy {
    /** Goes by the requests waiting or in progress, within limits relative to the initial number of back ends. */
    public data object ByLoad : ScalingPolicy()

    /**
     * Goes by what clients ask for, whether or not it is served.
     *
     * The initial number is kept until a whole period of demand shows that fewer suffice, and does not limit how many
     * more are ordered.
     */
    public data object ByDemand : ScalingPolicy()
}
