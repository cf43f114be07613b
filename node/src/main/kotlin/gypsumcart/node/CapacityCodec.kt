package gypsumcart.node

import gypsumcart.core.capacity.CallSums
import gypsumcart.core.capacity.CapacityReport
import gypsumcart.core.capacity.InstanceTag
import kotlin.math.roundToInt

/**
 * Represents what a node tells of its recent calls, in reports to other nodes and in rows of the store.
 *
 * Each instance has the tenths of its calls, of their slowness and of their failures.
 */
internal typealias WireCapacity = Map<String, List<Int>>

internal fun CapacityReport.toWire(): WireCapacity =
    sums.entries.associate { (instance, sums) -> instance.number.toString(TAG_RADIX) to sums.toTenths() }

private fun CallSums.toTenths(): List<Int> = listOf(calls, slowness, failures).map { (it * TENTHS).roundToInt() }

/** Returns the report; entries of another form are left out. */
internal fun WireCapacity.toCapacity(): CapacityReport =
    CapacityReport(
        entries
            .mapNotNull { (tag, tenths) ->
                val number = tag.toIntOrNull(TAG_RADIX)
                val sums = tenths.toSumsOrNull()
                if (number == null || sums == null) null else InstanceTag(number) to sums
            }.toMap(),
    )

private fun List<Int>.toSumsOrNull(): CallSums? =
    if (size != SUMS || any { it < 0 }) null else CallSums(this[0] / TENTHS, this[1] / TENTHS, this[2] / TENTHS)

private const val TENTHS = 10.0

/** Calls, slowness and failures. */
private const val SUMS = 3

/** The largest radix that digits and letters allow. */
private const val TAG_RADIX = 36
