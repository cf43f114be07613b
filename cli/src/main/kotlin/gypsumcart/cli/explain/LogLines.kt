package gypsumcart.cli.explain

import gypsumcart.core.RequestId
import java.time.LocalDateTime
import java.time.format.DateTimeParseException

/** Identifies the node that wrote a line, by the word before the line's time or else by the name of the log file. */
@JvmInline
internal value class LogSource(val text: String) {
    override fun toString(): String = text
}

/** Identifies a kind of log line by the value of its `event` field. */
@JvmInline
internal value class EventName(val text: String) {
    override fun toString(): String = text
}

/**
 * Represents a line of a node's log.
 *
 * @property time the time in UTC
 * @property request the request that the line is about, or null if it is about the state of the node
 * @property text the text from the `event` field to the end of the line
 */
internal class LogLine(
    val source: LogSource,
    val time: LocalDateTime,
    val event: EventName,
    val request: RequestId?,
    val text: String,
    private val fields: Map<String, String>,
) {
    /** Returns the value of the field [name], or null if the line lacks the field or its value is `null`. */
    operator fun get(name: String): String? = fields[name]?.takeUnless { it == "null" }
}

/** Parses [text], a line of the log called [file], or returns null if it has no valid time or no `event` field. */
internal fun logLineOrNull(text: String, file: String): LogLine? {
    val start = text.indexOf(TIME_PREFIX)
    if (start < 0) return null
    val fields = FIELD_PATTERN.findAll(text, start).associate { it.groupValues[1] to it.groupValues[2] }
    val event = fields["event"] ?: return null
    val time = timeOrNull(fields.getValue("time")) ?: return null
    return LogLine(
        source = LogSource(text.substring(0, start).split(' ').lastOrNull { it.isNotBlank() } ?: file),
        time = time,
        event = EventName(event),
        request = fields["request"]?.takeUnless { it == "null" }?.let(::RequestId),
        text = text.substring(text.indexOf("event=", start)),
        fields = fields,
    )
}

/** Parses a time in UTC such as `2026-01-31T12:00:00`, or returns null if [text] is not one. */
internal fun timeOrNull(text: String): LocalDateTime? =
    try {
        LocalDateTime.parse(text)
    } catch (_: DateTimeParseException) {
        null
    }

private const val TIME_PREFIX = "time="
private val FIELD_PATTERN = Regex("""(?<=^|\s)([a-z_]+)=(\S*)""")
