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
import strikt.assertions.isFalse
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

    // Guards against a node known by the store alone that is sent no records, or is although it keeps none.
    @Test
    fun `a row says whether its node keeps records of streams, and one of an earlier build does not`() {
        val stored = row("node", writtenMillis = 9_000, emptyMap())
        val report = checkNotNull(stored.toReportOrNull()).report
        expectThat(report.keepsStreamRecords).isFalse()
        expectThat("records" in stored.value.decodeToString()).isFalse()
        val keeping = report.copy(keepsStreamRecords = true)
        val row = Row(stored.key, keeping.encode(writtenMillis = 9_000), RowVersion(1))
        expectThat(row.toReportOrNull()?.report).isEqualTo(keeping)
        val earlier =
            """{"client":"10.0.0.1:80","peer":"10.0.0.1:81","zone":"a","accepting":true,"beat":1,"usage":{},""" +
                """"until":0,"quotaUse":{},"load":{},"latency":{},"written":9000,"lost":{},"findings":null,""" +
                """"capacity":{},"heard":{},"rank":0,"rollouts":[]}"""
        expectThat(stored.value.decodeToString()).isEqualTo(earlier)
        expectThat(Row(stored.key, earlier.toByteArray(), RowVersion(1)).toReportOrNull()?.report).isEqualTo(report)
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
