package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which nodes count as running.
 *
 * A node is gone if nothing has been heard of it, by any path, for the heartbeat timeout, while this node would have
 * heard of it: over the link while any peer is in contact, from the store while it answers. Each path counts once it
 * has been in use for long enough that it has brought what there is to hear. While neither does, no report ages: a node
 * that is cut off, or was suspended, keeps the nodes that it knew.
 */
internal class Liveness(private val settings: MembershipSettings, private val table: PeerTable) {
    private val link = ContactPath()
    private val store = ContactPath()
    private var firstReadAt: MonotonicTime? = null
    private var steppedAt = MonotonicTime(0)

    /** The latest time up to which reports have aged. */
    private var agedUntil = MonotonicTime(0)
    private var live: Set<NodeKey> = emptySet()

    /** When the store last answered. */
    var storeAnsweredAt = MonotonicTime(0)
        private set

    /** When the store was first read, or null if it has not been. */
    val startedAt: MonotonicTime? get() = firstReadAt

    /** Whether the nodes that started together with this one are known by [now]. */
    fun othersAreKnown(now: MonotonicTime): Boolean = !hasStartedWithin(STARTUP_TIME, now)

    /** Returns whether the store was first read in the time of [span] before [now], or has not been read. */
    private fun hasStartedWithin(span: Duration, now: MonotonicTime): Boolean =
        firstReadAt?.let { now - it < span } ?: true

    /** Starts the contact anew if this process did not run for some time, in which it may have missed reports. */
    fun step(now: MonotonicTime) {
        if (now - steppedAt > MAX_STEP) {
            link.restart()
            store.restart()
        }
        steppedAt = now
    }

    /** Records that the store answered; [isRead] if it returned the reports. */
    fun recordStoreAnswer(isRead: Boolean, now: MonotonicTime) {
        storeAnsweredAt = now
        store.record(now)
        if (isRead && firstReadAt == null) firstReadAt = now
    }

    /** Records that a message of a peer arrived. */
    fun recordPeerContact(now: MonotonicTime): Unit = link.record(now)

    /** Returns the time as of which the ages of reports count. */
    fun asOf(now: MonotonicTime): MonotonicTime {
        if (settings.peerAddress == null) return storeAnsweredAt
        // Linked nodes write to the store seldom, and a node that starts knows nothing else of them.
        if (hasStartedWithin(FIRST_REPORTS_TIME, now)) return now - LINKED_PUBLISH_PERIOD
        agedUntil = maxOf(agedUntil, link.usableUntil(now) ?: agedUntil, store.usableUntil(now) ?: agedUntil)
        return agedUntil
    }

    /** Returns whether the process counts as running; one whose node has started again has ended. */
    fun isLive(entry: PeerTable.Entry, now: MonotonicTime): Boolean =
        entry.report.node != settings.node &&
            table.isLatest(entry.key) &&
            asOf(now) - entry.aliveAt <= settings.heartbeatTimeout

    fun livePeers(now: MonotonicTime): List<PeerTable.Entry> = table.peers.filter { isLive(it, now) }.toList()

    /** Returns the peers that may still run, although the link has brought no report of them lately. */
    fun silentPeers(now: MonotonicTime, silence: Duration): List<PeerTable.Entry> =
        livePeers(now).filter { it.report.peerAddress != null && !it.isHeardWithin(silence, now) }

    /** Returns the live peers with which messages can be exchanged. */
    fun liveTargets(now: MonotonicTime): List<PeerTarget> = livePeers(now).mapNotNull { it.report.target }

    /** Returns the nodes that no longer count as running and may still be reached. */
    fun lostTargets(now: MonotonicTime): List<PeerTarget> =
        table.peers
            .filter { table.isLatest(it.key) && !isLive(it, now) && it.report.node != settings.node }
            .mapNotNull { it.report.target }
            .toList()

    /** Returns the keys of the reports that are to be removed; none while the store is away, which may show more. */
    fun expired(): List<NodeKey> =
        table.peers
            .filter { storeAnsweredAt - it.heardAt > settings.heartbeatTimeout * REMOVAL_TIMEOUTS }
            .map { it.key }
            .toList()

    /** Reports each peer that counted as running at the last call and no longer does, unless it has started again. */
    fun reportLosses(linked: Boolean, now: MonotonicTime): List<MembershipEffect> {
        val previous = live
        live = livePeers(now).mapTo(HashSet()) { it.key }
        return previous.filter { it !in live && table.isLatest(it) }.mapNotNull { table[it] }.map { entry ->
            MembershipEffect.PeerLost(
                peer = entry.key,
                zone = entry.report.zone,
                reportAge = now - entry.heardAt,
                linkAge = entry.linkedAt?.let { now - it },
                storeAge = now - storeAnsweredAt,
                linked = linked,
            )
        }
    }

    /** Records when this node was in contact with others by one path. */
    private class ContactPath {
        private var since: MonotonicTime? = null
        private var last = MonotonicTime(0)

        fun restart() {
            since = null
        }

        fun record(now: MonotonicTime) {
            if (since == null || now - last > MAX_GAP) since = now
            last = now
        }

        /** Returns the time up to which the path would have brought a report, or null if it is not to be relied on. */
        fun usableUntil(now: MonotonicTime): MonotonicTime? {
            val start = since ?: return null
            val isSettled = now - last <= MAX_GAP && now - start >= SETTLING_TIME
            return if (isSettled) minOf(now, last + MAX_DELAY) else null
        }
    }

    private companion object {
        /** After its first read of the store, a node allows this time for the reports of nodes that start with it. */
        val STARTUP_TIME: Duration = 3.seconds

        /** The part of [STARTUP_TIME] within which the link has brought the reports of nodes that ran before. */
        val FIRST_REPORTS_TIME: Duration = 2.seconds

        /** Four ticks; a process that handles nothing for so long was suspended or held up. */
        val MAX_STEP: Duration = 1.seconds

        /** Longer than two reads of the store in a row take that are made often, and than several exchanges. */
        val MAX_GAP: Duration = 2.seconds

        /** Longer than a report takes over the link, or through the store once its node writes often. */
        val SETTLING_TIME: Duration = 1.5.seconds

        /** The pause between two reads of the store that are made often. */
        val MAX_DELAY: Duration = 750.milliseconds

        /**
         * The age, in heartbeat timeouts, at which a report is removed; by then no usage window that it covers is still
         * to be reported.
         */
        const val REMOVAL_TIMEOUTS = 15
    }
}

private val NodeReport.target: PeerTarget? get() = peerAddress?.let { PeerTarget(key, it, zone, relayRank) }
