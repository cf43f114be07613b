package gypsumcart.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Describes why a request ended without a back end's response. */
public sealed class Outcome {
    /** The request did not run and never will; the client may retry it after [retryAfter]. */
    public data class NotRun(public val reason: RefusalReason, public val retryAfter: Duration?) : Outcome() {
        public companion object {
            /** A stopping node refuses the request; the client may retry soon, as other nodes can accept it at once. */
            public val STOPPING: NotRun = NotRun(RefusalReason.Stopping, 50.milliseconds)
        }
    }

    /** The request ran or may have run, but its response is not available. */
    public data class Failed(public val failure: CallFailure) : Outcome()
}

/** Describes why a request was not sent to a back end, or not run by it. */
public sealed class RefusalReason {
    /** No configuration is in force yet. */
    public data object NoConfiguration : RefusalReason()

    /** No route matches the host and path. */
    public data object NoRoute : RefusalReason()

    /** The route requires an API key of a team, and the request has none or an unknown one. */
    public data object UnknownKey : RefusalReason()

    /** The request has no id. */
    public data object NoRequestId : RefusalReason()

    /** The team has used up its quota. */
    public data object QuotaExceeded : RefusalReason()

    /** The filter named [filter] is at its capacity. */
    public data class Overloaded(public val filter: String) : RefusalReason()

    /** Requests with [part] in their prompts crash the back ends that run them. */
    public data class Quarantined(public val part: PromptPartId) : RefusalReason()

    /** The limits that the back ends of the service have stated are used up. */
    public data object BackEndsLimited : RefusalReason()

    /** All back ends of the service have asked this node for a pause. */
    public data object BackEndsPaused : RefusalReason()

    /** The node is shutting down and does not forward the request, which might not end in time. */
    public data object Stopping : RefusalReason()

    /** No back end of the service could accept the request in time. */
    public data object NoBackEnd : RefusalReason()

    /** The client has a part of the stream, and no record tells which version of the software wrote it. */
    public data object OriginUnknown : RefusalReason()

    /** The client has a part of the stream, and no back end of the version that wrote it accepts requests. */
    public data object OriginGone : RefusalReason()

    /** The back ends that were called declined the request or could not be reached. */
    public data object Declined : RefusalReason()
}

/** Describes why a call to a back end failed. */
public sealed class CallFailure {
    /** Whether the back end may have run the request. */
    public abstract val mayHaveRun: Boolean

    /** The connection was refused or not established. */
    public data object ConnectFailed : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** The call was not sent, since its back end had meanwhile stated that it accepts none. */
    public data object Withheld : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** This node reaches no back end, and no other node carried the connection. */
    public data object NoPath : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** This node lost its connections to the back ends while the call was in progress. */
    public data object CutOff : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end declined the request with [status] and stated that it did not run. */
    public data class Declined(public val status: Int) : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /**
     * A refusal with [status] arrived that states that some request did not run, but nothing shows that it is this one.
     */
    public data class UnattributedRefusal(public val status: Int) : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** Another back end responds at the address. */
    public data object WrongInstance : CallFailure() {
        override val mayHaveRun: Boolean get() = false
    }

    /** The connection closed before the end of the response. */
    public data object Truncated : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The response did not start or did not continue in time. */
    public data object TimedOut : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end sent something that is not a valid response to the request. */
    public data object InvalidResponse : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** This node ended the call, because its process stops before the response is complete. */
    public data object Aborted : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end responded with [status] to a call that was to resume a stream of which the client has a part. */
    public data class NotResumed(public val status: Int) : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }

    /** The back end failed with [status] and did not state that the request did not run. */
    public data class ServerError(public val status: Int) : CallFailure() {
        override val mayHaveRun: Boolean get() = true
    }
}
