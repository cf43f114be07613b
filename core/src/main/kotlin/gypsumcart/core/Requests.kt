package gypsumcart.core

import kotlin.time.Duration

/**
 * Describes a request as submitted by a client.
 *
 * @property remainingTime how long after [arrivedAt] the client still waits for the complete response, or null if the
 * request does not state it
 * @property takeUp what the request says of the stream whose rest it asks for, or null if it asks for a whole response
 */
public data class Submission(
    public val ticket: Ticket,
    public val requestId: RequestId?,
    public val host: String,
    public val path: String,
    public val key: ApiKey?,
    public val remainingTime: Duration?,
    public val prompt: Prompt?,
    public val arrivedAt: MonotonicTime,
    public val takeUp: StreamTakeUp? = null,
)

/**
 * Describes the token generation that a request asks of a model.
 *
 * @property tokens the length of the prompt in tokens
 * @property maxNewTokens the maximum number of tokens to generate
 * @property estimatedNewTokens the client's estimate of the number of tokens generated, or null if it gives none
 * @property parts the parts of the prompt in order; the last one is specific to the request or its session
 */
public data class Prompt(
    public val tokens: Int,
    public val maxNewTokens: Int,
    public val estimatedNewTokens: Int?,
    public val parts: List<PromptPart>,
)

/** Describes one part of a prompt; [tokens] is its length. */
public data class PromptPart(public val id: PromptPartId, public val tokens: Int)

/** Describes how long [count] requests took from their arrival to their end; the [longest] may have been cut short. */
public data class RequestDurations(public val count: Int, public val longest: Duration) {
    public operator fun plus(other: RequestDurations): RequestDurations =
        RequestDurations(count + other.count, maxOf(longest, other.longest))
}

/**
 * Describes a request that passed admission.
 *
 * @property service the service chosen for it from those of the route
 * @property priority its urgency; 0 is the most urgent
 * @property deadline the time by which the client must have the complete response
 * @property origin which versions of the service's software may write the next events of the response
 */
public data class AdmittedRequest(
    public val submission: Submission,
    public val route: Route,
    public val service: ServiceName,
    public val team: TeamName?,
    public val priority: Int,
    public val deadline: MonotonicTime,
    public val origin: StreamOrigin = StreamOrigin.Unwritten,
) {
    /** Identifies the request within the process. */
    public val ticket: Ticket get() = submission.ticket
}
