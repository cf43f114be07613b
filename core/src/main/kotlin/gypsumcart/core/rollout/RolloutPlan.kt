package gypsumcart.core.rollout

import gypsumcart.core.RolloutLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds what the lease holder knows about a roll-out that has not ended.
 *
 * @property elapsed the time since the order
 * @property newBackEnds the number of back ends of the new version that are listed, work at full speed and stay
 * @property oldBackEnds the number of other back ends that stay
 * @property absentFor the time for which no back end of the new version has been listed
 * @property longestCall the longest time that a call to the old version took on any node
 * @property unsealedLive the number of live nodes that have not sealed the old version
 * @property unsealedSilent the number of nodes that were heard of, but not lately, and have not sealed it
 */
internal data class RolloutFacts(
    val duration: Duration,
    val elapsed: Duration,
    val newBackEnds: Int,
    val oldBackEnds: Int,
    val absentFor: Duration,
    val longestCall: Duration,
    val condemned: Boolean,
    val acquitted: Boolean,
    val favoured: Boolean,
    val unsealedLive: Int,
    val unsealedSilent: Int,
)

/**
 * Determines the stage that follows another one.
 *
 * A version that turns bad late shows it only while it is watched, so that the roll-out is committed as late as the
 * calls in progress allow it to be complete in time.
 */
internal class RolloutPlan(private val limits: RolloutLimits) {
    /** Returns the stage to move on to, or null to stay. */
    fun nextStageOrNull(stage: RolloutStage, facts: RolloutFacts): RolloutStage? =
        when {
            stage.isFinal -> null
            facts.condemned -> RolloutStage.RolledBack(RollbackCause.FAULT)
            else ->
                when (stage) {
                    RolloutStage.Prepared -> afterPreparation(facts)
                    is RolloutStage.Watched -> afterWatching(stage, facts)
                    RolloutStage.Committed -> afterCommitment(facts)
                    RolloutStage.Complete, is RolloutStage.RolledBack -> null
                }
        }

    private fun afterPreparation(facts: RolloutFacts): RolloutStage? =
        when {
            facts.newBackEnds > 0 -> RolloutStage.Watched(limits.exposedShare * FIRST_PART)
            facts.elapsed >= facts.duration -> RolloutStage.RolledBack(RollbackCause.ABSENT)
            else -> null
        }

    private fun afterWatching(stage: RolloutStage.Watched, facts: RolloutFacts): RolloutStage? {
        val suffices = facts.newBackEnds >= facts.oldBackEnds * MIN_REPLACED
        return when {
            suffices && facts.acquitted && facts.elapsed >= commitTime(facts) -> RolloutStage.Committed
            suffices && facts.favoured && facts.elapsed >= lastCall(facts) -> RolloutStage.Committed
            facts.elapsed >= facts.duration ->
                RolloutStage.RolledBack(if (suffices) RollbackCause.UNPROVEN else RollbackCause.ABSENT)
            else -> raised(stage, facts)
        }
    }

    /** Returns the time of the commitment, after which calls on the old version must end within the order's time. */
    private fun commitTime(facts: RolloutFacts): Duration {
        val needed = facts.longestCall + SPREADING + facts.duration * RESERVE
        return (facts.duration - needed).coerceAtLeast(facts.duration * MIN_WATCHED)
    }

    /** Returns the time at which a version that shows no sign of a fault is committed, though little proves it. */
    private fun lastCall(facts: RolloutFacts): Duration = commitTime(facts) + facts.duration * RESERVE

    private fun raised(stage: RolloutStage.Watched, facts: RolloutFacts): RolloutStage? {
        if (facts.newBackEnds == 0) return null
        val fullLoad = (1.0 / facts.newBackEnds).coerceAtMost(MAX_SHARE)
        val most = limits.exposedShare * SECOND_PART
        val due = commitTime(facts)
        val share =
            when {
                facts.elapsed >= due * FULL_LOAD_FROM -> maxOf(most, fullLoad)
                facts.elapsed >= due * SECOND_FROM -> most
                else -> limits.exposedShare * FIRST_PART
            }
        return if (share > stage.share) RolloutStage.Watched(share) else null
    }

    private fun afterCommitment(facts: RolloutFacts): RolloutStage? {
        val isLate = facts.elapsed >= facts.duration - SILENCE_RESERVE
        return when {
            facts.absentFor >= ABSENCE -> RolloutStage.RolledBack(RollbackCause.ABSENT)
            // A node that is silent may have gone or be cut off with calls in progress, so it is waited for.
            facts.unsealedLive == 0 && (facts.unsealedSilent == 0 || isLate) -> RolloutStage.Complete
            else -> null
        }
    }

    private companion object {
        /** The part of the exposed share with which watching starts, so that what fails at once fails little. */
        const val FIRST_PART = 0.3

        /** The part up to which the share rises; the rest is for requests that clients send again. */
        const val SECOND_PART = 0.8

        /** The fractions of the time before the commitment at which the share rises, and a back end is loaded fully. */
        const val SECOND_FROM = 0.4
        const val FULL_LOAD_FROM = 0.7

        /** With a single new back end, a share above this would show no more. */
        const val MAX_SHARE = 0.5

        /** The number of new back ends needed for each old one; some may just have been lost with a zone. */
        const val MIN_REPLACED = 0.5

        /** The fraction of the order's time for which a version is watched at least. */
        const val MIN_WATCHED = 0.35

        /** The time that a row and the reports of all nodes on it take. */
        val SPREADING: Duration = 2.5.seconds

        /** The fraction of the order's time that is kept for a change of the holder or a slow store. */
        const val RESERVE = 0.1

        /** So long before the end of the order's time a silent node counts as gone. */
        val SILENCE_RESERVE: Duration = 700.milliseconds

        /** Entries of live back ends are missing for a shorter time. */
        val ABSENCE: Duration = 3.seconds
    }
}
