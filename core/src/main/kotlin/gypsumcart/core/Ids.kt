package gypsumcart.core

/** Names one entry host, which keeps its name over restarts. */
@JvmInline
public value class NodeId(public val text: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** Counts the starts of one node or back end; a higher number replaces all that was said of a lower one. */
@JvmInline
public value class Incarnation(public val number: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Names an availability zone. */
@JvmInline
public value class ZoneName(public val text: String) : Comparable<ZoneName> {
    override fun compareTo(other: ZoneName): Int = text.compareTo(other.text)

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

/** Names a team, the unit of quotas and usage reports. */
@JvmInline
public value class TeamName(public val text: String) {
    override fun toString(): String = text
}

/** Names one attempt of a client; a retry by the client has another one. */
@JvmInline
public value class RequestId(public val text: String) {
    override fun toString(): String = text
}

/** Names a request within one process, from its arrival to its end. */
@JvmInline
public value class Ticket(public val number: Long) : Comparable<Ticket> {
    override fun compareTo(other: Ticket): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Numbers the calls made to back ends for one request from 1; what comes of a lower number is late. */
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

/** Names a part of a prompt; equal parts behind equal parts are cached by the engines. */
@JvmInline
public value class PromptPartId(public val text: String) {
    override fun toString(): String = text
}

/** Orders the holders of one lease: a receiver that checks it refuses a lower number than it has seen. */
@JvmInline
public value class FencingNumber(public val number: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Orders configurations; a node only ever moves to a higher one. */
@JvmInline
public value class ConfigurationVersion(public val number: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Numbers the windows over which usage is reported, from 0 at the start of 1970. */
@JvmInline
public value class WindowNumber(public val number: Long) : Comparable<WindowNumber> {
    override fun compareTo(other: WindowNumber): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** Holds an API key as a client presents it; its text is kept out of logs. */
@JvmInline
public value class ApiKey(public val secret: String) {
    override fun toString(): String = "***"
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
