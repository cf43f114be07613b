package gypsumcart.core

import kotlin.time.Duration

/**
 * Describes a request as a client sent it.
 *
 * @property timeLeft how long the client will wait for the whole answer, or null when it does not say
 */
public data class Submission(
    public val ticket: Ticket,
    public val request: RequestId?,
    public val host: String,
    public val path: String,
    public val key: ApiKey?,
    public val timeLeft: Duration?,
    public val prompt: Prompt?,
    public val arrivedAt: MonotonicTime,
)

/**
 * Describes the generation that a request asks of a model.
 *
 * @property tokens the length of the prompt
 * @property maxNewTokens the most tokens to generate
 * @property likelyNewTokens the client's estimate of the number of tokens that will be generated
 * @property parts the parts of the prompt in their order; the last one belongs to the request or its session
 */
public data class Prompt(
    public val tokens: Int,
    public val maxNewTokens: Int,
    public val likelyNewTokens: Int?,
    public val parts: List<PromptPart>,
)

/** Holds one part of a prompt and its length in tokens. */
public data class PromptPart(public val id: PromptPartId, public val tokens: Int)

/**
 * Holds a request that was admitted.
 *
 * @property service the service chosen for it among the route's
 * @property rank how urgent it is, 0 is the most urgent
 * @property due when a final answer must have been given
 */
public data class Admitted(
    public val submission: Submission,
    public val route: Route,
    public val service: ServiceName,
    public val team: TeamName?,
    public val rank: Int,
    public val due: MonotonicTime,
) {
    /** The request's name within the process. */
    public val ticket: Ticket get() = submission.ticket
}
