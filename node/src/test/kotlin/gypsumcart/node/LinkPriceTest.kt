package gypsumcart.node

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isLessThan

/** Measures what the peer link costs a node and a relay, and guards against messages that outgrow small links. */
class LinkPriceTest {
    @ParameterizedTest
    @CsvSource("36, 3", "81, 3")
    fun `the reports of a fleet fit the links of its nodes`(nodes: Int, zones: Int) {
        val traffic = LinkTraffic(nodes, zones, teamCount = 16)
        traffic.start()
        traffic.runFor(5)
        traffic.reset()
        traffic.runFor(SECONDS)
        val relay = traffic.hosts.maxBy { it.bytesSent }
        val received = traffic.hosts.map { it.bytesReceived / SECONDS }.sorted()
        println(
            "nodes=$nodes received_bytes_per_s_median=${received[nodes / 2]} " +
                "relay_sent_bytes_per_s=${relay.bytesSent / SECONDS} " +
                "relay_messages_per_s=${relay.messagesSent / SECONDS} " +
                "messages=${traffic.messages} bytes_per_message=${traffic.hosts.sumOf {
                    it.bytesSent
                } / traffic.messages} " +
                "encode_us_per_message=${traffic.encodeNanos / traffic.messages / 1_000} " +
                "decode_us_per_message=${traffic.decodeNanos / traffic.messages / 1_000}",
        )
        expectThat(received[nodes / 2]).isLessThan(nodes * MAX_BYTES_OF_NODE)
        expectThat(relay.bytesSent / SECONDS).isLessThan(MAX_RELAY_BYTES)
    }

    private companion object {
        const val SECONDS = 10

        /** What a node receives a second of each node, with all teams and services in use. */
        const val MAX_BYTES_OF_NODE = 550L

        /** What a relay may send a second: the link of a small host is about as large. */
        const val MAX_RELAY_BYTES = 1_150_000L
    }
}
