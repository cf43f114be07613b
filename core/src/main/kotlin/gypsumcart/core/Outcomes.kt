package gypsumcart.core

import kotlin.time.Duration

/** Says why a request got no answer of a back end. */
public sealed class Outcome {
    /** The request did not run and never will; the client may come back after [retryAfter]. */
    public data class NotRun(public val reason: RefusalReason, public val retryAfter: Duration?) : Outcome()

    /** The request ran, or may have, and its answer is not to be had. */
    public data class Failed(public val failure: CallFailure) : Outcome()
}

/** Says why a request was not sent to a back end, or not run by it. */
public sealed class RefusalReason {
    /** No configuration is in force yet. */
    public data object NoConfiguration : RefusalReason()

    /** No route leads on from the host and path. */
    public data object NoRoute : RefusalReason()

    /** The route needs a key that a team holds. */
    public data object UnknownKey : RefusalReason()

    /** The request carries no id. */
    public data object NoRequestId : RefusalReason()

    /** The team has used up its quota. */
    public data object QuotaExceeded : RefusalReason()

    /** The filter named [filter] has no room for more. */
    public data class Overloaded(public val filter: String) : RefusalReason()

    /** The node is about to end and sends nothing on any more. */
    public data object Stopping : RefusalReason()

    /** No back end of the service could take the request in time. */
    public data object NoBackEnd : RefusalReason()

    /** The back ends that were asked declined. */
    public data object Declined : RefusalReason()
}

/** Says how one call to a back end went wrong. */
public sealed class CallFailure {
    /** Whether the back end may have run the request. */
    public abstract val mayHaveRun: Boolean

    /** The connection was refused or never made. */
    public data object ConnectFailed : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** The back end declined the request with [status] and says that it did not run. */
    public data class Declined(public val status: Int) : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** Another back end answers at the address. */
    public data object WrongInstance : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** The connection closed before the end of the answer. */
    public data object Cut : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The answer did not come, or did not go on, in time. */
    public data object TimedOut : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end answered something that is not an answer to the request. */
    public data object Unreadable : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end ran the request and failed with [status]. */
    public data class ServerError(public val status: Int) : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }
}
