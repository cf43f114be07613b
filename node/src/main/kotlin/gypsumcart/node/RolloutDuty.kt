package gypsumcart.node

import com.github.michaelbull.result.fold
import gypsumcart.core.AttemptNumber
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RolloutLimits
import gypsumcart.core.ServiceName
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.rollout.CallSign
import gypsumcart.core.rollout.EvidenceSummary
import gypsumcart.core.rollout.ObservedCall
import gypsumcart.core.rollout.ResponseCounts
import gypsumcart.core.rollout.Rollout
import gypsumcart.core.rollout.RolloutEffect
import gypsumcart.core.rollout.RolloutEvent
import gypsumcart.core.rollout.RolloutRow
import gypsumcart.core.rollout.RolloutStage
import gypsumcart.core.rollout.RolloutWriteResult
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.routing.key
import gypsumcart.pipeline.Duty
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.Ring
import gypsumcart.pipeline.deciderDuty
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.time.Duration

/** Runs the decider of roll-outs, and observes the calls to the back ends of services that are rolled out. */
internal class RolloutDuty(
    private val ring: Ring<RolloutEvent>,
    private val rings: Rings,
    private val state: NodeState,
    private val metrics: Metrics,
    private val platform: Platform,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    self: NodeKey,
    limits: RolloutLimits,
) {
    private val rows: RowStore get() = platform.rowStore

    val duty: Duty = deciderDuty(ring, Rollout(self, limits), clock, ::execute)

    /** Records that the first piece of a stream arrived. */
    fun observeFirstPiece(call: DispatchEffect.Call, at: MonotonicTime) {
        if (call.attempt == AttemptNumber.FIRST) observe(call, CallSign.Answered(at - call.arrivedAt))
    }

    /** Records the end of a call; [started] says whether a part of a stream had been forwarded. */
    fun observeEnd(call: DispatchEffect.Call, result: CallResult, started: Boolean) {
        val target = state.rolledOutVersions[call.admitted.service] ?: return
        val elapsed = clock.now() - call.arrivedAt
        signOrNull(call, result, started, elapsed)?.let { observe(call, it) }
        if (result is CallResult.Answered && call.backEnd.version != target) {
            ring.offer(RolloutEvent.OldCallEnded(call.admitted.service, elapsed))
        }
    }

    private val DispatchEffect.Call.arrivedAt: MonotonicTime get() = admitted.submission.arrivedAt

    private fun signOrNull(
        call: DispatchEffect.Call,
        result: CallResult,
        started: Boolean,
        elapsed: Duration,
    ): CallSign? {
        val isFirst = call.attempt == AttemptNumber.FIRST
        return when (result) {
            is CallResult.Answered ->
                when {
                    result.status >= FIRST_SERVER_ERROR -> CallSign.Failed
                    isFirst && call.admitted.route.kind !is CallKind.Streamed -> CallSign.Answered(elapsed)
                    else -> null
                }

            is CallResult.Failed -> signOrNull(result.failure)

            CallResult.ClientGone -> if (isFirst && !started) CallSign.Abandoned(elapsed) else null
        }
    }

    private fun signOrNull(failure: CallFailure): CallSign? =
        when (failure) {
            CallFailure.InvalidResponse, is CallFailure.ServerError, is CallFailure.NotResumed -> CallSign.Failed
            is CallFailure.UnattributedRefusal -> CallSign.Failed
            CallFailure.Truncated, CallFailure.TimedOut -> CallSign.Lost
            CallFailure.NoPath, CallFailure.CutOff -> null
            CallFailure.ConnectFailed, is CallFailure.Declined, CallFailure.WrongInstance -> null
            CallFailure.Withheld, CallFailure.Aborted -> null
        }

    /** A sign that finds the ring full is lost, as there are many more then. */
    private fun observe(call: DispatchEffect.Call, sign: CallSign) {
        val admitted = call.admitted
        val target = state.rolledOutVersions[admitted.service] ?: return
        val isNew = call.backEnd.version == target
        val route = admitted.route
        val observed = ObservedCall(route.key, route.targetLatency, call.backEnd.key, isNew, sign)
        ring.offer(RolloutEvent.CallObserved(admitted.service, observed))
    }

    private fun execute(effect: RolloutEffect) {
        when (effect) {
            is RolloutEffect.Rule -> {
                state.rolledOutVersions =
                    effect.rules.filterNot { it.isSettled }.associate { it.service to it.target }
                rings.routing.put(RoutingEvent.VersionsRuled(effect.rules, effect.revision))
            }

            is RolloutEffect.Share ->
                rings.membership.offer(MembershipEvent.RolloutsUpdated(effect.reports, effect.isUrgent))

            is RolloutEffect.Write ->
                scope.launch { ring.put(RolloutEvent.WriteEnded(effect.row, write(effect))) }

            is RolloutEffect.Read -> scope.launch { ring.put(read(effect.service)) }

            is RolloutEffect.StageChanged -> recordStage(effect.row, effect.evidence)

            is RolloutEffect.Condemned ->
                log.warn(
                    "event=rollout_condemned service={} to={} order={} {}",
                    effect.order.service,
                    effect.order.target,
                    effect.order.number,
                    effect.evidence.toLogText(),
                )
        }
    }

    private fun recordStage(row: RolloutRow, evidence: EvidenceSummary) {
        metrics.countStage(row.stage.logName)
        log.info(
            "event=rollout_stage service={} to={} order={} stage={} share={} cause={} row={} fence={} elapsed_ms={} {}",
            row.service,
            row.target,
            row.order,
            row.stage.logName,
            (row.stage as? RolloutStage.Watched)?.share,
            (row.stage as? RolloutStage.RolledBack)?.cause?.name?.lowercase(),
            row.version,
            row.token,
            row.elapsed.inWholeMilliseconds,
            evidence.toLogText(),
        )
    }

    private suspend fun write(effect: RolloutEffect.Write): RolloutWriteResult {
        val row = effect.row
        val stored = TableRow(Tables.FLEET, row.service.toRolloutKey(), row.encode(storeMillis()))
        return rows.putTogether(listOf(stored, platform.statusRow(row)), RowVersion(effect.expectedVersion)).fold(
            { RolloutWriteResult.Written(it.number) },
            { failure ->
                metrics.countFailedWrite("rollout")
                log.info("event=rollout_unwritten service={} cause={}", row.service, failure.toLogValue())
                when (failure) {
                    is StoreFailure.Conflict ->
                        RolloutWriteResult.Outdated(failure.current?.toRolloutRowOrNull(storeMillis()))
                    is StoreFailure.Declined, StoreFailure.EarlierEra, StoreFailure.NoAnswer ->
                        RolloutWriteResult.Unknown
                }
            },
        )
    }

    private suspend fun read(service: ServiceName): RolloutEvent =
        rows.get(Tables.FLEET, service.toRolloutKey()).fold(
            { RolloutEvent.ReadEnded(service, it?.toRolloutRowOrNull(storeMillis())) },
            { RolloutEvent.ReadEnded(service, null) },
        )

    /** Returns what the store's clock shows now; nodes that know an order have had a response of the store. */
    private fun storeMillis(): Long =
        rows.clockOrNull()?.let { it.millis + (clock.now() - it.at).inWholeMilliseconds } ?: 0

    private fun EvidenceSummary.toLogText(): String =
        "old=${old.toLogText()} new=${new.toLogText()} suspicion=${"%.1f".format(java.util.Locale.ROOT, suspicion)} " +
            "requests=$requests exposed=$exposed unsealed=$unsealed"

    private fun ResponseCounts.toLogText(): String = "$good/$failed/$slow"

    private companion object {
        private val log = LoggerFactory.getLogger(RolloutDuty::class.java)
        const val FIRST_SERVER_ERROR = 500
    }
}
