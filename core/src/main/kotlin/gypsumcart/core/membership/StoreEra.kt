package gypsumcart.core.membership

/**
 * Numbers the times that the store has come back from an older copy of its rows.
 *
 * Within an era the store's versions only rise. In a later era versions of an earlier one are assigned again.
 */
@JvmInline
public value class StoreEra(public val number: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}
