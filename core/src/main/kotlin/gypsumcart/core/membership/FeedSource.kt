package gypsumcart.core.membership

import gypsumcart.core.Address
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Identifies where a node reads a table of the store. */
public sealed class FeedOrigin {
    /** The store itself. */
    public data object Store : FeedOrigin()

    /** The node at [address], which follows the table and passes its changes on. */
    public data class Relay(public val address: Address) : FeedOrigin()
}

/** Represents an input of the [FeedSource] decider. */
public sealed class FeedEvent {
    /**
     * The nodes that pass tables on were determined.
     *
     * @property relay the node that is to be read instead of the store, or null if this node is to read the store
     * @property others the nodes to turn to if neither [relay] nor the store responds, in the order of preference
     */
    public data class RelaysChosen(public val relay: Address?, public val others: List<Address>) : FeedEvent()

    /** The table is to be read. */
    public data object ReadDue : FeedEvent()

    /** The read from [origin] ended; [succeeded] if it brought the current state of the table. */
    public data class ReadEnded(public val origin: FeedOrigin, public val succeeded: Boolean) : FeedEvent()
}

/** Represents an output of the [FeedSource] decider. */
public sealed class FeedEffect {
    /** Reads the table from [origin]; [isFallback] if the read before it failed, so that this one is urgent. */
    public data class Read(public val origin: FeedOrigin, public val isFallback: Boolean) : FeedEffect()

    /** Reports that the table can't be read from any origin. */
    public data object ReportUnavailable : FeedEffect()

    /** Reports that the table can be read again. */
    public data object ReportAvailable : FeedEffect()
}

/**
 * Decides where a node reads one table: from the relay of its zone, from the store, or from relays of other zones.
 *
 * A read that fails is followed at once by one from the next origin, until one succeeds or all have failed. An origin
 * that failed comes after the others for a while, so a node that the store turns away goes on with a relay that is
 * served, and one whose relay is away goes on with the store. The table counts as unavailable only if all origins fail.
 */
public class FeedSource : Decider<FeedEvent, FeedEffect> {
    private var relays: List<FeedOrigin> = emptyList()
    private var others: List<FeedOrigin> = emptyList()
    private val suspectedUntil = HashMap<FeedOrigin, MonotonicTime>()
    private val tried = HashSet<FeedOrigin>()
    private var isUnavailable = false

    override fun decide(event: FeedEvent, now: MonotonicTime): List<FeedEffect> =
        when (event) {
            is FeedEvent.RelaysChosen -> choose(event)
            FeedEvent.ReadDue -> startRound(now)
            is FeedEvent.ReadEnded -> if (event.succeeded) succeed(event.origin) else fail(event.origin, now)
        }

    private fun choose(event: FeedEvent.RelaysChosen): List<FeedEffect> {
        relays = listOfNotNull(event.relay?.let(FeedOrigin::Relay))
        others = event.others.take(MAX_OTHERS).map(FeedOrigin::Relay)
        suspectedUntil.keys.retainAll(origins.toSet())
        return emptyList()
    }

    private val origins: List<FeedOrigin> get() = relays + FeedOrigin.Store + others

    private fun startRound(now: MonotonicTime): List<FeedEffect> {
        tried.clear()
        return listOfNotNull(nextReadOrNull(now))
    }

    private fun nextReadOrNull(now: MonotonicTime): FeedEffect? {
        val untried = origins.filter { it !in tried }
        val next = untried.firstOrNull { !isSuspected(it, now) } ?: untried.firstOrNull() ?: return null
        return FeedEffect.Read(next, isFallback = tried.isNotEmpty() || isUnavailable)
    }

    private fun isSuspected(origin: FeedOrigin, now: MonotonicTime): Boolean =
        suspectedUntil[origin]?.let { now < it } ?: false

    private fun succeed(origin: FeedOrigin): List<FeedEffect> {
        suspectedUntil -= origin
        val wasUnavailable = isUnavailable
        isUnavailable = false
        return if (wasUnavailable) listOf(FeedEffect.ReportAvailable) else emptyList()
    }

    private fun fail(origin: FeedOrigin, now: MonotonicTime): List<FeedEffect> {
        tried += origin
        suspectedUntil[origin] = now + if (origin == FeedOrigin.Store) STORE_SUSPICION else RELAY_SUSPICION
        nextReadOrNull(now)?.let { return listOf(it) }
        val wasUnavailable = isUnavailable
        isUnavailable = true
        return if (wasUnavailable) emptyList() else listOf(FeedEffect.ReportUnavailable)
    }

    private companion object {
        /** How long a relay that failed is passed over: as long as one that doesn't answer on the peer link. */
        val RELAY_SUSPICION: Duration = 3.seconds

        /** How long the store is passed over while a relay is served, which limits the calls that it refuses. */
        val STORE_SUSPICION: Duration = 1.seconds

        /** Each relay that doesn't respond delays the next read. */
        const val MAX_OTHERS = 2
    }
}
