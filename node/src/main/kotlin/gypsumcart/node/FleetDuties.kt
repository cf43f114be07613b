package gypsumcart.node

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import gypsumcart.core.Features
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.UnixMillis
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import gypsumcart.core.leases.Lease
import gypsumcart.core.leases.LeaseEffect
import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.leases.LeaseWriteResult
import gypsumcart.core.membership.Membership
import gypsumcart.core.membership.MembershipEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.MembershipSettings
import gypsumcart.core.membership.StorePosition
import gypsumcart.core.membership.fleetLoads
import gypsumcart.core.replicas.Autoscaler
import gypsumcart.core.replicas.AutoscalerEffect
import gypsumcart.core.replicas.AutoscalerEvent
import gypsumcart.core.replicas.ScalingPolicy
import gypsumcart.core.rollout.RolloutEvent
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.streams.StreamEvent
import gypsumcart.core.streams.StreamPeer
import gypsumcart.core.usage.Usage
import gypsumcart.core.usage.UsageEffect
import gypsumcart.core.usage.UsageEvent
import gypsumcart.core.usage.UsageSettings
import gypsumcart.pipeline.Duty
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.deciderDuty
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the deciders that coordinate the nodes of the fleet.
 *
 * Calls to the store and to the cloud interface run as coroutines on the edge thread, not on the threads of the duties.
 */
internal class FleetDuties(
    private val rings: Rings,
    private val state: NodeState,
    private val metrics: Metrics,
    private val platform: Platform,
    private val scope: CoroutineScope,
    private val peerLink: PeerLink,
    private val readPace: FleetReadPace,
    private val clock: MonotonicClock,
    private val identity: MembershipSettings,
    bounds: Bounds,
    features: Features,
) {
    private val node: NodeId get() = identity.node
    private val incarnation: Incarnation get() = identity.incarnation
    private val rows: RowStore get() = platform.rowStore

    private val lease = Lease(node, incarnation, bounds.lease, bounds.clockJumpMillis.milliseconds)
    private val scalingPolicy = if (features.demandScaling) ScalingPolicy.ByDemand else ScalingPolicy.ByLoad
    private val usage =
        Usage(
            UsageSettings(
                bounds.usageWindowSeconds.seconds,
                bounds.usageLateSeconds.seconds,
                unsharedTime = if (features.relayedFeeds) MEAN_UNSHARED_TIME else Duration.ZERO,
            ),
        )

    private val storeHistory = StoreHistory(rows)

    /** What the duty of the streams was last told; is used by the membership duty. */
    private var streamPeers: List<StreamPeer> = emptyList()

    val all: List<Duty> =
        listOf(
            deciderDuty(rings.membership, Membership(identity), clock, ::execute),
            deciderDuty(rings.lease, lease, clock, ::execute),
            deciderDuty(rings.usage, usage, clock, ::execute),
            deciderDuty(rings.orders, Autoscaler(scalingPolicy), clock, ::execute),
        )

    private fun execute(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.Publish -> scope.launch { publishReport(effect) }
            is MembershipEffect.RemoveReports -> scope.launch { removeReports(effect) }
            is MembershipEffect.UpdateMembers -> updateMembers(effect)

            is MembershipEffect.UpdateStreamPeers -> updateStreamPeers(effect)

            is MembershipEffect.UpdateNodeCount -> {
                rings.routing.put(RoutingEvent.NodeCountUpdated(effect.nodeCount, effect.rank))
                rings.streams.put(StreamEvent.RankUpdated(effect.nodeCount, effect.rank))
            }

            is MembershipEffect.ObserveFindings ->
                rings.routing.put(RoutingEvent.FindingsReceived(effect.findings, effect.asOf))

            // A report that does not fit into the ring is made up for by the next one.
            is MembershipEffect.ObserveCapacity ->
                rings.routing.offer(RoutingEvent.CapacityReported(effect.node, effect.report, effect.asOf))

            is MembershipEffect.ObserveRollouts ->
                rings.rollout?.offer(RolloutEvent.ReportsReceived(effect.reports, effect.live))

            is MembershipEffect.UpdateQuotaPeers ->
                rings.admission.put(
                    AdmissionEvent.PeersUpdated(effect.peers),
                )

            is MembershipEffect.ShareQuotaUse -> rings.admission.offer(AdmissionEvent.UsePublished(effect.use))

            is MembershipEffect.ObserveLease -> rings.lease.offer(LeaseEvent.RowObserved(effect.row, wallTime()))

            is MembershipEffect.Send -> peerLink.send(effect)

            is MembershipEffect.Respond -> peerLink.respond(effect)

            is MembershipEffect.Refuse -> peerLink.refuse(effect)

            MembershipEffect.ReadStore -> readPace.wakeUp()

            is MembershipEffect.LinkChanged -> changeLink(effect)

            is MembershipEffect.RelaysChosen -> chooseRelays(effect)

            is MembershipEffect.PeerLost -> logLostPeer(effect)

            is MembershipEffect.DistributeReports -> {
                rings.usage.put(UsageEvent.ReportsUpdated(effect.reports))
                val (loads, latencies) = effect.reports.map { it.load to it.latency }.unzip()
                val lost = effect.reports.map { it.lostCapacity }
                rings.orders.put(
                    AutoscalerEvent.LoadMeasured(loads, latencies, lost, effect.reports.map { it.arrivals }),
                )
                rings.routing.offer(RoutingEvent.FleetLoadMeasured(effect.reports.fleetLoads(node)))
            }
        }
    }

    private fun changeLink(effect: MembershipEffect.LinkChanged) {
        state.linked = effect.linked
        readPace.linked = effect.linked
        if (!effect.linked) readPace.wakeUp()
        log.info("event=link_changed linked={} silent_zones={}", effect.linked, effect.silentZones.joinToString(","))
    }

    private fun chooseRelays(effect: MembershipEffect.RelaysChosen) {
        val feedRelay = platform.feedRelay ?: return
        readPace.relayed = effect.relay != null
        feedRelay.follow(effect.relay?.address, effect.others.map { it.address })
        log.info("event=relay_chosen relay={}", effect.relay?.key?.node)
    }

    private fun logLostPeer(effect: MembershipEffect.PeerLost) {
        log.info(
            "event=peer_lost peer={} incarnation={} zone={} report_age_ms={} link_age_ms={} store_age_ms={} linked={}",
            effect.peer.node,
            effect.peer.incarnation,
            effect.zone,
            effect.reportAge.inWholeMilliseconds,
            effect.linkAge?.inWholeMilliseconds,
            effect.storeAge.inWholeMilliseconds,
            effect.linked,
        )
    }

    private suspend fun publishReport(effect: MembershipEffect.Publish) {
        val written =
            rows.put(
                Tables.FLEET,
                effect.report.toRowKey(),
                effect.report.encode(storeMillis(), effect.heard),
                expected = null,
            )
        written.mapBoth(
            { rings.admission.offer(AdmissionEvent.UsePublished(effect.report.quotaUse)) },
            {
                metrics.countFailedWrite("report")
                log.info("event=report_unwritten beat={} cause={}", effect.report.heartbeat, it.toLogValue())
            },
        )
    }

    /** Returns what the store's clock shows now, or null before the first response. */
    private fun storeMillis(): Long? =
        rows.clockOrNull()?.let { it.millis + (clock.now() - it.at).inWholeMilliseconds }

    private suspend fun removeReports(effect: MembershipEffect.RemoveReports) {
        val removed = rows.remove(Tables.FLEET, effect.nodes.map { it.toRowKey() })
        removed.mapError { log.info("event=reports_kept count={} cause={}", effect.nodes.size, it.toLogValue()) }
    }

    private fun updateMembers(effect: MembershipEffect.UpdateMembers) {
        if (effect.members == state.members) return
        state.members = effect.members
        log.info("event=members_changed members={}", effect.members.joinToString(",") { it.node.text })
    }

    private fun updateStreamPeers(effect: MembershipEffect.UpdateStreamPeers) {
        if (effect.peers == streamPeers) return
        streamPeers = effect.peers
        rings.streams.put(StreamEvent.PeersUpdated(effect.peers))
    }

    private fun execute(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.WriteRow ->
                scope.launch { rings.lease.put(LeaseEvent.WriteEnded(writeLease(effect), wallTime())) }
            LeaseEffect.ReadRow -> scope.launch { rings.lease.put(readLease()) }
            is LeaseEffect.Execute -> scope.launch { executeCommand(effect) }
            is LeaseEffect.RowWritten -> rings.membership.offer(MembershipEvent.LeaseWritten(effect.row))
            is LeaseEffect.HoldingChanged -> changeHolding(effect)
        }
    }

    private suspend fun writeLease(effect: LeaseEffect.WriteRow): LeaseWriteResult {
        // The condition holds in the era of the expected version only.
        val era = StorePosition(effect.expectedVersion).era
        val value = encodeLease(node, incarnation, effect.fencingToken, era)
        return rows.put(Tables.FLEET, LEASE_KEY, value, RowVersion(effect.expectedVersion)).fold(
            { LeaseWriteResult.Written(it.number) },
            { failure ->
                when (failure) {
                    is StoreFailure.Conflict -> LeaseWriteResult.Outdated(failure.current?.toLeaseOrNull())
                    is StoreFailure.Declined, StoreFailure.EarlierEra, StoreFailure.NoAnswer ->
                        LeaseWriteResult.Unknown
                }
            },
        )
    }

    private suspend fun readLease(): LeaseEvent =
        rows.get(Tables.FLEET, LEASE_KEY).fold(
            { LeaseEvent.RowObserved(it?.toLeaseOrNull(), wallTime()) },
            { LeaseEvent.ReadFailed(wallTime()) },
        )

    private suspend fun executeCommand(effect: LeaseEffect.Execute) {
        val command = effect.command
        val token = effect.fencingToken
        val result =
            if (effect.permit.isValid(clock.now(), wallTime())) {
                platform.commandExecutor.execute(command, token)
            } else {
                CommandResult.REFUSED
            }
        metrics.countCommand(command, result)
        log.info("event=duty_act act={} fence={} result={}", command, token, result)
        when (command) {
            is FencedCommand.ReportUsage -> {
                if (result == CommandResult.CONFLICT) rings.lease.put(LeaseEvent.TokenSuperseded(token, wallTime()))
                rings.usage.put(UsageEvent.SendCompleted(command.window, result))
            }

            is FencedCommand.OrderBackEnds -> rings.orders.put(AutoscalerEvent.OrderEnded(command, result))
        }
    }

    private fun changeHolding(effect: LeaseEffect.HoldingChanged) {
        val token = effect.fencingToken
        state.leaseHeld = token != null
        log.info("event=lease_{} fence={}", if (token != null) "held" else "not_held", token)
        rings.usage.put(UsageEvent.HoldingChanged(token != null))
        rings.orders.put(AutoscalerEvent.HoldingChanged(token != null))
        rings.rollout?.put(RolloutEvent.HoldingChanged(token, effect.acquiredIn))
    }

    private fun execute(effect: UsageEffect) {
        when (effect) {
            // The next tick repeats what does not fit into the ring.
            is UsageEffect.Publish -> rings.membership.offer(MembershipEvent.UsageCounted(effect.usage, effect.until))
            is UsageEffect.StoreReport -> scope.launch { rings.usage.put(storeReport(effect)) }
            is UsageEffect.ReadReport -> scope.launch { rings.usage.put(readReport(effect)) }
            UsageEffect.ReadStoreHistory -> scope.launch { storeHistory.readOrNull()?.let { rings.usage.put(it) } }
            is UsageEffect.SendReport -> rings.lease.put(LeaseEvent.CommandRequested(effect.command, wallTime()))
        }
    }

    private suspend fun storeReport(effect: UsageEffect.StoreReport): UsageEvent =
        rows.put(Tables.USAGE, effect.window.toRowKey(), encodeUsageCounts(effect.counts), RowVersion.ABSENT).fold(
            { UsageEvent.ReportStored(effect.window, effect.counts, writtenIn = StorePosition(it.number).era) },
            { failure ->
                val stored = (failure as? StoreFailure.Conflict)?.current?.toUsageCountsOrNull()
                if (stored != null) {
                    UsageEvent.ReportStored(effect.window, stored)
                } else {
                    UsageEvent.StoreReportFailed(effect.window)
                }
            },
        )

    private suspend fun readReport(effect: UsageEffect.ReadReport): UsageEvent {
        val row = rows.get(Tables.USAGE, effect.window.toRowKey()).get()
        val stored = row?.toUsageCountsOrNull() ?: return UsageEvent.StoreReportFailed(effect.window)
        return UsageEvent.ReportStored(effect.window, stored)
    }

    private fun execute(effect: AutoscalerEffect) {
        when (effect) {
            is AutoscalerEffect.Order -> placeOrder(effect)
            is AutoscalerEffect.ReportWaste -> {
                metrics.countWaste(effect.service, effect.waste, effect.amount)
                val waste = effect.waste.name.lowercase()
                log.info("event=scaling_waste service={} waste={} amount={}", effect.service, waste, effect.amount)
            }
            is AutoscalerEffect.StoreInitialCounts -> scope.launch { storeInitialCounts(effect) }
        }
    }

    private fun placeOrder(effect: AutoscalerEffect.Order) {
        log.info(
            "event=back_ends_wanted act={} need={} load={} load_per_back_end={}",
            effect.command,
            effect.required,
            effect.load,
            effect.loadPerBackEnd,
        )
        rings.lease.put(LeaseEvent.CommandRequested(effect.command, wallTime()))
    }

    private suspend fun storeInitialCounts(effect: AutoscalerEffect.StoreInitialCounts) {
        val written =
            when (scalingPolicy) {
                ScalingPolicy.ByLoad ->
                    rows.put(Tables.FLEET, INITIAL_COUNTS_KEY, encodeInitialCounts(effect.counts), expected = null)

                ScalingPolicy.ByDemand -> raiseInitialCounts(rows, effect.counts)
            }
        written.mapError {
            metrics.countFailedWrite("initial_counts")
            log.info("event=initial_counts_unwritten counts={} cause={}", effect.counts, it.toLogValue())
        }
    }

    private companion object {
        private val log = LoggerFactory.getLogger(FleetDuties::class.java)

        /** Counts are a quarter of a second old when they are shared, which happens every half second. */
        val MEAN_UNSHARED_TIME: Duration = 500.milliseconds
    }
}

internal fun wallTime(): UnixMillis = UnixMillis(System.currentTimeMillis())

/** Returns the value that identifies the failure in log lines. */
internal fun StoreFailure.toLogValue(): String =
    when (this) {
        is StoreFailure.Conflict -> "conflict"
        is StoreFailure.Declined -> "declined_$status"
        StoreFailure.EarlierEra -> "earlier_era"
        StoreFailure.NoAnswer -> "no_answer"
    }
