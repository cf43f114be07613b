package gypsumcart.node

import com.github.michaelbull.result.get
import gypsumcart.core.BackEndVersion
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.streams.StreamRecord
import kotlinx.serialization.Serializable

/** Represents which version began the stream that the client attempt [request] began. */
@Serializable
private class StoredStream(val form: Int, val request: String, val version: String? = null, val service: String)

/** Represents the versions of a service that are in use; null stands for back ends that state none. */
@Serializable
private class StoredVersions(val form: Int, val versions: List<String?>)

private const val VERSIONS_PREFIX = "versions/"

/** The version of the form of the rows; rows of another form count as unreadable. */
private const val FORM = 1

/** The number of rows among which the hashes of the ids distribute the records, which bounds the table. */
internal const val STREAM_SLOTS: Int = 65_536

private const val HALF_OF_HASH = 16
private const val HEXADECIMAL = 16

internal val RowKey.isVersions: Boolean get() = text.startsWith(VERSIONS_PREFIX)

internal fun ServiceName.toVersionsKey(): RowKey = RowKey(VERSIONS_PREFIX + text)

/** Returns the key of the slot for the record of the stream that this request began. */
internal fun RequestId.toSlotKey(): RowKey {
    val hash = text.hashCode()
    return RowKey(Math.floorMod(hash xor (hash ushr HALF_OF_HASH), STREAM_SLOTS).toString(HEXADECIMAL))
}

internal fun StreamRecord.toRow(): TableRow {
    val stored = StoredStream(FORM, beganAs.text, version?.text, service.text)
    val value = JsonBodies.encode(StoredStream.serializer(), stored).encodeToByteArray()
    return TableRow(Tables.STREAMS, beganAs.toSlotKey(), value)
}

/** Returns the record in the row, or null if this version of the node can't decode it. */
internal fun Row.toStreamRecordOrNull(): StreamRecord? {
    val row = JsonBodies.decode(StoredStream.serializer(), value.decodeToString()).get() ?: return null
    if (row.form != FORM) return null
    return StreamRecord(RequestId(row.request), ServiceName(row.service), row.version?.let(::BackEndVersion))
}

internal fun encodeVersions(versions: Set<BackEndVersion?>): ByteArray =
    JsonBodies
        .encode(StoredVersions.serializer(), StoredVersions(FORM, versions.map { it?.text }.sortedBy { it.orEmpty() }))
        .encodeToByteArray()

/** Returns the service and its versions in the row, or null if this version of the node can't decode it. */
internal fun Row.toVersionsOrNull(): Pair<ServiceName, Set<BackEndVersion?>>? {
    val row = JsonBodies.decode(StoredVersions.serializer(), value.decodeToString()).get() ?: return null
    if (row.form != FORM) return null
    return ServiceName(key.text.removePrefix(VERSIONS_PREFIX)) to
        row.versions.mapTo(HashSet()) { it?.let(::BackEndVersion) }
}
