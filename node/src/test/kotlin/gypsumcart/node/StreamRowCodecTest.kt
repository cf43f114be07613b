package gypsumcart.node

import gypsumcart.core.BackEndVersion
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.streams.StreamRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.random.nextULong

class StreamRowCodecTest {
    private fun record(version: String?) =
        StreamRecord(RequestId("9c41d07be2a35f68"), ServiceName("s"), version?.let(::BackEndVersion))

    private fun TableRow.asStored() = Row(key, value, RowVersion(4))

    // Guards against a record that no node can read, or whose version is another one.
    @Test
    fun `a record is read as it was written, with and without a version`() {
        for (record in listOf(record("v1.2"), record(null))) {
            expectThat(record.toRow().asStored().toStreamRecordOrNull()).isEqualTo(record)
        }
    }

    // Guards against rows of another program that fail each read, or name a wrong version.
    @Test
    fun `a record that can't be read is none`() {
        val texts = listOf("", "[]", "not json", "{}", """{"form":2,"request":"r","version":"v1","service":"s"}""")
        for (text in texts) {
            expectThat(Row(RowKey("0"), text.toByteArray(), RowVersion(1)).toStreamRecordOrNull()).isNull()
        }
    }

    // Guards against a change of the hash, after which nodes of two releases look for a record in different rows.
    @Test
    fun `the slot of an id stays the same`() {
        expectThat(RequestId("9c41d07be2a35f68").toSlotKey()).isEqualTo(RowKey("e5e2"))
    }

    // Guards against records that replace each other because the slots are used unevenly, and a table without bound.
    @Test
    fun `ids spread over the slots`() {
        val random = Random(1)
        val keys = List(STREAM_SLOTS) { RequestId(random.nextULong().toString(16).padStart(16, '0')).toSlotKey() }
        expectThat(keys.map { it.text.toInt(16) }).all { isLessThan(STREAM_SLOTS) }
        // With even chances, 63 in 100 slots are used.
        expectThat(keys.toSet().size).isGreaterThan(STREAM_SLOTS * 62 / 100)
    }

    // Guards against the loss of the fact that several versions were in use.
    @Test
    fun `the versions of a service are read as they were written`() {
        val versions = setOf(BackEndVersion("v1"), BackEndVersion("v2"), null)
        val key = ServiceName("s/1").toVersionsKey()
        val row = Row(key, encodeVersions(versions), RowVersion(4))
        expectThat(key.isVersions).isEqualTo(true)
        expectThat(row.toVersionsOrNull()).isEqualTo(ServiceName("s/1") to versions)
    }

    // Guards against a row that ends the reading of all others.
    @Test
    fun `versions that can't be read are none`() {
        for (text in listOf("", "{}", """{"form":2,"versions":["v1"]}""", """{"form":1,"versions":7}""")) {
            expectThat(Row(RowKey("versions/s"), text.toByteArray(), RowVersion(1)).toVersionsOrNull()).isNull()
        }
    }
}
