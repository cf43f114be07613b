package gypsumcart.core

/**
 * Decides what follows from events of type [E], in effects of type [F].
 *
 * A decider is deterministic: the same events at the same times give the same effects. It reads no clock, starts no
 * thread, does no input or output and knows no encoding, so that a duty, a test or a replay can drive it alike.
 */
public fun interface Decider<in E, out F> {
    /** Takes in [event] at [now] and returns the effects that follow, in the order in which to carry them out. */
    public fun decide(event: E, now: MonotonicTime): List<F>
}
