package gypsumcart.node

import com.github.michaelbull.result.get
import gypsumcart.core.Address
import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.addressOrNull
import gypsumcart.core.admission.QuotaUse
import gypsumcart.core.leases.LeaseRow
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.membership.RelayRank
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.key
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

@OptIn(ExperimentalSerializationApi::class)
@Serializable
private class ReportRow(
    @SerialName("client") val clientAddress: String,
    @SerialName("peer") val peerAddress: String? = null,
    val zone: String,
    val accepting: Boolean,
    @SerialName("beat") val heartbeat: Long,
    val usage: Map<Long, Map<String, Int>>,
    @SerialName("until") val usageUntil: Long,
    val quotaUse: Map<String, QuotaUseRow>,
    val load: Map<String, Double>,
    val latency: Map<String, Double> = emptyMap(),
    @SerialName("written") val writtenMillis: Long? = null,
    val lost: Map<String, Double> = emptyMap(),
    val findings: WireFindings? = null,
    val capacity: WireCapacity = emptyMap(),
    val heard: Map<String, Long> = emptyMap(),
    @SerialName("rank") val relayRank: Int = 0,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val arrivals: Map<String, WireArrivals> = emptyMap(),
    val rollouts: List<WireRollout> = emptyList(),
    @SerialName("records")
    @EncodeDefault(EncodeDefault.Mode.NEVER)
    val keepsStreamRecords: Boolean = false,
)

@Serializable
private class QuotaUseRow(
    @SerialName("asked") val demandPerSecond: Double,
    val spent: Double,
)

/** @property era the era of the store in which the row was written; earlier builds don't state it */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
private class LeaseHolderRow(
    val holder: String,
    val incarnation: Long,
    @SerialName("fence") val fencingToken: Long? = null,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val era: Long? = null,
)

@Serializable
private class UsageCountsRow(val counts: Map<String, Int>)

@Serializable
private class InitialCountsRow(val counts: Map<String, Int>)

/** Identifies the tables that the nodes share. */
internal object Tables {
    /** All rows whose changes every node follows; they are in one table, so that a single feed suffices. */
    val FLEET = TableName("fleet")

    /** The final usage reports, one row for each window. */
    val USAGE = TableName("usage")

    /** The versions that began streams, one row for each slot of the hash of their ids. */
    val STREAMS = TableName("streams")
}

internal val LEASE_KEY = RowKey("lease")
internal val CLOCK_KEY = RowKey("clock")
internal val INITIAL_COUNTS_KEY = RowKey("initial-counts")
private const val NODE_KEY_PREFIX = "node/"

internal val RowKey.isNodeReport: Boolean get() = text.startsWith(NODE_KEY_PREFIX)

internal fun NodeKey.toRowKey(): RowKey = RowKey("$NODE_KEY_PREFIX${node.text}/${incarnation.number}")

internal fun RowKey.toNodeKeyOrNull(): NodeKey? {
    val incarnation = text.substringAfterLast('/', "").toLongOrNull() ?: return null
    return NodeKey(NodeId(text.removePrefix(NODE_KEY_PREFIX).substringBeforeLast('/')), Incarnation(incarnation))
}

internal fun WindowNumber.toRowKey(): RowKey = RowKey(number.toString())

internal fun NodeReport.toRowKey(): RowKey = key.toRowKey()

/**
 * Returns the value of the report's row, written when the store's clock shows [writtenMillis].
 *
 * @param heard the time since each node was last heard over the link, for those that are to be confirmed
 */
internal fun NodeReport.encode(writtenMillis: Long?, heard: Map<NodeKey, Duration> = emptyMap()): ByteArray =
    encode(
        ReportRow.serializer(),
        ReportRow(
            clientAddress = clientAddress.toString(),
            peerAddress = peerAddress?.toString(),
            zone = zone.text,
            accepting = accepting,
            heartbeat = heartbeat,
            usage = usage.entries.associate { (window, counts) -> window.number to counts.mapKeys { it.key.text } },
            usageUntil = usageUntil.millis,
            quotaUse =
                quotaUse.entries.associate { (team, use) ->
                    team.text to QuotaUseRow(use.demandPerSecond, use.spent)
                },
            load = load.mapKeys { it.key.text },
            latency = latency.mapKeys { it.key.text },
            writtenMillis = writtenMillis,
            lost = lostCapacity.mapKeys { it.key.text },
            findings = findings.toWireOrNull(),
            capacity = capacity.toWire(),
            arrivals = arrivals.toWire(),
            rollouts = rollouts.toWire(),
            heard = heard.entries.associate { (key, age) -> key.toRowKey().text to age.inWholeMilliseconds },
            relayRank = relayRank.level,
            keepsStreamRecords = keepsStreamRecords,
        ),
    )

/**
 * Holds a report of the store.
 *
 * @property writtenMillis the time of the store's clock at which the report was written, if it says so
 * @property heard the time since each node was last heard over the link, when the report was written
 */
internal class StoredReport(val report: NodeReport, val writtenMillis: Long?, val heard: Map<NodeKey, Duration>)

/**
 * Returns the report in the row, or null if this version can't decode the key or the value.
 *
 * It has no lease, which has a row of its own.
 */
internal fun Row.toReportOrNull(): StoredReport? {
    val nodeKey = key.toNodeKeyOrNull() ?: return null
    val row = decodeOrNull(ReportRow.serializer(), value) ?: return null
    val address: Address = addressOrNull(row.clientAddress) ?: return null
    val report =
        NodeReport(
            node = nodeKey.node,
            incarnation = nodeKey.incarnation,
            clientAddress = address,
            peerAddress = row.peerAddress?.let(::addressOrNull),
            zone = ZoneName(row.zone),
            accepting = row.accepting,
            heartbeat = row.heartbeat,
            usage = row.usage.entries.associate { (window, counts) -> WindowNumber(window) to counts.toTeamCounts() },
            usageUntil = UnixMillis(row.usageUntil),
            quotaUse =
                row.quotaUse.entries.associate { (team, use) ->
                    TeamName(team) to QuotaUse(use.demandPerSecond, use.spent)
                },
            load = row.load.mapKeys { ServiceName(it.key) },
            latency = row.latency.mapKeys { ServiceName(it.key) },
            lease = null,
            lostCapacity = row.lost.mapKeys { ServiceName(it.key) },
            findings = row.findings.toFindings(),
            relayRank = RelayRank(row.relayRank),
            capacity = row.capacity.toCapacity(),
            arrivals = row.arrivals.toArrivals(),
            rollouts = row.rollouts.toReports(),
            keepsStreamRecords = row.keepsStreamRecords,
        )
    return StoredReport(report, row.writtenMillis, row.heard.toHeard())
}

private fun Map<String, Long>.toHeard(): Map<NodeKey, Duration> =
    entries
        .mapNotNull { (key, millis) -> RowKey(key).toNodeKeyOrNull()?.let { it to millis.milliseconds } }
        .filter { (_, age) -> age >= Duration.ZERO }
        .toMap()

/** Returns the value of the lease row, written in [era] of the store, which the row states if the store names it. */
internal fun encodeLease(
    holder: NodeId,
    incarnation: Incarnation,
    token: FencingToken?,
    era: StoreEra = StoreEra.UNNAMED,
): ByteArray {
    val stated = era.takeIf { it != StoreEra.UNNAMED }
    return encode(
        LeaseHolderRow.serializer(),
        LeaseHolderRow(holder.text, incarnation.number, token?.number, stated?.number),
    )
}

internal fun Row.toLeaseOrNull(): LeaseRow? {
    val row = decodeOrNull(LeaseHolderRow.serializer(), value) ?: return null
    val token = row.fencingToken?.let(::FencingToken)
    val era = row.era?.let(::StoreEra)
    return LeaseRow(NodeId(row.holder), Incarnation(row.incarnation), version.number, token, era)
}

internal fun encodeUsageCounts(counts: Map<TeamName, Int>): ByteArray =
    encode(UsageCountsRow.serializer(), UsageCountsRow(counts.mapKeys { it.key.text }))

internal fun Row.toUsageCountsOrNull(): Map<TeamName, Int>? =
    decodeOrNull(UsageCountsRow.serializer(), value)?.counts?.toTeamCounts()

internal fun encodeInitialCounts(counts: Map<ServiceName, Int>): ByteArray =
    encode(InitialCountsRow.serializer(), InitialCountsRow(counts.mapKeys { it.key.text }))

internal fun Row.toInitialCountsOrNull(): Map<ServiceName, Int>? =
    decodeOrNull(InitialCountsRow.serializer(), value)?.counts?.mapKeys { ServiceName(it.key) }

private fun Map<String, Int>.toTeamCounts(): Map<TeamName, Int> = mapKeys { TeamName(it.key) }

private fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
    JsonBodies.encode(serializer, value).encodeToByteArray()

private fun <T> decodeOrNull(serializer: KSerializer<T>, bytes: ByteArray): T? =
    JsonBodies.decode(serializer, bytes.decodeToString()).get()
