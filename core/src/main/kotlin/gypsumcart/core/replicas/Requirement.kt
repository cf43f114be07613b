package gypsumcart.core.replicas

/**
 * Describes how many back ends a service requires.
 *
 * @property count the number that is to remain after the loss of one zone's spot back ends
 * @property countAfterTwoLosses the number that is to remain after the loss of those of two zones
 * @property countNow the number that the demand of the moment takes, without any reserve
 * @property allowsReduction whether fewer back ends than present may be ordered in a pool
 * @property load the load that the number follows from
 * @property loadPerBackEnd the load that each back end is expected to carry
 */
internal data class Requirement(
    val count: Int,
    val countAfterTwoLosses: Int,
    val countNow: Int,
    val allowsReduction: Boolean,
    val load: Double,
    val loadPerBackEnd: Double,
)
