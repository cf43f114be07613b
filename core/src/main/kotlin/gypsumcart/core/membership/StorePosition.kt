package gypsumcart.core.membership

/**
 * Numbers the times that the store has come back from an older copy of its rows.
 *
 * Within an era the store's versions only rise. In a later era versions of an earlier one are assigned again.
 */
@JvmInline
public value class StoreEra(public val number: Long) : Comparable<StoreEra> {
    /** Whether the number is one that a [StorePosition] can hold. */
    public val isValid: Boolean get() = number in 0..MAX_ERA

    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The era of a store that names none. */
        public val UNNAMED: StoreEra = StoreEra(0)

        private const val MAX_ERA = (1L shl 63 - StorePosition.COUNTER_BITS) - 1

        /**
         * Returns the era that the store names with [number].
         *
         * The store may count from any number, so only the bits are kept that fit. They rise with each era too.
         */
        public fun ofNamed(number: Long): StoreEra = StoreEra(number and MAX_ERA)
    }
}

/**
 * Represents a moment in the history of the store, ordered across its eras.
 *
 * @property number the era in the upper bits and the store's counter in the lower [COUNTER_BITS]; a version of a store
 *   that names no era is its own number
 */
@JvmInline
public value class StorePosition(public val number: Long) : Comparable<StorePosition> {
    /** The era in which the store assigned [counter]. */
    public val era: StoreEra get() = StoreEra(number ushr COUNTER_BITS)

    /** The version as the store numbers it. */
    public val counter: Long get() = number and MAX_COUNTER

    /**
     * Whether a condition on a row with this version holds for the same row in [other].
     *
     * In another era the version may be that of another change. A missing row is missing in any era, also one that the
     * copy lost.
     */
    public fun isComparableIn(other: StoreEra): Boolean = number == 0L || era == other

    /** Returns the position of the same counter in [other]. */
    public fun inEra(other: StoreEra): StorePosition = StorePosition((other.number shl COUNTER_BITS) or counter)

    override fun compareTo(other: StorePosition): Int = number.compareTo(other.number)

    override fun toString(): String = "$era:$counter"

    public companion object {
        /** A thousand changes a second fill the counter in 500 years, and Unix milliseconds fit. */
        internal const val COUNTER_BITS = 44
        private const val MAX_COUNTER = (1L shl COUNTER_BITS) - 1

        /** Returns the position of the store's version [counter] in [era], or null if either is out of range. */
        public fun ofOrNull(era: StoreEra, counter: Long): StorePosition? =
            StorePosition((era.number shl COUNTER_BITS) or counter).takeIf { era.isValid && counter in 0..MAX_COUNTER }
    }
}
