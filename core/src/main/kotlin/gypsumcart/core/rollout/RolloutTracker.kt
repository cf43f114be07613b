package gypsumcart.core.rollout

import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.FencingToken
import gypsumcart.core.MonotonicTime
import gypsumcart.core.OrderNumber
import gypsumcart.core.RolloutLimits
import gypsumcart.core.ServiceName
import gypsumcart.core.membership.NodeKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Holds what one node knows of the roll-outs of [service], and derives its rule and its report from it. */
internal class RolloutTracker(
    private val service: ServiceName,
    private val self: NodeKey,
    private val limits: RolloutLimits,
) {
    private val orders = OrderHistory()

    /** The latest order, or null if only a row of one is known. */
    val order: RolloutOrder? get() = orders.latest

    /** The newest row. */
    var row: RolloutRow? = null
        private set

    /** What is known of the row that the store holds. */
    val stored = StoredRow()

    /** The evidence on the version that the newest order or row names. */
    var evidence = VersionEvidence()
        private set

    /** Whether the ordered version was the only one when the order was first seen, and so is in force already. */
    var isInForce = false
        private set

    /** Whether this node no longer uses the new version. */
    var condemned = false
        private set

    private var evidenceOrder: OrderNumber? = null
    private val startTimes = HashMap<OrderNumber, MonotonicTime>()
    private var confirmedAt: MonotonicTime? = null
    private var sealed = false
    private var use: VersionUse? = null
    private var longestCall = Duration.ZERO
    private val heartbeats = HashMap<NodeKey, Long>()
    private val reports = HashMap<NodeKey, RolloutReport>()
    private var live: Set<NodeKey> = emptySet()
    private var backEnds: List<BackEnd> = emptyList()
    private val warmAt = HashMap<BackEnd, MonotonicTime>()
    private var absentSince: MonotonicTime? = null

    /** Whether the versions that the row's roll-out gave up have left, so that no rule is needed any more. */
    private var isForgotten = false

    private val currentOrder: OrderNumber? get() = listOfNotNull(order?.number, row?.order).maxOrNull()

    /** Whether the newest order has no row yet. */
    val isPending: Boolean get() = order?.let { it.number > (row?.order ?: NO_ORDER) } ?: false

    /** Whether a roll-out is waiting or has not ended, so that calls are to be observed. */
    val isRunning: Boolean get() = isPending && !isInForce || row?.stage?.isFinal == false

    fun observe(order: RolloutOrder, now: MonotonicTime) {
        if (orders.receive(order, row, now)) takeUp(order, now)
    }

    /** Takes up an order that was withheld, if it is due. */
    fun release(now: MonotonicTime) {
        if (orders.release(now)) order?.let { takeUp(it, now) }
    }

    private fun takeUp(order: RolloutOrder, now: MonotonicTime) {
        startTimes.merge(order.number, now, ::minOf)
        isInForce = isAlone(order.target)
        restartEvidence()
    }

    private fun isAlone(version: BackEndVersion): Boolean =
        backEnds.isNotEmpty() && backEnds.all { it.version == version }

    /**
     * Adopts [row] if it is the newest; returns whether it is.
     *
     * @param readAt when the row came from the store or from the node that sent it
     * @param confirmedAt when it was last known to be the newest, or null if it never was
     */
    fun adopt(row: RolloutRow, readAt: MonotonicTime, confirmedAt: MonotonicTime?): Boolean {
        startTimes.merge(row.order, readAt - row.elapsed, ::minOf)
        stored.observe(row)
        val known = this.row
        if (known != null && (row.version == known.version || row.writtenAt <= known.writtenAt)) return false
        this.row = row
        orders.check(row, readAt)
        if (row.stage != known?.stage) isForgotten = false
        val hasOtherTarget = row.target != known?.target
        if (row.stage != RolloutStage.Committed || hasOtherTarget) sealed = false
        if (hasOtherTarget) absentSince = readAt.takeIf { newBackEnds.isEmpty() }
        this.confirmedAt = confirmedAt
        startTimes.keys.retainAll(setOfNotNull(row.order, order?.number))
        restartEvidence()
        forget()
        return true
    }

    /** Records that no row was newer at [time]. */
    fun confirm(time: MonotonicTime) {
        if (row != null) confirmedAt = maxOf(confirmedAt ?: time, time)
    }

    private fun restartEvidence() {
        if (evidenceOrder == judgedOrder) return
        evidenceOrder = judgedOrder
        evidence = VersionEvidence()
        condemned = false
        longestCall = Duration.ZERO
        reports.clear()
    }

    /** The order whose version is judged: that of a roll-out that runs, or the newest. */
    private val judgedOrder: OrderNumber?
        get() = row?.takeUnless { it.stage.isFinal }?.order ?: currentOrder

    fun list(all: List<BackEnd>, now: MonotonicTime) {
        val isFirst = backEnds.isEmpty()
        backEnds = all.filter { it.service == service }
        warmAt.keys.retainAll(backEnds.toSet())
        backEnds.forEach { warmAt.putIfAbsent(it, now + it.warmsUpIn) }
        if (isFirst && row == null) order?.let { isInForce = isAlone(it.target) }
        absentSince = if (newBackEnds.isEmpty()) absentSince ?: now else null
        forget()
    }

    private val target: BackEndVersion? get() = row?.takeUnless { it.stage.isFinal }?.target ?: order?.target

    private val newBackEnds: List<BackEnd> get() = backEnds.filter { it.version == target && !it.draining }

    private fun forget() {
        val last = row ?: return
        val given =
            when (last.stage) {
                RolloutStage.Complete -> backEnds.filter { it.version != last.target }
                // Back ends of a version that was given up may still come, or come back, after their entries were gone.
                else -> return
            }
        if (backEnds.isNotEmpty() && given.isEmpty()) isForgotten = true
    }

    fun observe(call: ObservedCall, now: MonotonicTime): Unit = evidence.observe(call, now)

    fun recordOldCall(elapsed: Duration) {
        longestCall = maxOf(longestCall, elapsed)
    }

    /**
     * Records what routing did; the old version is sealed once all calls to it have ended and none can follow.
     *
     * @param isCurrent whether routing still goes by the same rules
     */
    fun record(used: VersionUse, isCurrent: Boolean) {
        use = used
        val committed = row?.takeIf { it.stage == RolloutStage.Committed } ?: return
        val isNew = used.rule.mode == VersionMode.New && used.rule.order == committed.order
        if (isCurrent && isNew && used.oldCalls == 0) sealed = true
    }

    /** Adds the report of another node; returns the row that it shows if that is newer. */
    fun merge(node: NodeRollouts): RolloutRow? {
        val report = node.reports.firstOrNull { it.service == service } ?: return null
        val isNews = heartbeats.put(node.key, node.heartbeat)?.let { it < node.heartbeat } ?: true
        if (!isNews) return null
        val rowConfirmedAt = report.confirmedAge?.let { node.heardAt - it }
        val newer = report.row?.takeIf { adopt(it, node.heardAt, rowConfirmedAt) }
        if (rowConfirmedAt != null && row.isSameAs(report.row)) confirm(rowConfirmedAt)
        if (report.order != evidenceOrder) return newer
        reports[node.key] = report
        evidence.merge(node.key, report.routes)
        if (report.condemned) condemned = true
        return newer
    }

    /** Keeps the nodes that run apart from those that are silent, and drops those that have started anew. */
    fun updateNodes(nodes: List<NodeRollouts>, live: Set<NodeKey>) {
        this.live = live
        val latest =
            nodes
                .map { it.key }
                .plus(live)
                .groupBy { it.node }
                .mapValues { (_, keys) -> keys.max() }
        reports.keys.removeIf { it != self && latest[it.node] != it }
        heartbeats.keys.removeIf { latest[it.node] != it }
    }

    /** Judges the evidence; returns whether the version was condemned just now. */
    fun judge(): Boolean {
        evidence.merge(self, evidence.ownEvidence)
        evidence.fade()
        if (condemned || !isRunning || !evidence.condemns) return false
        condemned = true
        return true
    }

    /** Returns the rule by which routing divides requests now, or null if there is nothing to divide. */
    fun ruleOrNull(now: MonotonicTime): VersionRule? {
        val last = row
        val pending = order?.takeIf { isPending && !isInForce && last?.uses(it.target) != true }
        val awaited = pending?.target?.takeIf { last != null }
        val barred = last?.givenUp.orEmpty() + setOfNotNull(awaited)
        return when {
            last != null && !isForgotten ->
                VersionRule(
                    service,
                    last.order,
                    last.target,
                    modeOf(last, now),
                    barred,
                    last.stage.isFinal,
                )
            pending != null -> VersionRule(service, pending.number, pending.target, VersionMode.Old)
            else -> null
        }
    }

    private fun modeOf(last: RolloutRow, now: MonotonicTime): VersionMode =
        when (val stage = last.stage) {
            RolloutStage.Prepared, is RolloutStage.RolledBack -> VersionMode.Old
            RolloutStage.Complete -> VersionMode.New
            is RolloutStage.Watched ->
                if (condemned || isStale(now)) {
                    VersionMode.Old
                } else {
                    VersionMode.Divided(stage.share, limits.exposedShare * USED_SHARE, limits.exposedExtra)
                }
            // What was sealed stays so until a row rolls back: the holder may be completing the roll-out.
            RolloutStage.Committed -> if (!sealed && (condemned || isStale(now))) VersionMode.Old else VersionMode.New
        }

    private fun isStale(now: MonotonicTime): Boolean = confirmedAt?.let { now - it > MAX_VIEW_AGE } ?: true

    /** Returns the time since the order with the given number. */
    fun elapsed(number: OrderNumber, now: MonotonicTime): Duration = now - (startTimes[number] ?: now)

    /** Returns what the other nodes should know, or null if there is nothing. */
    fun reportOrNull(now: MonotonicTime): RolloutReport? {
        val number = evidenceOrder ?: return null
        if (!isRunning && isForgotten) return null
        return RolloutReport(
            service = service,
            order = number,
            row = row?.let { it.copy(elapsed = elapsed(it.order, now)) },
            confirmedAge = confirmedAt?.let { now - it },
            condemned = condemned,
            sealed = sealed,
            requests = use?.requests ?: 0,
            exposed = use?.exposed ?: 0,
            longestCall = longestCall,
            routes = if (isRunning) evidence.ownEvidence else emptyList(),
        ).also { reports[self] = it }
    }

    /** Returns what the plan for [running] needs to know. */
    fun facts(running: RolloutRow, now: MonotonicTime): RolloutFacts {
        val (heard, silent) = reports.entries.partition { it.key in live }
        val unknownLive = live.count { it !in reports }
        return RolloutFacts(
            duration = running.duration,
            elapsed = elapsed(running.order, now),
            newBackEnds = newBackEnds.count { (warmAt[it] ?: now) <= now },
            oldBackEnds = backEnds.count { it.version != target && !it.draining },
            absentFor = absentSince?.let { now - it } ?: Duration.ZERO,
            longestCall = reports.values.maxOfOrNull { it.longestCall } ?: Duration.ZERO,
            condemned = condemned,
            acquitted = evidence.acquits,
            favoured = evidence.favours,
            unsealedLive = heard.count { !it.value.sealed } + unknownLive,
            unsealedSilent = silent.count { !it.value.sealed },
        )
    }

    /** Returns the evidence of all nodes, for logs. */
    fun summary(): EvidenceSummary {
        val routes = reports.values.flatMap { it.routes }
        return EvidenceSummary(
            old = routes.fold(ResponseCounts()) { sum, route -> sum + route.old },
            new = routes.fold(ResponseCounts()) { sum, route -> sum + route.new },
            suspicion = evidence.suspicion,
            requests = reports.values.sumOf { it.requests },
            exposed = reports.values.sumOf { it.exposed },
            unsealed = live.count { reports[it]?.sealed != true },
        )
    }

    /** Returns the row with which the holder takes up the newest order, or null if it has been taken up. */
    fun firstRowOrNull(services: Set<ServiceName>, token: FencingToken): RolloutRow? {
        val ordered = order?.takeIf { isPending } ?: return null
        val listed = backEnds.mapNotNullTo(HashSet()) { it.version }
        return RolloutSuccession(ordered, row, isInForce, listed).firstRowOrNull(services, token)
    }

    private companion object {
        val NO_ORDER = OrderNumber(Long.MIN_VALUE)

        /** Longer than a row takes to all nodes over the peer link, and shorter than a change of the holder. */
        val MAX_VIEW_AGE: Duration = 3.5.seconds

        /** The part of the exposed share that is used before the verdict; the rest is for retries of clients. */
        const val USED_SHARE = 0.9
    }
}
