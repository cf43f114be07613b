package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** Describes why a text could not be decoded. */
public data class JsonError(public val detail: String)

/** Encodes and decodes JSON bodies; decoding ignores unknown fields. */
public object JsonBodies {
    private val json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

    private val compactJson = Json { encodeDefaults = false }

    /** Returns [value] as JSON text. */
    public fun <T> encode(serializer: KSerializer<T>, value: T): String = json.encodeToString(serializer, value)

    /** Returns [value] as JSON text on one line, without the fields that have their default values. */
    public fun <T> encodeCompact(serializer: KSerializer<T>, value: T): String =
        compactJson.encodeToString(serializer, value)

    /** Returns the value decoded from [text], or an error if it is not JSON of the expected form. */
    @Suppress("TooGenericExceptionCaught") // The parser reports some malformed texts by exceptions of its internals.
    public fun <T> decode(serializer: KSerializer<T>, text: String): Result<T, JsonError> =
        try {
            Ok(json.decodeFromString(serializer, text))
        } catch (e: RuntimeException) {
            Err(JsonError(e.message.orEmpty()))
        }
}
