package gypsumcart.node

import com.github.michaelbull.result.Result
import gypsumcart.core.Address
import gypsumcart.core.BackEndId
import gypsumcart.core.BackEndVersion
import gypsumcart.core.Configuration
import gypsumcart.core.FencingToken
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.Submission
import gypsumcart.core.Ticket
import gypsumcart.core.ZoneName
import gypsumcart.core.directory.DirectoryEvent
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.leases.CommandResult
import gypsumcart.core.leases.FencedCommand
import gypsumcart.core.membership.StoreEra
import gypsumcart.core.rollout.RolloutOrder
import gypsumcart.core.rollout.RolloutRow
import gypsumcart.core.routing.AvailabilityStatement
import gypsumcart.core.routing.BrittlenessStatement
import gypsumcart.core.routing.LimitStatement
import gypsumcart.http.Headers
import gypsumcart.http.HttpRequest
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import kotlinx.coroutines.delay
import kotlin.time.Duration

/** Identifies a table of the store. */
@JvmInline
public value class TableName(public val text: String) {
    override fun toString(): String = text
}

/** Identifies a row within its table. */
@JvmInline
public value class RowKey(public val text: String) {
    override fun toString(): String = text
}

/**
 * Orders the changes of the store's rows; 0 stands for a row that does not exist.
 *
 * A version is never assigned twice, also if the store comes back from an older copy and counts from there again.
 */
@JvmInline
public value class RowVersion(public val number: Long) : Comparable<RowVersion> {
    override fun compareTo(other: RowVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The version of a row that does not exist. */
        public val ABSENT: RowVersion = RowVersion(0)
    }
}

/** Represents a row of the store. */
public class Row(public val key: RowKey, public val value: ByteArray, public val version: RowVersion)

/** Represents a row that is to be written to [table]. */
public class TableRow(public val table: TableName, public val key: RowKey, public val value: ByteArray)

/** Describes why a request to the store failed. */
public sealed class StoreFailure {
    /** The version of the row is not the expected one; [current] is the stored row, or null if there is none. */
    public data class Conflict(public val current: Row?) : StoreFailure()

    /** The store declined the request with [status] and changed nothing. */
    public data class Declined(public val status: Int) : StoreFailure()

    /**
     * The store has come back from an older copy since it assigned the expected version.
     *
     * Nothing was changed. The version may be that of another change now, so the row has to be read again.
     */
    public data object EarlierEra : StoreFailure()

    /** No readable response arrived; a change may have been applied, or may still be applied later. */
    public data object NoAnswer : StoreFailure()
}

/** Observes the contents of a table and its changes. */
public interface TableListener {
    /**
     * Called before [onSnapshot] when the store has come back from an older copy.
     *
     * Changes that it had acknowledged may be missing in the snapshot until they are written again.
     */
    public fun onRestored() {}

    /** Called when the whole table was read; [rows] are all its rows. */
    public fun onSnapshot(rows: List<Row>)

    /** Called when rows were [written] and the rows with the keys [removed] were removed. */
    public fun onChanged(written: List<Row>, removed: List<RowKey>)

    /** Called when the store responded and the table had not changed. */
    public fun onUnchanged() {}

    /** Called when reading the table starts to fail. */
    public fun onUnavailable() {}

    /** Called when reading the table succeeds again. */
    public fun onAvailable() {}
}

/** Paces the reads of a table. */
public fun interface ReadPace {
    /** Waits after a successful read until the next one is due. */
    public suspend fun awaitNext()

    public companion object {
        /** Reads again after [pause]. */
        public fun every(pause: Duration): ReadPace = ReadPace { delay(pause) }
    }
}

/** Stores the rows that all nodes share. */
public interface RowStore {
    /** Returns the row with [key], or null if there is none. */
    public suspend fun get(table: TableName, key: RowKey): Result<Row?, StoreFailure>

    /**
     * Writes a row and returns its new version.
     *
     * @param expected the version that the row must have for the write, or null to write it in any case; a row with
     *   another version is not changed, and the result is [StoreFailure.Conflict]
     */
    public suspend fun put(
        table: TableName,
        key: RowKey,
        value: ByteArray,
        expected: RowVersion?,
    ): Result<RowVersion, StoreFailure>

    /**
     * Writes [rows] together or not at all, and returns their new version.
     *
     * @param expected the version that the first of them must have, 0 if it must not exist; if it has another one, the
     *   result is [StoreFailure.Conflict]
     */
    public suspend fun putTogether(rows: List<TableRow>, expected: RowVersion): Result<RowVersion, StoreFailure>

    /**
     * Writes [rows] together or not at all, whatever is stored, and returns their new version.
     *
     * Of several rows with one key, the last is written. The store limits the number of rows.
     */
    public suspend fun putAll(rows: List<TableRow>): Result<RowVersion, StoreFailure>

    /**
     * Removes the rows with [keys] and returns the version of the last change.
     *
     * Makes as many calls as the store's limit requires; if one fails, the rows of the later ones stay.
     */
    public suspend fun remove(table: TableName, keys: List<RowKey>): Result<RowVersion, StoreFailure>

    /**
     * Passes the contents of a table and then its changes to [listener], until the coroutine is cancelled.
     *
     * @param pace determines when the table is read again after a successful read
     */
    public suspend fun follow(table: TableName, pace: ReadPace, listener: TableListener)

    /** Returns the latest reading of the store's clock, or null before the first response. */
    public fun clockOrNull(): StoreClock?

    /** Returns the latest era that the store has named, or null if it has named none. */
    public fun eraOrNull(): StoreEra? = null

    /** Returns the first reading of the store's clock in that era, or null if there is none. */
    public fun eraClockOrNull(): StoreClock? = null
}

/**
 * Represents a reading of the store's clock, which runs evenly from an arbitrary origin.
 *
 * @property millis the reading in milliseconds
 * @property at when this process received the reading
 */
public data class StoreClock(public val millis: Long, public val at: MonotonicTime)

/** Describes the kind of a response to an upstream call, as its head shows it. */
public sealed class ResponseKind {
    /** Which request the response names. */
    public abstract val id: ResponseId

    /** The back end's response to this request. */
    public data object Valid : ResponseKind() {
        override val id: ResponseId get() = ResponseId.OWN
    }

    /** The back end declined the request with [status] and did not run it. */
    public data class Declined(public val status: Int, override val id: ResponseId) : ResponseKind()

    /** Another back end responds at the address and did not run the request. */
    public data class WrongInstance(override val id: ResponseId) : ResponseKind()

    /** Clients repeat any request after this [status], but the back end did not state that the request did not run. */
    public data class Unconfirmed(public val status: Int) : ResponseKind() {
        override val id: ResponseId get() = ResponseId.OWN
    }

    /** The response belongs to another request, or is not a valid one of a back end. */
    public data class Invalid(override val id: ResponseId) : ResponseKind()
}

/** Describes which request a response names by its id. */
public enum class ResponseId {
    /** The response names the request that it was read for. */
    OWN,

    /** The response names no request: a late copy of it could be mistaken for the response to another request. */
    NONE,

    /** The response names another request. */
    OTHER,
}

/** Converts between HTTP messages and the types that the deciders use. */
public interface CallCodec {
    /** Returns the properties of [request] that the deciders need. */
    public fun decode(request: HttpRequest, ticket: Ticket, arrivedAt: MonotonicTime): Submission

    /** Returns the headers of an upstream call for [request], which must complete within [remainingTime]. */
    public fun callHeaders(request: HttpRequest, call: DispatchEffect.Call, remainingTime: Duration): Headers

    /** Returns the kind of a response with [head] to the request with [id] that was sent to [callee]. */
    public fun classify(head: ResponseHead, id: RequestId, callee: BackEndId): ResponseKind

    /** Returns what a response with [head] says about the rate of requests, or null if that is unreadable. */
    public fun limitStatementOrNull(head: ResponseHead): LimitStatement?

    /**
     * Returns what a response with [head] says about how many requests its back end can turn away, or null if that is
     * unreadable.
     */
    public fun brittlenessStatementOrNull(head: ResponseHead): BrittlenessStatement?

    /** Returns what a response with [head] says about whether its back end accepts further requests. */
    public fun availabilityStatements(head: ResponseHead): List<AvailabilityStatement>

    /** Returns the head of the response to a request that ended with [outcome], without a back end's response. */
    public fun outcomeHead(outcome: Outcome, id: RequestId?): ResponseHead
}

/** Executes the commands that only the lease holder sends to the platform. */
public fun interface FencedCommandExecutor {
    /** Executes [command] with [fencingToken]. */
    public suspend fun execute(command: FencedCommand, fencingToken: FencingToken): CommandResult
}

/**
 * Lists the nodes that a client may connect to.
 *
 * @property ttl how long the client may cache the addresses
 */
public data class NodeAddresses(public val addresses: List<Address>, public val ttl: Duration)

/** Connects a node to the platform that it runs on. */
public interface Platform {
    /** The store that all nodes share. */
    public val rowStore: RowStore

    /** Lets nodes follow the tables through each other, or null if each follows them by itself. */
    public val feedRelay: FeedRelay?

    /** Executes the commands of the lease holder. */
    public val commandExecutor: FencedCommandExecutor

    /** Converts requests and responses. */
    public val codec: CallCodec

    /**
     * Passes each readable configuration to [receive], and each readable order of a roll-out to [receiveOrder], until
     * the coroutine is cancelled.
     */
    public suspend fun followConfigurations(
        receive: (Configuration) -> Unit,
        receiveOrder: (RolloutOrder) -> Unit,
    )

    /** Returns the row in which the operator reads the state of [rollout]. */
    public fun statusRow(rollout: RolloutRow): TableRow

    /** Passes the back ends and their changes to [receive], until the coroutine is cancelled. */
    public suspend fun followBackEnds(receive: (DirectoryEvent) -> Unit)

    /**
     * Reads which versions of each service's software the registry lists, and returns them.
     *
     * They are from after the call, while those that [followBackEnds] passes on may be older.
     */
    public suspend fun readVersions(): Result<Map<ServiceName, Set<BackEndVersion?>>, StoreFailure>

    /** Returns the handler that responds with the nodes' addresses; [addressesFor] is called with the client's zone. */
    public fun directoryHandler(addressesFor: (ZoneName?) -> NodeAddresses): RequestHandler

    /** Returns the handler that responds whether the node is ready. */
    public fun readinessHandler(isReady: () -> Boolean): RequestHandler

    /** Closes the idle connections to back ends that are not in [peerIds]. */
    public fun closeIdleConnectionsExcept(peerIds: Set<String>)
}
