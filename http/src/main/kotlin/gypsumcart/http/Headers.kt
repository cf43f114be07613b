package gypsumcart.http

import io.ktor.http.cio.HttpHeadersMap

/** Holds one header field of a message. */
public data class HeaderField(public val name: String, public val value: String)

/** Holds the header fields of a message in their order. */
public class Headers(public val fields: List<HeaderField>) {
    /** Returns the value of the first field called [name], or null when there is none. */
    public operator fun get(
        name: String,
    ): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the values of all fields called [name]. */
    public fun all(
        name: String,
    ): List<String> = fields.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** Returns the comma-separated members of all fields called [name], in lower case. */
    public fun tokens(name: String): List<String> =
        all(name).flatMap { it.split(',') }.map { it.trim().lowercase() }.filter { it.isNotEmpty() }

    /** Returns the fields without those whose lower-case names are in [names]. */
    public fun without(names: Set<String>): Headers = Headers(fields.filter { it.name.lowercase() !in names })

    /** Returns the fields with [added] behind them. */
    public operator fun plus(added: List<HeaderField>): Headers = Headers(fields + added)

    public companion object {
        /** No fields. */
        public val EMPTY: Headers = Headers(emptyList())
    }
}

/** Returns the fields without those that concern only the connection they came on, or the framing of the body. */
public fun Headers.withoutHopByHop(): Headers = without(HOP_BY_HOP + tokens("Connection"))

internal fun HttpHeadersMap.toHeaders(): Headers =
    Headers(offsets().map { HeaderField(nameAtOffset(it).toString(), valueAtOffset(it).toString()) }.toList())

private val HOP_BY_HOP =
    setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
