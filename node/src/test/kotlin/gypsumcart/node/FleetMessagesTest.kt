package gypsumcart.node

import com.github.michaelbull.result.get
import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.UnixMillis
import gypsumcart.core.ZoneName
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.membership.PeerMessage
import gypsumcart.core.membership.TablePosition
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a node that hears a host only by what others write of it, and leaves it out of the directory. */
class FleetMessagesTest {
    private val confirmed = NodeKey(NodeId("host/1"), Incarnation(8))

    private fun row(node: String, writtenMillis: Long, heard: Map<NodeKey, Duration>): Row {
        val report =
            NodeReport(
                node = NodeId(node),
                incarnation = Incarnation(1),
                clientAddress = Address("10.0.0.1", 80),
                peerAddress = Address("10.0.0.1", 81),
                zone = ZoneName("a"),
                accepting = true,
                heartbeat = 1,
                usage = emptyMap(),
                usageUntil = UnixMillis(0),
                quotaUse = emptyMap(),
                load = emptyMap(),
                latency = emptyMap(),
                lease = null,
            )
        return Row(report.toRowKey(), report.encode(writtenMillis, heard), RowVersion(1))
    }

    @Test
    fun `a node that several rows confirm was heard as lately as the latest of them says`() {
        val rings = Rings()
        val rows =
            listOf(
                row("early", writtenMillis = 9_000, mapOf(confirmed to 100.milliseconds)),
                row("late", writtenMillis = 9_700, mapOf(confirmed to 250.milliseconds)),
            )
        FleetListener(rings) { StoreClock(millis = 10_000, at = MonotonicTime(0)) }.onChanged(rows, emptyList())
        expectThat(rings.membership.take())
            .isA<MembershipEvent.ReportsReceived>()
            .get { heard }
            .isEqualTo(mapOf(confirmed to 550.milliseconds))
    }

    @Test
    fun `a row without confirmations confirms no node`() {
        val rings = Rings()
        FleetListener(rings) { StoreClock(millis = 10_000, at = MonotonicTime(0)) }
            .onChanged(listOf(row("node", writtenMillis = 9_000, emptyMap())), emptyList())
        expectThat(rings.membership.take()).isA<MembershipEvent.ReportsReceived>().get { heard }.isEqualTo(emptyMap())
    }

    @Test
    fun `a message says whether its sender lacks reports`() {
        for (lacksReports in listOf(true, false)) {
            val message =
                PeerMessage(
                    confirmed,
                    emptyList(),
                    TablePosition(1),
                    TablePosition(2),
                    linked = true,
                    lacksReports = lacksReports,
                )
            expectThat(decodePeerMessage(message.encode().encodeToByteArray()).get()).isEqualTo(message)
        }
    }
}
