package gypsumcart.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Holds one message of a conversation, in the widely used chat form. */
@Serializable
public data class ChatMessage(val role: String, val content: String)

/**
 * Asks an engine to generate: the body of `POST /v1/chat/completions`.
 *
 * @property requestId names the stream by which it can be resumed, `requestId/attempt`
 * @property priority 0 is the most urgent
 * @property continuation text that the answer already has; generation goes on after it
 * @property firstIndex the index of the first chunk that is sent
 */
@Serializable
public data class EngineRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int,
    @SerialName("request_id") val requestId: String,
    val priority: Int = 0,
    val continuation: String = "",
    @SerialName("first_index") val firstIndex: Int = 0,
)

/**
 * Holds one `data:` line of an engine's stream.
 *
 * @property index the chunk's place in the answer
 * @property finish null until the last line of the stream, whose [text] is empty
 */
@Serializable
public data class EngineChunk(
    val index: Int,
    val text: String,
    val tokens: Int,
    val finish: String? = null,
    val usage: EngineUsage? = null,
)

/**
 * Counts the tokens of one stream.
 *
 * @property cachedTokens how many of the prompt's tokens came from the prefix cache
 * @property computedTokens how many tokens the engine worked through, prompt and answer together
 */
@Serializable
public data class EngineUsage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("generated_tokens") val generatedTokens: Int,
    @SerialName("cached_tokens") val cachedTokens: Int,
    @SerialName("computed_tokens") val computedTokens: Int,
)

/**
 * Reports an engine's load: the answer of `GET /v1/load`, which lags behind by [ageMillis].
 *
 * @property running requests in the batch
 * @property waiting requests that wait for a place in the batch
 * @property waitingTokens prompt tokens of those that wait
 */
@Serializable
public data class EngineLoad(
    val running: Int,
    val waiting: Int,
    @SerialName("waiting_tokens") val waitingTokens: Int,
    @SerialName("age_millis") val ageMillis: Long,
    @SerialName("cache_tokens") val cacheTokens: Int,
    val leaving: Boolean = false,
)

/**
 * Tells of one change of an engine's prefix cache: the lines of `GET /v1/cache-events?after=N`.
 *
 * @property number counts the events without gaps at the engine; a gap means that some were lost on the way
 * @property prefixes the hashes of the blocks that came or went, the shortest prefix first
 */
@Serializable
public data class CacheEvent(
    val number: Long,
    val kind: CacheEventKind,
    val prefixes: List<Long>,
)

/** Says what happened to blocks of the prefix cache. */
@Serializable
public enum class CacheEventKind { STORED, REMOVED, CLEARED }

/**
 * Orders an engine to change: the body of `POST /v1/orders`.
 *
 * @property fencing the number of the lease under which the order is given
 */
@Serializable
public data class EngineOrder(
    val kind: EngineOrderKind,
    val name: String,
    val version: String,
    val fencing: Long,
)

/** Says what an order changes. */
@Serializable
public enum class EngineOrderKind { LOAD_MODEL, LOAD_ADAPTER, CHANGE_ROLE }
