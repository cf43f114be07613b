package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Incarnation
import gypsumcart.core.Outcome
import gypsumcart.core.admitted
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class StreamVersionsTest {
    private val loop = CallLoop()

    private fun stream(number: Long, maxAttempts: Int = 8): AdmittedRequest =
        admitted(CallKind.Streamed(resumable = true, maxPause = 1.seconds), number, maxAttempts = maxAttempts)

    private fun mixed(versions: List<String?>): List<BackEnd> =
        List(12) { versioned("e$it", versions[it % versions.size]) }

    private fun versionsOf(number: Long): List<String?> =
        loop.made
            .filter { it.admitted.ticket.number == number }
            .map { it.backEnd.version?.text }

    // Guards against streams that go on at another version after a crash in the middle (ORDER).
    @Test
    fun `a stream that breaks off goes on at the version that began it, while several are in use`() {
        loop.list(mixed(listOf("v1", "v1.1", "v1.2")))
        for (number in 1L..60) {
            loop.send(stream(number))
            repeat(3) { loop.breakOff(number, lastEventId = "$it") }
            expectThat(versionsOf(number)).hasSize(4).all { isEqualTo(versionsOf(number).first()) }
        }
        expectThat(loop.made.mapTo(HashSet()) { it.backEnd.version?.text }).hasSize(3)
    }

    // Guards against a stream that goes on at another version because nothing is left of its own (ORDER).
    @Test
    fun `a stream whose version has no other back end breaks off as one that no back end can resume`() {
        loop.list(versioned("a", "v1"), versioned("b", "v2", draining = true))
        loop.send(stream(1))
        loop.list(versioned("a", "v1"), versioned("b", "v2"), versioned("c", "v1", draining = true))
        loop.breakOff(1, lastEventId = "1")
        expectThat(loop.outcomes[1]).isEqualTo(Outcome.Failed(CallFailure.Truncated))
        expectThat(versionsOf(1)).containsExactly("v1")
    }

    // Guards against lost responses where no event has bound the request to a version (LOST).
    @Test
    fun `a request whose client has no events is retried at any version`() {
        loop.list(versioned("a", "v1"), versioned("b", "v2"))
        loop.send(stream(1))
        loop.breakOff(1, lastEventId = null)
        expectThat(versionsOf(1).toSet()).hasSize(2)
    }

    // Guards against back ends that state no version being taken for any version, or for none (ORDER, LOST).
    @Test
    fun `back ends without a stated version count as one version`() {
        loop.list(mixed(listOf(null, "v1")))
        for (number in 1L..40) {
            loop.send(stream(number))
            repeat(3) { loop.breakOff(number, lastEventId = "$it") }
            expectThat(versionsOf(number)).hasSize(4).all { isEqualTo(versionsOf(number).first()) }
        }
    }

    // Guards against a second version by way of a call that is withheld and assigned anew (ORDER).
    @Test
    fun `a resumption that was withheld or declined stays with the version of its stream`() {
        loop.list(mixed(listOf("v1", "v2")))
        for (number in 1L..40) {
            loop.send(stream(number))
            loop.breakOff(number, lastEventId = "1")
            loop.breakOff(number, lastEventId = "1", CallFailure.Withheld)
            loop.breakOff(number, lastEventId = "1", CallFailure.Declined(503))
            loop.breakOff(number, lastEventId = "1", CallFailure.NotResumed(200))
            expectThat(versionsOf(number)).hasSize(5).all { isEqualTo(versionsOf(number).first()) }
        }
    }

    // Guards against a restart under the same id with other software that passes for the back end before it (ORDER).
    @Test
    fun `a stream does not go on at a later start of its back end that has another version`() {
        loop.list(versioned("a", "v1"))
        loop.send(stream(1))
        loop.list(versioned("a", "v2").copy(incarnation = Incarnation(2)))
        loop.breakOff(1, lastEventId = "1")
        expectThat(loop.made.map { it.backEnd.version }).doesNotContain(BackEndVersion("v2"))
        expectThat(loop.outcomes[1]).isEqualTo(Outcome.Failed(CallFailure.Truncated))
    }
}
