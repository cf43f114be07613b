package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.LEDGER
import gypsumcart.core.OrderNumber
import gypsumcart.core.Outcome
import gypsumcart.core.Prompt
import gypsumcart.core.PromptPart
import gypsumcart.core.PromptPartId
import gypsumcart.core.RefusalReason
import gypsumcart.core.StreamOrigin
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.rollout.VersionMode
import gypsumcart.core.rollout.VersionRule
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TakeUpRoutingTest {
    private val loop = CallLoop()
    private val gone = Outcome.NotRun(RefusalReason.OriginGone, retryAfter = null)

    private fun takeUp(number: Long, version: String?, prompt: Prompt? = null): AdmittedRequest {
        val template = admitted(CallKind.Streamed(resumable = true, maxPause = 1.seconds), number, prompt, 8)
        return template.copy(
            submission = template.submission.copy(arrivedAt = loop.now),
            deadline = loop.now + 5.seconds,
            origin = StreamOrigin.WrittenBy(version?.let(::BackEndVersion)),
        )
    }

    private fun newStream(number: Long): AdmittedRequest =
        takeUp(number, version = null, Prompt(10, 10, null, listOf(PromptPart(PromptPartId("own-$number"), 10))))
            .copy(origin = StreamOrigin.Unwritten)

    /** A prompt that shares no part with others. */
    private fun ownPrompt(): Prompt = Prompt(10, 10, null, listOf(PromptPart(PromptPartId("own"), 10)))

    private fun rule(mode: VersionMode, barred: Set<BackEndVersion> = emptySet()) {
        val rule = VersionRule(LEDGER, OrderNumber(1), BackEndVersion("v2"), mode, barred)
        loop.route(RoutingEvent.VersionsRuled(listOf(rule), 1))
    }

    // Guards against streams that clients take up and that go on at any version (ORDER).
    @Test
    fun `a take-up and its retries go to back ends of the version that began the stream`() {
        val versions = listOf("v1", "v1.1", "v1.2", null)
        loop.list(List(16) { versioned("e$it", versions[it % 4]) })
        for (number in 1L..40) {
            val version = versions[number.toInt() % 4]
            loop.send(takeUp(number, version))
            loop.breakOff(number, lastEventId = null, CallFailure.Withheld)
            loop.breakOff(number, lastEventId = null)
            loop.breakOff(number, lastEventId = "1")
            val calls = loop.made.filter { it.admitted.ticket.number == number }
            expectThat(calls).hasSize(4).all { get { backEnd.version?.text }.isEqualTo(version) }
        }
    }

    // Guards against a take-up that waits for a version that has left, or goes on at another one (ORDER).
    @Test
    fun `a take-up is refused at once if no back end of its version accepts requests`() {
        loop.list(versioned("a", "v2"), versioned("b", "v1", draining = true))
        loop.send(takeUp(1, "v1"))
        loop.send(takeUp(2, "v3"))
        loop.send(takeUp(3, null))
        expectThat(loop.made).isEmpty()
        expectThat((1L..3).map { loop.outcomes[it] }).all { isEqualTo(gone) }
    }

    // Guards against a take-up that goes to a version which gets nothing by the rules of a roll-out (ROUTE, ORDER).
    @Test
    fun `a take-up is refused at once if the rules of a roll-out leave nothing to its version`() {
        loop.list(versioned("a", "v1"), versioned("b", "v2"), versioned("c", "v3"))
        rule(VersionMode.New)
        loop.send(takeUp(1, "v1"))
        rule(VersionMode.Old, barred = setOf(BackEndVersion("v3")))
        loop.send(takeUp(2, "v2"))
        loop.send(takeUp(3, "v3"))
        loop.send(takeUp(4, "v1"))
        expectThat((1L..3).map { loop.outcomes[it] }).all { isEqualTo(gone) }
        expectThat(loop.made.map { it.backEnd.id.text }).containsExactly("a")
    }

    // Guards against refusals by a node that has just started and knows no back ends yet (LOST).
    @Test
    fun `a take-up waits for the first listing`() {
        loop.send(takeUp(1, "v1"))
        expectThat(loop.outcomes[1]).isEqualTo(null)
        loop.list(versioned("a", "v2"), versioned("b", "v1"))
        expectThat(loop.made.map { it.backEnd.id.text }).containsExactly("b")
    }

    // Guards against take-ups that overload the last back ends of their version, or give up while it is full (LOST).
    @Test
    fun `a take-up waits for a place at its version, while other versions have room`() {
        loop.list(listOf(versioned("a", "v1", slots = 2)) + List(5) { versioned("b$it", "v2", slots = 20) })
        loop.send(takeUp(1, "v1", ownPrompt()))
        loop.send(takeUp(2, "v1", ownPrompt()))
        loop.send(takeUp(3, "v2", ownPrompt()))
        expectThat(loop.calls.keys).containsExactly(1, 3)
        loop.end(3, CallResult.Answered(200))
        expectThat(loop.calls.keys).containsExactly(1)
        expectThat(loop.outcomes).isEmpty()
        loop.end(1, CallResult.Answered(200))
        expectThat(loop.calls.values.map { it.backEnd.id.text }).containsExactly("a")
        expectThat(loop.calls.keys).containsExactly(2)
    }

    // Guards against refusing take-ups where a node's share of a version's back ends is less than one place (LOST).
    @Test
    fun `new requests at the back ends of its version do not take the place of a take-up`() {
        loop.route(RoutingEvent.NodeCountUpdated(35))
        loop.list(List(78) { versioned("e$it", if (it < 4) "v1" else "v2", slots = 12) })
        var number = 0L
        while (loop.made.none { it.backEnd.version?.text == "v1" }) {
            loop.send(newStream(++number))
            expectThat(loop.calls.keys).hasSize(number.toInt())
        }
        loop.send(takeUp(100, "v1", ownPrompt()))
        expectThat(loop.made.last()).get { admitted.ticket.number to backEnd.version?.text }.isEqualTo(100L to "v1")
        loop.send(takeUp(101, "v1", ownPrompt()))
        expectThat(loop.calls.keys).hasSize(number.toInt() + 1)
    }

    // Guards against take-ups beyond what a node may use of all back ends of the service.
    @Test
    fun `a take-up waits while the node uses its whole share of the service and of the version`() {
        loop.route(RoutingEvent.NodeCountUpdated(35))
        loop.list(List(78) { versioned("e$it", if (it < 4) "v1" else "v2", slots = 12) })
        var number = 0L
        while (loop.calls.size.toLong() == number) loop.send(newStream(++number))
        expectThat(loop.made.count { it.backEnd.version?.text == "v1" }).isGreaterThan(0)
        loop.send(takeUp(100, "v1", ownPrompt()))
        expectThat(loop.calls.keys).hasSize(number.toInt() - 1)
        expectThat(loop.outcomes).isEmpty()
    }

    // Guards against take-ups that wait in vain for paused back ends because those of other versions are open.
    @Test
    fun `a take-up is refused with a time to return if all back ends of its version pause`() {
        loop.list(versioned("a", "v1"), versioned("b", "v2"))
        val paused = RoutingEvent.PauseStated(versioned("a", "v1").key, at(9.seconds))
        loop.route(paused)
        loop.send(takeUp(1, "v1"))
        expectThat(loop.outcomes[1]).isA<Outcome.NotRun>().and {
            get { reason }.isEqualTo(RefusalReason.BackEndsPaused)
            get { retryAfter }.isNotNull()
        }
    }

    // Guards against clients that return in vain after the last back end of their version declined (LOST).
    @Test
    fun `a take-up that was declined is refused as one that can't go on when its version has left`() {
        loop.list(versioned("a", "v1"), versioned("b", "v2"))
        loop.send(takeUp(1, "v1"))
        loop.send(takeUp(2, "v1"))
        loop.list(versioned("a", "v1", draining = true), versioned("b", "v2"))
        loop.breakOff(1, lastEventId = null, CallFailure.Declined(503))
        loop.breakOff(2, lastEventId = null, CallFailure.Withheld)
        expectThat((1L..2).map { loop.outcomes[it] }).all { isEqualTo(gone) }
    }

    /** Fills the only back end of v1, so that the take-up with number 2 waits for it. */
    private fun awaitVersion() {
        loop.list(versioned("a", "v1", slots = 2), versioned("b", "v2", slots = 20))
        loop.send(takeUp(1, "v1", ownPrompt()))
        loop.send(takeUp(2, "v1", ownPrompt()))
        expectThat(loop.calls.keys).containsExactly(1)
        expectThat(loop.outcomes).isEmpty()
    }

    // Guards against take-ups that wait to the end of their time although their version has left.
    @Test
    fun `a take-up that waits is refused as soon as the last back end of its version leaves`() {
        awaitVersion()
        loop.list(versioned("a", "v1", draining = true, slots = 2), versioned("b", "v2", slots = 20))
        expectThat(loop.outcomes[2]).isEqualTo(gone)
    }

    // Guards against take-ups that wait for a version that gets nothing any more.
    @Test
    fun `a take-up that waits is refused as soon as the rules of a roll-out leave nothing to its version`() {
        awaitVersion()
        rule(VersionMode.New)
        expectThat(loop.outcomes[2]).isEqualTo(gone)
    }

    // Guards against take-ups that wait in vain for paused back ends because those of other versions are open.
    @Test
    fun `a take-up that waits is refused with a time to return when all back ends of its version pause`() {
        awaitVersion()
        loop.route(RoutingEvent.PauseStated(versioned("a", "v1").key, at(9.seconds)))
        expectThat(loop.outcomes[2]).isA<Outcome.NotRun>().and {
            get { reason }.isEqualTo(RefusalReason.BackEndsPaused)
            get { retryAfter }.isNotNull()
        }
    }

    // Guards against take-ups that get no time for a place because the search for their record has used it up (LOST).
    @Test
    fun `a take-up whose record was looked for waits for a place as long as a new stream does`() {
        loop.list(versioned("a", "v1", slots = 2), versioned("b", "v2", slots = 2))
        loop.send(takeUp(1, "v1", ownPrompt()))
        loop.send(takeUp(2, "v2", ownPrompt()))
        // A round of the search that finds nothing, and the pause before the next one.
        val searched = takeUp(3, "v1", ownPrompt())
        val arrivedAt = loop.now - 160.milliseconds
        loop.send(searched.copy(submission = searched.submission.copy(arrivedAt = arrivedAt)))
        loop.send(newStream(4))
        loop.now += 20.milliseconds
        loop.route(RoutingEvent.Sweep)
        expectThat(loop.outcomes).isEmpty()
        loop.end(1, CallResult.Answered(200))
        expectThat(loop.calls.values.map { it.admitted.ticket.number }).contains(3)
    }

    // Guards against new requests that use up what a roll-out may expose, so that its streams are refused (LOST).
    @Test
    @Tag("known-red")
    fun `streams of the version that is rolled out can be taken up while as much as allowed goes to it`() {
        loop.route(RoutingEvent.NodeCountUpdated(35))
        loop.list(List(78) { versioned("e$it", if (it < 2) "v2" else "v1", slots = 12) })
        rule(VersionMode.Divided(share = 0.5, exposedShare = 0.09, exposedExtra = 20))
        val (takeUps, others) = (1L..2_400L).partition { it % 50 == 0L }
        for (number in 1L..2_400L) {
            loop.send(if (number in takeUps) takeUp(number, "v2", ownPrompt()) else newStream(number))
            loop.now += 60.milliseconds
            loop.route(RoutingEvent.Sweep)
            loop.now += 40.milliseconds
            loop.calls.keys
                .toList()
                .forEach { loop.end(it, CallResult.Answered(200)) }
        }
        val called = loop.made.map { it.admitted.ticket.number }.toSet()
        expectThat(others.filterNot { it in called }).isEmpty()
        expectThat(takeUps.filter { it in called }).get { size }.isGreaterThanOrEqualTo(takeUps.size / 2)
    }
}
