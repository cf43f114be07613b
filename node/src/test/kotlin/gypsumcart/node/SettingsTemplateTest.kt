package gypsumcart.node

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Files
import java.nio.file.Path

/** Reads the settings template of the deploy file with some of its placeholders filled. */
class SettingsTemplateTest {
    private val template = Files.readString(Path.of("../deploy/node.yaml"))

    private fun filled(values: Map<String, String>): String =
        values.entries.fold(template) { text, (name, value) -> text.replace("{{$name}}", value) }

    // Guards against a process that does not start since an optional field of the template was left as it is.
    @Test
    fun `optional fields whose placeholders were left take their defaults`() {
        val settings = parseSettings(filled(REQUIRED)).get()
        expectThat(settings).isNotNull()
        expectThat(settings?.policies).isEqualTo(emptyList())
        expectThat(settings?.host).isEqualTo(HostSize())
        expectThat(settings?.cloud).isEqualTo("")
        expectThat(settings?.bounds).isEqualTo(
            Bounds(
                graceSeconds = 8.0,
                leaseMillis = 3_000,
                clockJumpMillis = 300,
                retryRatio = 0.2,
                retryExtra = 56,
                retryWindowSeconds = 10.0,
                quotaWindowSeconds = 8.0,
                quotaOvershoot = 0.1,
                quotaSlack = 110_000.0,
                usageWindowSeconds = 5.0,
                usageLateSeconds = 10.0,
            ),
        )
    }

    // Guards against a process that does not start on a deployment that has no value for an optional field.
    @Test
    fun `optional fields for which the platform has no value take their defaults`() {
        val rendered = filled(REQUIRED).replace(PLACEHOLDER, "")
        expectThat(parseSettings(rendered).get()).isEqualTo(parseSettings(filled(REQUIRED)).get()).isNotNull()
    }

    @Test
    fun `optional fields that are filled are read`() {
        val values =
            mapOf(
                "policies" to "base,pool",
                "limits.cpuShare" to "0.75",
                "limits.linkMbps" to "2000.0",
                "bounds.contactMs" to "4000",
                "bounds.exposeSlack" to "7",
            )
        val settings = parseSettings(filled(REQUIRED + values)).get()
        expectThat(settings?.policies).isEqualTo(listOf("base", "pool"))
        expectThat(settings?.host).isEqualTo(HostSize(0.75, 2_000.0))
        expectThat(settings?.bounds?.contactMillis).isEqualTo(4_000)
        expectThat(settings?.bounds?.exposedExtra).isEqualTo(7)
    }

    // Guards against a required field that is left unfilled and silently takes some default.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "node:node", "zone:zone", "listenAddrs.front:clients", "listenAddrs.ready:readiness",
            "listenAddrs.directory:directory", "platform.address:store", "bounds.graceS:grace_s",
            "bounds.leaseMs:lease_ms", "bounds.thawSlackMs:clock_jump_ms", "bounds.retryBudgetRatio:retry_ratio",
            "bounds.budgetExtra:retry_extra", "bounds.budgetWindowS:retry_window_s",
            "bounds.quotaWindowS:quota_window_s", "bounds.quotaOvershoot:quota_overshoot",
            "bounds.quotaSlack:quota_slack", "bounds.usageWindowS:usage_window_s", "bounds.usageLateS:usage_late_s",
        ],
    )
    fun `a required field that was not filled is an error that names it`(placeholderAndField: String) {
        val (placeholder, field) = placeholderAndField.split(':')
        val unfilled = filled(REQUIRED - placeholder)
        for (text in listOf(unfilled, unfilled.replace(PLACEHOLDER, ""))) {
            val error = parseSettings(text).getError()
            expectThat(error).isNotNull()
            expectThat(error.toString()).contains(field)
        }
    }

    private companion object {
        val PLACEHOLDER = Regex("\\{\\{[^}]*\\}\\}")
        val REQUIRED =
            mapOf(
                "node" to "edge-a-1",
                "zone" to "a",
                "ip" to "10.1.0.14",
                "listenAddrs.front" to "10.1.0.14:8221",
                "listenAddrs.ready" to "10.1.0.14:8224",
                "listenAddrs.directory" to "10.1.0.14:8220",
                "platform.address" to "10.200.1.7:8225",
                "bounds.graceS" to "8",
                "bounds.leaseMs" to "3000",
                "bounds.thawSlackMs" to "300",
                "bounds.retryBudgetRatio" to "0.2",
                "bounds.budgetExtra" to "56",
                "bounds.budgetWindowS" to "10",
                "bounds.quotaWindowS" to "8",
                "bounds.quotaOvershoot" to "0.1",
                "bounds.quotaSlack" to "110000",
                "bounds.usageWindowS" to "5",
                "bounds.usageLateS" to "10",
            )
    }
}
