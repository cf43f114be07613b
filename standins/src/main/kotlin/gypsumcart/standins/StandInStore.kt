package gypsumcart.standins

import gypsumcart.http.HeaderField
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
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Describes a fault of the store. */
public sealed class StoreFault {
    /** Handles every call correctly. */
    public data object None : StoreFault()

    /** Responds to every call with status 503. */
    public data object Unavailable : StoreFault()

    /** Responds with status 503 to reads of all pages but the first. */
    public data object LaterPagesUnavailable : StoreFault()

    /** Accepts calls, executes none and never responds. */
    public data object Hang : StoreFault()

    /** Commits transactions but never responds to any call. */
    public data object LoseResponses : StoreFault()
}

internal class StoredRow(
    val table: String,
    val key: String,
    val value: String,
    val version: Long,
    val deleted: Boolean,
)

/** Holds the rows of a [StandInStore] as they were at one moment. */
public class StoreCopy internal constructor(internal val rows: Map<String, StoredRow>)

/**
 * Simulates the platform's table store in memory, as a test double.
 *
 * Supports paged reads, transactions with preconditions on row versions, change feeds, and a return from a copy.
 */
public class StandInStore : RequestHandler {
    private val rows = TreeMap<String, StoredRow>()
    private val storeVersion = MutableStateFlow(1L)
    private val start = TimeSource.Monotonic.markNow()

    /** The latest version whose change was discarded; feeds from earlier versions get status 410. */
    private var discardedUpTo = 0L

    /** How often the store has come back from a copy, counted from 1; all responses name it. */
    @Volatile
    public var era: Long = 1
        private set

    /** The fault that applies to each call that is received while this is set. */
    @Volatile
    public var fault: StoreFault = StoreFault.None

    /** The maximum number of rows in one page of a read that sets no `maxItems`. */
    @Volatile
    public var pageSize: Int = 500

    private val executedReads = ConcurrentHashMap<String, Int>()
    private val executedWrites = ConcurrentHashMap<String, Int>()

    /** The number of reads of each table that were executed, each page counted; feeds are no reads. */
    public val readCounts: Map<String, Int> get() = executedReads

    /** The number of transactions that wrote rows of each table, also of those that lost their response. */
    public val writeCounts: Map<String, Int> get() = executedWrites

    /** Writes a row without a precondition. */
    @Synchronized
    public fun put(table: String, key: String, value: String) {
        putRow(table, key, Base64.getEncoder().encodeToString(value.toByteArray()), deleted = false)
        storeVersion.value = latestVersion()
    }

    /** Deletes a row without a precondition. */
    @Synchronized
    public fun remove(table: String, key: String) {
        putRow(table, key, "", deleted = true)
        storeVersion.value = latestVersion()
    }

    /** Returns the value of a row as text, or null if the row does not exist. */
    @Synchronized
    public fun getOrNull(table: String, key: String): String? =
        rows["$table $key"]?.takeUnless { it.deleted }?.let { Base64.getDecoder().decode(it.value).decodeToString() }

    /** Returns the keys of the rows of [table] in ascending order. */
    @Synchronized
    public fun keys(table: String): List<String> =
        rows.values.filter { it.table == table && !it.deleted }.map { it.key }

    /** Discards the change history: a feed from an older version gets status 410, and the table must be read again. */
    @Synchronized
    public fun discardHistory() {
        discardedUpTo = latestVersion()
    }

    /** Copies all rows as they are now. */
    @Synchronized
    public fun copy(): StoreCopy = StoreCopy(HashMap(rows))

    /**
     * Comes back from [copy]: what was written since is lost, and its versions are assigned again, in a new era.
     *
     * Feeds that wait go on waiting. One whose version the store does not have gets status 410.
     */
    @Synchronized
    public fun restore(copy: StoreCopy) {
        rows.clear()
        rows.putAll(copy.rows)
        discardedUpTo = minOf(discardedUpTo, latestVersion())
        era++
        storeVersion.value = latestVersion()
    }

    override suspend fun handle(request: HttpRequest, response: ResponseWriter) {
        when (fault) {
            StoreFault.None -> respond(request, response)

            StoreFault.Unavailable -> Reply(SERVICE_UNAVAILABLE, era).send(response)

            StoreFault.LaterPagesUnavailable ->
                if (request.query()["source"].isNullOrEmpty()) {
                    respond(request, response)
                } else {
                    Reply(SERVICE_UNAVAILABLE, era).send(response)
                }

            StoreFault.Hang -> awaitCancellation()

            StoreFault.LoseResponses -> {
                if (request.path == "/rows-tx") transact(request)
                awaitCancellation()
            }
        }
    }

    private suspend fun respond(request: HttpRequest, response: ResponseWriter) {
        when (request.path) {
            "/rows-tx" -> transact(request)
            "/rows-get" -> read(request)
            "/rows-feed" -> feed(request)
            else -> Reply(NOT_FOUND, era)
        }.send(response)
    }

    /** A response as of one moment, and the era of that moment. */
    private class Reply(val status: Int, val era: Long, val body: JsonObject = JsonObject(emptyMap())) {
        suspend fun send(response: ResponseWriter): Unit =
            response.send(
                ResponseHead(status, Headers(listOf(HeaderField("Store-Era", era.toString())))),
                body.toString().toByteArray(),
            )
    }

    private fun latestVersion(): Long = rows.values.maxOfOrNull { it.version } ?: 1

    private fun putRow(
        table: String,
        key: String,
        value: String,
        deleted: Boolean,
        version: Long = latestVersion() + 1,
    ) {
        rows["$table $key"] = StoredRow(table, key, value, version, deleted)
    }

    @Synchronized
    private fun transact(request: HttpRequest): Reply {
        val body = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
        val failed =
            body.objects("precondition").filter {
                currentVersion(it) !=
                    it.getValue("rowVersion").jsonPrimitive.long
            }
        if (failed.isNotEmpty()) {
            val current = failed.mapNotNull { rows[it.rowId()]?.takeUnless { row -> row.deleted } }
            return Reply(PRECONDITION_FAILED, era, rowsJson(current))
        }
        val nextVersion = latestVersion() + 1
        val written = body.objects("write")
        written.map { it.string("tableName") }.distinct().forEach { executedWrites.merge(it, 1, Int::plus) }
        for (row in written) {
            putRow(row.string("tableName"), row.string("key"), row.string("value"), false, nextVersion)
        }
        for (row in body.objects("remove")) putRow(row.string("tableName"), row.string("key"), "", true, nextVersion)
        storeVersion.value = latestVersion()
        return Reply(OK, era, rowsJson(emptyList()))
    }

    private fun currentVersion(row: JsonObject): Long = rows[row.rowId()]?.takeUnless { it.deleted }?.version ?: 0

    @Synchronized
    private fun read(request: HttpRequest): Reply {
        val query = request.query()
        executedReads.merge(query["tableName"].orEmpty(), 1, Int::plus)
        val from = query["source"].orEmpty()
        val limit = query["maxItems"]?.toInt() ?: pageSize
        val matching = rows.values.filter { it.table == query["tableName"] && !it.deleted && it.key >= from }
        return Reply(OK, era, rowsJson(matching.take(limit), hasMore = matching.size > limit))
    }

    private suspend fun feed(request: HttpRequest): Reply {
        val query = request.query()
        val after = query["after"]?.toLong() ?: 0
        val table = query["tableName"].orEmpty()
        val wait = (query["waitMs"]?.toLong() ?: 0).milliseconds
        if (isKnown(after)) {
            withTimeoutOrNull(wait) { storeVersion.first { changedSince(table, after).isNotEmpty() } }
        }
        return changesReply(table, after)
    }

    private fun isKnown(version: Long): Boolean = version in discardedUpTo..storeVersion.value

    @Synchronized
    private fun changesReply(table: String, after: Long): Reply =
        if (isKnown(after)) Reply(OK, era, rowsJson(changedSince(table, after))) else Reply(GONE, era)

    @Synchronized
    private fun changedSince(table: String, after: Long): List<StoredRow> =
        rows.values.filter { it.table == table && it.version > after }.sortedBy { it.version }

    private fun rowsJson(rows: List<StoredRow>, hasMore: Boolean = false): JsonObject =
        buildJsonObject {
            put("rows", JsonArray(rows.map { it.toJson() }))
            put("hasMore", JsonPrimitive(hasMore))
            put("rowVersion", JsonPrimitive(storeVersion.value))
            put("nowMs", JsonPrimitive(start.elapsedNow().inWholeMilliseconds))
        }

    private fun StoredRow.toJson(): JsonElement =
        buildJsonObject {
            put("tableName", JsonPrimitive(table))
            put("key", JsonPrimitive(key))
            put("value", JsonPrimitive(value))
            put("rowVersion", JsonPrimitive(version))
            if (deleted) put("deleted", JsonPrimitive(true))
        }

    private fun HttpRequest.query() = parseQueryString(target.substringAfter('?', ""))

    private fun JsonObject.objects(name: String): List<JsonObject> =
        this[name]?.jsonArray.orEmpty().map { it.jsonObject }

    private fun JsonObject.string(name: String): String = getValue(name).jsonPrimitive.content

    private fun JsonObject.rowId(): String = "${string("tableName")} ${string("key")}"

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
        const val SERVICE_UNAVAILABLE = 503
    }
}
