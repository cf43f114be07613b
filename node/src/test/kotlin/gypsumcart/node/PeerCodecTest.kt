package gypsumcart.node

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.QuotaUse
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.membership.PeerItem
import gypsumcart.core.membership.PeerMessage
import gypsumcart.core.membership.RelayRank
import gypsumcart.core.membership.TablePosition
import gypsumcart.core.membership.key
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.util.zip.Deflater
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Covers the encoding of messages between nodes, and messages that are damaged or made to exhaust memory. */
class PeerCodecTest {
    private fun report(number: Int) =
        NodeReport(
            node = NodeId("node-$number"),
            incarnation = Incarnation(1),
            clientAddress = Address("10.0.0.$number", 80),
            peerAddress = Address("10.0.0.$number", 81),
            zone = ZoneName("a"),
            accepting = true,
            heartbeat = 7,
            usage = mapOf(WindowNumber(1) to mapOf(TeamName("t") to 2)),
            usageUntil = UnixMillis(3),
            quotaUse = mapOf(TeamName("t") to QuotaUse(1.5, 2.0)),
            load = mapOf(ServiceName("s") to 1.0),
            latency = mapOf(ServiceName("s") to 0.5),
            lease = null,
            relayRank = RelayRank(2),
        )

    private fun message(reports: List<NodeReport>) =
        PeerMessage(
            report(1).key,
            reports.map { PeerItem(it, 5.milliseconds, hasUsage = true) },
            TablePosition(1),
            TablePosition(2),
            linked = true,
        )

    @Test
    fun `messages of any size are decoded to what was encoded, also with reports that were sent before`() {
        val sender = PeerCodec()
        val recipient = PeerCodec()
        for (count in listOf(0, 1, 100)) {
            val sent = message((1..count).map { report(it) })
            repeat(2) { expectThat(recipient.decode(sender.encode(sent)).get()).isEqualTo(sent) }
            expectThat(sender.decode(recipient.encode(sent)).get()).isEqualTo(sent)
        }
    }

    @Test
    fun `a later report and another selection of windows are not mistaken for the report before`() {
        val sender = PeerCodec()
        val first = report(1)
        val later = first.copy(heartbeat = 8, accepting = false)
        val reduced = first.copy(usage = emptyMap())
        val items = listOf(PeerItem(reduced, 5.milliseconds, hasUsage = false))
        for (sent in listOf(message(listOf(first)), message(listOf(later)), message(emptyList()).copy(items = items))) {
            expectThat(PeerCodec().decode(sender.encode(sent)).get()).isEqualTo(sent)
        }
    }

    // Guards against nodes that send each other no records, or send them to a node that does not keep any.
    @Test
    fun `a report says whether its node keeps records of streams`() {
        for (keepsRecords in listOf(true, false)) {
            val sent = message(listOf(report(1).copy(keepsStreamRecords = keepsRecords)))
            expectThat(PeerCodec().decode(PeerCodec().encode(sent)).get()).isEqualTo(sent)
            expectThat("\"m\":true" in sent.encode()).isEqualTo(keepsRecords)
        }
    }

    // Guards against nodes of two builds that can't read each other's reports, so that each counts the other as gone.
    @Test
    fun `a report of a build that knows nothing of records is read as that of a node that keeps none`() {
        val text =
            """{"protocol":2,"node":"node-1","incarnation":1,"position":1,"received":2,"linked":true}""" + "\n" +
                """5 {"n":"node-1","i":1,"c":"10.0.0.1:80","p":"10.0.0.1:81","z":"a","a":true,"b":7,"f":true,""" +
                """"u":{"1":{"t":2}},"v":3,"q":{"t":[15,2]},"l":{"s":10},"t":{"s":500},"r":2}"""
        expectThat(message(listOf(report(1))).encode()).isEqualTo(text)
        val read = decodePeerMessage(text.encodeToByteArray()).get()
        expectThat(read).isEqualTo(message(listOf(report(1).copy(keepsStreamRecords = false))))
    }

    @Test
    fun `a report that can't be read does not keep the others from being read`() {
        val lines = message(listOf(report(1), report(2), report(3))).encode().split('\n').toMutableList()
        lines[2] = lines[2].replace("\"z\":", "\"z\":{")
        val read = decodePeerMessage(lines.joinToString("\n").encodeToByteArray()).get()
        expectThat(read?.items?.map { it.report.node.text }).isEqualTo(listOf("node-1", "node-3"))
    }

    @Test
    fun `a packed message that is cut off or damaged is refused or decoded`() {
        val codec = PeerCodec()
        val bytes = codec.encode(message((1..50).map { report(it) }))
        for (size in bytes.indices) expectThat(codec.decode(bytes.copyOf(size)).getError()).isNotNull()
        val random = Random(5)
        repeat(2_000) { codec.decode(bytes.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }) }
    }

    @Test
    fun `a small message that unpacks to a very large one is refused`() {
        val deflater = Deflater()
        deflater.setInput(ByteArray(100_000_000))
        deflater.finish()
        val packed = ByteArray(1_000_000)
        val size = deflater.deflate(packed)
        expectThat(size).isLessThan(packed.size)
        expectThat(PeerCodec().decode(packed.copyOf(size)).getError()).isNotNull()
    }
}
