package gypsumcart.core.rollout

import gypsumcart.core.Decider
import gypsumcart.core.FencingToken
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RolloutLimits
import gypsumcart.core.ServiceName
import gypsumcart.core.leases.era
import gypsumcart.core.membership.NodeKey

/**
 * Moves the requests of services to new versions, and back if these turn out to be bad.
 *
 * Every node derives its own rules from the newest row that it knows and from the evidence of all nodes, and stops
 * using a version without waiting for anyone. Only the holder of the lease writes rows, each under the condition that
 * it replaces the one that the decision was made on.
 */
public class Rollout(
    private val self: NodeKey,
    private val limits: RolloutLimits,
) : Decider<RolloutEvent, RolloutEffect> {
    /** Holds what other nodes act upon. */
    private data class News(val rowVersion: Long?, val condemned: Boolean, val sealed: Boolean)

    private val plan = RolloutPlan(limits)
    private val trackers = LinkedHashMap<ServiceName, RolloutTracker>()
    private var services: Set<ServiceName> = emptySet()
    private var backEnds = RolloutEvent.BackEndsListed(emptyList())
    private var holding = RolloutEvent.HoldingChanged(null)

    /** The services whose row is being written or read. */
    private val busy = HashSet<ServiceName>()

    private var sharedNews: List<News> = emptyList()
    private var revision = 0L
    private var rules: List<VersionRule> = emptyList()

    override fun decide(event: RolloutEvent, now: MonotonicTime): List<RolloutEffect> {
        val effects = handle(event, now)
        // Calls are frequent and change neither rules nor reports by themselves.
        if (event is RolloutEvent.CallObserved || event is RolloutEvent.OldCallEnded) return effects
        return effects + ruleChanges(now) + share(event == RolloutEvent.Tick, now)
    }

    private fun handle(event: RolloutEvent, now: MonotonicTime): List<RolloutEffect> =
        when (event) {
            is RolloutEvent.Ordered -> noEffects { trackerOf(event.order.service, now).observe(event.order, now) }
            is RolloutEvent.ServicesConfigured -> noEffects { services = event.services }
            is RolloutEvent.BackEndsListed ->
                noEffects {
                    backEnds = event
                    trackers.values.forEach { it.list(event.backEnds, now) }
                }
            is RolloutEvent.RowRead -> adopt(event.row, now)
            is RolloutEvent.ReadEnded -> {
                busy -= event.service
                event.row?.let { adopt(it, now) }.orEmpty()
            }
            RolloutEvent.RowsConfirmed -> noEffects { trackers.values.forEach { it.confirm(now) } }
            is RolloutEvent.WriteEnded -> endWrite(event, now)
            is RolloutEvent.HoldingChanged -> noEffects { holding = event }
            is RolloutEvent.ReportsReceived -> merge(event, now)
            is RolloutEvent.VersionsUsed ->
                noEffects {
                    event.uses.forEach {
                        trackers[it.rule.service]?.record(
                            it,
                            isCurrent =
                                it.revision == revision,
                        )
                    }
                }
            is RolloutEvent.CallObserved -> noEffects { trackers[event.service]?.observe(event.call, now) }
            is RolloutEvent.OldCallEnded -> noEffects { trackers[event.service]?.recordOldCall(event.elapsed) }
            RolloutEvent.Tick -> {
                trackers.values.forEach { it.release(now) }
                judge() + advance(now)
            }
        }

    private inline fun noEffects(change: () -> Unit): List<RolloutEffect> {
        change()
        return emptyList()
    }

    private fun trackerOf(service: ServiceName, now: MonotonicTime): RolloutTracker =
        trackers.getOrPut(service) { RolloutTracker(service, self, limits).also { it.list(backEnds.backEnds, now) } }

    private fun adopt(row: RolloutRow, now: MonotonicTime): List<RolloutEffect> {
        val tracker = trackerOf(row.service, now)
        val isNewer = tracker.adopt(row, readAt = now, confirmedAt = now)
        if (tracker.row.isSameAs(row)) tracker.confirm(now)
        return if (isNewer) listOf(RolloutEffect.StageChanged(row, tracker.summary())) else emptyList()
    }

    private fun endWrite(event: RolloutEvent.WriteEnded, now: MonotonicTime): List<RolloutEffect> {
        val service = event.row.service
        busy -= service
        return when (val result = event.result) {
            is RolloutWriteResult.Written -> adopt(event.row.copy(version = result.version), now)
            is RolloutWriteResult.Outdated -> {
                if (result.current == null) trackers[service]?.stored?.recordAbsence()
                result.current?.let { adopt(it, now) }.orEmpty()
            }
            RolloutWriteResult.Unknown -> listOf(read(service))
        }
    }

    private fun read(service: ServiceName): RolloutEffect {
        busy += service
        return RolloutEffect.Read(service)
    }

    private fun merge(event: RolloutEvent.ReportsReceived, now: MonotonicTime): List<RolloutEffect> {
        val named = event.reports.flatMap { node -> node.reports.map { it.service } }.distinct()
        named.forEach { trackerOf(it, now) }
        return trackers.values.flatMap { tracker ->
            tracker.updateNodes(event.reports, event.live)
            event.reports.mapNotNull(tracker::merge).map { RolloutEffect.StageChanged(it, tracker.summary()) }
        }
    }

    private fun judge(): List<RolloutEffect> =
        trackers.values.filter { it.judge() }.mapNotNull { tracker ->
            tracker.order?.let { RolloutEffect.Condemned(it, tracker.summary()) }
        }

    /** Moves roll-outs on, if this node holds the lease. */
    private fun advance(now: MonotonicTime): List<RolloutEffect> {
        val held = holding.token ?: return emptyList()
        return trackers.mapNotNull { (service, tracker) ->
            tracker.row?.let { if (it.token <= held) tracker.confirm(now) }
            if (service in busy) null else nextRowOrNull(tracker, held, now)?.let { write(tracker, it, now) }
        }
    }

    private fun nextRowOrNull(tracker: RolloutTracker, held: FencingToken, now: MonotonicTime): RolloutRow? {
        val row = tracker.row
        if (row != null && row.token > held || tracker.stored.isAfter(holding.acquiredIn)) return null
        return tracker.firstRowOrNull(services, held) ?: row?.let { nextRowOrNull(it, tracker, held, now) }
    }

    private fun nextRowOrNull(
        row: RolloutRow,
        tracker: RolloutTracker,
        held: FencingToken,
        now: MonotonicTime,
    ): RolloutRow? {
        // The store may have lost a row of an earlier era, and the operator reads there how the roll-out ended.
        if (row.stage.isFinal) return if (row.token.era < held.era) row.copy(token = held) else null
        val next = plan.nextStageOrNull(row.stage, tracker.facts(row, now))
        // A write of an earlier holder that arrives late finds another version of the row than it expects.
        return if (next != null || row.token < held) row.copy(stage = next ?: row.stage, token = held) else null
    }

    private fun write(tracker: RolloutTracker, row: RolloutRow, now: MonotonicTime): RolloutEffect {
        busy += row.service
        val expected = tracker.stored.expectedVersion(holding.acquiredIn)
        return RolloutEffect.Write(row.copy(elapsed = tracker.elapsed(row.order, now), version = 0), expected)
    }

    /** Shares what has changed at once, and everything with each tick. */
    private fun share(isDue: Boolean, now: MonotonicTime): List<RolloutEffect> {
        val reports = trackers.values.mapNotNull { it.reportOrNull(now) }
        val news = reports.map { News(it.row?.version, it.condemned, it.sealed) }
        val isUrgent = news != sharedNews
        if (!isUrgent && (!isDue || reports.isEmpty())) return emptyList()
        sharedNews = news
        return listOf(RolloutEffect.Share(reports, isUrgent))
    }

    private fun ruleChanges(now: MonotonicTime): List<RolloutEffect> {
        val current = trackers.values.mapNotNull { it.ruleOrNull(now) }
        if (current == rules) return emptyList()
        rules = current
        return listOf(RolloutEffect.Rule(current, ++revision))
    }
}
