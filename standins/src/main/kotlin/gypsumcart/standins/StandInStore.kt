package gypsumcart.standins

import gypsumcart.http.Headers
import gypsumcart.http.HttpRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.http.ResponseWriter
import io.ktor.http.parseQueryString
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.util.Base64
import java.util.TreeMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Says how the store misbehaves. */
public sealed class StoreFault {
    /** It answers as it should. */
    public data object None : StoreFault()

    /** It declines every call. */
    public data object Busy : StoreFault()

    /** It declines to read on where the page before ended. */
    public data object LaterPagesDeclined : StoreFault()

    /** It takes calls and never answers. */
    public data object Silent : StoreFault()

    /** It does what it is asked and does not answer. */
    public data object AnswersLost : StoreFault()
}

/** Stands in for the platform's table store: rows with versions, conditions and feeds, kept in memory. */
public class StandInStore : RequestHandler {
    private class StoredRow(val table: String, val key: String, val value: String, val version: Long, val gone: Boolean)

    private val rows = TreeMap<String, StoredRow>()
    private val version = MutableStateFlow(1L)
    private val start = TimeSource.Monotonic.markNow()
    private var forgottenUpTo = 0L

    /** How the store misbehaves now. */
    @Volatile
    public var fault: StoreFault = StoreFault.None

    /** How many rows it hands out at once. */
    @Volatile
    public var pageSize: Int = 500

    /** Writes a row as the platform itself does. */
    @Synchronized
    public fun put(table: String, key: String, value: String) {
        store(table, key, Base64.getEncoder().encodeToString(value.toByteArray()), gone = false)
        version.value = newest()
    }

    /** Removes a row as the platform itself does. */
    @Synchronized
    public fun remove(table: String, key: String) {
        store(table, key, "", gone = true)
        version.value = newest()
    }

    /** Returns the row's value, or null when there is none. */
    @Synchronized
    public fun getOrNull(table: String, key: String): String? =
        rows["$table $key"]?.takeUnless { it.gone }?.let { Base64.getDecoder().decode(it.value).decodeToString() }

    /** Returns the keys of a table. */
    @Synchronized
    public fun keys(table: String): List<String> = rows.values.filter { it.table == table && !it.gone }.map { it.key }

    /** Forgets which rows changed up to now, so that feeds have to begin anew. */
    @Synchronized
    public fun forgetHistory() {
        forgottenUpTo = newest()
    }

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        when (fault) {
            StoreFault.None -> answer(request, response)

            StoreFault.Busy -> response.send(ResponseHead(BUSY, Headers.EMPTY), ByteArray(0))

            StoreFault.LaterPagesDeclined ->
                if (request.query()["source"].isNullOrEmpty()) {
                    answer(request, response)
                } else {
                    response.send(ResponseHead(BUSY, Headers.EMPTY), ByteArray(0))
                }

            StoreFault.Silent -> awaitCancellation()

            StoreFault.AnswersLost -> {
                if (request.path == "/rows-tx") transact(request)
                awaitCancellation()
            }
        }
    }

    private suspend fun answer(request: HttpRequest, response: ResponseWriter) {
        val (status, body) =
            when (request.path) {
                "/rows-tx" -> transact(request)
                "/rows-get" -> read(request)
                "/rows-feed" -> feed(request)
                else -> NOT_FOUND to JsonObject(emptyMap())
            }
        response.send(ResponseHead(status, Headers.EMPTY), body.toString().toByteArray())
    }

    private fun newest(): Long = rows.values.maxOfOrNull { it.version } ?: 1

    private fun store(table: String, key: String, value: String, gone: Boolean, at: Long = newest() + 1) {
        rows["$table $key"] = StoredRow(table, key, value, at, gone)
    }

    @Synchronized
    private fun transact(request: HttpRequest): Pair<Int, JsonObject> {
        val body = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
        val failed =
            body.list("precondition").filter {
                currentVersion(it) !=
                    it.getValue("rowVersion").jsonPrimitive.long
            }
        if (failed.isNotEmpty()) {
            return CONFLICT to answerOf(failed.mapNotNull { rows[it.name()]?.takeUnless { row -> row.gone } })
        }
        val next = newest() + 1
        for (row in body.list("write")) store(row.text("tableName"), row.text("key"), row.text("value"), false, next)
        for (row in body.list("remove")) store(row.text("tableName"), row.text("key"), "", true, next)
        version.value = newest()
        return OK to answerOf(emptyList())
    }

    private fun currentVersion(row: JsonObject): Long = rows[row.name()]?.takeUnless { it.gone }?.version ?: 0

    @Synchronized
    private fun read(request: HttpRequest): Pair<Int, JsonObject> {
        val query = request.query()
        val from = query["source"].orEmpty()
        val limit = query["maxItems"]?.toInt() ?: pageSize
        val found = rows.values.filter { it.table == query["tableName"] && !it.gone && it.key >= from }
        return OK to answerOf(found.take(limit), hasMore = found.size > limit)
    }

    private suspend fun feed(request: HttpRequest): Pair<Int, JsonObject> {
        val query = request.query()
        val after = query["after"]?.toLong() ?: 0
        if (after < forgottenUpTo) return GONE to JsonObject(emptyMap())
        val table = query["tableName"].orEmpty()
        val wait = (query["waitMs"]?.toLong() ?: 0).milliseconds
        withTimeoutOrNull(wait) { version.first { changedSince(table, after).isNotEmpty() } }
        return OK to answerOf(changedSince(table, after))
    }

    @Synchronized
    private fun changedSince(table: String, after: Long): List<StoredRow> =
        rows.values.filter { it.table == table && it.version > after }.sortedBy { it.version }

    private fun answerOf(found: List<StoredRow>, hasMore: Boolean = false): JsonObject =
        buildJsonObject {
            put("rows", JsonArray(found.map { it.toJson() }))
            put("hasMore", JsonPrimitive(hasMore))
            put("rowVersion", JsonPrimitive(version.value))
            put("nowMs", JsonPrimitive(start.elapsedNow().inWholeMilliseconds))
        }

    private fun StoredRow.toJson(): JsonElement =
        buildJsonObject {
            put("tableName", JsonPrimitive(table))
            put("key", JsonPrimitive(key))
            put("value", JsonPrimitive(value))
            put("rowVersion", JsonPrimitive(version))
            if (gone) put("deleted", JsonPrimitive(true))
        }

    private fun HttpRequest.query() = parseQueryString(target.substringAfter('?', ""))

    private fun JsonObject.list(name: String): List<JsonObject> = this[name]?.jsonArray.orEmpty().map { it.jsonObject }

    private fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

    private fun JsonObject.name(): String = "${text("tableName")} ${text("key")}"

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val CONFLICT = 412
        const val BUSY = 503
    }
}
