package gypsumcart.node

import com.github.michaelbull.result.getError
import gypsumcart.core.Address
import gypsumcart.core.FencingToken
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.QuotaUse
import gypsumcart.core.leases.LeaseRow
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.membership.PeerItem
import gypsumcart.core.membership.PeerMessage
import gypsumcart.core.membership.TablePosition
import gypsumcart.core.membership.key
import kotlinx.serialization.Serializable
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Guards against an unreadable row or message that ends the coroutine which reads all others (DRAIN, LOST). */
class OddMessagesTest {
    private val report =
        NodeReport(
            node = NodeId("node-1"),
            incarnation = Incarnation(1),
            clientAddress = Address("10.0.0.1", 80),
            peerAddress = Address("10.0.0.1", 81),
            zone = ZoneName("a"),
            accepting = true,
            heartbeat = 7,
            usage = mapOf(WindowNumber(1) to mapOf(TeamName("t") to 2)),
            usageUntil = UnixMillis(3),
            quotaUse = mapOf(TeamName("t") to QuotaUse(1.5, 2.0)),
            load = mapOf(ServiceName("s") to 1.0),
            latency = mapOf(ServiceName("s") to 0.5),
            lease = LeaseRow(NodeId("node-1"), Incarnation(1), 4, FencingToken(4)),
        )

    /** Each kind of text that a node reads from the store or from another node, with its decoder. */
    private val decoders: List<Pair<ByteArray, (ByteArray) -> Any?>> =
        listOf(
            report.encode(5, mapOf(report.key to 3.milliseconds)) to
                { bytes -> Row(report.toRowKey(), bytes, RowVersion(1)).toReportOrNull() },
            encodeLease(NodeId("n"), Incarnation(1), FencingToken(2)) to
                { bytes -> Row(LEASE_KEY, bytes, RowVersion(1)).toLeaseOrNull() },
            encodeUsageCounts(mapOf(TeamName("t") to 3)) to
                { bytes -> Row(RowKey("1"), bytes, RowVersion(1)).toUsageCountsOrNull() },
            encodeInitialCounts(mapOf(ServiceName("s") to 3)) to
                { bytes -> Row(INITIAL_COUNTS_KEY, bytes, RowVersion(1)).toInitialCountsOrNull() },
            peerMessage().encode().encodeToByteArray() to { bytes -> decodePeerMessage(bytes) },
        )

    private fun peerMessage(): PeerMessage =
        PeerMessage(
            report.key,
            listOf(PeerItem(report, 5.milliseconds, hasUsage = true)),
            TablePosition(1),
            TablePosition(2),
            linked = true,
            lacksReports = true,
        )

    @Test
    fun `a text that ends inside a quoted number is an error`() {
        val cutOff = """{"holder":"n","incarnation":"6"""
        expectThat(JsonBodies.decode(TestRow.serializer(), cutOff).getError()).isNotNull()
    }

    @Test
    fun `a text is decoded or refused wherever it is cut off`() {
        for ((text, decode) in decoders) text.indices.forEach { decode(text.copyOf(it)) }
    }

    @Property(tries = 3_000, seed = "4711")
    fun `a text with some bytes replaced is decoded or refused`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 6) changes: Int,
    ) {
        val random = Random(seed)
        for ((text, decode) in decoders) {
            val odd = text.copyOf(if (random.nextBoolean()) text.size else random.nextInt(text.size))
            repeat(if (odd.isEmpty()) 0 else changes) { odd[random.nextInt(odd.size)] = ODD_BYTES.random(random) }
            decode(odd)
        }
    }

    private companion object {
        val ODD_BYTES = "\"{}[]:,0123456789eE+-.\\ntu \u0000x".toByteArray().toList() + listOf<Byte>(-1, -64)
    }
}

@Serializable
private class TestRow(val holder: String, val incarnation: Long)
