package gypsumcart.core.leases

import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition

/**
 * Represents the lease row in the store.
 *
 * @property version the store's version of the row, which every write increases
 * @property storedToken the fencing token that the row contains; null if the write that acquired the lease wrote the
 * row, and its version is the token, because the store assigns it only as it writes the row
 * @property writtenIn the era of the store in which the row was written, or null if the row does not say so
 */
public data class LeaseRow(
    public val holder: NodeId,
    public val incarnation: Incarnation,
    public val version: Long,
    public val storedToken: FencingToken?,
    public val writtenIn: StoreEra? = null,
)

/** The fencing token of the row's holder. */
public val LeaseRow.fencingToken: FencingToken get() = storedToken ?: FencingToken(version)

/** The era of the store that the token contains; none in a token that continues those of a build without eras. */
internal val FencingToken.era: StoreEra get() = StorePosition(number).era

/** The era of the store in which the row was read; the row itself may have been written in an earlier one. */
internal val LeaseRow.era: StoreEra get() = StorePosition(version).era

/**
 * Whether the store has come back from an older copy between [known] and this row.
 *
 * A version without era is one that a node of a build without eras has reported, or is of a store that names none.
 */
internal fun LeaseRow.isAfterReturnSince(known: LeaseRow): Boolean =
    known.era > StoreEra.UNNAMED && era > known.era

/**
 * Whether the token is a number of the store's own counter, as builds without eras number them.
 *
 * As long as such a build may hold the lease, all tokens must be numbers that it orders alike.
 */
private val LeaseRow.isTokenWithoutEra: Boolean
    get() = era > StoreEra.UNNAMED && fencingToken.era == StoreEra.UNNAMED

/**
 * Returns the token of the next holder, or null if that is the version of the write that acquires the lease.
 *
 * A token without era is followed by the next number, which the version of any later take-over exceeds. If the store
 * has come back since the row was written, it may have lost a row with a higher one, and only a position exceeds that.
 */
internal fun LeaseRow.nextTokenOrNull(): FencingToken? =
    if (isTokenWithoutEra && (writtenIn == null || writtenIn == era)) FencingToken(fencingToken.number + 1) else null

/**
 * Returns the row with its token in the numbers of the build that wrote it, which succeeded the holder of [known].
 *
 * A row that acquires the lease contains no token, and none but this build says when it wrote the row.
 */
internal fun LeaseRow.numberedAfter(known: LeaseRow?): LeaseRow {
    val isOfBuildBefore = storedToken == null && writtenIn == null && known?.era == era && known.isTokenWithoutEra
    return if (isOfBuildBefore) copy(storedToken = FencingToken(StorePosition(version).counter)) else this
}
