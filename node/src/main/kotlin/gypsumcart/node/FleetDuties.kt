package gypsumcart.node

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import gypsumcart.core.FencingToken
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
import gypsumcart.core.replicas.Autoscaler
import gypsumcart.core.replicas.AutoscalerEffect
import gypsumcart.core.replicas.AutoscalerEvent
import gypsumcart.core.routing.RoutingEvent
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Joins the deciders by which the nodes act as one fleet; their calls to the store run on the edge. */
internal class FleetDuties(
    private val rings: Rings,
    private val state: NodeState,
    private val metrics: Metrics,
    private val platform: Platform,
    private val scope: CoroutineScope,
    clock: MonotonicClock,
    private val identity: MembershipSettings,
    bounds: Bounds,
) {
    private val node: NodeId get() = identity.node
    private val incarnation: Incarnation get() = identity.incarnation
    private val rows: RowStore get() = platform.rowStore

    private val lease = Lease(node, incarnation, bounds.lease, bounds.clockJumpMillis.milliseconds)
    private val usage = Usage(UsageSettings(bounds.usageWindowSeconds.seconds, bounds.usageLateSeconds.seconds))

    val all: List<Duty> =
        listOf(
            deciderDuty(rings.membership, Membership(identity), clock, ::carryOut),
            deciderDuty(rings.lease, lease, clock, ::carryOut),
            deciderDuty(rings.usage, usage, clock, ::carryOut),
            deciderDuty(rings.orders, Autoscaler(), clock, ::carryOut),
        )

    private fun carryOut(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.Publish -> scope.launch { publish(effect) }
            is MembershipEffect.RemoveReports -> scope.launch { forget(effect) }
            is MembershipEffect.UpdateMembers -> direct(effect)
            is MembershipEffect.UpdateNodeCount -> rings.routing.put(RoutingEvent.NodeCountUpdated(effect.nodes))
            is MembershipEffect.UpdateQuotaPeers ->
                rings.admission.put(
                    AdmissionEvent.PeersUpdated(effect.peers),
                )

            is MembershipEffect.DistributeReports -> {
                rings.usage.put(UsageEvent.ReportsUpdated(effect.reports))
                rings.orders.put(AutoscalerEvent.LoadMeasured(effect.reports.map { it.load }))
            }
        }
    }

    private suspend fun publish(effect: MembershipEffect.Publish) {
        val written = rows.put(Tables.FLEET, effect.report.toRowKey(), effect.report.encode(), expected = null)
        written.mapBoth(
            { rings.admission.offer(AdmissionEvent.UsePublished(effect.report.quotaUse)) },
            {
                metrics.countFailedWrite("report")
                log.info("event=report_unwritten beat={} cause={}", effect.report.heartbeat, it.toLogValue())
            },
        )
    }

    private suspend fun forget(effect: MembershipEffect.RemoveReports) {
        val removed = rows.remove(Tables.FLEET, effect.nodes.map { it.toRowKey() })
        removed.mapError { log.info("event=reports_kept count={} cause={}", effect.nodes.size, it.toLogValue()) }
    }

    private fun direct(effect: MembershipEffect.UpdateMembers) {
        if (effect.members == state.members) return
        state.members = effect.members
        log.info("event=members_changed members={}", effect.members.joinToString(",") { it.node.text })
    }

    private fun carryOut(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.WriteRow -> scope.launch { rings.lease.put(LeaseEvent.WriteEnded(write(effect), wall())) }
            LeaseEffect.ReadRow -> scope.launch { rings.lease.put(readLease()) }
            is LeaseEffect.Execute -> scope.launch { perform(effect.command, effect.fencingToken) }
            is LeaseEffect.HoldingChanged -> changeHolding(effect.fencingToken)
        }
    }

    private suspend fun write(effect: LeaseEffect.WriteRow): LeaseWriteResult {
        val value = encodeLease(node, incarnation, effect.fencingToken)
        return rows.put(Tables.FLEET, LEASE_KEY, value, RowVersion(effect.expectedVersion)).fold(
            { LeaseWriteResult.Written(it.number) },
            { failure ->
                when (failure) {
                    is StoreFailure.Conflict -> LeaseWriteResult.Outdated(failure.current?.toLeaseOrNull())
                    is StoreFailure.Declined, StoreFailure.NoAnswer -> LeaseWriteResult.Unknown
                }
            },
        )
    }

    private suspend fun readLease(): LeaseEvent =
        rows.get(Tables.FLEET, LEASE_KEY).fold(
            { LeaseEvent.RowObserved(it?.toLeaseOrNull(), wall()) },
            { LeaseEvent.ReadFailed(wall()) },
        )

    private suspend fun perform(act: FencedCommand, fence: FencingToken) {
        val result = platform.commandExecutor.execute(act, fence)
        metrics.countCommand(act, result)
        log.info("event=duty_act act={} fence={} result={}", act, fence, result)
        when (act) {
            is FencedCommand.ReportUsage -> {
                if (result == CommandResult.CONFLICT) rings.lease.put(LeaseEvent.TokenSuperseded(fence, wall()))
                rings.usage.put(UsageEvent.SendCompleted(act.window, result))
            }

            is FencedCommand.OrderBackEnds -> rings.orders.put(AutoscalerEvent.OrderEnded(act, result))
        }
    }

    private fun changeHolding(fence: FencingToken?) {
        state.leaseHeld = fence != null
        log.info("event=lease_{} fence={}", if (fence != null) "held" else "not_held", fence)
        rings.usage.put(UsageEvent.HoldingChanged(fence != null))
        rings.orders.put(AutoscalerEvent.HoldingChanged(fence != null))
    }

    private fun carryOut(effect: UsageEffect) {
        when (effect) {
            is UsageEffect.Publish -> rings.membership.put(MembershipEvent.UsageCounted(effect.usage, effect.until))
            is UsageEffect.StoreReport -> scope.launch { rings.usage.put(storeReport(effect)) }
            is UsageEffect.SendReport -> rings.lease.put(LeaseEvent.CommandRequested(effect.act, wall()))
        }
    }

    private suspend fun storeReport(effect: UsageEffect.StoreReport): UsageEvent =
        rows.put(Tables.USAGE, effect.window.toRowKey(), encodeCounts(effect.counts), RowVersion.ABSENT).fold(
            { UsageEvent.ReportStored(effect.window, effect.counts) },
            { failure ->
                val stored = (failure as? StoreFailure.Conflict)?.current?.toCountsOrNull()
                if (stored != null) {
                    UsageEvent.ReportStored(effect.window, stored)
                } else {
                    UsageEvent.StoreReportFailed(effect.window)
                }
            },
        )

    private fun carryOut(effect: AutoscalerEffect) {
        when (effect) {
            is AutoscalerEffect.Order -> order(effect)
            is AutoscalerEffect.StoreInitialCounts -> scope.launch { remember(effect) }
        }
    }

    private fun order(effect: AutoscalerEffect.Order) {
        log.info("event=back_ends_wanted act={} need={} load={}", effect.command, effect.required, effect.load)
        rings.lease.put(LeaseEvent.CommandRequested(effect.command, wall()))
    }

    private suspend fun remember(effect: AutoscalerEffect.StoreInitialCounts) {
        val written = rows.put(Tables.FLEET, INITIAL_COUNTS_KEY, encodeInitialCounts(effect.counts), expected = null)
        written.mapError {
            metrics.countFailedWrite("initial_counts")
            log.info("event=initial_counts_unwritten counts={} cause={}", effect.counts, it.toLogValue())
        }
    }

    private companion object {
        private val log = LoggerFactory.getLogger(FleetDuties::class.java)
    }
}

internal fun wall(): UnixMillis = UnixMillis(System.currentTimeMillis())

/** Returns a word that names the failure in logs. */
internal fun StoreFailure.toLogValue(): String =
    when (this) {
        is StoreFailure.Conflict -> "conflict"
        is StoreFailure.Declined -> "declined_$status"
        StoreFailure.NoAnswer -> "no_answer"
    }
