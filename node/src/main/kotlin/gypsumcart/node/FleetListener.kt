package gypsumcart.node

import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.replicas.AutoscalerEvent
import org.slf4j.LoggerFactory

/** Passes the rows of [Tables.FLEET] on to the duties that process them. */
internal class FleetListener(private val rings: Rings) : TableListener {
    override fun onSnapshot(rows: List<Row>) {
        if (rows.none { it.key == LEASE_KEY }) rings.lease.put(LeaseEvent.RowObserved(null, wallTime()))
        onChanged(rows, emptyList())
    }

    override fun onChanged(written: List<Row>, removed: List<RowKey>) {
        val reportRows = written.filter { it.key.isNodeReport }
        val reports = reportRows.mapNotNull { row -> row.toReportOrNull() ?: row.logUnreadable() }
        rings.membership.put(MembershipEvent.ReportsReceived(reports, removed.mapNotNull { it.toNodeKeyOrNull() }))
        written.filterNot { it.key.isNodeReport }.forEach(::forward)
    }

    override fun onUnchanged(): Unit = rings.membership.put(MembershipEvent.StoreAnswered)

    private fun forward(row: Row) {
        when (row.key) {
            LEASE_KEY -> rings.lease.put(LeaseEvent.RowObserved(row.toLeaseOrNull(), wallTime()))
            INITIAL_COUNTS_KEY ->
                row.toInitialCountsOrNull()?.let { rings.orders.put(AutoscalerEvent.InitialCountsRead(it)) }
        }
    }

    private fun Row.logUnreadable(): Nothing? {
        log.warn("event=row_unreadable table={} key={} version={}", Tables.FLEET, key, version)
        return null
    }

    private companion object {
        private val log = LoggerFactory.getLogger(FleetListener::class.java)
    }
}
