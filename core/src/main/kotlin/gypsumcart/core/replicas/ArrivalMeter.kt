package gypsumcart.core.replicas

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import gypsumcart.core.Submission
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Describes what clients ask of one service through one or more nodes within their quotas, whether or not it is served.
 *
 * @property promptTokensPerSecond the tokens of prompts, including parts that back ends may hold in their caches
 * @property newTokensPerSecond the tokens to generate, as clients estimate them
 */
public data class Arrivals(
    public val requestsPerSecond: Double,
    public val promptTokensPerSecond: Double,
    public val newTokensPerSecond: Double,
) {
    /** Returns the sum of both. */
    public operator fun plus(other: Arrivals): Arrivals =
        Arrivals(
            requestsPerSecond + other.requestsPerSecond,
            promptTokensPerSecond + other.promptTokensPerSecond,
            newTokensPerSecond + other.newTokensPerSecond,
        )

    /** The work that arrives per second, in requests without prompts. */
    public val workPerSecond: Double
        get() =
            requestsPerSecond + promptTokensPerSecond / PROMPT_TOKENS_PER_WORK +
                newTokensPerSecond / NEW_TOKENS_PER_WORK

    public companion object {
        /** Nothing arrives. */
        public val NONE: Arrivals = Arrivals(0.0, 0.0, 0.0)

        /** A prompt of this many tokens counts as one more request, as in the load that nodes report. */
        private const val PROMPT_TOKENS_PER_WORK = 4_096

        /** In the time in which an engine generates a token for each request of a batch, it reads about 16 tokens. */
        private const val NEW_TOKENS_PER_WORK = 256
    }
}

/**
 * Measures what arrives for each service within the quotas of teams, whether or not there is room for it.
 *
 * A client that comes back with a request that this node has already seen is not new demand. It is recognized by the
 * last part of its prompt, which belongs to the request or its session, and by its remaining time, which goes on where
 * the earlier one ended; a new request of the same session starts with its whole time.
 */
internal class ArrivalMeter {
    private class Bucket(val startedAt: MonotonicTime) {
        val arrivals = HashMap<ServiceName, Arrivals>()
    }

    private data class Fingerprint(val service: ServiceName, val part: String, val tokens: Int, val maxNewTokens: Int)

    private val buckets = ArrayDeque<Bucket>()

    /** The time at which each request seen lately must have its response; the eldest entries yield. */
    private val deadlines =
        object : LinkedHashMap<Fingerprint, MonotonicTime>() {
            override fun removeEldestEntry(eldest: Map.Entry<Fingerprint, MonotonicTime>): Boolean =
                size > MAX_REMEMBERED
        }

    fun add(submission: Submission, service: ServiceName, now: MonotonicTime) {
        if (isRepeated(submission, service)) return
        val last = buckets.lastOrNull()?.takeIf { now - it.startedAt < BUCKET }
        val bucket = last ?: Bucket(now).also(buckets::addLast)
        val prompt = submission.prompt
        val newTokens = prompt?.let { it.estimatedNewTokens ?: it.maxNewTokens } ?: 0
        val added = Arrivals(1.0, (prompt?.tokens ?: 0).toDouble(), newTokens.toDouble())
        bucket.arrivals.merge(service, added, Arrivals::plus)
        discardOld(now)
    }

    private fun isRepeated(submission: Submission, service: ServiceName): Boolean {
        val prompt = submission.prompt ?: return false
        val remaining = submission.remainingTime ?: return false
        val part = prompt.parts.lastOrNull() ?: return false
        val fingerprint = Fingerprint(service, part.id.toString(), prompt.tokens, prompt.maxNewTokens)
        val deadline = submission.arrivedAt + remaining
        val earlier = deadlines.put(fingerprint, deadline) ?: return false
        return deadline - earlier <= DEADLINE_TOLERANCE
    }

    private fun discardOld(now: MonotonicTime) {
        while (buckets.isNotEmpty() && now - buckets.first().startedAt >= WINDOW) buckets.removeFirst()
    }

    /** Returns what arrived in the last [WINDOW], by service. */
    fun perSecond(now: MonotonicTime): Map<ServiceName, Arrivals> {
        discardOld(now)
        val seconds = WINDOW.toDouble(DurationUnit.SECONDS)
        val sums = HashMap<ServiceName, Arrivals>()
        buckets.forEach { bucket ->
            bucket.arrivals.forEach { (service, it) -> sums.merge(service, it, Arrivals::plus) }
        }
        return sums.mapValues { (_, it) ->
            Arrivals(
                it.requestsPerSecond / seconds,
                it.promptTokensPerSecond / seconds,
                it.newTokensPerSecond / seconds,
            )
        }
    }

    private companion object {
        /** Two report periods, so that a single long prompt moves the sum of all nodes little. */
        val WINDOW: Duration = 1.seconds

        /** A quarter of a report period. */
        val BUCKET: Duration = 125.milliseconds

        /** How much later than the earlier one the deadline of a repeat may seem, as clients and links need time. */
        val DEADLINE_TOLERANCE: Duration = 100.milliseconds

        /** More than the requests that a busy node gets in the time that clients wait. */
        const val MAX_REMEMBERED = 8_192
    }
}
