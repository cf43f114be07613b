package gypsumcart.core.admission

import gypsumcart.core.Address
import gypsumcart.core.Decider
import gypsumcart.core.Fleet
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.RequestId
import gypsumcart.core.RequestIdentity
import gypsumcart.core.Submission
import gypsumcart.core.SubscriberId
import gypsumcart.core.Team
import gypsumcart.core.TeamName
import gypsumcart.core.UncertaintyReason

/** Tells the admission filter what happened. */
public sealed class AdmissionEvent {
    /** A configuration is in force from now on. */
    public data class Configured(public val fleet: Fleet) : AdmissionEvent()

    /** A caller submitted a request and waits for its answer as [subscriber]. */
    public data class Submitted(
        public val submission: Submission,
        public val subscriber: SubscriberId,
    ) : AdmissionEvent()

    /** An accepted request ended; its record stays for callers that come back. */
    public data class Ended(public val request: RequestId) : AdmissionEvent()

    /** The records of ended requests were dropped. */
    public data class Expired(public val requests: List<RequestId>) : AdmissionEvent()

    /** The node takes no new requests from now on; the nodes at [elsewhere] do. */
    public data class DrainStarted(public val elsewhere: List<Address>) : AdmissionEvent()
}

/** Says what the admission filter wants done. */
public sealed class AdmissionEffect {
    /** Opens a record of the request and makes [subscriber] its first. */
    public data class Open(public val submission: Submission, public val subscriber: SubscriberId) : AdmissionEffect()

    /** Finds a back end for an accepted request. */
    public data class Route(public val submission: Submission) : AdmissionEffect()

    /** Lets [subscriber] have the answer of a request that another submission opened. */
    public data class Join(
        public val request: RequestId,
        public val team: TeamName,
        public val subscriber: SubscriberId,
    ) : AdmissionEffect()

    /** Tells [subscriber] that its submission isn't taken. */
    public data class Refuse(public val subscriber: SubscriberId, public val outcome: Outcome) : AdmissionEffect()

    /** Reports that the last request in progress has ended since the drain started. */
    public data object Drained : AdmissionEffect()
}

/**
 * Decides which submissions become requests in progress.
 *
 * @property maxInProgress the most requests in progress at once, over all teams
 */
public class Admission(private val maxInProgress: Int) : Decider<AdmissionEvent, AdmissionEffect> {
    private class Entry(val identity: RequestIdentity, var inProgress: Boolean)

    private var fleet: Fleet? = null
    private var drain: AdmissionEvent.DrainStarted? = null
    private val entries = HashMap<RequestId, Entry>()
    private val byIdentity = HashMap<RequestIdentity, RequestId>()
    private val inProgressByTeam = HashMap<TeamName, Int>()
    private var inProgress = 0

    override fun decide(event: AdmissionEvent, now: MonotonicTime): List<AdmissionEffect> =
        when (event) {
            is AdmissionEvent.Configured -> configure(event.fleet)
            is AdmissionEvent.Submitted -> submit(event.submission, event.subscriber)
            is AdmissionEvent.Ended -> end(event.request)
            is AdmissionEvent.Expired -> expire(event.requests)
            is AdmissionEvent.DrainStarted -> startDrain(event)
        }

    private fun configure(fleet: Fleet): List<AdmissionEffect> {
        this.fleet = fleet
        return emptyList()
    }

    private fun submit(submission: Submission, subscriber: SubscriberId): List<AdmissionEffect> {
        val known = byIdentity[submission.identity]
        if (known != null) return listOf(AdmissionEffect.Join(known, submission.identity.team, subscriber))
        val refusal = refusalOrNull(submission)
        if (refusal != null) return listOf(AdmissionEffect.Refuse(subscriber, refused(submission, refusal)))
        accept(submission)
        return listOf(AdmissionEffect.Open(submission, subscriber), AdmissionEffect.Route(submission))
    }

    private fun refusalOrNull(submission: Submission): RefusalReason? {
        val fleet = this.fleet ?: return RefusalReason.NoConfiguration
        drain?.let { return RefusalReason.Leaving(it.elsewhere) }
        val team = fleet.teams[submission.identity.team] ?: return RefusalReason.NotAllowed(submission.work.service)
        return serviceRefusalOrNull(fleet, team, submission) ?: loadRefusalOrNull(team)
    }

    private fun serviceRefusalOrNull(fleet: Fleet, team: Team, submission: Submission): RefusalReason? {
        val service = submission.work.service
        if (service !in fleet.services) return RefusalReason.NoSuchService(service)
        if (service !in team.services) return RefusalReason.NotAllowed(service)
        return null
    }

    private fun loadRefusalOrNull(team: Team): RefusalReason? {
        if (inProgress >= maxInProgress) return RefusalReason.Overloaded("admission")
        if (inProgressOf(team.name) >= team.maxInProgress) return RefusalReason.TeamLimit(team.maxInProgress)
        return null
    }

    private fun accept(submission: Submission) {
        val identity = submission.identity
        entries[submission.id] = Entry(identity, inProgress = true)
        byIdentity[identity] = submission.id
        inProgress++
        inProgressByTeam[identity.team] = inProgressOf(identity.team) + 1
    }

    private fun end(request: RequestId): List<AdmissionEffect> {
        val entry = entries[request] ?: return emptyList()
        if (!entry.inProgress) return emptyList()
        entry.inProgress = false
        inProgress--
        inProgressByTeam[entry.identity.team] = inProgressOf(entry.identity.team) - 1
        return drainedIfIdle()
    }

    private fun expire(requests: List<RequestId>): List<AdmissionEffect> {
        for (request in requests) {
            val entry = entries.remove(request) ?: continue
            byIdentity.remove(entry.identity, request)
        }
        return emptyList()
    }

    private fun startDrain(event: AdmissionEvent.DrainStarted): List<AdmissionEffect> {
        drain = event
        return drainedIfIdle()
    }

    private fun drainedIfIdle(): List<AdmissionEffect> =
        if (drain != null && inProgress == 0) listOf(AdmissionEffect.Drained) else emptyList()

    private fun inProgressOf(team: TeamName): Int = inProgressByTeam[team] ?: 0
}

/**
 * Returns the outcome to tell of a submission that was refused for [reason].
 *
 * Only a first submission is known not to have run: an earlier one of its identity may be running on another node.
 */
public fun refused(submission: Submission, reason: RefusalReason): Outcome =
    if (submission.firstAttempt) {
        Outcome.NotRun(reason)
    } else {
        Outcome.Unknown(UncertaintyReason.SubmissionRefused(reason))
    }
