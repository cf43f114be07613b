package gypsumcart.core.membership

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the nodes to exchange messages with, and composes the messages.
 *
 * The reachable node of a zone whose host can carry most, and of these the oldest, is the relay of the zone. Every
 * other node of the zone exchanges messages with it, and the relays of different zones with each other. Nodes choose
 * relays independently of each other. If they choose differently for a while, some reports take another path or arrive
 * later, and none is lost: each message repeats what its recipient has not acknowledged.
 */
internal class PeerExchanges(
    private val self: NodeKey,
    private val zone: ZoneName,
    private val relayRank: RelayRank,
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

        /** The number of refusals in a row. */
        var refusals = 0
    }

    private val partners = HashMap<NodeKey, Partner>()
    private val partnersByExchange = HashMap<ExchangeId, Partner>()
    private val contactAt = HashMap<ZoneName, MonotonicTime>()
    private val liveSince = HashMap<ZoneName, MonotonicTime>()
    private var relayIsLinked = false
    private var feedRelays = MembershipEffect.RelaysChosen(relay = null, others = emptyList())
    private var lastExchange = 0L

    /**
     * The targets to exchange messages with now, given the [live] nodes other than this one and the [lost] ones.
     *
     * A relay that [lacksReports] also turns to a node of its own zone, whose other nodes may have another relay. It
     * looks for zones of which no node counts as running, since a cut that separated both may have ended.
     */
    fun dueTargets(
        live: List<PeerTarget>,
        lost: List<PeerTarget>,
        lacksReports: Boolean,
        now: MonotonicTime,
    ): List<PeerTarget> {
        forgetExcept(live + lost)
        recordLiveZones(live, now)
        val ownRelay = relayOrNull(live, zone, now)
        if (ownRelay != null && ownRelay.isBeforeSelf) return listOf(ownRelay).filterNot { isPending(it.key, now) }
        val zones = live.map { it.zone }.distinct()
        val relays = zones.filter { it != zone }.mapNotNull { relayOrNull(live, it, now) }
        val neighbours = listOfNotNull(ownRelay.takeIf { lacksReports })
        val probes =
            lost
                .filter { it.zone !in zones }
                .groupBy { it.zone }
                .values
                .mapNotNull { probeOrNull(it, now) }
        return (relays + neighbours + probes).filterNot { isPending(it.key, now) }
    }

    /** Returns the one of [lost] that was tried least recently, if the last trial of any of them is long enough ago. */
    private fun probeOrNull(lost: List<PeerTarget>, now: MonotonicTime): PeerTarget? {
        val lastTrial = lost.mapNotNull { partners[it.key]?.startedAt }.maxOrNull()
        if (lastTrial != null && now - lastTrial < PROBE_PERIOD) return null
        return lost.minWithOrNull(compareBy({ partners[it.key]?.startedAt }, { it.key }))
    }

    /** Starts an exchange with [target] and returns the message to send. */
    fun start(
        target: PeerTarget,
        now: MonotonicTime,
        linked: Boolean,
        lacksReports: Boolean,
    ): Pair<ExchangeId, PeerMessage> {
        val partner = partners.getOrPut(target.key) { Partner(target) }
        val id = ExchangeId(++lastExchange)
        partner.pending?.let { partnersByExchange -= it }
        partner.pending = id
        partner.startedAt = now
        partnersByExchange[id] = partner
        val recipient = Recipient(target.key, target.zone, partner.acknowledged, wantsAll = false)
        val message = message(recipient, partner.received, now, linked)
        return id to message.copy(lacksReports = lacksReports)
    }

    /** Returns the response to [request], which came from a node in [senderZone]. */
    fun respond(request: PeerMessage, senderZone: ZoneName, now: MonotonicTime, linked: Boolean): PeerMessage =
        message(
            Recipient(request.sender, senderZone, request.received, request.lacksReports),
            request.position,
            now,
            linked,
        )

    /**
     * Ends an exchange and returns the message to apply, or null if there is none.
     *
     * A response to an exchange that has already ended is not applied.
     */
    fun end(id: ExchangeId, result: ExchangeResult, now: MonotonicTime): PeerMessage? {
        val partner = partnersByExchange.remove(id) ?: return null
        if (partner.pending != id) return null
        partner.pending = null
        return when (result) {
            is ExchangeResult.Answered -> result.message.takeIf { it.sender == partner.target.key }
            ExchangeResult.Refused -> return null.also { refuse(partner, now) }
            ExchangeResult.Failed -> null
        }.also { response -> if (response == null) suspect(partner, now) else accept(partner, response, now) }
    }

    private fun accept(partner: Partner, response: PeerMessage, now: MonotonicTime) {
        partner.suspectedUntil = null
        partner.refusals = 0
        partner.acknowledged = response.received
        partner.received = response.position
        contactAt[partner.target.zone] = now
        if (partner.target.zone == zone) relayIsLinked = response.linked
    }

    private fun refuse(partner: Partner, now: MonotonicTime) {
        if (++partner.refusals >= MAX_REFUSALS) suspect(partner, now)
    }

    private fun suspect(partner: Partner, now: MonotonicTime) {
        partner.refusals = 0
        partner.suspectedUntil = now + SUSPICION_TIME
    }

    /** Returns whether this node is the relay of its zone. */
    fun isRelay(live: List<PeerTarget>, now: MonotonicTime): Boolean =
        relayOrNull(live, zone, now)?.isBeforeSelf != true

    /** Names the nodes through which this one is to follow the tables of the store, if they changed. */
    fun chooseFeedRelays(live: List<PeerTarget>, now: MonotonicTime): List<MembershipEffect> {
        val chosen = feedRelaysOf(live, now)
        if (chosen == feedRelays) return emptyList()
        feedRelays = chosen
        return listOf(chosen)
    }

    private fun feedRelaysOf(live: List<PeerTarget>, now: MonotonicTime): MembershipEffect.RelaysChosen {
        val isWorthwhile = live.count { it.zone == zone } + 1 >= MIN_RELAYED_NODES
        val own = relayOrNull(live, zone, now)?.takeIf { isWorthwhile && it.isBeforeSelf }
        val zones = live.map { it.zone }.distinct().filter { it != zone }
        val neighbour = relayOrNull(live.filter { it != own }, zone, now)
        val others = zones.mapNotNull { relayOrNull(live, it, now) }.sortedWith(RELAY_ORDER)
        return MembershipEffect.RelaysChosen(own, others + listOfNotNull(neighbour))
    }

    /** Whether the node, one of this zone, is to be its relay rather than this one. */
    private val PeerTarget.isBeforeSelf: Boolean
        get() = if (relayRank == this@PeerExchanges.relayRank) key < self else relayRank > this@PeerExchanges.relayRank

    /**
     * Returns whether reports of all [live] nodes reach this node over the link.
     *
     * A relay is linked if it has contact with all other zones, another node if its relay is linked.
     */
    fun isLinked(live: List<PeerTarget>, now: MonotonicTime): Boolean {
        val isSelfLinked = isRelay(live, now) || relayIsLinked
        return isSelfLinked && silentZones(live, now).isEmpty()
    }

    /** Returns the zones of [live] nodes with which this node is to exchange messages and had no contact lately. */
    fun silentZones(live: List<PeerTarget>, now: MonotonicTime): List<ZoneName> {
        val expected =
            if (isRelay(live, now)) live.map { it.zone }.distinct().filter { it != zone } else listOf(zone)
        return expected.filterNot { hadContact(it, now) }
    }

    private fun recordLiveZones(live: List<PeerTarget>, now: MonotonicTime) {
        val zones = live.mapTo(HashSet()) { it.zone }
        liveSince.keys.retainAll(zones)
        zones.forEach { liveSince.putIfAbsent(it, now) }
    }

    /** Returns whether [zone] was in contact lately, or has only just appeared so that none is due yet. */
    private fun hadContact(zone: ZoneName, now: MonotonicTime): Boolean {
        val latest = listOfNotNull(contactAt[zone], liveSince[zone] ?: now).max()
        return now - latest <= CONTACT_TIMEOUT
    }

    /**
     * The first node of [zone] in the order of relays that is not suspected to be out of reach.
     *
     * If all nodes of another zone are suspected, the first one is tried all the same. In its own zone a node takes
     * over as relay instead.
     */
    private fun relayOrNull(live: List<PeerTarget>, zone: ZoneName, now: MonotonicTime): PeerTarget? {
        val candidates = live.filter { it.zone == zone }
        return candidates.filterNot { isSuspected(it.key, now) }.minWithOrNull(RELAY_ORDER)
            ?: candidates.minWithOrNull(RELAY_ORDER).takeIf { zone != this.zone }
    }

    private fun isPending(key: NodeKey, now: MonotonicTime): Boolean {
        val partner = partners[key] ?: return false
        return partner.pending != null && now - partner.startedAt < PENDING_TIMEOUT
    }

    private fun isSuspected(key: NodeKey, now: MonotonicTime): Boolean =
        partners[key]?.suspectedUntil?.let { now < it } ?: false

    private fun forgetExcept(known: List<PeerTarget>) {
        if (partners.size <= known.size) return
        val keys = known.mapTo(HashSet()) { it.key }
        partners.keys.retainAll(keys)
        partnersByExchange.values.retainAll(partners.values.toSet())
    }

    private fun message(
        recipient: Recipient,
        received: TablePosition,
        now: MonotonicTime,
        linked: Boolean,
    ): PeerMessage {
        val changes = table.changedAfter(recipient.position).take(MAX_ITEMS)
        val items =
            changes
                .filter { it.linkedAt != null && isWanted(it, recipient) }
                .filter { now - it.heardAt <= MAX_ITEM_AGE }
                .map { it.toItem(recipient.position, recipient.wantsAll, now) }
        val position = if (changes.size < MAX_ITEMS) table.position else changes.last().position
        return PeerMessage(self, items, position, received, linked)
    }

    /**
     * Returns whether [recipient] lacks [entry].
     *
     * Between zones only reports of the sender's own zone are sent, as each relay receives those of the other zones
     * from their own relays, and reports that came directly from their nodes. A recipient that lacks reports gets all.
     */
    private fun isWanted(entry: PeerTable.Entry, recipient: Recipient): Boolean {
        if (entry.key == recipient.key || entry.source == recipient.key) return false
        if (recipient.wantsAll || recipient.zone == zone) return true
        return entry.report.zone == zone || entry.source == entry.key
    }

    /**
     * @property position the position of this node's table up to which the recipient has received the changes
     * @property wantsAll whether the recipient wants the reports of all zones
     */
    private class Recipient(
        val key: NodeKey,
        val zone: ZoneName,
        val position: TablePosition,
        val wantsAll: Boolean,
    )

    private companion object {
        /** The hosts that can carry most come first, and of these the oldest. */
        val RELAY_ORDER = compareByDescending<PeerTarget> { it.relayRank }.thenBy { it.key }

        /** A node that others follow makes as many calls to the store as about four that follow it by themselves. */
        const val MIN_RELAYED_NODES = 8

        /** Bounds the size of a message; what is left out follows in the next one. */
        const val MAX_ITEMS = 512

        /** A report older than this is of no use to a node that does not have it. */
        val MAX_ITEM_AGE: Duration = 3.seconds

        /** Longer than an exchange can take; one whose end was never reported no longer counts as in progress. */
        val PENDING_TIMEOUT: Duration = 2.seconds

        /** How long a node that did not answer is passed over as a relay. */
        val SUSPICION_TIME: Duration = 3.seconds

        /** A node that has not found this one in the store after so many exchanges probably does not reach it. */
        const val MAX_REFUSALS = 3

        /** How often a zone is looked for of which no node counts as running. */
        val PROBE_PERIOD: Duration = 1.seconds

        /** Several exchange periods; a relay's loss is made up for within two of them. */
        val CONTACT_TIMEOUT: Duration = 1.5.seconds
    }
}
