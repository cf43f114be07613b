package gypsumcart.core.replicas

import gypsumcart.core.MODEL
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Submission
import gypsumcart.core.at
import gypsumcart.core.prompt
import gypsumcart.core.submission
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers what counts as demand, and which requests are those of before. */
class ArrivalMeterTest {
    private val meter = ArrivalMeter()

    private fun request(number: Long, arrivedAt: MonotonicTime, remaining: Duration, tokens: Int = 4_096): Submission =
        submission(number, prompt(tokens), arrivedAt = arrivedAt).copy(remainingTime = remaining)

    private fun requestsPerSecond(now: MonotonicTime): Double = meter.perSecond(now)[MODEL]?.requestsPerSecond ?: 0.0

    @Test
    fun `a client that comes back within its time is counted once`() {
        meter.add(request(1, at(0.milliseconds), 2.seconds), MODEL, at(0.milliseconds))
        meter.add(request(2, at(500.milliseconds), 1.5.seconds), MODEL, at(500.milliseconds))
        expectThat(requestsPerSecond(at(600.milliseconds))).isEqualTo(1.0)
    }

    @Test
    fun `a new request of the same session is counted`() {
        meter.add(request(1, at(0.milliseconds), 2.seconds), MODEL, at(0.milliseconds))
        meter.add(request(2, at(500.milliseconds), 2.seconds), MODEL, at(500.milliseconds))
        expectThat(requestsPerSecond(at(600.milliseconds))).isEqualTo(2.0)
    }

    @Test
    fun `a request with another prompt is counted`() {
        meter.add(request(1, at(0.milliseconds), 2.seconds), MODEL, at(0.milliseconds))
        meter.add(request(2, at(500.milliseconds), 1.5.seconds, tokens = 4_000), MODEL, at(500.milliseconds))
        expectThat(requestsPerSecond(at(600.milliseconds))).isEqualTo(2.0)
    }

    @Test
    fun `requests without a prompt are all counted`() {
        repeat(3) { meter.add(submission(it.toLong()), MODEL, at(0.milliseconds)) }
        expectThat(requestsPerSecond(at(600.milliseconds))).isEqualTo(3.0)
    }

    @Test
    fun `the work of a request grows with its prompt and its output`() {
        val long = prompt(4_096).copy(maxNewTokens = 1_024, estimatedNewTokens = 512)
        meter.add(submission(1, long), MODEL, at(0.milliseconds))
        expectThat(meter.perSecond(at(0.milliseconds)).getValue(MODEL).workPerSecond).isEqualTo(1.0 + 1.0 + 2.0)
    }

    @Test
    fun `what is older than a second is no longer counted`() {
        meter.add(request(1, at(0.milliseconds), 2.seconds), MODEL, at(0.milliseconds))
        expectThat(meter.perSecond(at(1.seconds))).isEmpty()
    }
}
