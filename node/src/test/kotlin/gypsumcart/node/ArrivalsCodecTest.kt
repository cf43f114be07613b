package gypsumcart.node

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.UnixMillis
import gypsumcart.core.ZoneName
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.replicas.Arrivals
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull

/** Covers what the reports of nodes say of the demand of clients. */
class ArrivalsCodecTest {
    private val service = ServiceName("model")

    private fun report(arrivals: Map<ServiceName, Arrivals>) =
        NodeReport(
            node = NodeId("node-1"),
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
            arrivals = arrivals,
        )

    @Test
    fun `arrivals are stored rounded`() {
        val report = report(mapOf(service to Arrivals(3.26, 4_000.4, 120.9)))
        val stored = Row(report.toRowKey(), report.encode(writtenMillis = 5), RowVersion(1)).toReportOrNull()
        expectThat(stored).isNotNull().get { this.report.arrivals }.isEqualTo(
            mapOf(service to Arrivals(3.3, 4_000.0, 120.0)),
        )
    }

    @Test
    fun `a report without arrivals takes no room for them`() {
        val text = report(emptyMap()).encode(writtenMillis = 5).decodeToString()
        expectThat("arrivals" in text).isFalse()
    }
}
