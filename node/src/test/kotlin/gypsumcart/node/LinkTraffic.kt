package gypsumcart.node

import com.github.michaelbull.result.get
import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.TeamName
import gypsumcart.core.UnixMillis
import gypsumcart.core.WindowNumber
import gypsumcart.core.ZoneName
import gypsumcart.core.admission.QuotaUse
import gypsumcart.core.membership.ExchangeResult
import gypsumcart.core.membership.Membership
import gypsumcart.core.membership.MembershipEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.MembershipSettings
import gypsumcart.core.membership.NodeReport
import gypsumcart.core.membership.PeerMessage
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the [Membership] deciders of a fleet whose teams all use their quotas through all nodes, and counts the encoded
 * bytes of the messages between them.
 *
 * Messages take no time and none is lost. What the store would bring is brought once at the start.
 */
internal class LinkTraffic(nodeCount: Int, zoneCount: Int, private val teamCount: Int) {
    inner class Host(number: Int, zone: ZoneName) {
        val id = NodeId("edge-zone-$number")
        private val address = Address("10.1.0.$number", 7601)
        val membership =
            Membership(
                MembershipSettings(id, Incarnation(number.toLong()), address, address, zone, 3.5.seconds, 8.seconds),
            )
        val codec = PeerCodec()
        var bytesReceived = 0L
        var bytesSent = 0L
        var messagesSent = 0L
        private val counts = HashMap<WindowNumber, Map<TeamName, Int>>()

        fun measure(tick: Long) {
            val use = teams.associateWith { QuotaUse(random.nextDouble() * 20, random.nextDouble() * 5_000) }
            membership.decide(MembershipEvent.QuotaUseMeasured(use), now())
            val load = services.associateWith { random.nextDouble() * 9 }
            val latency = services.associateWith { random.nextDouble() }
            membership.decide(MembershipEvent.LoadMeasured(load, latency), now())
            if (tick % 2 == 0L) countUsage()
        }

        private fun countUsage() {
            val window = WindowNumber(millis / 5_000 + 353_000_000)
            counts[window] = teams.associateWith { (counts[window]?.get(it) ?: 0) + random.nextInt(1, 9) }
            counts.keys.removeIf { it.number < window.number - 5 }
            membership.decide(
                MembershipEvent.UsageCounted(counts.toMap(), UnixMillis(1_765_000_000_000 + millis)),
                now(),
            )
        }
    }

    private val random = Random(1)
    private val teams = (1..teamCount).map { TeamName("hule93$it") }
    private val services = (1..6).map { ServiceName("huvo11a$it") }
    private var millis = 10_000L
    val hosts = (1..nodeCount).map { Host(it, ZoneName("bogota-${it % zoneCount}")) }
    private val hostsById = hosts.associateBy { it.id }

    /** The time in nanoseconds that encoding took, and the same for decoding. */
    var encodeNanos = 0L
        private set
    var decodeNanos = 0L
        private set
    var messages = 0L
        private set

    private fun now() = MonotonicTime(millis * 1_000_000)

    fun start() {
        val published = ArrayList<NodeReport>()
        for (host in hosts) {
            val effects = host.membership.decide(MembershipEvent.AcceptingChanged(true), now())
            published += effects.filterIsInstance<MembershipEffect.Publish>().map { it.report }
        }
        hosts.forEach { it.membership.decide(MembershipEvent.ReportsReceived(published, emptyList()), now()) }
    }

    fun runFor(seconds: Int) {
        repeat(seconds * 4) { quarter ->
            millis += 250
            if (quarter % 2 == 0) {
                for (host in hosts) {
                    host.measure(quarter / 2L)
                    execute(host, host.membership.decide(MembershipEvent.ReportDue, now()))
                }
            }
            for (host in hosts) execute(host, host.membership.decide(MembershipEvent.ExchangeDue, now()))
        }
    }

    fun reset() {
        encodeNanos = 0
        decodeNanos = 0
        messages = 0
        for (host in hosts) {
            host.bytesReceived = 0
            host.bytesSent = 0
            host.messagesSent = 0
        }
    }

    private fun execute(host: Host, effects: List<MembershipEffect>) {
        effects.filterIsInstance<MembershipEffect.Send>().forEach { exchange(host, it) }
    }

    private fun exchange(sender: Host, effect: MembershipEffect.Send) {
        val recipient = hostsById.getValue(effect.target.key.node)
        val request = transfer(effect.message, sender, recipient)
        val effects = recipient.membership.decide(MembershipEvent.MessageReceived(effect.exchange, request), now())
        val response = effects.filterIsInstance<MembershipEffect.Respond>().singleOrNull()
        val result =
            response?.let { ExchangeResult.Answered(transfer(it.message, recipient, sender)) }
                ?: ExchangeResult.Refused
        sender.membership.decide(MembershipEvent.ExchangeEnded(effect.exchange, result), now())
    }

    private fun transfer(message: PeerMessage, from: Host, to: Host): PeerMessage {
        val start = System.nanoTime()
        val bytes = from.codec.encode(message)
        val encoded = System.nanoTime()
        val received = checkNotNull(to.codec.decode(bytes).get())
        encodeNanos += encoded - start
        decodeNanos += System.nanoTime() - encoded
        messages++
        from.bytesSent += bytes.size
        from.messagesSent++
        to.bytesReceived += bytes.size
        return received
    }
}
