package gypsumcart.core.dispatch

import gypsumcart.core.Admitted
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.Ticket
import gypsumcart.core.routing.InstanceKey
import gypsumcart.core.routing.Verdict
import gypsumcart.core.routing.key
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tells the dispatch filter what happened. */
public sealed class DispatchEvent {
    /** A back end was chosen for a call. */
    public data class Assigned(
        public val admitted: Admitted,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
    ) : DispatchEvent()

    /** A call ended with [result]. */
    public data class CallEnded(
        public val ticket: Ticket,
        public val attempt: AttemptNumber,
        public val result: CallResult,
    ) : DispatchEvent()

    /** The request was concluded without a call. */
    public data class Concluded(public val ticket: Ticket) : DispatchEvent()
}

/** Says how a call ended. */
public sealed class CallResult {
    /** The client has the back end's whole answer. */
    public data class Answered(public val status: Int) : CallResult()

    /** The call went wrong; of its answer the client has the events up to [progress], or nothing. */
    public data class Failed(public val failure: CallFailure, public val progress: Progress) : CallResult()

    /** The client is gone. */
    public data object ClientGone : CallResult()
}

/** Says how much of an answer the client has. */
public sealed class Progress {
    /** Nothing. */
    public data object None : Progress()

    /** The head and the events up to the one with the id [lastEvent], if any came and carried an id. */
    public data class Started(public val lastEvent: String?) : Progress()
}

/** Says what the dispatch filter wants done. */
public sealed class DispatchEffect {
    /**
     * Calls [backEnd].
     *
     * @property resumeAfter the event after which the stream goes on, if the client has some of it already
     */
    public data class Call(
        public val admitted: Admitted,
        public val attempt: AttemptNumber,
        public val backEnd: BackEnd,
        public val resumeAfter: String?,
    ) : DispatchEffect()

    /** Tells the client how its request ended. */
    public data class Conclude(public val admitted: Admitted, public val outcome: Outcome) : DispatchEffect()

    /** Tells the routing filter that a call is over. */
    public data class Release(
        public val ticket: Ticket,
        public val instance: InstanceKey,
        public val verdict: Verdict,
    ) : DispatchEffect()

    /** Asks the routing filter for another back end. */
    public data class Reroute(
        public val admitted: Admitted,
        public val attempt: AttemptNumber,
        public val avoid: Set<InstanceKey>,
        public val otherwise: Outcome,
    ) : DispatchEffect()
}

/** Decides what follows from the ends of calls to back ends. */
public class Dispatch : Decider<DispatchEvent, DispatchEffect> {
    private class Run(val admitted: Admitted) {
        val called = HashSet<InstanceKey>()
        var attempt = AttemptNumber.FIRST
        var backEnd: BackEnd? = null
        var runs = 0
        var lastEvent: String? = null
    }

    private val runs = HashMap<Ticket, Run>()

    override fun decide(event: DispatchEvent, now: MonotonicTime): List<DispatchEffect> =
        when (event) {
            is DispatchEvent.Assigned -> start(event)

            is DispatchEvent.CallEnded -> end(event, now)

            is DispatchEvent.Concluded -> {
                runs -= event.ticket
                emptyList()
            }
        }

    private fun start(event: DispatchEvent.Assigned): List<DispatchEffect> {
        val run = runs.getOrPut(event.admitted.ticket) { Run(event.admitted) }
        run.attempt = event.attempt
        run.backEnd = event.backEnd
        run.called += event.backEnd.key
        return listOf(DispatchEffect.Call(run.admitted, run.attempt, event.backEnd, run.lastEvent))
    }

    private fun end(event: DispatchEvent.CallEnded, now: MonotonicTime): List<DispatchEffect> {
        val run = runs[event.ticket] ?: return emptyList()
        if (run.attempt != event.attempt) return emptyList()
        val backEnd = run.backEnd ?: return emptyList()
        run.backEnd = null
        val release = DispatchEffect.Release(event.ticket, backEnd.key, verdictOf(event.result))
        return listOf(release) + next(run, event.result, now)
    }

    private fun next(run: Run, result: CallResult, now: MonotonicTime): List<DispatchEffect> =
        when (result) {
            is CallResult.Answered, CallResult.ClientGone -> {
                runs -= run.admitted.ticket
                emptyList()
            }

            is CallResult.Failed -> listOf(fail(run, result, now))
        }

    private fun fail(run: Run, result: CallResult.Failed, now: MonotonicTime): DispatchEffect {
        val outcome = outcomeOf(run, result)
        if (result.failure.mayHaveRun) run.runs++
        if (!mayRepeat(run, result) || now >= run.admitted.due) {
            runs -= run.admitted.ticket
            return DispatchEffect.Conclude(run.admitted, outcome)
        }
        (result.progress as? Progress.Started)?.let { run.lastEvent = it.lastEvent }
        run.attempt = run.attempt.next()
        return DispatchEffect.Reroute(run.admitted, run.attempt, run.called.toSet(), outcome)
    }

    private fun outcomeOf(run: Run, result: CallResult.Failed): Outcome =
        if (result.failure.mayHaveRun || run.runs > 0) {
            Outcome.Failed(result.failure)
        } else {
            Outcome.NotRun(RefusalReason.Declined, DECLINED_WAIT)
        }

    private fun mayRepeat(run: Run, result: CallResult.Failed): Boolean {
        if (run.attempt.number >= run.admitted.route.maxAttempts + DECLINED_CALLS) return false
        if (!result.failure.mayHaveRun && result.progress == Progress.None) return true
        if (run.runs >= run.admitted.route.maxAttempts) return false
        return when (result.progress) {
            Progress.None -> run.admitted.route.kind.mayRepeat
            is Progress.Started -> mayResume(run, result.progress)
        }
    }

    private fun mayResume(run: Run, progress: Progress.Started): Boolean {
        val kind = run.admitted.route.kind
        return kind is CallKind.Streamed && kind.resumable && progress.lastEvent != null
    }

    private fun verdictOf(result: CallResult): Verdict =
        when (result) {
            is CallResult.Answered -> Verdict.HEALTHY
            CallResult.ClientGone -> Verdict.UNKNOWN
            is CallResult.Failed -> if (result.failure is CallFailure.ServerError) Verdict.UNKNOWN else Verdict.FAILING
        }

    private companion object {
        /** Calls that may be declined before a request is given up, beyond those on which it may run. */
        const val DECLINED_CALLS = 1

        /** A declining back end's queue moves on by some requests in this time. */
        val DECLINED_WAIT: Duration = 0.3.seconds
    }
}
