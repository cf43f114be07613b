package gypsumcart.core

/** Identifies one entry host, which keeps its id across restarts. */
@JvmInline
public value class NodeId(public val text: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Orders the starts of one node or back end; information about a later start supersedes that about earlier ones. */
@JvmInline
public value class Incarnation(public val number: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Identifies an availability zone. */
@JvmInline
public value class ZoneName(public val text: String) : Comparable<ZoneName> {
    override fun compareTo(other: ZoneName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Identifies one backend server: a replica of a model or of another service. */
@JvmInline
public value class BackEndId(public val text: String) : Comparable<BackEndId> {
    override fun compareTo(other: BackEndId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Identifies a model or another service that a set of interchangeable back ends provides. */
@JvmInline
public value class ServiceName(public val text: String) {
    override fun toString(): String = text
}

/** Identifies a team, to which quotas and usage reports apply. */
@JvmInline
public value class TeamName(public val text: String) {
    override fun toString(): String = text
}

/** Identifies a request as sent by a client; a retry by the client has a different id. */
@JvmInline
public value class RequestId(public val text: String) {
    override fun toString(): String = text
}

/** Identifies a request within one process, from its arrival to its end. */
@JvmInline
public value class Ticket(public val number: Long) : Comparable<Ticket> {
    override fun compareTo(other: Ticket): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Numbers the upstream calls for one request from 1; results of any but the current one are ignored. */
@JvmInline
public value class AttemptNumber(public val number: Int) : Comparable<AttemptNumber> {
    override fun compareTo(other: AttemptNumber): Int = number.compareTo(other.number)

    /** Returns the number of the next attempt. */
    public fun next(): AttemptNumber = AttemptNumber(number + 1)

    override fun toString(): String = number.toString()

    public companion object {
        /** The first attempt of a request. */
        public val FIRST: AttemptNumber = AttemptNumber(1)
    }
}

/** Identifies a loan of quota within the process that asks for it. */
@JvmInline
public value class LoanId(public val number: Long) {
    override fun toString(): String = number.toString()
}

/** Identifies a request of another node for a loan within the process that receives it. */
@JvmInline
public value class LoanRequestId(public val number: Long) {
    override fun toString(): String = number.toString()
}

/** Identifies a part of a prompt; an engine reuses a cached part only if all parts before it match too. */
@JvmInline
public value class PromptPartId(public val text: String) {
    override fun toString(): String = text
}

/** Orders the holders of one lease; a receiver that checks tokens rejects one lower than the highest it has seen. */
@JvmInline
public value class FencingToken(public val number: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Orders configurations; a node only ever changes to one with a higher version. */
@JvmInline
public value class ConfigurationVersion(public val number: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Names the version of the software that a back end runs; versions have no order. */
@JvmInline
public value class BackEndVersion(public val text: String) {
    override fun toString(): String = text
}

/** Numbers the orders of roll-outs; of two orders for a service, the one with the higher number is in force. */
@JvmInline
public value class OrderNumber(public val number: Long) : Comparable<OrderNumber> {
    override fun compareTo(other: OrderNumber): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Numbers the windows over which usage is reported; window 0 starts at 1970-01-01T00:00Z. */
@JvmInline
public value class WindowNumber(public val number: Long) : Comparable<WindowNumber> {
    override fun compareTo(other: WindowNumber): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Holds an API key as sent by a client; [toString] masks it to keep it out of logs. */
@JvmInline
public value class ApiKey(public val secret: String) {
    override fun toString(): String = "***"
}

/** Holds an IP address and a port; [toString] returns them in the form `10.0.0.1:8080`. */
public data class Address(public val host: String, public val port: Int) {
    init {
        require(port in PORTS) { "port $port is outside $PORTS" }
    }

    override fun toString(): String = "$host:$port"
}

/** Parses [text] of the form `host:port`, or returns null if it has another form or the port is out of range. */
public fun addressOrNull(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
    if (host.isEmpty() || port !in PORTS) return null
    return Address(host, port)
}

private val PORTS = 1..65_535
