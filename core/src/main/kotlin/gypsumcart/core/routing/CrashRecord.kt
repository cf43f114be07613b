package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.PromptPartId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Holds the crashes at which a prompt part was present since a response to a request with the part last started. */
internal class CrashRecord(val part: PromptPartId) {
    private val timesByInstance = HashMap<InstanceKey, MonotonicTime>()

    /** When a response to a request with the part last started, on any node. */
    var answeredAt: MonotonicTime? = null
        private set

    /** When a response to a request with the part last started on this node. */
    var answeredHereAt: MonotonicTime? = null
        private set

    /** Until when the result of a trial is awaited. */
    var trialUntil: MonotonicTime? = null

    val crashes: Map<InstanceKey, MonotonicTime> get() = timesByInstance

    /** The times of the crashes that count; several at nearly the same time have one cause and count as one. */
    private var countedTimes: List<MonotonicTime> = emptyList()

    /** The number of independent crashes. */
    val strikes: Int get() = countedTimes.size

    val lastCrashAt: MonotonicTime? get() = timesByInstance.values.maxOrNull()

    /** Records a crash, unless it came before the last response; returns whether the record changed. */
    fun addCrash(instance: InstanceKey, at: MonotonicTime): Boolean {
        if (answeredAt?.let { at <= it } ?: false) return false
        val known = timesByInstance[instance]
        if (known != null && known <= at) return false
        if (known == null && timesByInstance.size == MAX_CRASHES) {
            val oldest = timesByInstance.minBy { it.value }
            if (at <= oldest.value) return false
            timesByInstance -= oldest.key
        }
        timesByInstance[instance] = at
        updateCountedTimes()
        return known == null
    }

    /** Records that a response started; returns whether that refutes any crash. */
    fun addAnswer(at: MonotonicTime, isHere: Boolean): Boolean {
        if (isHere) answeredHereAt = at
        if (answeredAt?.let { at <= it } ?: false) return false
        answeredAt = at
        val refuted = timesByInstance.values.removeIf { it <= at }
        if (refuted) {
            trialUntil = null
            updateCountedTimes()
        }
        return refuted
    }

    /** Removes the crash of [instance], which did not happen. */
    fun removeCrash(instance: InstanceKey): Boolean {
        val removed = timesByInstance.remove(instance) != null
        if (removed) updateCountedTimes()
        return removed
    }

    /** Returns when one request may try whether the part still crashes back ends; later after each failed trial. */
    fun trialDueAt(): MonotonicTime? {
        val last = lastCrashAt ?: return null
        val failedTrials =
            countedTimes.drop(QUARANTINE_STRIKES - 1).zipWithNext().count { (a, b) ->
                b - a >= BASE_HOLD
            }
        return last + BASE_HOLD * (1 shl failedTrials.coerceAtMost(MAX_HOLD_DOUBLINGS))
    }

    fun isExpired(now: MonotonicTime): Boolean {
        val relevantUntil = trialDueAt()?.let { it + CRASH_RETENTION }
        return if (relevantUntil != null) {
            now > relevantUntil
        } else {
            answeredAt?.let { now - it > ANSWER_RETENTION } ?: true
        }
    }

    private fun updateCountedTimes() {
        val counted = ArrayList<MonotonicTime>()
        for (time in timesByInstance.values.sorted()) {
            if (counted.isEmpty() || time - counted.last() >= MIN_SEPARATION) counted += time
        }
        countedTimes = counted
    }

    companion object {
        /** Independent crashes without a response in between that quarantine a part. */
        const val QUARANTINE_STRIKES = 3

        /** Crashes closer together than this may have one cause, such as the loss of a zone. */
        val MIN_SEPARATION: Duration = 0.5.seconds

        /** Far longer than a crashed back end takes to return. */
        private val BASE_HOLD: Duration = 30.seconds

        /** Limits the time between trials to eight minutes. */
        private const val MAX_HOLD_DOUBLINGS = 4
        private const val MAX_CRASHES = 16

        /** Long enough for a part that is requested only now and then. */
        private val CRASH_RETENTION: Duration = 5.minutes

        /** Longer than the evidence of another node for an earlier crash can take to arrive. */
        private val ANSWER_RETENTION: Duration = 1.minutes
    }
}
