package gypsumcart.node

import com.github.michaelbull.result.Result
import gypsumcart.core.Address
import gypsumcart.core.Configuration
import gypsumcart.core.FencingToken
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RequestId
import gypsumcart.core.Submission
import gypsumcart.core.Ticket
import gypsumcart.core.ZoneName
import gypsumcart.core.directory.DirectoryEvent
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import gypsumcart.http.Headers
import gypsumcart.http.HttpRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import kotlin.time.Duration

/** Names a table of the store. */
@JvmInline
public value class TableName(public val text: String) {
    override fun toString(): String = text
}

/** Names a row within its table. */
@JvmInline
public value class RowKey(public val text: String) {
    override fun toString(): String = text
}

/** Orders the changes of the store's rows; 0 stands for a row that does not exist. */
@JvmInline
public value class RowVersion(public val number: Long) : Comparable<RowVersion> {
    override fun compareTo(other: RowVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The version of a row that does not exist. */
        public val ABSENT: RowVersion = RowVersion(0)
    }
}

/** Holds a row as the store has it. */
public class Row(public val key: RowKey, public val value: ByteArray, public val version: RowVersion)

/** Says why the store did not do what it was asked. */
public sealed class StoreFailure {
    /** The row had another version than expected; the store has [current], or no row. */
    public data class Conflict(public val current: Row?) : StoreFailure()

    /** The store declined with [status] and did nothing. */
    public data class Declined(public val status: Int) : StoreFailure()

    /** No readable answer came; a change may have been made, or may be made later. */
    public data object NoAnswer : StoreFailure()
}

/** Takes what is seen of a table. */
public interface TableListener {
    /** The table was read whole and holds [rows]. */
    public fun read(rows: List<Row>)

    /** Rows were [written] and [removed]. */
    public fun changed(written: List<Row>, removed: List<RowKey>)

    /** The store answered, perhaps without a change. */
    public fun answered() {}

    /** The store stopped answering. */
    public fun lost() {}

    /** The store answers again. */
    public fun regained() {}
}

/** Keeps rows for all nodes. */
public interface RowStore {
    /** Returns the row, or null when there is none. */
    public suspend fun get(table: TableName, key: RowKey): Result<Row?, StoreFailure>

    /** Writes a row, if it has version [expected] where one is given, and returns its new version. */
    public suspend fun put(
        table: TableName,
        key: RowKey,
        value: ByteArray,
        expected: RowVersion?,
    ): Result<RowVersion, StoreFailure>

    /** Removes rows. */
    public suspend fun remove(table: TableName, keys: List<RowKey>): Result<RowVersion, StoreFailure>

    /** Shows [listener] the table and all that changes in it, until it is cancelled. */
    public suspend fun follow(table: TableName, pause: Duration, listener: TableListener)

    /** Returns the newest reading of the store's clock, or null before the first answer. */
    public fun clockOrNull(): StoreClock?
}

/** Holds a reading of the store's clock, which runs evenly from an arbitrary origin. */
public data class StoreClock(public val millis: Long, public val at: MonotonicTime)

/** Says how an answer's head relates to the request that was sent. */
public sealed class AnswerKind {
    /** The back end's answer to this request. */
    public data object Answer : AnswerKind()

    /** The back end did not run the request. */
    public data class Declined(public val status: Int) : AnswerKind()

    /** Another back end has the address. */
    public data object WrongInstance : AnswerKind()

    /** The answer belongs to another request. */
    public data object Foreign : AnswerKind()
}

/** Translates between requests on the wire and those that decisions are made on. */
public interface CallCodec {
    /** Returns what decisions need to know of [request]. */
    public fun decode(request: HttpRequest, ticket: Ticket, arrivedAt: MonotonicTime): Submission

    /** Returns the headers of a call for [request] that may take [timeLeft]. */
    public fun callHeaders(request: HttpRequest, call: DispatchEffect.Call, timeLeft: Duration): Headers

    /** Says what an answer's [head] means for the request called [id]. */
    public fun kindOf(head: ResponseHead, id: RequestId): AnswerKind

    /** Returns the head of an answer that the system gives itself. */
    public fun outcomeHead(outcome: Outcome, id: RequestId?): ResponseHead
}

/** Does what only the holder of the lease does. */
public fun interface DutyCalls {
    /** Performs [act] with the number [fence]. */
    public suspend fun perform(act: FencedCommand, fence: FencingToken): CommandResult
}

/** Holds what a client that asks for addresses is told. */
public data class Directions(public val addresses: List<Address>, public val ttl: Duration)

/** Joins a node to the platform that it runs on. */
public interface Platform {
    /** The store. */
    public val rows: RowStore

    /** The calls of the holder of the lease. */
    public val duties: DutyCalls

    /** The form of requests and answers. */
    public val codec: CallCodec

    /** Hands each configuration that can be read to [receive], until it is cancelled. */
    public suspend fun followConfigurations(receive: (Configuration) -> Unit)

    /** Hands the back ends and their changes to [receive], until it is cancelled. */
    public suspend fun followBackEnds(receive: (DirectoryEvent) -> Unit)

    /** Answers clients that ask for addresses. */
    public fun directoryPage(directions: (ZoneName?) -> Directions): RequestHandler

    /** Answers whether the node is ready. */
    public fun readinessPage(isReady: () -> Boolean): RequestHandler

    /** Drops connections to other back ends than those with the keys [peers]. */
    public fun retainBackEnds(peers: Set<String>)
}
