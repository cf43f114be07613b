package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import gypsumcart.core.BackEndVersion
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.streams.StreamMessage
import gypsumcart.core.streams.StreamRecord
import kotlinx.serialization.Serializable

/** Represents which version began the stream that the client attempt [request] began. */
@Serializable
private class WireRecord(val request: String, val service: String, val version: String? = null)

/** Represents a message: the records to store and to keep, and the attempts whose records are [asked] for. */
@Serializable
private class WireStreamMessage(
    val form: Int,
    val store: List<WireRecord> = emptyList(),
    val keep: List<WireRecord> = emptyList(),
    val asked: List<String> = emptyList(),
)

/** Represents the answer: those of the records asked for that are known. */
@Serializable
private class WireStreamAnswer(val form: Int, val records: List<WireRecord> = emptyList())

/** Describes why a message about streams was not accepted. */
internal sealed class StreamMessageError {
    /** The bytes are not a message. */
    data class Unreadable(val detail: String) : StreamMessageError()

    /** The sender encodes messages in another [form]. */
    data class OtherForm(val form: Int) : StreamMessageError()

    /** The message has more records or ids than a node sends, or longer ids. */
    data object TooLarge : StreamMessageError()
}

/** The version of the form of messages and answers; those of another form are refused. */
private const val FORM = 1

/** What a node may send at once: as many to store as to keep. */
private const val MAX_RECORDS = 200

/** The number of reads of records that a node has in progress at most. */
private const val MAX_ASKED = 256

/** The maximum length of the ids of which records are kept; far longer than usual ids. */
private const val MAX_ID_LENGTH = 200

/** Returns the text of the message, without the ids that are too long to have a record. */
internal fun StreamMessage.encode(): ByteArray {
    // Clients choose the ids, and one that is too long would have the whole message refused.
    val asked = asked.map { it.text }.filter { it.length <= MAX_ID_LENGTH }
    val wire = WireStreamMessage(FORM, toStore.map { it.toWire() }, toKeep.map { it.toWire() }, asked)
    return JsonBodies.encodeCompact(WireStreamMessage.serializer(), wire).encodeToByteArray()
}

/** Returns the message in [bytes], or why it is not accepted. */
internal fun decodeStreamMessage(bytes: ByteArray): Result<StreamMessage, StreamMessageError> {
    val wire =
        JsonBodies
            .decode(WireStreamMessage.serializer(), bytes.decodeToString())
            .getOrElse { return Err(StreamMessageError.Unreadable(it.detail)) }
    val ids = wire.asked + (wire.store + wire.keep).map { it.request }
    return when {
        wire.form != FORM -> Err(StreamMessageError.OtherForm(wire.form))

        wire.store.size + wire.keep.size > MAX_RECORDS ||
            wire.asked.size > MAX_ASKED ||
            ids.any { it.length > MAX_ID_LENGTH } -> Err(StreamMessageError.TooLarge)

        else -> Ok(StreamMessage(wire.store.toRecords(), wire.keep.toRecords(), wire.asked.map(::RequestId)))
    }
}

/** Returns the text of the answer with the known [records]. */
internal fun encodeStreamAnswer(records: List<StreamRecord>): ByteArray =
    JsonBodies
        .encodeCompact(WireStreamAnswer.serializer(), WireStreamAnswer(FORM, records.map { it.toWire() }))
        .encodeToByteArray()

/** Returns the records in an answer, or null if this version of the node can't decode it. */
internal fun decodeStreamAnswerOrNull(bytes: ByteArray): List<StreamRecord>? =
    JsonBodies
        .decode(WireStreamAnswer.serializer(), bytes.decodeToString())
        .get()
        ?.takeIf { it.form == FORM }
        ?.records
        ?.toRecords()

private fun StreamRecord.toWire(): WireRecord = WireRecord(beganAs.text, service.text, version?.text)

private fun List<WireRecord>.toRecords(): List<StreamRecord> =
    map { StreamRecord(RequestId(it.request), ServiceName(it.service), it.version?.let(::BackEndVersion)) }
