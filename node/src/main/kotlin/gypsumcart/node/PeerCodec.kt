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
import gypsumcart.core.membership.TablePosition
import kotlinx.serialization.Serializable
import kotlin.math.ceil
import kotlin.math.round
import kotlin.time.Duration.Companion.milliseconds

/** Represents a message of the peer protocol; [protocol] is the version of its form. */
@Serializable
private class WireMessage(
    val protocol: Int,
    val node: String,
    val incarnation: Long,
    val items: List<WireItem>,
    val position: Long,
    val received: Long,
    val linked: Boolean,
    val lacking: Boolean = false,
)

/** Represents a report; [usage] and [until] are null if the recipient has the current counts already. */
@Serializable
private class WireItem(
    val node: String,
    val incarnation: Long,
    val age: Long,
    val client: String,
    val peer: String,
    val zone: String,
    val accepting: Boolean,
    val beat: Long,
    val usage: Map<Long, Map<String, Int>>? = null,
    val until: Long? = null,
    val quota: Map<String, List<Double>>,
    val load: Map<String, Double>,
    val latency: Map<String, Double> = emptyMap(),
    val lease: WireLease? = null,
    val lost: Map<String, Double> = emptyMap(),
    val findings: WireFindings? = null,
    val rollouts: List<WireRollout> = emptyList(),
)

@Serializable
private class WireLease(val version: Long, val fence: Long?)

/** Describes why a message of the peer protocol was not accepted. */
internal sealed class PeerMessageError {
    /** The bytes are not a message. */
    data class Unreadable(val detail: String) : PeerMessageError()

    /** The sender speaks another [version] of the protocol. */
    data class OtherProtocol(val version: Int) : PeerMessageError()
}

/** Returns the JSON text of the message. */
internal fun PeerMessage.encode(): String =
    JsonBodies.encode(
        WireMessage.serializer(),
        WireMessage(
            PROTOCOL_VERSION,
            sender.node.text,
            sender.incarnation.number,
            items.map { it.toWire() },
            position.number,
            received.number,
            linked,
            lacksReports,
        ),
    )

/** Decodes a message; an item that is not valid makes the whole message unreadable. */
internal fun decodePeerMessage(bytes: ByteArray): Result<PeerMessage, PeerMessageError> {
    val wire =
        JsonBodies
            .decode(WireMessage.serializer(), bytes.decodeToString())
            .getOrElse { return Err(PeerMessageError.Unreadable(it.detail)) }
    if (wire.protocol != PROTOCOL_VERSION) return Err(PeerMessageError.OtherProtocol(wire.protocol))
    val items = wire.items.map { it.toItemOrNull() ?: return Err(PeerMessageError.Unreadable("item of ${it.node}")) }
    return Ok(
        PeerMessage(
            NodeKey(NodeId(wire.node), Incarnation(wire.incarnation)),
            items,
            TablePosition(wire.position),
            TablePosition(wire.received),
            wire.linked,
            wire.lacking,
        ),
    )
}

private fun PeerItem.toWire(): WireItem =
    WireItem(
        node = report.node.text,
        incarnation = report.incarnation.number,
        age = age.inWholeMilliseconds,
        client = report.clientAddress.toString(),
        peer = report.peerAddress?.toString().orEmpty(),
        zone = report.zone.text,
        accepting = report.accepting,
        beat = report.heartbeat,
        usage = if (hasUsage) report.usage.toWire() else null,
        until = if (hasUsage) report.usageUntil.millis else null,
        quota =
            report.quotaUse
                .filterValues { it != UNUSED }
                .entries
                .associate { (team, use) -> team.text to use.toWire() },
        load = report.load.entries.associate { (service, load) -> service.text to load.roundToTenths() },
        latency = report.latency.entries.associate { (service, share) -> service.text to share.roundToThousandths() },
        lease = report.lease?.let { WireLease(it.version, it.storedToken?.number) },
        lost = report.lostCapacity.entries.associate { (service, lost) -> service.text to lost.roundToTenths() },
        findings = report.findings.toWireOrNull(),
        rollouts = report.rollouts.toWire(),
    )

private fun Map<WindowNumber, Map<TeamName, Int>>.toWire(): Map<Long, Map<String, Int>> =
    entries.associate { (window, counts) -> window.number to counts.mapKeys { it.key.text } }

/** Rounds up what was spent, so that rounding never makes room for more. */
private fun QuotaUse.toWire(): List<Double> = listOf(demandPerSecond.roundToTenths(), ceil(spent))

private fun Double.roundToTenths(): Double = round(this * TENTHS) / TENTHS

private fun Double.roundToThousandths(): Double = round(this * THOUSANDTHS) / THOUSANDTHS

private fun WireItem.toItemOrNull(): PeerItem? {
    val clientAddress = addressOrNull(client) ?: return null
    val peerAddress = addressOrNull(peer) ?: return null
    if (age < 0 || quota.values.any { it.size != QUOTA_FIELDS }) return null
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
            usage = usage.orEmpty().entries.associate { (window, counts) -> WindowNumber(window) to counts.toTeams() },
            usageUntil = UnixMillis(until ?: 0),
            quotaUse = quota.entries.associate { (team, use) -> TeamName(team) to QuotaUse(use[0], use[1]) },
            load = load.mapKeys { ServiceName(it.key) },
            latency = latency.mapKeys { ServiceName(it.key) },
            lease = lease?.let { LeaseRow(key.node, key.incarnation, it.version, it.fence?.let(::FencingToken)) },
            lostCapacity = lost.mapKeys { ServiceName(it.key) },
            findings = findings.toFindings(),
            rollouts = rollouts.toReports(),
        )
    return PeerItem(report, age.milliseconds, hasUsage = usage != null)
}

private fun Map<String, Int>.toTeams(): Map<TeamName, Int> = mapKeys { TeamName(it.key) }

private val UNUSED = QuotaUse(0.0, 0.0)
private const val TENTHS = 10.0
private const val THOUSANDTHS = 1_000.0

/** Demand and amount spent. */
private const val QUOTA_FIELDS = 2

/** Changes whenever older programs could misread the messages. */
private const val PROTOCOL_VERSION = 1
