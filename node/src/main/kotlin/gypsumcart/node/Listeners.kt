package gypsumcart.node

import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.pipeline.Inlet
import org.slf4j.LoggerFactory

/** Hands the reports of nodes to the membership duty. */
internal class NodesListener(private val ring: Inlet<MembershipEvent>) : TableListener {
    override fun read(rows: List<Row>): Unit = changed(rows, emptyList())

    override fun changed(written: List<Row>, removed: List<RowKey>) {
        val reports = written.mapNotNull { row -> row.toReportOrNull().also { if (it == null) logUnreadable(row) } }
        ring.put(MembershipEvent.Reported(reports, removed.mapNotNull { it.toNodeKeyOrNull() }))
    }

    override fun answered(): Unit = ring.put(MembershipEvent.StoreAnswered)

    private fun logUnreadable(row: Row) {
        log.warn("event=row_unreadable table={} key={} version={}", Tables.NODES, row.key, row.version)
    }

    private companion object {
        private val log = LoggerFactory.getLogger(NodesListener::class.java)
    }
}

/** Hands the lease to its duty. */
internal class LeaseListener(private val ring: Inlet<LeaseEvent>) : TableListener {
    override fun read(rows: List<Row>) {
        ring.put(LeaseEvent.Seen(rows.firstOrNull { it.key == LEASE_KEY }?.toLeaseOrNull(), wall()))
    }

    override fun changed(written: List<Row>, removed: List<RowKey>) {
        written.filter { it.key == LEASE_KEY }.forEach { ring.put(LeaseEvent.Seen(it.toLeaseOrNull(), wall())) }
    }
}
