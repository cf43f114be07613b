package gypsumcart.core.dispatch

import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndId
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Chunk
import gypsumcart.core.Decider
import gypsumcart.core.FailureReason
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceAnswer
import gypsumcart.core.Submission
import gypsumcart.core.UncertaintyReason
import gypsumcart.core.Usage
import gypsumcart.core.Work
import kotlin.time.Duration

/** Tells the dispatch filter what happened. */
public sealed class DispatchEvent {
    /** A back end was chosen for an attempt. */
    public data class Assigned(
        public val submission: Submission,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
    ) : DispatchEvent()

    /** A model replica sent a piece of its answer. */
    public data class ChunkReceived(
        public val request: RequestId,
        public val attempt: AttemptNumber,
        public val chunk: Chunk,
    ) : DispatchEvent()

    /** A model replica sent the end mark of its answer. */
    public data class StreamEnded(
        public val request: RequestId,
        public val attempt: AttemptNumber,
        public val usage: Usage,
    ) : DispatchEvent()

    /** A plain service answered. */
    public data class ServiceAnswered(
        public val request: RequestId,
        public val attempt: AttemptNumber,
        public val answer: ServiceAnswer,
    ) : DispatchEvent()

    /** The call went wrong. */
    public data class CallFailed(
        public val request: RequestId,
        public val attempt: AttemptNumber,
        public val failure: CallFailure,
    ) : DispatchEvent()

    /** A back end finishes no more work that it has. */
    public data class Evacuated(public val backEnd: BackEndId) : DispatchEvent()

    /** The time came to look for calls that make no progress. */
    public data object Sweep : DispatchEvent()
}

/** Says what the dispatch filter wants done. */
public sealed class DispatchEffect {
    /**
     * Calls [backEnd].
     *
     * @property delivered the pieces of the answer that earlier attempts brought; the call goes on after them
     */
    public data class Call(
        public val submission: Submission,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
        public val delivered: List<Chunk>,
    ) : DispatchEffect()

    /** Ends the call of an attempt whose answer isn't wanted any more. */
    public data class CancelCall(public val request: RequestId, public val attempt: AttemptNumber) : DispatchEffect()

    /** Passes on a piece of the answer. */
    public data class Deliver(public val request: RequestId, public val chunk: Chunk) : DispatchEffect()

    /** Passes on the end of the request, with the answer of a plain service if there is one. */
    public data class Finish(
        public val request: RequestId,
        public val outcome: Outcome,
        public val answer: ServiceAnswer?,
    ) : DispatchEffect()

    /** Tells the routing filter that the call is over. */
    public data class Release(public val request: RequestId, public val backEnd: BackEndId) : DispatchEffect()

    /** Asks the routing filter for a back end for the next attempt. */
    public data class Reroute(
        public val submission: Submission,
        public val attempt: AttemptNumber,
        public val avoid: Set<BackEndId>,
    ) : DispatchEffect()
}

/**
 * Limits what the dispatch filter spends on one request.
 *
 * @property maxAttempts the most calls made for one request
 * @property stallLimit how long a call may go without progress
 */
public data class DispatchLimits(public val maxAttempts: Int, public val stallLimit: Duration)

/** Decides what follows from the progress and the failures of calls to back ends. */
public class Dispatch(private val limits: DispatchLimits) : Decider<DispatchEvent, DispatchEffect> {
    private class Run(val submission: Submission) {
        val chunks = ArrayList<Chunk>()
        val failedAt = HashSet<BackEndId>()
        var attempt = AttemptNumber.FIRST
        var backEnd: BackEnd? = null
        var progressAt = MonotonicTime(0)
    }

    private val runs = LinkedHashMap<RequestId, Run>()

    override fun decide(event: DispatchEvent, now: MonotonicTime): List<DispatchEffect> =
        when (event) {
            is DispatchEvent.Assigned -> start(event, now)
            is DispatchEvent.ChunkReceived -> onRun(event.request, event.attempt) { takeChunk(it, event.chunk, now) }
            is DispatchEvent.StreamEnded -> onRun(event.request, event.attempt) { complete(it, event.usage, null) }
            is DispatchEvent.ServiceAnswered -> onRun(event.request, event.attempt) { answer(it, event.answer) }
            is DispatchEvent.CallFailed -> onRun(event.request, event.attempt) { fail(it, event.failure) }
            is DispatchEvent.Evacuated -> evacuate(event.backEnd)
            DispatchEvent.Sweep -> sweep(now)
        }

    private fun start(event: DispatchEvent.Assigned, now: MonotonicTime): List<DispatchEffect> {
        val run = runs.getOrPut(event.submission.id) { Run(event.submission) }
        run.attempt = event.attempt
        run.backEnd = event.backEnd
        run.progressAt = now
        return listOf(DispatchEffect.Call(run.submission, run.attempt, event.backEnd, run.chunks.toList()))
    }

    /** Calls [action] if [attempt] is the current one of [request]; what comes of an older attempt is dropped. */
    private inline fun onRun(
        request: RequestId,
        attempt: AttemptNumber,
        action: (Run) -> List<DispatchEffect>,
    ): List<DispatchEffect> {
        val run = runs[request] ?: return emptyList()
        if (run.attempt != attempt || run.backEnd == null) return emptyList()
        return action(run)
    }

    private fun takeChunk(run: Run, chunk: Chunk, now: MonotonicTime): List<DispatchEffect> {
        run.progressAt = now
        val next = run.chunks.size
        return when {
            chunk.index < next -> emptyList()

            chunk.index > next -> cancelAndFail(run, CallFailure.Unreadable)

            else -> {
                run.chunks += chunk
                listOf(DispatchEffect.Deliver(run.submission.id, chunk))
            }
        }
    }

    private fun complete(run: Run, usage: Usage, answer: ServiceAnswer?): List<DispatchEffect> =
        finish(run, Outcome.Completed(usage), answer)

    private fun answer(run: Run, answer: ServiceAnswer): List<DispatchEffect> = complete(run, Usage.NONE, answer)

    private fun finish(run: Run, outcome: Outcome, answer: ServiceAnswer?): List<DispatchEffect> {
        runs -= run.submission.id
        return listOf(DispatchEffect.Finish(run.submission.id, outcome, answer)) + release(run)
    }

    private fun fail(run: Run, failure: CallFailure): List<DispatchEffect> {
        val final = finalOutcomeOrNull(run, failure)
        if (final != null) return finish(run, final, null)
        run.backEnd?.let { run.failedAt += it.id }
        val effects = release(run)
        run.attempt = run.attempt.next()
        return effects + DispatchEffect.Reroute(run.submission, run.attempt, run.failedAt.toSet())
    }

    /** Returns the outcome when no further attempt may follow [failure], or null when one follows. */
    private fun finalOutcomeOrNull(run: Run, failure: CallFailure): Outcome? {
        val exhausted = run.attempt.number >= limits.maxAttempts
        return when (run.submission.work.kind) {
            CallKind.AtMostOnce -> onceOutcomeOrNull(failure, exhausted)
            CallKind.Idempotent, CallKind.Deduplicating ->
                if (exhausted) Outcome.Failed(FailureReason.AttemptsExhausted(failure)) else null
        }
    }

    private fun onceOutcomeOrNull(failure: CallFailure, exhausted: Boolean): Outcome? =
        when {
            failure.mayHaveRun -> Outcome.Unknown(UncertaintyReason.AnswerLost(failure))
            exhausted -> Outcome.NotRun(RefusalReason.NoBackEnd)
            else -> null
        }

    private fun evacuate(backEnd: BackEndId): List<DispatchEffect> =
        runs.values
            .filter { it.backEnd?.id == backEnd && it.submission.work is Work.Completion }
            .flatMap { cancelAndFail(it, CallFailure.Leaving) }

    private fun sweep(now: MonotonicTime): List<DispatchEffect> =
        runs.values
            .filter { it.backEnd != null && now - it.progressAt > limits.stallLimit }
            .flatMap { cancelAndFail(it, CallFailure.Stalled(limits.stallLimit)) }

    private fun cancelAndFail(run: Run, failure: CallFailure): List<DispatchEffect> {
        val cancel = DispatchEffect.CancelCall(run.submission.id, run.attempt)
        return listOf(cancel) + fail(run, failure)
    }

    private fun release(run: Run): List<DispatchEffect> {
        val backEnd = run.backEnd ?: return emptyList()
        run.backEnd = null
        return listOf(DispatchEffect.Release(run.submission.id, backEnd.id))
    }
}
