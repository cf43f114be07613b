package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import gypsumcart.core.TeamName
import gypsumcart.core.WindowNumber
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
     * @property fullUsagePosition the position at which the report last came with the usage counts of all windows
     * @property usagePositions the position of the last change of the usage counts of each window
     */
    class Entry(
        val report: NodeReport,
        val source: NodeKey?,
        val heardAt: MonotonicTime,
        val linkedAt: MonotonicTime?,
        val position: TablePosition,
        val fullUsagePosition: TablePosition,
        val usagePositions: Map<WindowNumber, TablePosition>,
    ) {
        var aliveAt = heardAt
            private set

        val key: NodeKey get() = report.key

        /** Returns what a recipient that has received the changes up to [received] lacks of the report. */
        fun toItem(received: TablePosition, wantsAll: Boolean, now: MonotonicTime): PeerItem {
            if (wantsAll || fullUsagePosition > received) return PeerItem(report, now - heardAt, hasUsage = true)
            val changed = report.usage.filterKeys { window -> usagePositions[window]?.let { it > received } ?: true }
            return PeerItem(report.copy(usage = changed), now - heardAt, hasUsage = false)
        }

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

    /** The last heartbeats of removed entries, which the store may show again; the eldest yield. */
    private val removedHeartbeats =
        object : LinkedHashMap<NodeKey, Long>() {
            override fun removeEldestEntry(eldest: Map.Entry<NodeKey, Long>): Boolean = size > MAX_REMOVED
        }

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
    fun putOwn(report: NodeReport, now: MonotonicTime) {
        val isFull = report.heartbeat % FULL_USAGE_HEARTBEATS == 0L
        put(report, source = self, heardAt = now, linkedAt = now, isFull)
    }

    /**
     * Records a report that its node wrote to the store at [writtenAt], unless a later one is known; returns whether it
     * was recorded.
     */
    fun putStored(report: NodeReport, writtenAt: MonotonicTime): Boolean {
        if (report.key == self || !isNews(report)) return false
        val linkedAt = entries[report.key]?.linkedAt
        put(report, source = null, heardAt = writtenAt, linkedAt, hasAllUsage = true)
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
                report.copy(usage = latestWindows(known.usage + report.usage))
            }
        put(complete, source, now - item.age, now - item.age, item.hasUsage)
        return true
    }

    fun remove(key: NodeKey) {
        if (key == self) return
        val removed = entries.remove(key) ?: return
        entriesByPosition -= removed.position
        removedHeartbeats[key] = removed.report.heartbeat
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
        report.heartbeat > (entries[report.key]?.report?.heartbeat ?: removedHeartbeats[report.key] ?: Long.MIN_VALUE)

    private fun put(
        report: NodeReport,
        source: NodeKey?,
        heardAt: MonotonicTime,
        linkedAt: MonotonicTime?,
        hasAllUsage: Boolean,
    ) {
        position = TablePosition(position.number + 1)
        val previous = entries[report.key]
        previous?.let { entriesByPosition -= it.position }
        val fullUsagePosition = if (hasAllUsage) position else previous?.fullUsagePosition ?: TablePosition.START
        val usagePositions = report.usage.mapValues { (window, counts) -> changePosition(previous, window, counts) }
        // A relay of an earlier build drops what it does not know from the reports that it encodes anew.
        val keepsRecords = report.keepsStreamRecords || previous?.report?.keepsStreamRecords ?: false
        val complete = report.copy(keepsStreamRecords = keepsRecords)
        val entry = Entry(complete, source, heardAt, linkedAt, position, fullUsagePosition, usagePositions)
        previous?.let { entry.confirm(it.aliveAt) }
        entries[report.key] = entry
        entriesByPosition[position] = entry
        latestIncarnations.merge(report.node, report.incarnation, ::maxOf)
    }

    private fun changePosition(previous: Entry?, window: WindowNumber, counts: Map<TeamName, Int>): TablePosition =
        previous?.usagePositions?.get(window)?.takeIf { previous.report.usage[window] == counts } ?: position

    private companion object {
        /** Every so many reports all windows go along, for a recipient that missed a change: every four seconds. */
        const val FULL_USAGE_HEARTBEATS = 8

        /** More than the processes that end while a copy of the store grows old. */
        const val MAX_REMOVED = 4_096

        /** More windows than a node counts; what others keep of earlier ones is dropped. */
        const val KEPT_WINDOWS = 8

        fun latestWindows(usage: Map<WindowNumber, Map<TeamName, Int>>): Map<WindowNumber, Map<TeamName, Int>> {
            if (usage.size <= KEPT_WINDOWS) return usage
            val latest =
                usage.keys
                    .sortedByDescending { it.number }
                    .take(KEPT_WINDOWS)
                    .toSet()
            return usage.filterKeys { it in latest }
        }
    }
}
