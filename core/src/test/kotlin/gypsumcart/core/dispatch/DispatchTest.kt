package gypsumcart.core.dispatch

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.RequestDurations
import gypsumcart.core.StreamOrigin
import gypsumcart.core.admitted
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.routing.HealthSignal
import gypsumcart.core.routing.key
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

    private fun assign(admitted: AdmittedRequest, attempt: Int = 1, name: String = "x"): List<DispatchEffect> =
        dispatch.decide(
            DispatchEvent.Assigned(admitted, AttemptNumber(attempt), backEnd(name)),
            MonotonicTime(0),
        )

    private fun fail(
        admitted: AdmittedRequest,
        failure: CallFailure,
        progress: DeliveryProgress = DeliveryProgress.None,
        attempt: Int = 1,
        now: MonotonicTime = MonotonicTime(0),
    ): List<DispatchEffect> =
        dispatch.decide(
            DispatchEvent.CallEnded(admitted.ticket, AttemptNumber(attempt), CallResult.Failed(failure, progress)),
            now,
        )

    @Test
    fun `a call that may have run is not retried if the request may run at most once`() {
        val request = admitted(CallKind.AtMostOnce)
        assign(request)
        val conclusion = fail(request, CallFailure.Truncated).last()
        expectThat(conclusion).isEqualTo(DispatchEffect.Conclude(request, Outcome.Failed(CallFailure.Truncated)))
    }

    // Guards against a second run after a refusal that nothing ties to the request (TWICE, REFUSED).
    @Test
    fun `a refusal that may belong to another request is neither a reason to retry nor a promise`() {
        val request = admitted(CallKind.AtMostOnce, maxAttempts = 3)
        assign(request)
        val refusal = CallFailure.UnattributedRefusal(503)
        expectThat(fail(request, refusal).last()).isEqualTo(DispatchEffect.Conclude(request, Outcome.Failed(refusal)))
    }

    @Test
    fun `a call that did not run is retried on another back end`() {
        val request = admitted(CallKind.AtMostOnce, maxAttempts = 1)
        assign(request)
        val next = fail(request, CallFailure.Declined(503)).last()
        expectThat(next).isA<DispatchEffect.Retry>().get { fallbackOutcome }.isA<Outcome.NotRun>()
    }

    @Test
    fun `a request that may have run before it was declined is not reported as not run`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        fail(request, CallFailure.Truncated)
        assign(request, attempt = 2, name = "y")
        val next = fail(request, CallFailure.Declined(503), attempt = 2).last()
        expectThat(next).isA<DispatchEffect.Retry>().get { fallbackOutcome }.isA<Outcome.Failed>()
    }

    @Test
    fun `a request runs on no more back ends than its route allows`() {
        val request = admitted(CallKind.Idempotent, maxAttempts = 2)
        assign(request)
        expectThat(fail(request, CallFailure.Truncated).last()).isA<DispatchEffect.Retry>()
        assign(request, attempt = 2, name = "y")
        expectThat(fail(request, CallFailure.Truncated, attempt = 2).last()).isA<DispatchEffect.Conclude>()
    }

    @Test
    fun `a resumable stream resumes after the last event delivered to the client`() {
        val request = admitted(resumable)
        assign(request)
        val next = fail(request, CallFailure.Truncated, DeliveryProgress.Started("7")).last()
        expectThat(next).isA<DispatchEffect.Retry>()
        val call = assign(request, attempt = 2, name = "y").single()
        expectThat(call).isA<DispatchEffect.Call>().get { resumeAfter }.isEqualTo("7")
    }

    private fun assignVersion(admitted: AdmittedRequest, attempt: Int, version: String): AdmittedRequest {
        val backEnd = backEnd("back-end-$attempt").copy(version = BackEndVersion(version))
        val assigned = DispatchEvent.Assigned(admitted, AttemptNumber(attempt), backEnd)
        return (dispatch.decide(assigned, MonotonicTime(0)).single() as DispatchEffect.Call).admitted
    }

    // Guards against a second version in one response (ORDER).
    @Test
    fun `the first events that reach the client bind the further calls to the version that wrote them`() {
        val request = admitted(resumable, maxAttempts = 5)
        assignVersion(request, 1, "v1")
        val unwritten = fail(request, CallFailure.Truncated).last()
        expectThat(unwritten).isA<DispatchEffect.Retry>().get { admitted.origin }.isEqualTo(StreamOrigin.Unwritten)
        assignVersion(request, 2, "v2")
        val written = fail(request, CallFailure.Truncated, DeliveryProgress.Started("7"), attempt = 2).last()
        val origin = StreamOrigin.WrittenBy(BackEndVersion("v2"))
        expectThat(written).isA<DispatchEffect.Retry>().get { admitted.origin }.isEqualTo(origin)
        expectThat(assignVersion(request, 3, "v2").origin).isEqualTo(origin)
        val withheld = fail(request, CallFailure.Withheld, DeliveryProgress.Started("7"), attempt = 3).last()
        expectThat(withheld).isA<DispatchEffect.Reassign>().get { admitted.origin }.isEqualTo(origin)
    }

    // Guards against a take-up that is bound anew to the version of whatever back end answered (ORDER).
    @Test
    fun `the origin that a request was admitted with is never replaced`() {
        val origin = StreamOrigin.WrittenBy(BackEndVersion("v1"))
        val request = admitted(resumable, maxAttempts = 5).copy(origin = origin)
        assignVersion(request, 1, "v2")
        val next = fail(request, CallFailure.Truncated, DeliveryProgress.Started("7")).last()
        expectThat(next).isA<DispatchEffect.Retry>().get { admitted.origin }.isEqualTo(origin)
    }

    @Test
    fun `a started stream that is not resumable ends when its call fails`() {
        val request = admitted(CallKind.Streamed(resumable = false, maxPause = 600.milliseconds))
        assign(request)
        expectThat(
            fail(request, CallFailure.Truncated, DeliveryProgress.Started("7")).last(),
        ).isA<DispatchEffect.Conclude>()
    }

    @Test
    fun `a failed call is not retried after the deadline of its request`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        expectThat(fail(request, CallFailure.TimedOut, now = at(2.seconds)).last()).isA<DispatchEffect.Conclude>()
    }

    private fun reportOverdue(admitted: AdmittedRequest, name: String = "x"): List<DispatchEffect> =
        dispatch.decide(DispatchEvent.CallOverdue(admitted.ticket, backEnd(name).key), MonotonicTime(0))

    // Guards against calls that are held on dark back ends until their clients give up (issue 43).
    @Test
    fun `an overdue call is ended and the request goes to another back end if it may run again`() {
        for (kind in listOf(CallKind.Idempotent, resumable)) {
            val request = admitted(kind)
            assign(request)
            expectThat(reportOverdue(request)).isEqualTo(listOf(DispatchEffect.EndCall(request.ticket)))
            expectThat(fail(request, CallFailure.TimedOut).last()).isA<DispatchEffect.Retry>()
            assign(request, attempt = 2, name = "y")
            dispatch.decide(DispatchEvent.Concluded(request.ticket), MonotonicTime(0))
        }
    }

    @Test
    fun `an overdue call is left alone if the request may run at most once, or not once more`() {
        val once = admitted(CallKind.AtMostOnce)
        assign(once)
        expectThat(reportOverdue(once)).isEmpty()
        val last = admitted(CallKind.Idempotent, number = 2, maxAttempts = 1)
        assign(last)
        expectThat(reportOverdue(last)).isEmpty()
    }

    @Test
    fun `a call to another back end than the overdue one is left alone`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        fail(request, CallFailure.TimedOut)
        assign(request, attempt = 2, name = "y")
        expectThat(reportOverdue(request, "x")).isEmpty()
    }

    @Test
    fun `the result of an earlier attempt is ignored`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        fail(request, CallFailure.Truncated)
        assign(request, attempt = 2, name = "y")
        expectThat(fail(request, CallFailure.Truncated, attempt = 1)).isEmpty()
    }

    // Guards against calls that are cut without an answer when the process ends (LOST).
    @Test
    fun `calls in flight are ended before the process, and their requests conclude as failed without a retry`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        val abort = dispatch.decide(DispatchEvent.Aborted, MonotonicTime(0))
        expectThat(abort).isEqualTo(listOf(DispatchEffect.Abort(request.ticket)))
        val conclusion = fail(request, CallFailure.Aborted).last()
        expectThat(conclusion).isEqualTo(DispatchEffect.Conclude(request, Outcome.Failed(CallFailure.Aborted)))
    }

    @Test
    fun `a request that is assigned when the process is about to end is refused instead of called`() {
        dispatch.decide(DispatchEvent.Aborted, MonotonicTime(0))
        val request = admitted(CallKind.AtMostOnce)
        expectThat(assign(request).last()).isEqualTo(DispatchEffect.Conclude(request, Outcome.NotRun.STOPPING))
    }

    @Test
    fun `a draining node reports how long the requests of the last minute took, and those in progress`() {
        val old = admitted(CallKind.Idempotent, number = 1)
        assign(old)
        fail(old, CallFailure.TimedOut, now = at(9.seconds))
        val ended = admitted(CallKind.Idempotent, number = 2)
        assign(ended)
        fail(ended, CallFailure.TimedOut, now = at(80.seconds))
        assign(admitted(CallKind.Idempotent, number = 3))
        val report = dispatch.decide(DispatchEvent.Draining, at(82.seconds)).single()
        val durations = RequestDurations(count = 1, longest = 82.seconds)
        expectThat(report).isEqualTo(DispatchEffect.ReportDurations(mapOf(ended.route.key to durations)))
    }

    @Test
    fun `a server error does not affect the health of the back end`() {
        val request = admitted(CallKind.Idempotent)
        assign(request)
        val release = fail(request, CallFailure.ServerError(500)).first()
        expectThat(release).isA<DispatchEffect.Release>().get { health }.isEqualTo(HealthSignal.UNKNOWN)
    }

    @Test
    fun `a call that was not sent counts as no attempt and is assigned to another back end`() {
        val request = admitted(CallKind.AtMostOnce, maxAttempts = 1)
        assign(request)
        val effects = fail(request, CallFailure.Withheld)
        expectThat(effects.first()).isA<DispatchEffect.Release>().get { health }.isEqualTo(HealthSignal.UNKNOWN)
        expectThat(effects.last()).isA<DispatchEffect.Reassign>().and {
            get { attempt }.isEqualTo(AttemptNumber.FIRST)
            get { excluded }.isEqualTo(setOf(backEnd("x").key))
            get { fallbackOutcome }.isA<Outcome.NotRun>()
        }
        assign(request, name = "y")
        expectThat(fail(request, CallFailure.Declined(503)).last()).isA<DispatchEffect.Retry>()
    }
}
