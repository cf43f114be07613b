package gypsumcart.node

import gypsumcart.core.BackEndVersion
import gypsumcart.core.ServiceName
import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.key
import gypsumcart.core.replicas.AutoscalerEvent
import gypsumcart.core.rollout.RolloutEvent
import gypsumcart.core.streams.StreamEvent
import gypsumcart.core.usage.UsageEvent
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Passes the rows of [Tables.FLEET] on to the duties that process them. */
internal class FleetListener(
    private val rings: Rings,
    private val onStoreRestored: () -> Unit = {},
    private val storeClock: () -> StoreClock?,
) : TableListener {
    override fun onRestored() {
        rings.lease.put(LeaseEvent.StoreRestored(wallTime()))
        rings.usage.put(UsageEvent.StoreRestored)
        rings.membership.put(MembershipEvent.StoreRestored)
        rings.streams.put(StreamEvent.StoreRestored)
        rings.orders.put(AutoscalerEvent.StoreRestored)
        onStoreRestored()
    }

    override fun onSnapshot(rows: List<Row>) {
        if (rows.none { it.key == LEASE_KEY }) rings.lease.put(LeaseEvent.RowObserved(null, wallTime()))
        onChanged(rows, emptyList())
        rings.streams.put(StreamEvent.VersionsRead(rows.versions(), isComplete = true))
    }

    private fun List<Row>.versions(): Map<ServiceName, Set<BackEndVersion?>> =
        filter { it.key.isVersions }.mapNotNull { it.toVersionsOrNull() ?: it.logUnreadable() }.toMap()

    override fun onChanged(written: List<Row>, removed: List<RowKey>) {
        val reportRows = written.filter { it.key.isNodeReport }
        val reports = reportRows.mapNotNull { row -> row.toReportOrNull() ?: row.logUnreadable() }
        val ages = agesOf(reports)
        rings.membership.put(
            MembershipEvent.ReportsReceived(
                reports.map { it.report },
                removed.mapNotNull { it.toNodeKeyOrNull() },
                ages,
                heardBy(reports, ages),
            ),
        )
        written.filterNot { it.key.isNodeReport }.forEach(::forward)
        val versions = written.versions()
        if (versions.isNotEmpty()) rings.streams.put(StreamEvent.VersionsRead(versions, isComplete = false))
        confirmRollouts()
    }

    /** Ages count from the response that the rows came with, whose reading of the store's clock is the latest. */
    private fun agesOf(reports: List<StoredReport>): Map<NodeKey, Duration> {
        val now = storeClock()?.millis ?: return emptyMap()
        return reports
            .mapNotNull { stored -> stored.writtenMillis?.let { stored.report.key to (now - it).milliseconds } }
            .associate { (key, age) -> key to age.coerceAtLeast(Duration.ZERO) }
    }

    /** Returns the time since each node was last heard by the writer of any of [reports] whose age is known. */
    private fun heardBy(reports: List<StoredReport>, ages: Map<NodeKey, Duration>): Map<NodeKey, Duration> {
        val heard = HashMap<NodeKey, Duration>()
        for (stored in reports) {
            val age = ages[stored.report.key] ?: continue
            stored.heard.forEach { (key, heardAge) -> heard.merge(key, heardAge + age, ::minOf) }
        }
        return heard
    }

    override fun onUnchanged() {
        rings.membership.put(MembershipEvent.StoreAnswered)
        confirmRollouts()
    }

    /** All rows that had changed before the store answered have been passed on. */
    private fun confirmRollouts() {
        rings.rollout?.offer(RolloutEvent.RowsConfirmed)
    }

    private fun forward(row: Row) {
        if (row.key.isRollout) forwardRollout(row)
        when (row.key) {
            LEASE_KEY -> rings.lease.put(LeaseEvent.RowObserved(row.toLeaseOrNull(), wallTime()))
            INITIAL_COUNTS_KEY ->
                row.toInitialCountsOrNull()?.let { rings.orders.put(AutoscalerEvent.InitialCountsRead(it)) }
        }
    }

    private fun forwardRollout(row: Row) {
        val ring = rings.rollout ?: return
        val rollout = row.toRolloutRowOrNull(storeClock()?.millis)
        if (rollout == null) row.logUnreadable() else ring.put(RolloutEvent.RowRead(rollout))
    }

    private fun Row.logUnreadable(): Nothing? {
        log.warn("event=row_unreadable table={} key={} version={}", Tables.FLEET, key, version)
        return null
    }

    private companion object {
        private val log = LoggerFactory.getLogger(FleetListener::class.java)
    }
}
