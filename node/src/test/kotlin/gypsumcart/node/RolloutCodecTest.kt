package gypsumcart.node

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
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class RolloutCodecTest {
    private fun row(stage: RolloutStage) =
        RolloutRow(
            ServiceName("s"),
            OrderNumber(4),
            BackEndVersion("v2"),
            stage,
            duration = 12.seconds,
            elapsed = 3.seconds,
            FencingToken(6),
            version = 9,
            givenUp = setOf(BackEndVersion("v0")),
            replaced = setOf(BackEndVersion("v1")),
        )

    private val stages =
        listOf(RolloutStage.Prepared, RolloutStage.Watched(0.08), RolloutStage.Committed, RolloutStage.Complete) +
            RollbackCause.entries.map(RolloutStage::RolledBack)

    @Test
    fun `a row of each stage is read as it was written, later on the store's clock`() {
        for (written in stages.map(::row)) {
            val stored = Row(ServiceName("s").toRolloutKey(), written.encode(storeMillis = 50_000), RowVersion(9))
            expectThat(stored.toRolloutRowOrNull(52_000)).isEqualTo(written.copy(elapsed = 5.seconds))
        }
    }

    @Test
    fun `a row that can't be read is none`() {
        for (text in listOf("", "[]", "{\"order\":1}", "not json")) {
            expectThat(Row(RowKey("rollout/s"), text.toByteArray(), RowVersion(1)).toRolloutRowOrNull(0)).isNull()
        }
    }

    @Test
    fun `reports keep what they say, and a message holds a bounded number of them`() {
        val report =
            RolloutReport(
                ServiceName("s"),
                OrderNumber(4),
                row(RolloutStage.Watched(0.03)),
                confirmedAge = 1.seconds,
                condemned = true,
                sealed = false,
                requests = 100,
                exposed = 7,
                longestCall = 2.seconds,
                listOf(RouteEvidence(RouteKey("h", "/a/"), ResponseCounts(80, 1, 2), ResponseCounts(3, 4, 5))),
            )
        expectThat(listOf(report).toWire().toReports()).isEqualTo(listOf(report))
        expectThat(List(1_000) { report }.toWire()).hasSize(32)
    }
}
