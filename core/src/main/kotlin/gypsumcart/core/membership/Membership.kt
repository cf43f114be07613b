package gypsumcart.core.membership

import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.routing.RoutingFindings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

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
    private val exchanges = PeerExchanges(self, settings.zone, settings.relayRank, table)
    private val quotaView = PeerQuotaView(settings, table)
    private val liveness = Liveness(settings, table)
    private val rollouts = RolloutSharing(table, liveness)
    private var publishedAt: MonotonicTime? = null
    private var storeReadRequestedAt: MonotonicTime? = null
    private var linked = false
    private var distributedPosition = TablePosition.START
    private val own = OwnReport(settings, table)

    override fun decide(event: MembershipEvent, now: MonotonicTime): List<MembershipEffect> {
        liveness.step(now)
        return handle(event, now) + rollouts.changes(own.report, now)
    }

    private fun handle(event: MembershipEvent, now: MonotonicTime): List<MembershipEffect> =
        when (event) {
            is MembershipEvent.ReportsReceived -> receiveReports(event, now)
            MembershipEvent.StoreAnswered -> noEffects { liveness.recordStoreAnswer(isRead = false, now) }
            MembershipEvent.StoreRestored -> {
                own.renew(now)
                listOf(publish(now))
            }
            is MembershipEvent.AcceptingChanged -> changeAccepting(event.accepting, now)
            is MembershipEvent.BackEndsReachedChanged ->
                noEffects {
                    own.update { it.copy(reachesBackEnds = event.reachesBackEnds) }
                    own.renew(now)
                }
            is MembershipEvent.QuotaUseMeasured -> noEffects { own.update { it.copy(quotaUse = event.use) } }
            is MembershipEvent.ArrivalsMeasured -> noEffects { own.update { it.copy(arrivals = event.arrivals) } }
            is MembershipEvent.LoadMeasured ->
                noEffects {
                    own.update {
                        it.copy(
                            load = event.load,
                            latency = event.latency,
                            lostCapacity = event.lostCapacity,
                            capacity = event.capacity,
                        )
                    }
                }
            is MembershipEvent.FindingsUpdated -> updateFindings(event.findings, now)
            is MembershipEvent.RolloutsUpdated -> noEffects { own.updateRollouts(event, now) }
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
        val isShared = settings.peerAddress != null && !isIsolated(now)
        val shared = if (isShared) listOf(MembershipEffect.ShareQuotaUse(own.report.quotaUse)) else emptyList()
        val period = if (linked && !confirmsOthers(now)) LINKED_PUBLISH_PERIOD else PUBLISH_PERIOD
        val published = if (isPublishDue(now, period)) listOf(publish(now)) else emptyList()
        val losses = liveness.reportLosses(linked, now)
        return shared + published + losses + distribute(now) + distributeReports(now) + removeExpired(now)
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
        val isConfirming = confirmsOthers(now)
        val heard = if (isConfirming) table.heardWithin(settings.heartbeatTimeout, settings.zone, now) else emptyMap()
        return MembershipEffect.Publish(own.report, heard)
    }

    /** Returns whether this node tells the store which nodes of its zone run, for a node that hears it only there. */
    private fun confirmsOthers(now: MonotonicTime): Boolean =
        settings.peerAddress != null &&
            exchanges.isRelay(liveness.liveTargets(now), now) &&
            liveness.silentPeers(now, SILENCE).isNotEmpty()

    private fun receiveReports(event: MembershipEvent.ReportsReceived, now: MonotonicTime): List<MembershipEffect> {
        liveness.recordStoreAnswer(isRead = true, now)
        event.removed.forEach(table::remove)
        val observed =
            event.reports.flatMap { report ->
                val writtenAt = now - (event.ages[report.key] ?: Duration.ZERO)
                table.putStored(report, writtenAt)
                // What a node found out is of use also after it has gone.
                listOfNotNull(report.observedFindingsOrNull(writtenAt), report.observedCapacityOrNull(writtenAt))
            }
        for ((key, age) in event.heard) table[key]?.confirm(now - age)
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
        liveness.recordPeerContact(now)
        val leases = applyItems(event.message, now)
        val response = exchanges.respond(event.message, zone, now, linked)
        return listOf(MembershipEffect.Respond(event.exchange, response)) + leases
    }

    private fun endExchange(event: MembershipEvent.ExchangeEnded, now: MonotonicTime): List<MembershipEffect> {
        val response = exchanges.end(event.exchange, event.result, now) ?: return emptyList()
        liveness.recordPeerContact(now)
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
                    report.observedCapacityOrNull(now - age),
                )
            }

    private fun exchange(now: MonotonicTime): List<MembershipEffect> {
        if (settings.peerAddress == null) return emptyList()
        val losses = liveness.reportLosses(linked, now)
        return updateLink(now) +
            losses +
            exchanges.chooseFeedRelays(liveness.liveTargets(now), now) +
            sendMessages(now) +
            distribute(now, isForced = losses.isNotEmpty()) +
            checkSilentPeers(now)
    }

    private fun updateLink(now: MonotonicTime): List<MembershipEffect> {
        val live = liveness.livePeers(now)
        val targets = liveness.liveTargets(now)
        val isLinked =
            liveness.othersAreKnown(now) && targets.size == live.size && exchanges.isLinked(targets, now)
        if (isLinked == linked) return emptyList()
        linked = isLinked
        val changed = listOf(MembershipEffect.LinkChanged(isLinked, exchanges.silentZones(targets, now)))
        // Nodes on the other side of a cut look for this one in the store.
        return if (!isLinked && isPublishDue(now, PUBLISH_PERIOD)) changed + publish(now) else changed
    }

    private fun sendMessages(now: MonotonicTime): List<MembershipEffect> {
        if (settings.peerAddress == null) return emptyList()
        val lost = liveness.lostTargets(now)
        val lacksReports = liveness.silentPeers(now, SILENCE).isNotEmpty()
        return exchanges.dueTargets(liveness.liveTargets(now), lost, lacksReports, now).map { target ->
            val (id, message) = exchanges.start(target, now, linked, lacksReports)
            MembershipEffect.Send(id, target, message)
        }
    }

    /** Looks for nodes of which the link has brought no report lately in the store. */
    private fun checkSilentPeers(now: MonotonicTime): List<MembershipEffect> {
        if (!linked) return emptyList()
        val isSilent = liveness.livePeers(now).any { now - it.aliveAt > SILENCE_BEFORE_READ }
        return if (isSilent) requestStoreRead(now) else emptyList()
    }

    private fun requestStoreRead(now: MonotonicTime): List<MembershipEffect> {
        if (storeReadRequestedAt?.let { now - it < STORE_READ_INTERVAL } ?: false) return emptyList()
        storeReadRequestedAt = now
        return listOf(MembershipEffect.ReadStore)
    }

    private fun quotaPeers(now: MonotonicTime): List<MembershipEffect> {
        val readAt = liveness.startedAt ?: return emptyList()
        // A part of the fleet that is cut off may serve clients for as long as the store can't show that it has gone.
        val contactAt = liveness.storeAnsweredAt
        val peers = quotaView.peers(now, contactAt, readAt, isIsolated(now)) { isQuotaUseCurrent(it, now) }
        return listOf(MembershipEffect.UpdateQuotaPeers(peers))
    }

    private fun isQuotaUseCurrent(entry: PeerTable.Entry, now: MonotonicTime): Boolean =
        if (settings.peerAddress == null) {
            liveness.isLive(entry, now)
        } else {
            entry.isHeardWithin(LINK_REPORT_TIMEOUT, now)
        }

    /**
     * Returns whether this node may only use the share of the quotas that the others reserve for it.
     *
     * Nodes that hear each other divide what is left when the shares of all silent nodes are reserved, whether these
     * have gone or are cut off.
     */
    private fun isIsolated(now: MonotonicTime): Boolean {
        if (settings.peerAddress == null) return now - liveness.storeAnsweredAt > settings.heartbeatTimeout
        val live = liveness.livePeers(now)
        return !liveness.othersAreKnown(now) || live.isNotEmpty() && live.none { isQuotaUseCurrent(it, now) }
    }

    /** Passes on what has changed since the last call, and the quota use, which ages also without a change. */
    private fun distribute(now: MonotonicTime, isForced: Boolean = false): List<MembershipEffect> {
        if (!isForced && settings.peerAddress != null && table.position == distributedPosition) return emptyList()
        distributedPosition = table.position
        return distributeMembers(now) + quotaPeers(now)
    }

    private fun distributeMembers(now: MonotonicTime): List<MembershipEffect> {
        val live = liveness.livePeers(now).map { it.report }
        val accepting = (live + own.report).filter { it.accepting }.distinctBy { it.node }.sortedBy { it.node }
        val others = live.map { it.node }.distinct()
        return listOf(
            MembershipEffect.UpdateMembers(accepting.map(NodeReport::toMember)),
            MembershipEffect.UpdateStreamPeers(accepting.mapNotNull(NodeReport::toStreamPeerOrNull)),
            MembershipEffect.UpdateNodeCount(others.size + 1, rank = others.count { it < settings.node }),
        )
    }

    private fun distributeReports(now: MonotonicTime): List<MembershipEffect> {
        val reports =
            table.peers.map { entry ->
                val report = entry.report
                if (liveness.isLive(entry, now)) report else report.withoutMeasurements()
            }
        return listOf(MembershipEffect.DistributeReports(reports.toList() + own.report))
    }

    /** Removes reports of nodes that are gone for long; only one node removes them from the store too. */
    private fun removeExpired(now: MonotonicTime): List<MembershipEffect> {
        val expired = liveness.expired()
        expired.forEach(table::remove)
        val removes = liveness.livePeers(now).none { it.key < self }
        return if (expired.isEmpty() || !removes) emptyList() else listOf(MembershipEffect.RemoveReports(expired))
    }

    private companion object {
        /** If a host fails, the counts of at most this time are lost with it, if it has no link. */
        val PUBLISH_PERIOD: Duration = 1.seconds

        /** Ticks come slightly early or late; a period counts as over when it nearly is. */
        val PERIOD_TOLERANCE: Duration = 0.25.seconds

        /** Longer than a report takes over the link. */
        val SILENCE: Duration = 1.5.seconds

        /** Four exchange periods more than the longest path of a report. */
        val SILENCE_BEFORE_READ: Duration = 2.seconds

        /** The minimum time between two reads of the store that are made before they are due. */
        val STORE_READ_INTERVAL: Duration = 1.seconds

        /** The age up to which the quota use in a report of the link counts as current. */
        val LINK_REPORT_TIMEOUT: Duration = 2.5.seconds
    }
}

private inline fun noEffects(change: () -> Unit): List<MembershipEffect> {
    change()
    return emptyList()
}

/** Every call to the store has its price, and nodes with a link read the reports there only as a second path. */
internal val LINKED_PUBLISH_PERIOD: Duration = 5.seconds

private fun NodeReport.withoutMeasurements(): NodeReport =
    copy(load = emptyMap(), latency = emptyMap(), arrivals = emptyMap())

private fun NodeReport.observedFindingsOrNull(asOf: MonotonicTime): MembershipEffect? =
    findings.takeUnless { it.isEmpty }?.let { MembershipEffect.ObserveFindings(it, asOf) }

private fun NodeReport.observedCapacityOrNull(asOf: MonotonicTime): MembershipEffect? =
    capacity.takeUnless { it.isEmpty }?.let { MembershipEffect.ObserveCapacity(node, it, asOf) }
