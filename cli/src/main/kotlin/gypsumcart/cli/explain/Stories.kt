package gypsumcart.cli.explain

import gypsumcart.core.RequestId
import java.time.Duration
import java.time.LocalDateTime

/** Says how a request ended. */
internal sealed class Ending {
    /** What the summary counts it under. */
    abstract val cause: String

    /** A back end's answer was passed on. */
    data class Answered(val status: Int, val afterMillis: Long) : Ending() {
        override val cause: String get() = "answered $status"
    }

    /** The system gave the answer itself. */
    data class Concluded(val outcome: String) : Ending() {
        override val cause: String get() = outcome.replace(':', ' ')
    }

    /** The client left first. */
    data object ClientGone : Ending() {
        override val cause: String get() = "client gone"
    }

    /** The logs end before the request does. */
    data object Open : Ending() {
        override val cause: String get() = "open"
    }
}

/** Holds all that the logs say of one request, in order. */
internal class Story(val request: RequestId, val lines: List<LogLine>) {
    val endedAt: LocalDateTime get() = lines.last().time
    val ending: Ending get() = lines.asReversed().firstNotNullOfOrNull { it.endingOrNull() } ?: Ending.Open
}

/** Holds the newest line of its kind before a request's end, and how old it was then. */
internal class Belief(val line: LogLine, val age: Duration)

/** Gathers the lines that are about requests into one story each, in the order in which the requests ended. */
internal fun List<LogLine>.toStories(): List<Story> =
    filter { it.request != null }
        .groupBy { checkNotNull(it.request) }
        .map { (request, lines) -> Story(request, lines.sortedBy { it.time }) }
        .sortedBy { it.endedAt }

/**
 * Returns what the nodes that handled [story] believed when it ended: the newest line of each kind since the node's
 * last start, with which it forgot all before.
 */
internal fun List<LogLine>.beliefsBehind(story: Story): List<Belief> {
    val sources = story.lines.mapTo(HashSet()) { it.source }
    val known = filter { it.request == null && it.source in sources && it.time <= story.endedAt }
    val starts = known.filter { it.event == START }.groupBy { it.source }.mapValues { (_, of) -> of.maxOf { it.time } }
    return known
        .filter { line -> starts[line.source]?.let { line.time >= it } ?: true }
        .groupBy { it.source to it.event }
        .map { (_, lines) -> lines.maxBy { it.time } }
        .sortedBy { it.time }
        .map { Belief(it, Duration.between(it.time, story.endedAt)) }
}

private fun LogLine.endingOrNull(): Ending? =
    when (event.text) {
        "concluded" -> this["outcome"]?.let(Ending::Concluded)
        "call" -> this["result"]?.let { callEndingOrNull(it) }
        else -> null
    }

private fun LogLine.callEndingOrNull(result: String): Ending? {
    val status = result.removePrefix(ANSWERED).toIntOrNull()
    return when {
        result == "client_gone" -> Ending.ClientGone
        result.startsWith(ANSWERED) && status != null -> Ending.Answered(status, this["after_ms"]?.toLongOrNull() ?: 0)
        else -> null
    }
}

private val START = EventName("node_started")
private const val ANSWERED = "answered_"
