package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the nodes to exchange messages with, and composes the messages.
 *
 * The oldest reachable node of a zone is the relay of the zone. Every other node of the zone exchanges messages with
 * it, and the relays of different zones with each other. Nodes choose relays independently of each other. If they
 * choose differently for a while, some reports take another path or arrive later, and none is lost: each message
 * repeats what its recipient has not acknowledged.
 */
internal class PeerExchanges(
    private val self: NodeKey,
    private val zone: ZoneName,
    private val table: PeerTable,
) {
    /**
     * @property acknowledged the position of this node's table up to which the partner has received the changes
     * @property received the position of the partner's table up to which this node has received the changes
     */
    private class Partner(val target: PeerTarget) {
        var acknowledged = TablePosition.START
        var received = TablePosition.START
        var pending: ExchangeId? = null
        var startedAt = MonotonicTime(0)
        var suspectedUntil: MonotonicTime? = null
    }

    private val partners = HashMap<NodeKey, Partner>()
    private val partnersByExchange = HashMap<ExchangeId, Partner>()
    private val contactAt = HashMap<ZoneName, MonotonicTime>()
    private var relayIsLinked = false
    private var lastExchange = 0L

    /** The targets to exchange messages with now, given the [live] nodes other than this one. */
    fun dueTargets(live: List<PeerTarget>, now: MonotonicTime): List<PeerTarget> {
        forgetExcept(live)
        val ownRelay = relayOrNull(live, zone, now)
        val targets =
            if (ownRelay == null || self < ownRelay.key) {
                live
                    .map { it.zone }
                    .distinct()
                    .filter { it != zone }
                    .mapNotNull { relayOrNull(live, it, now) }
            } else {
                listOf(ownRelay)
            }
        return targets.filterNot { isPending(it.key, now) }
    }

    /** Starts an exchange with [target] and returns the message to send. */
    fun start(target: PeerTarget, now: MonotonicTime, linked: Boolean): Pair<ExchangeId, PeerMessage> {
        val partner = partners.getOrPut(target.key) { Partner(target) }
        val id = ExchangeId(++lastExchange)
        partner.pending?.let { partnersByExchange -= it }
        partner.pending = id
        partner.startedAt = now
        partnersByExchange[id] = partner
        return id to message(target.key, target.zone, partner.acknowledged, partner.received, now, linked)
    }

    /** Returns the response to [request], which came from a node in [senderZone]. */
    fun respond(request: PeerMessage, senderZone: ZoneName, now: MonotonicTime, linked: Boolean): PeerMessage =
        message(request.sender, senderZone, request.received, request.position, now, linked)

    /**
     * Ends an exchange; [response] is null if none arrived.
     *
     * Returns whether the response is to be applied. A response to an exchange that has already ended is not.
     */
    fun end(id: ExchangeId, response: PeerMessage?, now: MonotonicTime): Boolean {
        val partner = partnersByExchange.remove(id) ?: return false
        if (partner.pending != id) return false
        partner.pending = null
        if (response == null || response.sender != partner.target.key) {
            partner.suspectedUntil = now + SUSPICION_TIME
            return false
        }
        partner.suspectedUntil = null
        partner.acknowledged = response.received
        partner.received = response.position
        contactAt[partner.target.zone] = now
        if (partner.target.zone == zone) relayIsLinked = response.linked
        return true
    }

    /**
     * Returns whether reports of all [live] nodes reach this node over the link.
     *
     * A relay is linked if it has contact with all other zones, another node if its relay is linked.
     */
    fun isLinked(live: List<PeerTarget>, now: MonotonicTime): Boolean {
        val ownRelay = relayOrNull(live, zone, now)
        if (ownRelay != null && ownRelay.key < self) return relayIsLinked && hadContact(zone, now)
        return silentZones(live, now).isEmpty()
    }

    /** Returns the zones of [live] nodes with which this node is to exchange messages and had no contact lately. */
    fun silentZones(live: List<PeerTarget>, now: MonotonicTime): List<ZoneName> {
        val ownRelay = relayOrNull(live, zone, now)
        val expected =
            if (ownRelay != null && ownRelay.key < self) {
                listOf(zone)
            } else {
                live.map { it.zone }.distinct().filter { it != zone }
            }
        return expected.filterNot { hadContact(it, now) }
    }

    private fun hadContact(zone: ZoneName, now: MonotonicTime): Boolean =
        contactAt[zone]?.let { now - it <= CONTACT_TIMEOUT } ?: false

    /**
     * The oldest node of [zone] that is not suspected to be out of reach.
     *
     * If all nodes of another zone are suspected, the oldest one is tried all the same. In its own zone a node takes
     * over as relay instead.
     */
    private fun relayOrNull(live: List<PeerTarget>, zone: ZoneName, now: MonotonicTime): PeerTarget? {
        val candidates = live.filter { it.zone == zone }
        return candidates.filterNot { isSuspected(it.key, now) }.minByOrNull { it.key }
            ?: candidates.minByOrNull { it.key }.takeIf { zone != this.zone }
    }

    private fun isPending(key: NodeKey, now: MonotonicTime): Boolean {
        val partner = partners[key] ?: return false
        return partner.pending != null && now - partner.startedAt < PENDING_TIMEOUT
    }

    private fun isSuspected(key: NodeKey, now: MonotonicTime): Boolean =
        partners[key]?.suspectedUntil?.let { now < it } ?: false

    private fun forgetExcept(live: List<PeerTarget>) {
        if (partners.size <= live.size) return
        val keys = live.mapTo(HashSet()) { it.key }
        partners.keys.retainAll(keys)
        partnersByExchange.values.retainAll(partners.values.toSet())
    }

    private fun message(
        recipient: NodeKey,
        recipientZone: ZoneName,
        after: TablePosition,
        received: TablePosition,
        now: MonotonicTime,
        linked: Boolean,
    ): PeerMessage {
        val changes = table.changedAfter(after).take(MAX_ITEMS)
        val items =
            changes
                .filter { it.linkedAt != null && isWanted(it, recipient, recipientZone) }
                .map { PeerItem(it.report, now - it.heardAt, it.usagePosition > after) }
                .filter { it.age <= MAX_ITEM_AGE }
        val position = if (changes.size < MAX_ITEMS) table.position else changes.last().position
        return PeerMessage(self, items, position, received, linked)
    }

    /**
     * Returns whether a recipient in [recipientZone] lacks [entry].
     *
     * Between zones only reports of the sender's own zone are sent, as each relay receives those of the other zones
     * from their own relays, and reports that came directly from their nodes.
     */
    private fun isWanted(entry: PeerTable.Entry, recipient: NodeKey, recipientZone: ZoneName): Boolean =
        entry.key != recipient &&
            entry.source != recipient &&
            (recipientZone == zone || entry.report.zone == zone || entry.source == entry.key)

    private companion object {
        /** Bounds the size of a message; what is left out follows in the next one. */
        const val MAX_ITEMS = 512

        /** A report older than this is of no use to a node that does not have it. */
        val MAX_ITEM_AGE: Duration = 3.seconds

        /** Longer than an exchange can take; one whose end was never reported no longer counts as in progress. */
        val PENDING_TIMEOUT: Duration = 2.seconds

        /** How long a node that did not answer is passed over as a relay. */
        val SUSPICION_TIME: Duration = 3.seconds

        /** Several exchange periods; a relay's loss is made up for within two of them. */
        val CONTACT_TIMEOUT: Duration = 1.5.seconds
    }
}
