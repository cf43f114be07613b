package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Says that a text is not the JSON that was expected. */
public data class JsonError(public val detail: String)

/** Reads and writes JSON bodies; fields that are not known are left out when reading. */
public object JsonBodies {
    private val json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

    /** Returns the text for [value]. */
    public fun <T> encode(serializer: KSerializer<T>, value: T): String = json.encodeToString(serializer, value)

    /** Returns the value that [text] holds. */
    public fun <T> decode(serializer: KSerializer<T>, text: String): Result<T, JsonError> =
        try {
            Ok(json.decodeFromString(serializer, text))
        } catch (e: SerializationException) {
            Err(JsonError(e.message.orEmpty()))
        } catch (e: IllegalArgumentException) {
            Err(JsonError(e.message.orEmpty()))
        }
}
