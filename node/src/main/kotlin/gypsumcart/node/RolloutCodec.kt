package gypsumcart.node

import com.github.michaelbull.result.get
import gypsumcart.core.BackEndVersion
import gypsumcart.core.FencingToken
import gypsumcart.core.OrderNumber
import gypsumcart.core.RouteKey
import gypsumcart.core.ServiceName
import gypsumcart.core.rollout.ResponseCounts
import gypsumcart.core.rollout.RollbackCause
import gypsumcart.core.rollout.RolloutReport
import gypsumcart.core.rollout.RolloutRow
import gypsumcart.core.rollout.RolloutStage
import gypsumcart.core.rollout.RouteEvidence
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Represents a stage; [share] and [cause] are present where the stage has them. */
@Serializable
internal class WireStage(val name: String, val share: Double? = null, val cause: String? = null)

/**
 * Represents the row of a service's latest roll-out; times are in milliseconds.
 *
 * @property started the time of the store's clock at which the operator gave the order
 */
@Serializable
private class StoredRollout(
    val order: Long,
    @SerialName("to") val target: String,
    val stage: WireStage,
    val duration: Long,
    val started: Long,
    @SerialName("fence") val token: Long,
    val givenUp: List<String> = emptyList(),
    val replaced: List<String> = emptyList(),
)

/** Represents the same row in a report; [elapsed] is the time since the order, in milliseconds. */
@Serializable
internal class WireRolloutRow(
    val order: Long,
    @SerialName("to") val target: String,
    val stage: WireStage,
    val duration: Long,
    val elapsed: Long,
    @SerialName("fence") val token: Long,
    val version: Long,
    val givenUp: List<String> = emptyList(),
    val replaced: List<String> = emptyList(),
)

/** Represents what a node knows of a roll-out and has seen of it; times are in milliseconds. */
@Serializable
internal class WireRollout(
    val service: String,
    val order: Long,
    val row: WireRolloutRow? = null,
    val confirmed: Long? = null,
    val condemned: Boolean = false,
    val sealed: Boolean = false,
    val requests: Int = 0,
    val exposed: Int = 0,
    val longest: Long = 0,
    val routes: List<WireRouteEvidence> = emptyList(),
)

/** Represents the responses on a route; the lists hold the numbers of good, failed and slow ones. */
@Serializable
internal class WireRouteEvidence(val host: String, val prefix: String, val old: List<Int>, val new: List<Int>)

private const val ROLLOUT_PREFIX = "rollout/"

/** More services than are rolled out at a time; bounds a report. */
private const val MAX_REPORTED = 32

/** Good, failed and slow ones. */
private const val COUNTS = 3

internal val RowKey.isRollout: Boolean get() = text.startsWith(ROLLOUT_PREFIX)

internal fun ServiceName.toRolloutKey(): RowKey = RowKey(ROLLOUT_PREFIX + text)

/** Returns the value of the row, written when the store's clock shows [storeMillis]. */
internal fun RolloutRow.encode(storeMillis: Long): ByteArray =
    JsonBodies
        .encode(
            StoredRollout.serializer(),
            StoredRollout(
                order.number,
                target.text,
                stage.toWire(),
                duration.inWholeMilliseconds,
                storeMillis - elapsed.inWholeMilliseconds,
                token.number,
                givenUp.map { it.text },
                replaced.map { it.text },
            ),
        ).encodeToByteArray()

/** Returns the roll-out in the row as of [storeMillis] of the store's clock, or null if it can't be read. */
internal fun Row.toRolloutRowOrNull(storeMillis: Long?): RolloutRow? {
    val row = JsonBodies.decode(StoredRollout.serializer(), value.decodeToString()).get() ?: return null
    val stage = row.stage.toStageOrNull() ?: return null
    val elapsed = if (storeMillis == null) Duration.ZERO else (storeMillis - row.started).milliseconds
    return RolloutRow(
        ServiceName(key.text.removePrefix(ROLLOUT_PREFIX)),
        OrderNumber(row.order),
        BackEndVersion(row.target),
        stage,
        row.duration.milliseconds,
        elapsed.coerceAtLeast(Duration.ZERO),
        FencingToken(row.token),
        version.number,
        row.givenUp.mapTo(HashSet(), ::BackEndVersion),
        row.replaced.mapTo(HashSet(), ::BackEndVersion),
    )
}

internal fun List<RolloutReport>.toWire(): List<WireRollout> = take(MAX_REPORTED).map { it.toWire() }

internal fun List<WireRollout>.toReports(): List<RolloutReport> = take(MAX_REPORTED).map { it.toReport() }

private fun RolloutReport.toWire(): WireRollout =
    WireRollout(
        service.text,
        order.number,
        row?.toWire(),
        confirmedAge?.inWholeMilliseconds,
        condemned,
        sealed,
        requests,
        exposed,
        longestCall.inWholeMilliseconds,
        routes.map { WireRouteEvidence(it.route.host, it.route.prefix, it.old.toList(), it.new.toList()) },
    )

private fun WireRollout.toReport(): RolloutReport =
    RolloutReport(
        ServiceName(service),
        OrderNumber(order),
        row?.toRowOrNull(ServiceName(service)),
        confirmed?.milliseconds,
        condemned,
        sealed,
        requests,
        exposed,
        longest.milliseconds,
        routes.map { RouteEvidence(RouteKey(it.host, it.prefix), it.old.toCounts(), it.new.toCounts()) },
    )

private fun RolloutRow.toWire(): WireRolloutRow =
    WireRolloutRow(
        order.number,
        target.text,
        stage.toWire(),
        duration.inWholeMilliseconds,
        elapsed.inWholeMilliseconds,
        token.number,
        version,
        givenUp.map { it.text },
        replaced.map { it.text },
    )

private fun WireRolloutRow.toRowOrNull(service: ServiceName): RolloutRow? =
    stage.toStageOrNull()?.let {
        RolloutRow(
            service,
            OrderNumber(order),
            BackEndVersion(target),
            it,
            duration.milliseconds,
            elapsed.milliseconds,
            FencingToken(token),
            version,
            givenUp.mapTo(HashSet(), ::BackEndVersion),
            replaced.mapTo(HashSet(), ::BackEndVersion),
        )
    }

private fun ResponseCounts.toList(): List<Int> = listOf(good, failed, slow)

private fun List<Int>.toCounts(): ResponseCounts =
    if (size == COUNTS && all { it >= 0 }) ResponseCounts(this[0], this[1], this[2]) else ResponseCounts()

/** The name of the stage in rows, logs and metrics. */
internal val RolloutStage.logName: String
    get() =
        when (this) {
            RolloutStage.Prepared -> "prepared"
            is RolloutStage.Watched -> "watched"
            RolloutStage.Committed -> "committed"
            RolloutStage.Complete -> "complete"
            is RolloutStage.RolledBack -> "rolled_back"
        }

private fun RolloutStage.toWire(): WireStage =
    when (this) {
        is RolloutStage.Watched -> WireStage(logName, share = share)
        is RolloutStage.RolledBack -> WireStage(logName, cause = cause.name.lowercase())
        RolloutStage.Prepared, RolloutStage.Committed, RolloutStage.Complete -> WireStage(logName)
    }

private fun WireStage.toStageOrNull(): RolloutStage? =
    when (name) {
        "prepared" -> RolloutStage.Prepared
        "watched" -> share?.takeIf { it in 0.0..1.0 }?.let(RolloutStage::Watched)
        "committed" -> RolloutStage.Committed
        "complete" -> RolloutStage.Complete
        "rolled_back" ->
            RollbackCause.entries.firstOrNull { it.name.lowercase() == cause }?.let(RolloutStage::RolledBack)
        else -> null
    }
