package gypsumcart.node

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import gypsumcart.core.addressOrNull
import gypsumcart.core.admission.QuotaBounds
import gypsumcart.core.membership.RelayRank
import gypsumcart.http.EventStreamSplitter
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of one node; addresses have the form `host:port`.
 *
 * @property node the name of the host, unique in the fleet
 * @property clients the address on which client requests are served
 * @property readiness the address on which readiness checks of the platform are served
 * @property directory the address on which clients look up the nodes' addresses
 * @property peers the address on which the messages of other nodes are received, or empty to use the store alone
 * @property store the address of the store
 * @property metrics the address on which the metrics are served, or empty to serve none
 * @property responses the largest responses that are accepted from back ends
 * @property policies the names of the rules that the platform holds the fleet to
 * @property host what the host can carry
 * @property cloud the address to which orders and usage reports are sent, or empty if the fleet sends none; the address
 *   of the store then takes its place
 */
@Serializable
public data class NodeSettings(
    public val node: String,
    public val zone: String,
    public val clients: String,
    public val readiness: String,
    public val directory: String,
    public val peers: String = "",
    public val store: String,
    public val metrics: String = "",
    public val cloud: String = "",
    public val bounds: Bounds,
    public val responses: ResponseLimits = ResponseLimits(),
    public val policies: List<String> = emptyList(),
    public val host: HostSize = HostSize(),
)

/**
 * Describes what the host of a node can carry.
 *
 * @property cpu the processor time that the node may use, as a number of cores
 * @property linkMegabits the bandwidth of its network link, in Mbit/s
 */
@Serializable
public data class HostSize(
    public val cpu: Double = 1.0,
    @SerialName("link_mbps") public val linkMegabits: Double = DEFAULT_LINK_MEGABITS,
) {
    /** What the host can carry as the relay of its zone. */
    public val relayRank: RelayRank get() = RelayRank.of(cpu, linkMegabits)
}

/**
 * Limits what is read of one response of a back end; a call whose response is larger fails as invalid.
 *
 * @property maxBodyBytes the size of a response that is not a stream, which is held in memory as a whole
 * @property maxEventBytes the size of one event of a stream
 */
@Serializable
public data class ResponseLimits(
    @SerialName("max_body_bytes") public val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
    @SerialName("max_event_bytes") public val maxEventBytes: Int = EventStreamSplitter.DEFAULT_MAX_EVENT_BYTES,
)

/** Holds the operating limits of the fleet; the names state the units of times. */
@Serializable
public data class Bounds(
    @SerialName("grace_s") public val graceSeconds: Double,
    @SerialName("lease_ms") public val leaseMillis: Long,
    @SerialName("clock_jump_ms") public val clockJumpMillis: Long,
    @SerialName("retry_ratio") public val retryRatio: Double,
    @SerialName("retry_extra") public val retryExtra: Int,
    @SerialName("retry_window_s") public val retryWindowSeconds: Double,
    @SerialName("quota_window_s") public val quotaWindowSeconds: Double,
    @SerialName("quota_overshoot") public val quotaOvershoot: Double,
    @SerialName("quota_slack") public val quotaSlack: Double,
    @SerialName("usage_window_s") public val usageWindowSeconds: Double,
    @SerialName("usage_late_s") public val usageLateSeconds: Double,
    @SerialName("contact_ms") public val contactMillis: Long = DEFAULT_CONTACT_MILLIS,
    @SerialName("drain_ms") public val drainMillis: Long = DEFAULT_DRAIN_MILLIS,
    @SerialName("exposed_share") public val exposedShare: Double? = null,
    @SerialName("exposed_extra") public val exposedExtra: Int? = null,
    @SerialName("rollback_ms") public val rollbackMillis: Long? = null,
) {
    /** The time within which a process must stop after it was asked to. */
    public val grace: Duration get() = graceSeconds.seconds

    /** How the quotas of teams are counted. */
    public val quotas: QuotaBounds get() = QuotaBounds(quotaWindowSeconds.seconds, quotaOvershoot, quotaSlack)

    /** The time after a loss of contact within which a node must have regained it and know what it missed. */
    public val contact: Duration get() = contactMillis.milliseconds

    /** The time after a back end starts to drain within which no node may send it new requests. */
    public val drain: Duration get() = drainMillis.milliseconds

    /** The time for which a lease is valid after its renewal. */
    public val lease: Duration get() = leaseMillis.milliseconds
}

/** Describes why settings cannot be used. */
public sealed class SettingsError {
    /** The file at [path] cannot be read. */
    public data class Unreadable(public val path: String, public val cause: String) : SettingsError()

    /** The settings are invalid; [place] is a field or a position in the file and [detail] the error there. */
    public data class Invalid(public val place: String, public val detail: String) : SettingsError()
}

/** Reads and validates the settings file at [path]. */
public fun readSettings(path: Path): Result<NodeSettings, SettingsError> =
    try {
        parseSettings(Files.readString(path))
    } catch (e: IOException) {
        Err(SettingsError.Unreadable(path.toString(), e.message ?: e::class.java.simpleName))
    }

/**
 * Parses and validates settings; unknown fields are ignored, wrong types and invalid values are errors.
 *
 * A field without a value is absent, and so is one whose placeholder was left in the template that the file comes from.
 */
public fun parseSettings(text: String): Result<NodeSettings, SettingsError> =
    try {
        val present = yaml.parseToYamlNode(text.replace(UNFILLED_PLACEHOLDER, "")).withoutNulls()
        val settings = yaml.decodeFromYamlNode(NodeSettings.serializer(), present)
        settings.firstErrorOrNull()?.let { Err(it) } ?: Ok(settings)
    } catch (e: YamlException) {
        Err(
            SettingsError.Invalid(
                "line ${e.line} column ${e.column} path ${e.path.toHumanReadableString()}",
                e.message,
            ),
        )
    } catch (e: SerializationException) {
        Err(SettingsError.Invalid("settings", e.message.orEmpty()))
    }

private fun YamlNode.withoutNulls(): YamlNode =
    if (this is YamlMap) {
        YamlMap(entries.filterValues { it !is YamlNull }.mapValues { (_, value) -> value.withoutNulls() }, path)
    } else {
        this
    }

private fun NodeSettings.firstErrorOrNull(): SettingsError? {
    val requiredAddresses =
        listOf("clients" to clients, "readiness" to readiness, "directory" to directory, "store" to store)
    val optionalAddresses = listOf("peers" to peers, "metrics" to metrics, "cloud" to cloud)
    val required = listOf("node" to node, "zone" to zone) + requiredAddresses
    val empty = required.firstOrNull { (_, text) -> text.isBlank() }
    val invalid =
        (requiredAddresses + optionalAddresses)
            .firstOrNull { (_, text) -> text.isNotEmpty() && addressOrNull(text) == null }
    return when {
        empty != null -> SettingsError.Invalid(empty.first, "is empty")
        invalid != null -> SettingsError.Invalid(invalid.first, "is not of the form host:port")
        bounds.leaseMillis <= 0 -> SettingsError.Invalid("bounds.lease_ms", "is not positive")
        bounds.quotaWindowSeconds <= 0 -> SettingsError.Invalid("bounds.quota_window_s", "is not positive")
        responses.maxBodyBytes <= 0 -> SettingsError.Invalid("responses.max_body_bytes", "is not positive")
        responses.maxEventBytes <= 0 -> SettingsError.Invalid("responses.max_event_bytes", "is not positive")
        bounds.contactMillis <= 0 -> SettingsError.Invalid("bounds.contact_ms", "is not positive")
        bounds.drainMillis <= 0 -> SettingsError.Invalid("bounds.drain_ms", "is not positive")
        bounds.usageWindowSeconds <= 0 -> SettingsError.Invalid("bounds.usage_window_s", "is not positive")
        else -> null
    }
}

/** Twice the default limit for bodies of requests. */
private const val DEFAULT_MAX_BODY_BYTES = 8_388_608

/** The values of the smallest deployments, for settings files that do not state them. */
private const val DEFAULT_CONTACT_MILLIS = 3_000L
private const val DEFAULT_DRAIN_MILLIS = 2_000L
private const val DEFAULT_LINK_MEGABITS = 1_000.0

/** A placeholder of the settings template, as the platform's templates write them. */
private val UNFILLED_PLACEHOLDER = Regex("\\{\\{[^{}]*\\}\\}")

private val yaml = Yaml(configuration = YamlConfiguration(strictMode = false))
