package gypsumcart.protocol

import kotlinx.serialization.Serializable

/**
 * Holds a row of the platform's table.
 *
 * @property version grows by one with each write of the row
 */
@Serializable
public data class TableRow(val key: String, val version: Long, val value: String)

/** Says when a write of a transaction may take effect. */
@Serializable
public sealed class TableCondition {
    /** The row must not exist. */
    @Serializable
    public data object Absent : TableCondition()

    /** The row must exist with [version]. */
    @Serializable
    public data class AtVersion(val version: Long) : TableCondition()

    /** Any row, or none, may exist. */
    @Serializable
    public data object Always : TableCondition()
}

/** Changes one row, or deletes it when [value] is null, if [condition] holds. */
@Serializable
public data class TableWrite(
    val key: String,
    val condition: TableCondition,
    val value: String?,
)

/** Asks for writes that take effect together or not at all: the body of `POST /table/transactions`. */
@Serializable
public data class TableTransaction(val writes: List<TableWrite>)

/**
 * Answers a transaction, with status 200 when it took effect and 409 when a condition did not hold.
 *
 * @property rows the rows as they are after the transaction, or, on a conflict, those whose conditions failed
 */
@Serializable
public data class TableAnswer(val applied: Boolean, val rows: List<TableRow>)

/** Holds rows in the order of their keys: the answer of `GET /table/rows?prefix=P&after=K&limit=N`. */
@Serializable
public data class TablePage(val rows: List<TableRow>)

/** Describes a host in the platform's list, which lags: the answer of `GET /hosts` holds many. */
@Serializable
public data class HostEntry(
    val id: String,
    val address: String,
    val zone: String,
    val machineClass: String,
    val reclaimable: Boolean,
    val state: HostState,
)

/** Says what the cloud API knows of a host. */
@Serializable
public enum class HostState { STARTING, LIVE, LEAVING, GONE }

/** Holds the answer of `GET /hosts`. */
@Serializable
public data class HostList(val hosts: List<HostEntry>)

/** Asks the cloud API for a host: the body of `POST /hosts`, answered with a [HostEntry] or 503 when refused. */
@Serializable
public data class HostOrder(
    val service: String,
    val zone: String,
    val machineClass: String,
    val reclaimable: Boolean,
    val token: String,
)
