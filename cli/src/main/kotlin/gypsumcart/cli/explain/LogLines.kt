package gypsumcart.cli.explain

import gypsumcart.core.RequestId
import java.time.LocalDateTime
import java.time.format.DateTimeParseException

/** Names the node whose log a line stands in: a file's name, or what stands before the line's time. */
@JvmInline
internal value class LogSource(val text: String) {
    override fun toString(): String = text
}

/** Names a kind of log line. */
@JvmInline
internal value class EventName(val text: String) {
    override fun toString(): String = text
}

/**
 * Holds a line of a node's log.
 *
 * @property time UTC
 * @property request the request that the line is about, or null when it is about what the node believes
 * @property text the line from its event on
 */
internal class LogLine(
    val source: LogSource,
    val time: LocalDateTime,
    val event: EventName,
    val request: RequestId?,
    val text: String,
    private val fields: Map<String, String>,
) {
    /** Returns the field [name], or null when the line has none or it is null. */
    operator fun get(name: String): String? = fields[name]?.takeUnless { it == "null" }
}

/** Returns the line that [text] from the log called [file] holds, or null when it is not one of a node. */
internal fun logLineOrNull(text: String, file: String): LogLine? {
    val start = text.indexOf(TIME)
    if (start < 0) return null
    val fields = FIELD.findAll(text, start).associate { it.groupValues[1] to it.groupValues[2] }
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

/** Returns the time that [text] names, in UTC, or null when it names none. */
internal fun timeOrNull(text: String): LocalDateTime? =
    try {
        LocalDateTime.parse(text)
    } catch (_: DateTimeParseException) {
        null
    }

private const val TIME = "time="
private val FIELD = Regex("""(?<=^|\s)([a-z_]+)=(\S*)""")
