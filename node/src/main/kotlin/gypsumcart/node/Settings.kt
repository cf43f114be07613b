package gypsumcart.node

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import gypsumcart.core.addressOrNull
import gypsumcart.core.admission.QuotaBounds
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
 * Holds the settings of one node.
 *
 * @property node the host's name, unique in the fleet
 * @property clients where clients connect
 * @property readiness where the platform asks whether the node is ready
 * @property directory where clients ask which addresses to use
 * @property metrics where the node's figures are read; empty where nobody reads them
 * @property cloud where orders and reports go; empty where the fleet has no such duties
 */
@Serializable
public data class NodeSettings(
    public val node: String,
    public val zone: String,
    public val clients: String,
    public val readiness: String,
    public val directory: String,
    public val store: String,
    public val metrics: String = "",
    public val cloud: String = "",
    public val bounds: Bounds,
)

/** Holds the times and figures by which the fleet is run; times are in the units that the names say. */
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
) {
    /** How long a process may go on after it was asked to end. */
    public val grace: Duration get() = graceSeconds.seconds

    /** How teams' quotas are counted. */
    public val quotas: QuotaBounds get() = QuotaBounds(quotaWindowSeconds.seconds, quotaOvershoot, quotaSlack)

    /** How long a lease lasts after its renewal. */
    public val lease: Duration get() = leaseMillis.milliseconds
}

/** Says why settings can't be used. */
public sealed class SettingsError {
    /** The file can't be read. */
    public data class Unreadable(public val path: String, public val cause: String) : SettingsError()

    /** The file is no settings file: [detail] at [place]. */
    public data class Invalid(public val place: String, public val detail: String) : SettingsError()
}

/** Reads and checks the settings file at [path]. */
public fun readSettings(path: Path): Result<NodeSettings, SettingsError> =
    try {
        parseSettings(Files.readString(path))
    } catch (e: IOException) {
        Err(SettingsError.Unreadable(path.toString(), e.message ?: e::class.java.simpleName))
    }

/** Reads and checks settings; unknown fields are ignored, wrong types and values are not. */
public fun parseSettings(text: String): Result<NodeSettings, SettingsError> =
    try {
        val settings = yaml.decodeFromString(NodeSettings.serializer(), text)
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

private fun NodeSettings.firstErrorOrNull(): SettingsError? {
    val addresses =
        listOf(
            "clients" to clients,
            "readiness" to readiness,
            "directory" to directory,
            "metrics" to metrics,
            "store" to store,
            "cloud" to cloud,
        )
    val wrong = addresses.firstOrNull { (_, text) -> text.isNotEmpty() && addressOrNull(text) == null }
    return when {
        wrong != null -> SettingsError.Invalid(wrong.first, "is not of the form host:port")
        node.isBlank() -> SettingsError.Invalid("node", "is empty")
        bounds.leaseMillis <= 0 -> SettingsError.Invalid("bounds.lease_ms", "is not positive")
        bounds.quotaWindowSeconds <= 0 -> SettingsError.Invalid("bounds.quota_window_s", "is not positive")
        bounds.usageWindowSeconds <= 0 -> SettingsError.Invalid("bounds.usage_window_s", "is not positive")
        else -> null
    }
}

private val yaml = Yaml(configuration = YamlConfiguration(strictMode = false))
