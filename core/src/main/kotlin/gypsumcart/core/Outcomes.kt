package gypsumcart.core

import kotlin.time.Duration

/** Says how a request ended, as its caller is told. */
public sealed class Outcome {
    /** The request ran and the caller has, or can have, the whole answer. */
    public data class Completed(public val usage: Usage) : Outcome()

    /** The request did not run and never will under this submission. */
    public data class NotRun(public val reason: RefusalReason) : Outcome()

    /** The request ran, or may have, and won't give an answer; running it again is safe. */
    public data class Failed(public val reason: FailureReason) : Outcome()

    /** Whether the request ran can't be found out now; running it again may be unsafe. */
    public data class Unknown(public val reason: UncertaintyReason) : Outcome()
}

/** Says why a request was refused before any byte of it left for a back end. */
public sealed class RefusalReason {
    /** The filter named [filter] had no room for more. */
    public data class Overloaded(public val filter: String) : RefusalReason()

    /** The team has as many requests in progress as its limit, [limit], allows. */
    public data class TeamLimit(public val limit: Int) : RefusalReason()

    /** The team has used up its tokens; more are there after [retryAfter]. */
    public data class TokenBudget(public val retryAfter: Duration) : RefusalReason()

    /** The answer could not be given within the caller's patience. */
    public data class DeadlineUnreachable(public val expected: Duration) : RefusalReason()

    /** No service of that name is configured. */
    public data class NoSuchService(public val service: ServiceName) : RefusalReason()

    /** The team may not use the service. */
    public data class NotAllowed(public val service: ServiceName) : RefusalReason()

    /** This node is leaving; another of [elsewhere] takes the request. */
    public data class Leaving(public val elsewhere: List<Address>) : RefusalReason()

    /** The platform's table, which must record the call first, doesn't answer. */
    public data object TableUnavailable : RefusalReason()

    /** No back end of the service could be reached, and nothing was sent to any. */
    public data object NoBackEnd : RefusalReason()

    /** The node has no configuration that it may serve by. */
    public data object NoConfiguration : RefusalReason()
}

/** Says why an accepted request gave no answer. */
public sealed class FailureReason {
    /** The attempts allowed were used up; the last one ended with [last]. */
    public data class AttemptsExhausted(public val last: CallFailure) : FailureReason()

    /** The back end refused the work itself, with an HTTP status. */
    public data class Rejected(public val status: Int) : FailureReason()

    /** The caller's patience ended first. */
    public data object DeadlineExceeded : FailureReason()

    /** The caller withdrew the request. */
    public data object Cancelled : FailureReason()

    /** No node has a record of the request any more. */
    public data object NoRecord : FailureReason()
}

/** Says why it can't be told whether a request ran. */
public sealed class UncertaintyReason {
    /** The call was sent and no answer to it came. */
    public data class AnswerLost(public val failure: CallFailure) : UncertaintyReason()

    /** Another attempt sent the call, and its result was never written down. */
    public data object ResultMissing : UncertaintyReason()

    /** The platform's table, which knows, doesn't answer. */
    public data object TableUnavailable : UncertaintyReason()

    /** This submission was refused, but an earlier one of the same identity may be running elsewhere. */
    public data class SubmissionRefused(public val reason: RefusalReason) : UncertaintyReason()
}

/** Says how one call to a back end went wrong. */
public sealed class CallFailure {
    /** Whether some byte of the call may have reached the back end. */
    public abstract val mayHaveRun: Boolean

    /** The connection was refused or never made. */
    public data object ConnectFailed : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** The connection closed before the end mark of the answer. */
    public data object Cut : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** Nothing came for longer than the limit of progress. */
    public data class Stalled(public val limit: Duration) : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end answered with an HTTP status that asks to come back later. */
    public data class Busy(public val status: Int, public val retryAfter: Duration?) : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** The back end answered with another HTTP status of failure. */
    public data class Status(public val status: Int) : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end answered something that could not be read. */
    public data object Unreadable : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end is being taken back. */
    public data object Leaving : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }
}
