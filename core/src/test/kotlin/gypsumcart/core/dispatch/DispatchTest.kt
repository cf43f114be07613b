package gypsumcart.core.dispatch

import gypsumcart.core.Admitted
import gypsumcart.core.AttemptNumber
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.routing.Verdict
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DispatchTest {
    private val dispatch = Dispatch()
    private val resumable = CallKind.Streamed(resumable = true, maxPause = 600.milliseconds)

    private fun assign(admitted: Admitted, attempt: Int = 1, name: String = "x"): List<DispatchEffect> =
        dispatch.decide(
            DispatchEvent.Assigned(admitted, AttemptNumber(attempt), backEnd(name)),
            MonotonicTime(0),
        )

    private fun fail(
        admitted: Admitted,
        failure: CallFailure,
        progress: Progress = Progress.None,
        attempt: Int = 1,
        now: MonotonicTime = MonotonicTime(0),
    ): List<DispatchEffect> =
        dispatch.decide(
            DispatchEvent.CallEnded(admitted.ticket, AttemptNumber(attempt), CallResult.Failed(failure, progress)),
            now,
        )

    @Test
    fun `a call that may have run is not repeated where it must run once at most`() {
        val request = admitted(CallKind.AtMostOnce)
        assign(request)
        val conclusion = fail(request, CallFailure.Cut).last()
        expectThat(conclusion).isEqualTo(DispatchEffect.Conclude(request, Outcome.Failed(CallFailure.Cut)))
    }

    @Test
    fun `a call that did not run is repeated elsewhere`() {
        val request = admitted(CallKind.AtMostOnce, maxAttempts = 1)
        assign(request)
        val next = fail(request, CallFailure.Declined(503)).last()
        expectThat(next).isA<DispatchEffect.Reroute>().get { otherwise }.isA<Outcome.NotRun>()
    }

    @Test
    fun `a request that ran before it was declined is never said not to have run`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        fail(request, CallFailure.Cut)
        assign(request, attempt = 2, name = "y")
        val next = fail(request, CallFailure.Declined(503), attempt = 2).last()
        expectThat(next).isA<DispatchEffect.Reroute>().get { otherwise }.isA<Outcome.Failed>()
    }

    @Test
    fun `a request runs on no more back ends than its route allows`() {
        val request = admitted(CallKind.Idempotent, maxAttempts = 2)
        assign(request)
        expectThat(fail(request, CallFailure.Cut).last()).isA<DispatchEffect.Reroute>()
        assign(request, attempt = 2, name = "y")
        expectThat(fail(request, CallFailure.Cut, attempt = 2).last()).isA<DispatchEffect.Conclude>()
    }

    @Test
    fun `a resumable stream goes on after the last event that the client has`() {
        val request = admitted(resumable)
        assign(request)
        val next = fail(request, CallFailure.Cut, Progress.Started("7")).last()
        expectThat(next).isA<DispatchEffect.Reroute>()
        val call = assign(request, attempt = 2, name = "y").single()
        expectThat(call).isA<DispatchEffect.Call>().get { resumeAfter }.isEqualTo("7")
    }

    @Test
    fun `a stream that has begun and can't be resumed ends`() {
        val request = admitted(CallKind.Streamed(resumable = false, maxPause = 600.milliseconds))
        assign(request)
        expectThat(fail(request, CallFailure.Cut, Progress.Started("7")).last()).isA<DispatchEffect.Conclude>()
    }

    @Test
    fun `nothing is repeated once the answer is overdue`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        expectThat(fail(request, CallFailure.TimedOut, now = at(2.seconds)).last()).isA<DispatchEffect.Conclude>()
    }

    @Test
    fun `the end of an earlier call is dropped`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        fail(request, CallFailure.Cut)
        assign(request, attempt = 2, name = "y")
        expectThat(fail(request, CallFailure.Cut, attempt = 1)).isEmpty()
    }

    @Test
    fun `a back end's own error tells nothing of its health`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        val release = fail(request, CallFailure.ServerError(500)).first()
        expectThat(release).isA<DispatchEffect.Release>().get { verdict }.isEqualTo(Verdict.UNKNOWN)
    }
}
