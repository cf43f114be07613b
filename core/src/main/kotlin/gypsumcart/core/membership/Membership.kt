package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.Decider
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ZoneName
import gypsumcart.core.routing.RoutingFindings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Specifies the identity of this node and the periods used by [Membership].
 *
 * @property peerAddress the address at which this node receives messages of others, or null to use the store alone
 * @property heartbeatTimeout how long a node may go without a new report, while the store or the link answers, before
 * it counts as gone
 * @property quotaWindow the window over which quotas are counted
 */
public data class MembershipSettings(
    public val node: NodeId,
    public val incarnation: Incarnation,
    public val clientAddress: Address,
    public val peerAddress: Address?,
    public val zone: ZoneName,
    public val heartbeatTimeout: Duration,
    public val quotaWindow: Duration,
)

/**
 * Detects which nodes are live from their reports, and provides this node with the state of the others.
 *
 * Reports come over the peer link, several times a second, and through the store. While all zones are in contact over
 * the link, a node writes its report to the store seldom. A node of which nothing is heard over the link is looked for
 * in the store before it counts as gone.
 */
public class Membership(private val settings: MembershipSettings) : Decider<MembershipEvent, MembershipEffect> {
    private val self = NodeKey(settings.node, settings.incarnation)
    private val table = PeerTable(self)
    private val exchanges = PeerExchanges(self, settings.zone, table)
    private val quotaView = PeerQuotaView(settings, table)
    private var storeAnsweredAt = MonotonicTime(0)
    private var firstReadAt: MonotonicTime? = null
    private var publishedAt: MonotonicTime? = null
    private var storeReadRequestedAt: MonotonicTime? = null
    private var linked = false
    private var lastLinkedAt = MonotonicTime(0)
    private var distributedPosition = TablePosition.START
    private val own = OwnReport(settings, table)
    private val lossReports = LossReports(table)

    override fun decide(event: MembershipEvent, now: MonotonicTime): List<MembershipEffect> =
        when (event) {
            is MembershipEvent.ReportsReceived -> receiveReports(event, now)
            MembershipEvent.StoreAnswered -> noEffects { storeAnsweredAt = now }
            is MembershipEvent.AcceptingChanged -> changeAccepting(event.accepting, now)
            is MembershipEvent.QuotaUseMeasured -> noEffects { own.update { it.copy(quotaUse = event.use) } }
            is MembershipEvent.LoadMeasured ->
                noEffects {
                    own.update {
                        it.copy(load = event.load, latency = event.latency, lostCapacity = event.lostCapacity)
                    }
                }
            is MembershipEvent.FindingsUpdated -> updateFindings(event.findings, now)
            is MembershipEvent.UsageCounted -> noEffects { own.updateUsage(event.usage, event.until) }
            is MembershipEvent.LeaseWritten -> noEffects { own.update { it.copy(lease = event.row) } }
            is MembershipEvent.MessageReceived -> receiveMessage(event, now)
            is MembershipEvent.ExchangeEnded -> endExchange(event, now)
            MembershipEvent.ExchangeDue -> exchange(now)
            MembershipEvent.ReportDue -> report(now)
        }

    private fun changeAccepting(accepting: Boolean, now: MonotonicTime): List<MembershipEffect> {
        own.update { it.copy(accepting = accepting) }
        own.renew(now)
        return listOf(publish(now)) + distribute(now) + sendMessages(now)
    }

    private fun report(now: MonotonicTime): List<MembershipEffect> {
        own.renew(now)
        val shared = if (linked) listOf(MembershipEffect.ShareQuotaUse(own.report.quotaUse)) else emptyList()
        val period = if (linked) LINKED_PUBLISH_PERIOD else PUBLISH_PERIOD
        val published = if (isPublishDue(now, period)) listOf(publish(now)) else emptyList()
        return shared + published + reportLosses(now) + distribute(now) + distributeReports(now) + removeExpired(now)
    }

    /** Shares what is new with the next exchange, and through the store for nodes that the link doesn't reach. */
    private fun updateFindings(findings: RoutingFindings, now: MonotonicTime): List<MembershipEffect> {
        if (!own.updateFindings(findings, now)) return emptyList()
        own.renew(now)
        return if (isPublishDue(now, PUBLISH_PERIOD)) listOf(publish(now)) else emptyList()
    }

    private fun isPublishDue(now: MonotonicTime, period: Duration): Boolean =
        publishedAt?.let { now - it >= period - PERIOD_TOLERANCE } ?: true

    private fun publish(now: MonotonicTime): MembershipEffect {
        publishedAt = now
        return MembershipEffect.Publish(own.report)
    }

    private fun receiveReports(event: MembershipEvent.ReportsReceived, now: MonotonicTime): List<MembershipEffect> {
        storeAnsweredAt = now
        if (firstReadAt == null) firstReadAt = now
        event.removed.forEach(table::remove)
        val observed =
            event.reports.mapNotNull { report ->
                val writtenAt = now - (event.ages[report.key] ?: Duration.ZERO)
                table.putStored(report, writtenAt)
                // What a node found out is of use also after it has gone.
                report.observedFindingsOrNull(writtenAt)
            }
        // With a link, the next exchange distributes the changes together with those that it brings.
        val distributed =
            if (settings.peerAddress == null) distribute(now) + distributeReports(now) else distributeMembers(now)
        return observed + distributed
    }

    /** Applies a message of a node that the store or another node has named; refuses that of any other node. */
    private fun receiveMessage(event: MembershipEvent.MessageReceived, now: MonotonicTime): List<MembershipEffect> {
        val sender = event.message.sender
        val zone = table[sender]?.report?.zone
        if (zone == null || sender == self) {
            return listOf(MembershipEffect.Refuse(event.exchange, sender)) + requestStoreRead(now)
        }
        val leases = applyItems(event.message, now)
        val response = exchanges.respond(event.message, zone, now, linked)
        return listOf(MembershipEffect.Respond(event.exchange, response)) + leases
    }

    private fun endExchange(event: MembershipEvent.ExchangeEnded, now: MonotonicTime): List<MembershipEffect> {
        val response = event.response
        if (!exchanges.end(event.exchange, response, now) || response == null) return emptyList()
        return applyItems(response, now)
    }

    /** Records the reports in [message] and returns the lease rows and the findings that they show. */
    private fun applyItems(message: PeerMessage, now: MonotonicTime): List<MembershipEffect> =
        message.items
            .filter { table.putLinked(it, message.sender, now) }
            .flatMap { (report, age) ->
                listOfNotNull(
                    report.lease?.let(MembershipEffect::ObserveLease),
                    report.observedFindingsOrNull(now - age),
                )
            }

    private fun exchange(now: MonotonicTime): List<MembershipEffect> {
        if (settings.peerAddress == null) return emptyList()
        return updateLink(now) + sendMessages(now) + distribute(now) + checkSilentPeers(now)
    }

    private fun updateLink(now: MonotonicTime): List<MembershipEffect> {
        val live = livePeers(now)
        val othersAreKnown = firstReadAt?.let { now - it >= STARTUP_TIME } ?: false
        val isLinked =
            othersAreKnown &&
                live.all { it.peerAddress != null } &&
                exchanges.isLinked(live.mapNotNull { it.target }, now)
        if (isLinked) lastLinkedAt = now
        if (isLinked == linked) return emptyList()
        linked = isLinked
        val silent = exchanges.silentZones(live.mapNotNull { it.target }, now)
        return listOf(MembershipEffect.LinkChanged(isLinked, silent))
    }

    private fun sendMessages(now: MonotonicTime): List<MembershipEffect> {
        if (settings.peerAddress == null) return emptyList()
        return exchanges.dueTargets(livePeers(now).mapNotNull { it.target }, now).map { target ->
            val (id, message) = exchanges.start(target, now, linked)
            MembershipEffect.Send(id, target, message)
        }
    }

    /** Looks for nodes of which the link has brought no report lately in the store. */
    private fun checkSilentPeers(now: MonotonicTime): List<MembershipEffect> {
        if (!linked) return emptyList()
        val silent = table.peers.any { isLive(it, now) && now - it.heardAt > SILENCE_BEFORE_READ }
        return if (silent) requestStoreRead(now) else emptyList()
    }

    private fun requestStoreRead(now: MonotonicTime): List<MembershipEffect> {
        if (storeReadRequestedAt?.let { now - it < STORE_READ_INTERVAL } ?: false) return emptyList()
        storeReadRequestedAt = now
        return listOf(MembershipEffect.ReadStore)
    }

    private fun quotaPeers(now: MonotonicTime): List<MembershipEffect> {
        val readAt = firstReadAt ?: return emptyList()
        val isCurrent: (PeerTable.Entry) -> Boolean =
            if (settings.peerAddress == null) {
                { isLive(it, now) }
            } else {
                { entry -> entry.linkedAt?.let { now - it <= LINK_REPORT_TIMEOUT } ?: false }
            }
        val isIsolated =
            if (settings.peerAddress == null) now - storeAnsweredAt > settings.heartbeatTimeout else !linked
        return listOf(
            MembershipEffect.UpdateQuotaPeers(quotaView.peers(now, contactAt(now), readAt, isIsolated, isCurrent)),
        )
    }

    /** Passes on what has changed since the last call, and the quota use, which ages also without a change. */
    private fun distribute(now: MonotonicTime): List<MembershipEffect> {
        if (settings.peerAddress != null && table.position == distributedPosition) return emptyList()
        distributedPosition = table.position
        return distributeMembers(now) + quotaPeers(now)
    }

    private fun distributeMembers(now: MonotonicTime): List<MembershipEffect> {
        val live = livePeers(now)
        val members = (live + own.report).filter { it.accepting }.distinctBy { it.node }.map(NodeReport::toMember)
        val others = live.map { it.node }.distinct()
        return listOf(
            MembershipEffect.UpdateMembers(members.sortedBy { it.node }),
            MembershipEffect.UpdateNodeCount(others.size + 1, rank = others.count { it < settings.node }),
        )
    }

    private fun reportLosses(now: MonotonicTime): List<MembershipEffect> {
        val live = table.peers.filter { isLive(it, now) }.mapTo(HashSet()) { it.key }
        return lossReports.update(live, storeAnsweredAt, linked, now)
    }

    private fun distributeReports(now: MonotonicTime): List<MembershipEffect> {
        val reports =
            table.peers
                .map {
                    if (isLive(
                            it,
                            now,
                        )
                    ) {
                        it.report
                    } else {
                        it.report.copy(load = emptyMap(), latency = emptyMap())
                    }
                }.toList()
        return listOf(MembershipEffect.DistributeReports(reports + own.report))
    }

    private fun livePeers(now: MonotonicTime): List<NodeReport> =
        table.peers
            .filter { isLive(it, now) }
            .map { it.report }
            .toList()

    /**
     * Returns whether the node may still run.
     *
     * A report ages only while the store or the link answers, so that an outage of both removes no node. Without a link
     * this node has to wait for what the others write to the store, which they may do seldom.
     */
    private fun isLive(entry: PeerTable.Entry, now: MonotonicTime): Boolean {
        if (entry.report.node == settings.node) return false
        val waitsForStore = !linked && settings.peerAddress != null && entry.report.peerAddress != null
        val publishPeriod = if (waitsForStore) LINKED_PUBLISH_PERIOD else Duration.ZERO
        return contactAt(now) - entry.heardAt <= settings.heartbeatTimeout + publishPeriod
    }

    /** Returns when this node last had contact with the store or, over the link, with all zones. */
    private fun contactAt(now: MonotonicTime): MonotonicTime =
        if (linked) now else maxOf(storeAnsweredAt, lastLinkedAt)

    /** Removes reports of nodes that are gone for long; only one node removes them from the store too. */
    private fun removeExpired(now: MonotonicTime): List<MembershipEffect> {
        val expired =
            table.peers
                .filter { contactAt(now) - it.heardAt > settings.heartbeatTimeout * REMOVAL_TIMEOUTS }
                .map { it.key }
                .toList()
        expired.forEach(table::remove)
        val removes = table.peers.none { isLive(it, now) && it.key < self }
        return if (expired.isEmpty() || !removes) emptyList() else listOf(MembershipEffect.RemoveReports(expired))
    }

    private companion object {
        /** If a host fails, the counts of at most this time are lost with it, if it has no link. */
        val PUBLISH_PERIOD: Duration = 1.seconds

        /** After its first read of the store, a node allows this time for the reports of nodes that start with it. */
        val STARTUP_TIME: Duration = 3.seconds

        /** Ticks come slightly early or late; a period counts as over when it nearly is. */
        val PERIOD_TOLERANCE: Duration = 0.25.seconds

        /** Four exchange periods more than the longest path of a report. */
        val SILENCE_BEFORE_READ: Duration = 2.seconds

        /** The minimum time between two reads of the store that are made before they are due. */
        val STORE_READ_INTERVAL: Duration = 1.seconds

        /** The age up to which the quota use in a report of the link counts as current. */
        val LINK_REPORT_TIMEOUT: Duration = 2.5.seconds

        /**
         * The age, in heartbeat timeouts, at which a report is removed; by then no usage window that it covers is still
         * to be reported.
         */
        const val REMOVAL_TIMEOUTS = 15
    }
}

private inline fun noEffects(change: () -> Unit): List<MembershipEffect> {
    change()
    return emptyList()
}

/** Every call to the store has its price, and nodes with a link read the reports there only as a second path. */
internal val LINKED_PUBLISH_PERIOD: Duration = 5.seconds

private val NodeReport.target: PeerTarget? get() = peerAddress?.let { PeerTarget(key, it, zone) }

private fun NodeReport.observedFindingsOrNull(asOf: MonotonicTime): MembershipEffect? =
    findings.takeUnless { it.isEmpty }?.let { MembershipEffect.ObserveFindings(it, asOf) }
