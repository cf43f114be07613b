package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
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
import gypsumcart.core.membership.PeerItem
import gypsumcart.core.membership.PeerMessage
import gypsumcart.core.membership.RelayRank
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition
import gypsumcart.core.membership.TablePosition
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.slf4j.LoggerFactory
import kotlin.math.ceil
import kotlin.math.round
import kotlin.time.Duration.Companion.milliseconds

/** Represents the first line of a message of the peer protocol; [protocol] is the version of its form. */
@Serializable
private class WireHead(
    val protocol: Int,
    val node: String,
    val incarnation: Long,
    val position: Long,
    val received: Long,
    val linked: Boolean,
    val lacking: Boolean = false,
)

/**
 * Represents a report; a message has one for each node, and most differ only in numbers, so the names are short.
 *
 * @property hasUsage whether [usage] has all windows, or only those that changed
 */
@Serializable
private class WireItem(
    @SerialName("n") val node: String,
    @SerialName("i") val incarnation: Long,
    @SerialName("c") val client: String,
    @SerialName("p") val peer: String,
    @SerialName("z") val zone: String,
    @SerialName("a") val accepting: Boolean = false,
    @SerialName("b") val beat: Long,
    @SerialName("f") val hasUsage: Boolean = false,
    @SerialName("u") val usage: Map<Long, Map<String, Int>> = emptyMap(),
    @SerialName("v") val until: Long = 0,
    @SerialName("q") val quota: Map<String, List<Long>> = emptyMap(),
    @SerialName("l") val load: Map<String, Long> = emptyMap(),
    @SerialName("t") val latency: Map<String, Long> = emptyMap(),
    @SerialName("e") val lease: WireLease? = null,
    @SerialName("k") val lost: Map<String, Long> = emptyMap(),
    @SerialName("d") val findings: WireFindings? = null,
    @SerialName("r") val relayRank: Int = 0,
    @SerialName("s") val capacity: WireCapacity = emptyMap(),
    @SerialName("w") val arrivals: Map<String, WireArrivals> = emptyMap(),
    @SerialName("o") val rollouts: List<WireRollout> = emptyList(),
    @SerialName("x") val cutOff: Boolean = false,
    @SerialName("m") val keepsStreamRecords: Boolean = false,
)

/**
 * Represents the lease row that the sender wrote.
 *
 * @property version the version as the store numbers it, which builds before the store's eras order by; some later ones
 * send the number of its position
 * @property era the era in which the store assigned the version, or 0 if it names none
 */
@Serializable
private class WireLease(val version: Long, val fence: Long?, val era: Long = 0) {
    fun toRowOrNull(holder: NodeKey): LeaseRow? {
        val position = if (era == 0L) StorePosition(version) else StorePosition.ofOrNull(StoreEra(era), version)
        val writtenIn = if (era == 0L) null else StoreEra(era)
        return position?.let {
            LeaseRow(holder.node, holder.incarnation, it.number, fence?.let(::FencingToken), writtenIn)
        }
    }
}

private fun LeaseRow.toWire(): WireLease {
    val position = StorePosition(version)
    return WireLease(position.counter, storedToken?.number, position.era.number)
}

/** Describes why a message of the peer protocol was not accepted. */
internal sealed class PeerMessageError {
    /** The bytes are not a message. */
    data class Unreadable(val detail: String) : PeerMessageError()

    /** The sender speaks another [version] of the protocol. */
    data class OtherProtocol(val version: Int) : PeerMessageError()
}

/** Encodes and decodes the messages between nodes; used by the edge thread alone. */
internal class PeerCodec {
    private val texts = ReportTexts()
    private val bytes = PeerBytes()

    /** Returns the bytes of [message]. */
    fun encode(message: PeerMessage): ByteArray = bytes.pack(message.encode(texts))

    /** Returns the message in [packed]. */
    fun decode(packed: ByteArray): Result<PeerMessage, PeerMessageError> {
        val text = bytes.unpackOrNull(packed) ?: return Err(PeerMessageError.Unreadable("packed bytes"))
        return decodePeerMessage(text, texts)
    }
}

/** Returns the text of the message: a line of JSON about it, and one for each report after the report's age. */
internal fun PeerMessage.encode(texts: ReportTexts = ReportTexts()): String {
    val head =
        WireHead(
            PROTOCOL_VERSION,
            sender.node.text,
            sender.incarnation.number,
            position.number,
            received.number,
            linked,
            lacksReports,
        )
    return buildString {
        append(JsonBodies.encodeCompact(WireHead.serializer(), head))
        for (item in items) {
            append('\n').append(item.age.inWholeMilliseconds).append(' ')
            append(texts.getOrPut(item) { JsonBodies.encodeCompact(WireItem.serializer(), item.toWire()) })
        }
    }
}

/** Decodes a message; a report that can't be read is left out, as the next one of its node replaces it. */
internal fun decodePeerMessage(
    bytes: ByteArray,
    texts: ReportTexts = ReportTexts(),
): Result<PeerMessage, PeerMessageError> {
    val lines = bytes.decodeToString().split('\n')
    val head =
        JsonBodies
            .decode(WireHead.serializer(), lines.first())
            .getOrElse { return Err(PeerMessageError.Unreadable(it.detail)) }
    if (head.protocol != PROTOCOL_VERSION) return Err(PeerMessageError.OtherProtocol(head.protocol))
    return Ok(
        PeerMessage(
            NodeKey(NodeId(head.node), Incarnation(head.incarnation)),
            lines.drop(1).mapNotNull { decodeItemOrNull(it, texts) },
            TablePosition(head.position),
            TablePosition(head.received),
            head.linked,
            head.lacking,
        ),
    )
}

private fun decodeItemOrNull(line: String, texts: ReportTexts): PeerItem? {
    val age = line.substringBefore(' ', "").toLongOrNull()?.takeIf { it >= 0 }
    val text = line.substringAfter(' ')
    val wire = JsonBodies.decode(WireItem.serializer(), text).getOrElse { null }
    val item = if (age == null) null else wire?.toItemOrNull(age)
    if (item == null) log.warn("event=peer_item_unreadable node={} beat={}", wire?.node, wire?.beat)
    return item?.also { texts.getOrPut(it) { text } }
}

private fun PeerItem.toWire(): WireItem =
    WireItem(
        node = report.node.text,
        incarnation = report.incarnation.number,
        client = report.clientAddress.toString(),
        peer = report.peerAddress?.toString().orEmpty(),
        zone = report.zone.text,
        accepting = report.accepting,
        beat = report.heartbeat,
        hasUsage = hasUsage,
        usage = report.usage.toWire(),
        until = report.usageUntil.millis,
        quota =
            report.quotaUse.entries
                .associate { (team, use) -> team.text to use.toWire() }
                .filterValues { it != UNUSED },
        load = report.load.entries.associate { (service, load) -> service.text to load.inUnits(TENTHS) },
        latency = report.latency.entries.associate { (service, share) -> service.text to share.inUnits(THOUSANDTHS) },
        lease = report.lease?.toWire(),
        lost = report.lostCapacity.entries.associate { (service, lost) -> service.text to lost.inUnits(TENTHS) },
        findings = report.findings.toWireOrNull(),
        relayRank = report.relayRank.level,
        capacity = report.capacity.toWire(),
        arrivals = report.arrivals.toWire(),
        rollouts = report.rollouts.toWire(),
        cutOff = !report.reachesBackEnds,
        keepsStreamRecords = report.keepsStreamRecords,
    )

private fun Map<WindowNumber, Map<TeamName, Int>>.toWire(): Map<Long, Map<String, Int>> =
    entries.associate { (window, counts) -> window.number to counts.mapKeys { it.key.text } }

/** Rounds up what was spent, so that rounding never makes room for more. */
private fun QuotaUse.toWire(): List<Long> = listOf(demandPerSecond.inUnits(TENTHS), ceil(spent).toLong())

private fun Double.inUnits(unitsPerOne: Double): Long = round(this * unitsPerOne).toLong()

private fun List<Long>.toQuotaUse(): QuotaUse = QuotaUse(this[0] / TENTHS, this[1].toDouble())

private fun WireItem.toItemOrNull(ageMillis: Long): PeerItem? {
    val clientAddress = addressOrNull(client) ?: return null
    val peerAddress = addressOrNull(peer) ?: return null
    if (quota.values.any { it.size != QUOTA_FIELDS }) return null
    val key = NodeKey(NodeId(node), Incarnation(incarnation))
    val report =
        NodeReport(
            node = key.node,
            incarnation = key.incarnation,
            clientAddress = clientAddress,
            peerAddress = peerAddress,
            zone = ZoneName(zone),
            accepting = accepting,
            heartbeat = beat,
            usage = usage.entries.associate { (window, counts) -> WindowNumber(window) to counts.toTeams() },
            usageUntil = UnixMillis(until),
            quotaUse = quota.entries.associate { (team, use) -> TeamName(team) to use.toQuotaUse() },
            load = load.entries.associate { (service, load) -> ServiceName(service) to load / TENTHS },
            latency = latency.entries.associate { (service, share) -> ServiceName(service) to share / THOUSANDTHS },
            lease = lease?.toRowOrNull(key),
            lostCapacity = lost.entries.associate { (service, lost) -> ServiceName(service) to lost / TENTHS },
            findings = findings.toFindings(),
            relayRank = RelayRank(relayRank),
            capacity = capacity.toCapacity(),
            arrivals = arrivals.toArrivals(),
            rollouts = rollouts.toReports(),
            reachesBackEnds = !cutOff,
            keepsStreamRecords = keepsStreamRecords,
        )
    return PeerItem(report, ageMillis.milliseconds, hasUsage)
}

private fun Map<String, Int>.toTeams(): Map<TeamName, Int> = mapKeys { TeamName(it.key) }

private val UNUSED = listOf(0L, 0L)
private val log = LoggerFactory.getLogger("gypsumcart.node.PeerCodec")

private const val TENTHS = 10.0
private const val THOUSANDTHS = 1_000.0

/** Demand and amount spent. */
private const val QUOTA_FIELDS = 2

/** Changes whenever older programs could misread the messages. */
private const val PROTOCOL_VERSION = 2
