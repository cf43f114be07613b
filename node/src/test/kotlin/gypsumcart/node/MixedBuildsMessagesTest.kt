package gypsumcart.node

import com.github.michaelbull.result.get
import gypsumcart.core.Address
import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.UnixMillis
import gypsumcart.core.ZoneName
import gypsumcart.core.leases.LeaseRow
import gypsumcart.core.leases.fencingToken
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.membership.PeerItem
import gypsumcart.core.membership.PeerMessage
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.membership.StorePosition
import gypsumcart.core.membership.TablePosition
import gypsumcart.core.membership.key
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

/** Guards against messages and rows that nodes of the build before understand otherwise, or not at all. */
class MixedBuildsMessagesTest {
    /** The lease row as builds without the era decode it. */
    @Serializable
    private class LeaseRowOfBuildBefore(
        val holder: String,
        val incarnation: Long,
        @SerialName("fence") val token: Long? = null,
    )

    private val holder = NodeId("node-1")

    private fun position(era: Long, counter: Long): Long =
        checkNotNull(StorePosition.ofOrNull(StoreEra(era), counter)).number

    private fun messageText(lease: LeaseRow?): String {
        val report =
            NodeReport(
                node = holder,
                incarnation = Incarnation(1),
                clientAddress = Address("10.0.0.1", 80),
                peerAddress = Address("10.0.0.1", 81),
                zone = ZoneName("a"),
                accepting = true,
                heartbeat = 7,
                usage = emptyMap(),
                usageUntil = UnixMillis(3),
                quotaUse = emptyMap(),
                load = emptyMap(),
                latency = emptyMap(),
                lease = lease,
            )
        val items = listOf(PeerItem(report, 5.milliseconds, hasUsage = true))
        return PeerMessage(report.key, items, TablePosition(1), TablePosition(2), linked = true).encode()
    }

    private fun decodeLease(text: String): LeaseRow? =
        decodePeerMessage(text.encodeToByteArray())
            .get()
            ?.items
            ?.single()
            ?.report
            ?.lease

    private fun leaseRow(counter: Long, era: Long): LeaseRow =
        LeaseRow(holder, Incarnation(1), position(era, counter), FencingToken(101), StoreEra(era).takeIf { era > 0 })

    @Test
    fun `a message has the version of the lease row as the store numbers it, which the build before orders by`() {
        expectThat(messageText(leaseRow(105, era = 3))).contains(""""e":{"version":105,"fence":101,"era":3}""")
    }

    @Test
    fun `the version of the lease row in a message is in its era for this build`() {
        for (era in 0L..2L) {
            val row = leaseRow(105, era)
            expectThat(decodeLease(messageText(row))).isEqualTo(row)
        }
    }

    @Test
    fun `a lease in a message of the build before is decoded, in whichever numbers that build counts`() {
        val text = messageText(leaseRow(105, era = 0))
        expectThat(text).contains(""""e":{"version":105,"fence":101}""")
        expectThat(decodeLease(text)?.version).isEqualTo(105)
        val withPositions = text.replace("\"version\":105", "\"version\":${position(1, 105)}")
        expectThat(decodeLease(withPositions)?.version).isEqualTo(position(1, 105))
    }

    @Test
    fun `the build before decodes the lease row with its token`() {
        val bytes = encodeLease(holder, Incarnation(1), FencingToken(101), StoreEra(1))
        expectThat(JsonBodies.decode(LeaseRowOfBuildBefore.serializer(), bytes.decodeToString()).get())
            .isNotNull()
            .get { token }
            .isEqualTo(101)
    }

    @Test
    fun `the lease row of a store that names no era is as the build before writes it`() {
        expectThat(encodeLease(holder, Incarnation(1), FencingToken(101)).decodeToString())
            .isEqualTo("""{"holder":"node-1","incarnation":1,"fence":101}""")
    }

    @Test
    fun `the lease row of the build before is decoded without a statement of when it was written`() {
        val bytes = """{"holder":"node-1","incarnation":1,"fence":101}""".encodeToByteArray()
        val row = Row(LEASE_KEY, bytes, RowVersion(position(1, 105))).toLeaseOrNull()
        expectThat(row).isNotNull().get { fencingToken }.isEqualTo(FencingToken(101))
        expectThat(row?.writtenIn).isNull()
    }
}
