package gypsumcart.core

/** Names one entry host. A process that starts again on the same host has a higher [Incarnation]. */
@JvmInline
public value class NodeId(public val text: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Counts the lives of one node or back end; a higher number replaces all that was said of a lower one. */
@JvmInline
public value class Incarnation(public val number: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Names an availability zone. */
@JvmInline
public value class ZoneName(public val text: String) {
    override fun toString(): String = text
}

/** Names a region, which holds several zones. */
@JvmInline
public value class RegionName(public val text: String) {
    override fun toString(): String = text
}

/** Names a class of machine offered by the cloud API. */
@JvmInline
public value class MachineClassName(public val text: String) {
    override fun toString(): String = text
}

/** Names one backend server: a model replica or a replica of a plain service. */
@JvmInline
public value class BackEndId(public val text: String) : Comparable<BackEndId> {
    override fun compareTo(other: BackEndId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Names what a set of interchangeable back ends serves: a model or a plain service. */
@JvmInline
public value class ServiceName(public val text: String) {
    override fun toString(): String = text
}

/** Names a team, the unit of shares and budgets. */
@JvmInline
public value class TeamName(public val text: String) {
    override fun toString(): String = text
}

/** Names one caller within a team: a person or a program that may use several devices. */
@JvmInline
public value class CallerName(public val text: String) {
    override fun toString(): String = text
}

/** Holds the key under which one caller's repeated submissions count as one request. */
@JvmInline
public value class IdempotencyKey(public val text: String) {
    override fun toString(): String = text
}

/** Names an accepted request, unique over the fleet. */
@JvmInline
public value class RequestId(public val text: String) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Numbers the attempts of one request from 1; answers of a lower number are late. */
@JvmInline
public value class AttemptNumber(public val number: Int) : Comparable<AttemptNumber> {
    override fun compareTo(other: AttemptNumber): Int = number.compareTo(other.number)

    /** Returns the number of the attempt that follows. */
    public fun next(): AttemptNumber = AttemptNumber(number + 1)

    override fun toString(): String = number.toString()

    public companion object {
        /** The first attempt of a request. */
        public val FIRST: AttemptNumber = AttemptNumber(1)
    }
}

/** Names one caller connection that waits for an answer, unique within one node's life. */
@JvmInline
public value class SubscriberId(public val number: Long) {
    override fun toString(): String = number.toString()
}

/** Names the stream that an engine keeps of one generation, so that it can be resumed. */
@JvmInline
public value class StreamId(public val text: String) {
    override fun toString(): String = text
}

/** Orders the holders of one lease: a receiver that checks it refuses a lower number than it has seen. */
@JvmInline
public value class FencingNumber(public val number: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Orders applied configurations; nodes only ever move to a higher one. */
@JvmInline
public value class Generation(public val number: Long) : Comparable<Generation> {
    override fun compareTo(other: Generation): Int = number.compareTo(other.number)

    /** Returns the generation that an apply on this base would make. */
    public fun next(): Generation = Generation(number + 1)

    override fun toString(): String = number.toString()

    public companion object {
        /** The generation before the first apply. */
        public val NONE: Generation = Generation(0)
    }
}

/** Holds the SHA-256 of a configuration snapshot in lower-case hexadecimal. */
@JvmInline
public value class SnapshotHash(public val hex: String) {
    override fun toString(): String = hex
}

/** Names one apply, so that a lost answer to it can be settled by reading. */
@JvmInline
public value class ApplyId(public val text: String) {
    override fun toString(): String = text
}

/** Names an operator in the audit trail. */
@JvmInline
public value class OperatorName(public val text: String) {
    override fun toString(): String = text
}

/** Holds the SHA-256 of an API key in lower-case hexadecimal; the key itself is never kept. */
@JvmInline
public value class KeyHash(public val hex: String) {
    override fun toString(): String = hex
}

/** Holds an IP address and a port, in the form `10.0.0.1:8080`. */
public data class Address(public val host: String, public val port: Int) {
    init {
        require(port in PORTS) { "port $port is outside $PORTS" }
    }

    override fun toString(): String = "$host:$port"
}

/** Returns the address written as `host:port`, or null when [text] has another form. */
public fun addressOrNull(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
    if (host.isEmpty() || port !in PORTS) return null
    return Address(host, port)
}

private val PORTS = 1..65_535
