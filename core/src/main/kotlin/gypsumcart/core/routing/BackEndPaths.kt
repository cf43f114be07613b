package gypsumcart.core.routing

import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Describes how a new connection reaches a back end. */
public sealed class BackEndPath {
    /** From this node. */
    public data object Direct : BackEndPath()

    /**
     * Through another node.
     *
     * @property isProbeDue whether a direct connection is to be tried besides
     */
    public data class Carried(public val isProbeDue: Boolean) : BackEndPath()
}

/** Describes what the silence of all direct connections asks for. */
public sealed class SilenceVerdict {
    /** Nothing before [until]. */
    public data class Wait(public val until: MonotonicTime) : SilenceVerdict()

    /** A new direct connection, which shows whether the node is cut off. */
    public data object Probe : SilenceVerdict()

    /** To give up the direct connections, as no new ones are possible. */
    public data object Confirmed : SilenceVerdict()
}

/** Represents an input of the [BackEndPaths] decider. */
public sealed class PathEvent {
    /** A direct connection to [instance] was established. */
    public data class Connected(public val instance: InstanceKey) : PathEvent()

    /**
     * No direct connection to [instance] was established in time.
     *
     * @property isCarried whether another node reached the back end meanwhile
     */
    public data class Unreached(public val instance: InstanceKey, public val isCarried: Boolean) : PathEvent()

    /** A direct connection to [instance] was lost before anything of the response arrived. */
    public data class Lost(public val instance: InstanceKey) : PathEvent()

    /** A back end responded on a direct connection. */
    public data object Received : PathEvent()

    /** Nothing was received on the direct connections, and one that was tried [since] then was not established. */
    public data class SilenceConfirmed(public val since: MonotonicTime) : PathEvent()
}

/** Represents an output of the [BackEndPaths] decider. */
public sealed class PathEffect {
    /** Reports whether this node now counts as cut off from all back ends. */
    public data class CutOffChanged(public val isCutOff: Boolean) : PathEffect()

    /** Closes all idle connections, which may be lost too and would show it only when they are used. */
    public data object CloseIdle : PathEffect()

    /** Gives up the direct connections: closes idle ones and ends the calls on others that may run again. */
    public data object AbandonConnections : PathEffect()
}

/**
 * Decides which back ends this node reaches by itself, and which through other nodes.
 *
 * That another node reaches a back end which this one does not tells a cut of this node from a back end that is down.
 * All back ends count as unreachable once several in a row are, or once the open connections are silent and no new one
 * is possible.
 */
public class BackEndPaths : Decider<PathEvent, PathEffect> {
    private class MissedConnection(val at: MonotonicTime, val isCarried: Boolean)

    /** When the next direct connection to each back end that is reached through others is due. */
    private val probesAt = HashMap<InstanceKey, MonotonicTime>()

    /** The back ends that were not reached since the last direct connection was established. */
    private val unreached = HashMap<InstanceKey, MissedConnection>()
    private var receivedAt: MonotonicTime? = null

    /** The back ends whose connections were lost since something was received. */
    private val lost = HashSet<InstanceKey>()
    private var silenceProbeAt: MonotonicTime? = null

    /** Whether this node counts as cut off from all back ends. */
    public var isCutOff: Boolean = false
        private set

    /** The number of back ends that are reached through other nodes one by one. */
    public val carriedBackEnds: Int get() = probesAt.size

    override fun decide(event: PathEvent, now: MonotonicTime): List<PathEffect> =
        when (event) {
            is PathEvent.Connected -> recordConnection(event.instance, now)
            is PathEvent.Unreached -> recordUnreached(event, now)
            is PathEvent.Lost -> recordLost(event.instance)
            PathEvent.Received -> recordReceived(now)
            is PathEvent.SilenceConfirmed -> abandonUnlessReceived(event.since)
        }

    /** Returns the path of a new connection to [instance]; a probe that is due counts as made. */
    public fun pathTo(instance: InstanceKey, now: MonotonicTime): BackEndPath {
        if (isCutOff) return BackEndPath.Carried(isProbeDue = false)
        val probeAt = probesAt[instance] ?: return BackEndPath.Direct
        val isDue = now >= probeAt
        if (isDue) probesAt[instance] = now + PROBE_PERIOD
        return BackEndPath.Carried(isDue)
    }

    /** Returns what to do while the call that waits longest on a direct connection has waited since [waitingSince]. */
    public fun verdictOnSilence(waitingSince: MonotonicTime, now: MonotonicTime): SilenceVerdict {
        val silentSince = maxOf(waitingSince, receivedAt ?: waitingSince)
        val dueAt = maxOf(silentSince + MAX_SILENCE, silenceProbeAt?.plus(PROBE_PERIOD) ?: silentSince)
        if (now < dueAt) return SilenceVerdict.Wait(dueAt)
        silenceProbeAt = now
        return if (isCutOff) SilenceVerdict.Confirmed else SilenceVerdict.Probe
    }

    private fun recordReceived(now: MonotonicTime): List<PathEffect> {
        receivedAt = now
        lost.clear()
        return emptyList()
    }

    private fun recordLost(instance: InstanceKey): List<PathEffect> {
        lost += instance
        if (!isCutOff && lost.size < MIN_LOST) return emptyList()
        lost.clear()
        return listOf(PathEffect.CloseIdle)
    }

    private fun recordConnection(instance: InstanceKey, now: MonotonicTime): List<PathEffect> {
        unreached.clear()
        probesAt -= instance
        recordReceived(now)
        if (!isCutOff) return emptyList()
        isCutOff = false
        probesAt.clear()
        return listOf(PathEffect.CutOffChanged(false))
    }

    private fun recordUnreached(event: PathEvent.Unreached, now: MonotonicTime): List<PathEffect> {
        unreached.values.removeIf { now - it.at > UNREACHED_WINDOW }
        val wasCarried = unreached[event.instance]?.isCarried ?: false
        unreached[event.instance] = MissedConnection(now, event.isCarried || wasCarried)
        if (event.isCarried) {
            probesAt[event.instance] = now + PROBE_PERIOD
            if (probesAt.size > MAX_CARRIED) probesAt.clear()
        }
        val isCarried = unreached.values.count { it.isCarried } >= MIN_CARRIED
        val isLost = unreached.size >= MIN_UNREACHED && isSilentSinceFirstMiss
        return if (isCarried || isLost) cutOff() else emptyList()
    }

    /** Back ends that no node reaches are down, unless nothing arrives from the others either. */
    private val isSilentSinceFirstMiss: Boolean
        get() = receivedAt?.let { received -> unreached.values.all { it.at >= received } } ?: true

    private fun abandonUnlessReceived(since: MonotonicTime): List<PathEffect> {
        if (receivedAt?.let { it > since } ?: false) return emptyList()
        return cutOff() + PathEffect.AbandonConnections
    }

    private fun cutOff(): List<PathEffect> {
        if (isCutOff) return emptyList()
        isCutOff = true
        return listOf(PathEffect.CutOffChanged(true))
    }

    public companion object {
        /** The time between two tries to connect directly; every connection to a back end has its price. */
        public val PROBE_PERIOD: Duration = 1.seconds

        /** Several times the usual pause between responses to a node with few calls. */
        private val MAX_SILENCE: Duration = 400.milliseconds

        /** The time within which several back ends that are not reached show that the node is cut off. */
        private val UNREACHED_WINDOW: Duration = 3.seconds

        /** Other nodes reach these back ends, so that they are sound. */
        private const val MIN_CARRIED = 2

        /** One may have restarted. */
        private const val MIN_LOST = 2

        /** Back ends of one host or rack may be down at once. */
        private const val MIN_UNREACHED = 3

        /** More than the back ends of a large fleet. */
        private const val MAX_CARRIED = 4_096
    }
}
