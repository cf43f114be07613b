package gypsumcart.core

/**
 * Turns events of type [E] into effects of type [F].
 *
 * A decider is deterministic: the same events at the same times produce the same effects. It reads no clock, starts no
 * thread, performs no I/O and knows no message encoding, so that a duty, a test and a replay can all run it.
 */
public fun interface Decider<in E, out F> {
    /** Processes [event] at the time [now] and returns its effects in the order in which to carry them out. */
    public fun decide(event: E, now: MonotonicTime): List<F>
}
