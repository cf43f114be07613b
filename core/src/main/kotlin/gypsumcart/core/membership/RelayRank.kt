package gypsumcart.core.membership

import kotlin.math.floor
import kotlin.math.log2

/**
 * Ranks hosts by what they can carry as the relay of a zone, in steps of a factor of two.
 *
 * The steps keep hosts of about the same size equal, so that their age decides.
 */
@JvmInline
public value class RelayRank(public val level: Int) : Comparable<RelayRank> {
    override fun compareTo(other: RelayRank): Int = level.compareTo(other.level)

    override fun toString(): String = level.toString()

    public companion object {
        /** The rank of hosts of unknown size and of those too small to prefer any. */
        public val LOWEST: RelayRank = RelayRank(0)

        /** Hosts beyond this carry the relay of any zone alike. */
        private const val HIGHEST_LEVEL = 4

        /** The processor time, in cores, up to which no host is preferred. */
        private const val SMALL_CPU = 0.25

        /** The bandwidth, in Mbit/s, up to which no host is preferred. */
        private const val SMALL_LINK = 8.0

        /** Returns the rank of a host with [cpu] cores and a link of [linkMegabits] Mbit/s. */
        public fun of(cpu: Double, linkMegabits: Double): RelayRank {
            val size = minOf(cpu / SMALL_CPU, linkMegabits / SMALL_LINK)
            if (size.isNaN() || size < 1) return LOWEST
            return RelayRank(floor(log2(size)).toInt().coerceIn(LOWEST.level, HIGHEST_LEVEL))
        }
    }
}
