package gypsumcart.http

import io.ktor.http.cio.HttpHeadersMap

/** Represents one header field of a message. */
public data class HeaderField(public val name: String, public val value: String)

/** Represents the header fields of a message in their order; names are matched without regard to case. */
public class Headers(public val fields: List<HeaderField>) {
    /** Returns the value of the first field named [name], or null if there is none. */
    public operator fun get(
        name: String,
    ): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the values of all fields named [name]. */
    public fun getAll(
        name: String,
    ): List<String> = fields.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** Returns the elements of the comma-separated lists in all fields named [name], in lower case. */
    public fun tokens(name: String): List<String> =
        getAll(name).flatMap { it.split(',') }.map { it.trim().lowercase() }.filter { it.isNotEmpty() }

    /** Returns the fields except those named in [names], which must be in lower case. */
    public fun without(names: Set<String>): Headers = Headers(fields.filter { it.name.lowercase() !in names })

    /** Returns the fields followed by [added]. */
    public operator fun plus(added: List<HeaderField>): Headers = Headers(fields + added)

    public companion object {
        /** No fields. */
        public val EMPTY: Headers = Headers(emptyList())
    }
}

/** Returns the fields except those that apply to one connection only (hop-by-hop), and those that frame the body. */
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
