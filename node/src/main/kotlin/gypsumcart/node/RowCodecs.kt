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
import gypsumcart.core.membership.key
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable

@Serializable
private class ReportRow(
    val client: String,
    val zone: String,
    val accepting: Boolean,
    val beat: Long,
    val usage: Map<Long, Map<String, Int>>,
    val until: Long,
    val quotaUse: Map<String, QuotaUseRow>,
    val load: Map<String, Double>,
)

@Serializable
private class QuotaUseRow(val asked: Double, val spent: Double)

@Serializable
private class HolderRow(val holder: String, val incarnation: Long, val fence: Long? = null)

@Serializable
private class CountsRow(val counts: Map<String, Int>)

@Serializable
private class InitialCountsRow(val counts: Map<String, Int>)

/** Names the tables that the nodes share. */
internal object Tables {
    /** What all nodes follow; one table, so that it takes one feed. */
    val FLEET = TableName("fleet")

    /** The reports that were fixed, a row for each window. */
    val USAGE = TableName("usage")
}

internal val LEASE_KEY = RowKey("lease")
internal val CLOCK_KEY = RowKey("clock")
internal val INITIAL_COUNTS_KEY = RowKey("initial-counts")
private const val NODE_PREFIX = "node/"

internal val RowKey.isNode: Boolean get() = text.startsWith(NODE_PREFIX)

internal fun NodeKey.toRowKey(): RowKey = RowKey("$NODE_PREFIX${node.text}/${incarnation.number}")

internal fun RowKey.toNodeKeyOrNull(): NodeKey? {
    val incarnation = text.substringAfterLast('/', "").toLongOrNull() ?: return null
    return NodeKey(NodeId(text.removePrefix(NODE_PREFIX).substringBeforeLast('/')), Incarnation(incarnation))
}

internal fun WindowNumber.toRowKey(): RowKey = RowKey(number.toString())

internal fun NodeReport.toRowKey(): RowKey = key.toRowKey()

internal fun NodeReport.encode(): ByteArray =
    encode(
        ReportRow.serializer(),
        ReportRow(
            client = clientAddress.toString(),
            zone = zone.text,
            accepting = accepting,
            beat = heartbeat,
            usage = usage.entries.associate { (window, counts) -> window.number to counts.mapKeys { it.key.text } },
            until = usageUntil.millis,
            quotaUse =
                quotaUse.entries.associate { (team, use) ->
                    team.text to QuotaUseRow(use.demandPerSecond, use.spent)
                },
            load = load.mapKeys { it.key.text },
        ),
    )

/** Returns the report in the row, or null when it is none that this version can read. */
internal fun Row.toReportOrNull(): NodeReport? {
    val name = key.toNodeKeyOrNull() ?: return null
    val row = decodeOrNull(ReportRow.serializer(), value) ?: return null
    val address: Address = addressOrNull(row.client) ?: return null
    return NodeReport(
        node = name.node,
        incarnation = name.incarnation,
        clientAddress = address,
        zone = ZoneName(row.zone),
        accepting = row.accepting,
        heartbeat = row.beat,
        usage = row.usage.entries.associate { (window, counts) -> WindowNumber(window) to counts.toTeamCounts() },
        usageUntil = UnixMillis(row.until),
        quotaUse = row.quotaUse.entries.associate { (team, use) -> TeamName(team) to QuotaUse(use.asked, use.spent) },
        load = row.load.mapKeys { ServiceName(it.key) },
    )
}

internal fun encodeLease(holder: NodeId, incarnation: Incarnation, fence: FencingToken?): ByteArray =
    encode(HolderRow.serializer(), HolderRow(holder.text, incarnation.number, fence?.number))

internal fun Row.toLeaseOrNull(): LeaseRow? {
    val row = decodeOrNull(HolderRow.serializer(), value) ?: return null
    val fence = row.fence?.let(::FencingToken)
    return LeaseRow(NodeId(row.holder), Incarnation(row.incarnation), version.number, fence)
}

internal fun encodeCounts(counts: Map<TeamName, Int>): ByteArray =
    encode(CountsRow.serializer(), CountsRow(counts.mapKeys { it.key.text }))

internal fun Row.toCountsOrNull(): Map<TeamName, Int>? =
    decodeOrNull(CountsRow.serializer(), value)?.counts?.toTeamCounts()

internal fun encodeInitialCounts(counts: Map<ServiceName, Int>): ByteArray =
    encode(InitialCountsRow.serializer(), InitialCountsRow(counts.mapKeys { it.key.text }))

internal fun Row.toInitialCountsOrNull(): Map<ServiceName, Int>? =
    decodeOrNull(InitialCountsRow.serializer(), value)?.counts?.mapKeys { ServiceName(it.key) }

private fun Map<String, Int>.toTeamCounts(): Map<TeamName, Int> = mapKeys { TeamName(it.key) }

private fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
    JsonBodies.encode(serializer, value).encodeToByteArray()

private fun <T> decodeOrNull(serializer: KSerializer<T>, bytes: ByteArray): T? =
    JsonBodies.decode(serializer, bytes.decodeToString()).get()
