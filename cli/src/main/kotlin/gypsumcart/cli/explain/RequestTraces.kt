package gypsumcart.cli.explain

import gypsumcart.core.RequestId
import java.time.Duration
import java.time.LocalDateTime

/** Describes how a request ended. */
internal sealed class RequestEnd {
    /** The text under which the summary counts the request. */
    abstract val cause: String

    /** The client received the whole response of a back end; [afterMillis] is the time since the request arrived. */
    data class Answered(val status: Int, val afterMillis: Long) : RequestEnd() {
        override val cause: String get() = "answered $status"
    }

    /** The node responded itself; [outcome] is the `outcome` field of the log line. */
    data class Concluded(val outcome: String) : RequestEnd() {
        override val cause: String get() = outcome.replace(':', ' ')
    }

    /** The client disconnected before the end of the response. */
    data object ClientGone : RequestEnd() {
        override val cause: String get() = "client gone"
    }

    /** The logs have no line about the end of the request. */
    data object Open : RequestEnd() {
        override val cause: String get() = "open"
    }
}

/** Represents one request by its log lines, in order of time. */
internal class RequestTrace(val request: RequestId, val lines: List<LogLine>) {
    val endedAt: LocalDateTime get() = lines.last().time
    val end: RequestEnd get() = lines.asReversed().firstNotNullOfOrNull { it.endOrNull() } ?: RequestEnd.Open
}

/** Represents a line about the state of a node; [age] is the time from the line to the end of the request. */
internal class StateLine(val line: LogLine, val age: Duration)

/** Groups the lines about requests into one trace for each request, in the order in which the requests ended. */
internal fun List<LogLine>.toTraces(): List<RequestTrace> =
    filter { it.request != null }
        .groupBy { checkNotNull(it.request) }
        .map { (request, lines) -> RequestTrace(request, lines.sortedBy { it.time }) }
        .sortedBy { it.endedAt }

/**
 * Returns the state of the nodes that handled the request of [trace] when it ended.
 *
 * For each node and kind of line, and each prompt part or back end if the line names one, this is the latest line since
 * the node's last start, because a node that restarts loses its earlier state. The result is sorted by time.
 */
internal fun List<LogLine>.nodeStateAtEnd(trace: RequestTrace): List<StateLine> {
    val sources = trace.lines.mapTo(HashSet()) { it.source }
    val stateLines = filter { it.request == null && it.source in sources && it.time <= trace.endedAt }
    val starts =
        stateLines
            .filter { it.event == NODE_STARTED }
            .groupBy { it.source }
            .mapValues { (_, lines) -> lines.maxOf { it.time } }
    return stateLines
        .filter { line -> starts[line.source]?.let { line.time >= it } ?: true }
        .groupBy { listOf(it.source, it.event, it["part"], it["back_end"]) }
        .map { (_, lines) -> lines.maxBy { it.time } }
        .sortedBy { it.time }
        .map { StateLine(it, Duration.between(it.time, trace.endedAt)) }
}

private fun LogLine.endOrNull(): RequestEnd? =
    when (event.text) {
        "concluded" -> this["outcome"]?.let(RequestEnd::Concluded)
        "call" -> this["result"]?.let { callEndOrNull(it) }
        else -> null
    }

private fun LogLine.callEndOrNull(result: String): RequestEnd? {
    val status = result.removePrefix(ANSWERED_PREFIX).toIntOrNull()
    return when {
        result == "client_gone" -> RequestEnd.ClientGone
        result.startsWith(ANSWERED_PREFIX) && status != null ->
            RequestEnd.Answered(status, this["after_ms"]?.toLongOrNull() ?: 0)
        else -> null
    }
}

private val NODE_STARTED = EventName("node_started")
private const val ANSWERED_PREFIX = "answered_"
