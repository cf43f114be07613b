package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ZoneName
import java.util.TreeMap
import kotlin.time.Duration

/**
 * Holds the latest report of each node, including this one, ordered by their last changes.
 *
 * Recording a report costs no more than a logarithm of the number of nodes.
 */
internal class PeerTable(private val self: NodeKey) {
    /**
     * @property source the node from which the report was received over the link, or null if it came from the store
     * @property heardAt when the node sent the report, on this process's clock
     * @property linkedAt when the node sent the last report that came over the link, or null if none did
     * @property aliveAt when the node was last known to run, by this report or by what others have heard of it
     * @property usagePosition the position of the last change of the usage counts
     */
    class Entry(
        val report: NodeReport,
        val source: NodeKey?,
        val heardAt: MonotonicTime,
        val linkedAt: MonotonicTime?,
        val position: TablePosition,
        val usagePosition: TablePosition,
    ) {
        var aliveAt = heardAt
            private set

        val key: NodeKey get() = report.key

        /** Records that the node ran at [time]. */
        fun confirm(time: MonotonicTime) {
            aliveAt = maxOf(aliveAt, time)
        }

        /** Returns whether the node sent a report over the link in the time of [span] before [now]. */
        fun isHeardWithin(span: Duration, now: MonotonicTime): Boolean = linkedAt?.let { now - it <= span } ?: false
    }

    private val entries = HashMap<NodeKey, Entry>()
    private val entriesByPosition = TreeMap<TablePosition, Entry>()
    private val latestIncarnations = hashMapOf(self.node to self.incarnation)

    /** The position of the last change. */
    var position = TablePosition.START
        private set

    /** The entries of the other nodes, of all known incarnations. */
    val peers: Sequence<Entry> get() = entries.values.asSequence().filter { it.key != self }

    operator fun contains(key: NodeKey): Boolean = key in entries

    operator fun get(key: NodeKey): Entry? = entries[key]

    /** Returns whether no later incarnation of the node is known. */
    fun isLatest(key: NodeKey): Boolean = latestIncarnations[key.node] == key.incarnation

    /** Records this node's own report. */
    fun putOwn(report: NodeReport, now: MonotonicTime, usageChanged: Boolean) {
        put(report, source = self, heardAt = now, linkedAt = now, usageChanged)
    }

    /**
     * Records a report that its node wrote to the store at [writtenAt], unless a later one is known; returns whether it
     * was recorded.
     */
    fun putStored(report: NodeReport, writtenAt: MonotonicTime): Boolean {
        if (report.key == self || !isNews(report)) return false
        val linkedAt = entries[report.key]?.linkedAt
        put(report, source = null, heardAt = writtenAt, linkedAt, usageChanged = true)
        return true
    }

    /**
     * Records a report that [source] sent over the link; returns whether it was recorded.
     *
     * A report of an incarnation before the latest one is ignored, because its process has ended.
     */
    fun putLinked(item: PeerItem, source: NodeKey, now: MonotonicTime): Boolean {
        val report = item.report
        if (report.node == self.node || isSuperseded(report) || !isNews(report)) return false
        val known = entries[report.key]?.report
        val complete =
            if (item.hasUsage || known == null) {
                report
            } else {
                report.copy(usage = known.usage, usageUntil = known.usageUntil)
            }
        put(complete, source, now - item.age, now - item.age, item.hasUsage)
        return true
    }

    fun remove(key: NodeKey) {
        if (key == self) return
        entries.remove(key)?.let { entriesByPosition -= it.position }
    }

    /** Returns the time since each node of [zone] sent a report over the link, if it did in the time of [span]. */
    fun heardWithin(span: Duration, zone: ZoneName, now: MonotonicTime): Map<NodeKey, Duration> =
        peers
            .filter { it.report.zone == zone && it.isHeardWithin(span, now) }
            .mapNotNull { entry -> entry.linkedAt?.let { entry.key to now - it } }
            .toMap()

    /** Returns the entries that changed after [position], in the order of their changes. */
    fun changedAfter(position: TablePosition): Collection<Entry> = entriesByPosition.tailMap(position, false).values

    private fun isSuperseded(report: NodeReport): Boolean =
        latestIncarnations[report.node]?.let { report.incarnation < it } ?: false

    private fun isNews(report: NodeReport): Boolean =
        entries[report.key]?.let { report.heartbeat > it.report.heartbeat } ?: true

    private fun put(
        report: NodeReport,
        source: NodeKey?,
        heardAt: MonotonicTime,
        linkedAt: MonotonicTime?,
        usageChanged: Boolean,
    ) {
        position = TablePosition(position.number + 1)
        val previous = entries[report.key]
        previous?.let { entriesByPosition -= it.position }
        val usagePosition = if (usageChanged || previous == null) position else previous.usagePosition
        val entry = Entry(report, source, heardAt, linkedAt, position, usagePosition)
        previous?.let { entry.confirm(it.aliveAt) }
        entries[report.key] = entry
        entriesByPosition[position] = entry
        latestIncarnations.merge(report.node, report.incarnation, ::maxOf)
    }
}
