package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Prompt
import gypsumcart.core.PromptPartId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Determines what becomes of a request in view of the quarantined prompt parts. */
internal sealed class QuarantineVerdict {
    /** The prompt has no quarantined part. */
    data object Allowed : QuarantineVerdict()

    /** The request tries whether its quarantined part still crashes back ends. */
    data object Trial : QuarantineVerdict()

    /** The request is refused because of [part]; the next trial is due after [retryAfter]. */
    data class Refused(val part: PromptPartId, val retryAfter: Duration) : QuarantineVerdict()
}

/**
 * Finds the prompt parts that crash back ends, and keeps requests with them away from the others.
 *
 * A crash closes the connections of all requests on the back end. Those whose response had not started are suspected,
 * with all parts of their prompts but the last, which belongs to the request itself. A part is quarantined when it was
 * present at several independent crashes and no response to a request with it has started since the first of them, on
 * any node. That exempts parts that sound requests share. A bystander's part, which was only present at crashes that
 * another part explains, is not quarantined; of parts that were present at exactly the same crashes, all must be in a
 * prompt for it to be refused.
 *
 * The number of parts on record is bounded, and those with the fewest crashes yield first.
 */
internal class Quarantine {
    private val records = HashMap<PromptPartId, CrashRecord>()
    private val crashedInstances = HashMap<InstanceKey, MonotonicTime>()
    private val soundInstances = HashMap<InstanceKey, MonotonicTime>()
    private var quarantined: Map<PromptPartId, CrashRecord> = emptyMap()

    /** Records that [instance] closed its connection before the start of its response to [prompt]. */
    fun recordCut(prompt: Prompt, instance: InstanceKey, now: MonotonicTime): List<QuarantineChange> {
        val added = prompt.suspectParts().count { addCrash(it, instance, now) }
        return if (added > 0) update(now, QuarantineEnd.EXPLAINED) else emptyList()
    }

    /** Records that a response to [prompt] by [instance] started. */
    fun recordAnswer(prompt: Prompt, instance: InstanceKey, now: MonotonicTime): List<QuarantineChange> {
        if (records.isEmpty()) return emptyList()
        val alive = withdrawCrash(instance, now)
        val refuted = prompt.suspectParts().count { records[it]?.addAnswer(now, isHere = true) ?: false }
        return if (alive || refuted > 0) update(now, QuarantineEnd.ANSWERED) else emptyList()
    }

    /** Adds the evidence of another node, whose ages count from [asOf]. */
    fun merge(evidence: List<CrashEvidence>, asOf: MonotonicTime, now: MonotonicTime): List<QuarantineChange> {
        var changed = false
        var answered = false
        for ((part, crashes, answeredAge) in evidence) {
            for ((instance, age) in crashes) changed = addCrash(part, instance, asOf - age) || changed
            if (answeredAge != null) answered = addAnswer(part, asOf - answeredAge) || answered
        }
        val endCause = if (answered) QuarantineEnd.ANSWERED else QuarantineEnd.EXPLAINED
        return if (changed || answered) update(now, endCause) else emptyList()
    }

    /** Removes what is no longer relevant. */
    fun expire(now: MonotonicTime): List<QuarantineChange> {
        crashedInstances.values.removeIf { now - it > MIN_ABSENCE }
        soundInstances.values.removeIf { now - it > SHARING_TIME }
        return if (records.values.removeIf { it.isExpired(now) }) update(now, QuarantineEnd.EXPIRED) else emptyList()
    }

    /** Decides about a request's first call; only one node of the fleet [runsTrials]. */
    fun verdictOn(prompt: Prompt?, runsTrials: Boolean, now: MonotonicTime): QuarantineVerdict {
        if (quarantined.isEmpty() || prompt == null) return QuarantineVerdict.Allowed
        val parts = prompt.sharedParts().toSet()
        val found = parts.mapNotNull { quarantined[it] }.filter { isComplete(it, parts) }
        if (found.isEmpty()) return QuarantineVerdict.Allowed
        val last = found.maxBy { it.retryAfter(now) }
        if (!runsTrials || found.any { !it.isTrialDue(now) }) {
            return QuarantineVerdict.Refused(last.part, last.retryAfter(now))
        }
        found.forEach { it.trialUntil = now + TRIAL_TIMEOUT }
        return QuarantineVerdict.Trial
    }

    /** Returns whether a further call for a request with [prompt] would risk another back end. */
    fun forbidsRetry(prompt: Prompt?): Boolean =
        records.isNotEmpty() &&
            prompt != null &&
            prompt.sharedParts().any { part -> (records[part]?.strikes ?: 0) >= RETRY_STRIKES }

    /** Returns what the other nodes should know, the strongest evidence first. */
    fun evidence(now: MonotonicTime): List<CrashEvidence> =
        records.values
            .filter { isShared(it, now) }
            .sortedWith(compareByDescending<CrashRecord> { it.strikes }.thenByDescending { it.lastCrashAt })
            .take(MAX_SHARED_PARTS)
            .map { record ->
                CrashEvidence(
                    record.part,
                    record.crashes.mapValues { now - it.value },
                    record.answeredHereAt?.let { now - it },
                )
            }

    private fun isShared(record: CrashRecord, now: MonotonicTime): Boolean =
        record.strikes >= RETRY_STRIKES ||
            record.lastCrashAt?.let { now - it <= SHARING_TIME } ?: false ||
            record.answeredHereAt?.let { now - it <= SHARING_TIME } ?: false

    private fun addCrash(part: PromptPartId, instance: InstanceKey, at: MonotonicTime): Boolean {
        if (soundInstances[instance]?.let { at <= it } ?: false) return false
        val record = records[part] ?: createRecord(part)
        crashedInstances.putIfAbsent(instance, at)
        return record.addCrash(instance, at)
    }

    private fun addAnswer(part: PromptPartId, at: MonotonicTime): Boolean =
        (records[part] ?: createRecord(part)).addAnswer(at, isHere = false)

    private fun createRecord(part: PromptPartId): CrashRecord {
        if (records.size >= MAX_PARTS) {
            records.values
                .minWith(compareBy<CrashRecord> { it.strikes }.thenBy { it.lastCrashAt ?: it.answeredAt })
                .let { records -= it.part }
        }
        return CrashRecord(part).also { records[part] = it }
    }

    /** Withdraws the crash of an instance that answers shortly after it closed another connection. */
    private fun withdrawCrash(instance: InstanceKey, now: MonotonicTime): Boolean {
        val crashedAt = crashedInstances[instance] ?: return false
        if (now - crashedAt !in RESPONSE_LAG..MIN_ABSENCE) return false
        crashedInstances -= instance
        soundInstances[instance] = now
        return records.values.count { it.removeCrash(instance) } > 0
    }

    private fun update(now: MonotonicTime, endCause: QuarantineEnd): List<QuarantineChange> {
        val previous = quarantined
        val candidates = records.values.filter { it.strikes >= CrashRecord.QUARANTINE_STRIKES && !it.isExpired(now) }
        quarantined = candidates.filter { record -> candidates.none { it explains record } }.associateBy { it.part }
        return quarantined.values
            .filter { it.part !in previous }
            .map { QuarantineChange.Started(it.part, it.crashes.keys.toSet()) } +
            previous.keys.filter { it !in quarantined }.map { QuarantineChange.Ended(it, endCause) }
    }

    private infix fun CrashRecord.explains(other: CrashRecord): Boolean =
        crashes.size > other.crashes.size && crashes.keys.containsAll(other.crashes.keys)

    /** Returns whether [parts] include all quarantined parts that can't be told apart from that of [record]. */
    private fun isComplete(record: CrashRecord, parts: Set<PromptPartId>): Boolean =
        quarantined.values.all { it.part in parts || it.crashes.keys != record.crashes.keys }

    private fun CrashRecord.isTrialDue(now: MonotonicTime): Boolean =
        (trialDueAt()?.let { now >= it } ?: true) && (trialUntil?.let { now >= it } ?: true)

    private fun CrashRecord.retryAfter(now: MonotonicTime): Duration =
        ((trialDueAt() ?: now) - now).coerceAtLeast(MIN_RETRY_AFTER)

    private companion object {
        /** Crashes after which a request with the part is not sent to another back end. */
        const val RETRY_STRIKES = 2

        /** Bounds the memory for parts, which clients choose. */
        const val MAX_PARTS = 512

        /** Bounds the size of a report to other nodes. */
        const val MAX_SHARED_PARTS = 64

        /** Longer than it takes a report to reach all nodes, also through the store. */
        val SHARING_TIME: Duration = 15.seconds

        /** Responses that had left an instance before its crash are processed within this time. */
        val RESPONSE_LAG: Duration = 100.milliseconds

        /** A crashed instance answers no sooner than this. */
        val MIN_ABSENCE: Duration = 2.seconds

        /** Longer than the first piece of a response takes. */
        val TRIAL_TIMEOUT: Duration = 10.seconds

        val MIN_RETRY_AFTER: Duration = 1.seconds
    }
}

/** Parts that other requests can share: all but the last. */
private fun Prompt.sharedParts(): List<PromptPartId> = parts.dropLast(1).map { it.id }

/** The parts that go on record if a back end crashes, bounded because clients choose them. */
private fun Prompt.suspectParts(): List<PromptPartId> =
    sharedParts().filter { it.text.length <= MAX_PART_ID_LENGTH }.distinct().take(MAX_SUSPECT_PARTS)

private const val MAX_SUSPECT_PARTS = 64
private const val MAX_PART_ID_LENGTH = 128
