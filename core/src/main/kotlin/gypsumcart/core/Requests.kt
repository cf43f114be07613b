package gypsumcart.core

import kotlin.time.Duration

/** Identifies what a caller asked for: submissions with equal identities are one request. */
public data class RequestIdentity(
    public val team: TeamName,
    public val caller: CallerName,
    public val key: IdempotencyKey,
)

/** Says how urgent a request is against others; the order of the entries is the order of urgency. */
public enum class Priority { INTERACTIVE, STANDARD, BATCH }

/** Holds one message of a conversation with a model. */
public data class Message(public val role: String, public val content: String)

/** Holds the body of a call to a plain service, which the system passes on unread. */
public class Body(private val bytes: ByteArray) {
    /** The length in bytes. */
    public val size: Int get() = bytes.size

    /** Returns a copy of the bytes. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    override fun equals(other: Any?): Boolean = other is Body && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Body($size bytes)"

    public companion object {
        /** A body without bytes. */
        public val EMPTY: Body = Body(ByteArray(0))
    }
}

/** Says what a service promises about calls that arrive twice. */
public sealed class CallKind {
    /** A call that may be run again freely. */
    public data object Idempotent : CallKind()

    /** A call that the back end runs once for each key it is given. */
    public data object Deduplicating : CallKind()

    /** A call that must not run twice and that the back end can't recognise. */
    public data object AtMostOnce : CallKind()
}

/** Describes what a request asks of a back end. */
public sealed class Work {
    /** The service whose back ends can do the work. */
    public abstract val service: ServiceName

    /** What may be done when a call gets lost. */
    public abstract val kind: CallKind

    /**
     * A text to generate.
     *
     * @property promptTokens the length of [messages] in tokens
     * @property maxTokens the most tokens to generate
     */
    public data class Completion(
        override val service: ServiceName,
        public val messages: List<Message>,
        public val promptTokens: Int,
        public val maxTokens: Int,
    ) : Work() {
        override val kind: CallKind get() = CallKind.Idempotent
    }

    /** A call to a plain service, passed on as it came. */
    public data class ServiceCall(
        override val service: ServiceName,
        override val kind: CallKind,
        public val method: String,
        public val path: String,
        public val contentType: String?,
        public val body: Body,
    ) : Work()
}

/**
 * Describes a request as its caller submitted it.
 *
 * @property firstAttempt whether the caller says that it never submitted this identity before
 * @property patience how long the caller wants to wait for the whole answer
 */
public data class Submission(
    public val id: RequestId,
    public val identity: RequestIdentity,
    public val work: Work,
    public val priority: Priority,
    public val firstAttempt: Boolean,
    public val patience: Duration,
)

/** Counts the tokens of one answer. */
public data class Usage(public val promptTokens: Int, public val generatedTokens: Int) {
    public companion object {
        /** The usage of an answer without tokens. */
        public val NONE: Usage = Usage(0, 0)
    }
}

/**
 * Holds a piece of an answer.
 *
 * @property index the piece's place in the answer, from 0, without gaps
 * @property tokens how many tokens the piece holds
 */
public data class Chunk(public val index: Int, public val text: String, public val tokens: Int)

/** Holds the answer of a plain service. */
public data class ServiceAnswer(public val status: Int, public val contentType: String?, public val body: Body)
