package gypsumcart.node

import gypsumcart.core.capacity.CallSums
import gypsumcart.core.capacity.CapacityReport
import gypsumcart.core.capacity.InstanceTag
import kotlin.math.roundToInt

/**
 * Represents what a node tells of its recent calls, in reports to other nodes and in rows of the store.
 *
 * Each instance has the tenths of its calls and of their slowness, the calls in progress, those of them that wait and,
 * if there are any, the tenths of the failures.
 */
internal typealias WireCapacity = Map<String, List<Int>>

internal fun CapacityReport.toWire(): WireCapacity =
    sums.entries.associate { (instance, sums) -> instance.number.toString(TAG_RADIX) to sums.toTenths() }

private fun CallSums.toTenths(): List<Int> {
    val known =
        listOf(
            calls * TENTHS,
            slowness * TENTHS,
            inProgress,
            waiting,
            failures * TENTHS,
        ).map { it.roundToInt() }
    return if (known.last() == 0) known.dropLast(1) else known
}

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

private fun List<Int>.toSumsOrNull(): CallSums? {
    if (size !in SUMS || any { it < 0 }) return null
    return CallSums(
        calls = this[0] / TENTHS,
        slowness = this[1] / TENTHS,
        inProgress = this[2].toDouble(),
        waiting = this[3].toDouble(),
        failures = (getOrNull(SUMS.first) ?: 0) / TENTHS,
    )
}

private const val TENTHS = 10.0

/** Calls, slowness, calls in progress, those that wait, and failures if there are any. */
private val SUMS = 4..5

/** The largest radix that digits and letters allow. */
private const val TAG_RADIX = 36
