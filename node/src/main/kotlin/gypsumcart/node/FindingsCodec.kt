package gypsumcart.node

import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.PromptPartId
import gypsumcart.core.ServiceName
import gypsumcart.core.routing.BrittlenessReport
import gypsumcart.core.routing.BrittlenessStatement
import gypsumcart.core.routing.CrashEvidence
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.LimitReport
import gypsumcart.core.routing.LimitStatement
import gypsumcart.core.routing.RoutingFindings
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/** Represents what a node has found out about back ends, in reports to other nodes and in rows of the store. */
@Serializable
internal class WireFindings(
    val crashes: List<WireCrashEvidence> = emptyList(),
    val limits: List<WireLimit> = emptyList(),
    val brittleness: List<WireBrittleness> = emptyList(),
)

/**
 * Represents what an instance stated [age] milliseconds ago.
 *
 * @property rate the requests a second that it accepts, or null if it states no limit
 */
@Serializable
internal class WireLimit(val id: String, val incarnation: Long, val rate: Double?, val age: Long)

/**
 * Represents what an instance of [service] stated [age] milliseconds ago.
 *
 * @property tolerance the requests that it can turn away in a second, or null if it does not say that it is brittle
 */
@Serializable
internal class WireBrittleness(
    val service: String,
    val id: String,
    val incarnation: Long,
    val tolerance: Int?,
    val age: Long,
)

/**
 * Represents evidence of crashes.
 *
 * @property answered the time since a response started, in milliseconds
 */
@Serializable
internal class WireCrashEvidence(val part: String, val at: List<WireCrash>, val answered: Long? = null)

/** Represents the crash of an instance [age] milliseconds ago. */
@Serializable
internal class WireCrash(val id: String, val incarnation: Long, val age: Long)

internal fun RoutingFindings.toWireOrNull(): WireFindings? =
    if (isEmpty) {
        null
    } else {
        WireFindings(
            crashEvidence.map {
                it.toWire()
            },
            limits.map { it.toWire() },
            brittleness.map { it.toWire() },
        )
    }

internal fun WireFindings?.toFindings(): RoutingFindings =
    if (this == null) {
        RoutingFindings.NONE
    } else {
        RoutingFindings(
            crashes.map { it.toEvidence() },
            limits.map { it.toReport() },
            brittleness.map { it.toReport() },
        )
    }

private fun LimitReport.toWire(): WireLimit {
    val rate =
        when (val s = statement) {
            is LimitStatement.Limited -> s.requestsPerSecond
            LimitStatement.Unlimited -> null
        }
    return WireLimit(instance.id.text, instance.incarnation.number, rate, age.inWholeMilliseconds)
}

private fun WireLimit.toReport(): LimitReport =
    LimitReport(
        InstanceKey(BackEndId(id), Incarnation(incarnation)),
        if (rate == null) LimitStatement.Unlimited else LimitStatement.Limited(rate),
        age.milliseconds,
    )

private fun BrittlenessReport.toWire(): WireBrittleness {
    val tolerance =
        when (val s = statement) {
            is BrittlenessStatement.Brittle -> s.tolerance
            BrittlenessStatement.Sturdy -> null
        }
    return WireBrittleness(
        service.text,
        instance.id.text,
        instance.incarnation.number,
        tolerance,
        age.inWholeMilliseconds,
    )
}

private fun WireBrittleness.toReport(): BrittlenessReport =
    BrittlenessReport(
        ServiceName(service),
        InstanceKey(BackEndId(id), Incarnation(incarnation)),
        if (tolerance == null) BrittlenessStatement.Sturdy else BrittlenessStatement.Brittle(tolerance),
        age.milliseconds,
    )

private fun CrashEvidence.toWire(): WireCrashEvidence =
    WireCrashEvidence(
        part.text,
        crashes.map { (instance, age) ->
            WireCrash(instance.id.text, instance.incarnation.number, age.inWholeMilliseconds)
        },
        answeredAge?.inWholeMilliseconds,
    )

private fun WireCrashEvidence.toEvidence(): CrashEvidence =
    CrashEvidence(
        PromptPartId(part),
        at.associate { InstanceKey(BackEndId(it.id), Incarnation(it.incarnation)) to it.age.milliseconds },
        answered?.milliseconds,
    )
