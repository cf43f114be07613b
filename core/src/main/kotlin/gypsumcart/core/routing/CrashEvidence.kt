package gypsumcart.core.routing

import gypsumcart.core.PromptPartId
import kotlin.time.Duration

/**
 * Describes what speaks for and against [part] as the cause of crashes of back ends.
 *
 * @property crashes the instances that closed their connections while a request with the part waited for the start of
 *   its response, each with the time since then
 * @property answeredAge the time since a response to a request with the part last started, or null if none did
 */
public data class CrashEvidence(
    public val part: PromptPartId,
    public val crashes: Map<InstanceKey, Duration>,
    public val answeredAge: Duration?,
) {
    /** Returns the same evidence as seen [elapsed] later. */
    public fun olderBy(elapsed: Duration): CrashEvidence =
        copy(crashes = crashes.mapValues { it.value + elapsed }, answeredAge = answeredAge?.plus(elapsed))
}

/** Represents a change in the set of quarantined prompt parts. */
public sealed class QuarantineChange {
    /** The part that was quarantined, or no longer is. */
    public abstract val part: PromptPartId

    /** Requests with [part] are refused from now on, because it was in a prompt at each of the [crashes]. */
    public data class Started(override val part: PromptPartId, public val crashes: Set<InstanceKey>) :
        QuarantineChange()

    /** Requests with [part] are served again. */
    public data class Ended(override val part: PromptPartId, public val cause: QuarantineEnd) : QuarantineChange()
}

/** Describes why a part is no longer quarantined. */
public enum class QuarantineEnd {
    /** The response to a request with the part started. */
    ANSWERED,

    /** Another part was at all the same crashes and at more, or the crashes turned out not to be any. */
    EXPLAINED,

    /** No request with the part has crashed a back end for a long time. */
    EXPIRED,
}
