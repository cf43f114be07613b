package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallFailure
import gypsumcart.core.Features
import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DeliveryProgress
import gypsumcart.core.dispatch.Dispatch
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.dispatch.DispatchEvent
import kotlin.time.Duration.Companion.seconds

/** Returns a back end of the version named [version], or of one that is not stated. */
internal fun versioned(id: String, version: String?, draining: Boolean = false, slots: Int = 6): BackEnd =
    backEnd(id, draining = draining, slots = slots).copy(version = version?.let(::BackEndVersion))

/** Runs the routing and dispatch deciders of one node; its user decides how each call ends. */
internal class CallLoop(features: Features = Features.NONE) {
    val routing = Routing(RetryLimits(ratio = 1.0, extra = 100_000, window = 10.seconds), features)
    private val dispatch = Dispatch()
    var now: MonotonicTime = at(1.seconds)

    /** The calls in flight by the number of their requests. */
    val calls = LinkedHashMap<Long, DispatchEffect.Call>()

    /** All calls that were made. */
    val made = ArrayList<DispatchEffect.Call>()

    /** How the requests ended for which no further call is made. */
    val outcomes = HashMap<Long, Outcome>()

    fun list(backEnds: List<BackEnd>): Unit = route(RoutingEvent.BackEndsListed(backEnds))

    fun list(vararg backEnds: BackEnd): Unit = list(backEnds.toList())

    fun send(admitted: AdmittedRequest): Unit = route(RoutingEvent.RequestAdmitted(admitted))

    /** Breaks off the call for the request with [number], of which the client got the events up to [lastEventId]. */
    fun breakOff(number: Long, lastEventId: String?, failure: CallFailure = CallFailure.Truncated) {
        val progress = lastEventId?.let(DeliveryProgress::Started) ?: DeliveryProgress.None
        end(number, CallResult.Failed(failure, progress))
    }

    fun end(number: Long, result: CallResult) {
        val call = checkNotNull(calls.remove(number)) { "no call is in flight for $number" }
        dispatch.decide(DispatchEvent.CallEnded(call.admitted.ticket, call.attempt, result), now).forEach(::execute)
    }

    fun route(event: RoutingEvent): Unit = routing.decide(event, now).forEach(::execute)

    private fun execute(effect: RoutingEffect) {
        when (effect) {
            is RoutingEffect.Assign ->
                dispatch
                    .decide(DispatchEvent.Assigned(effect.admitted, effect.attempt, effect.backEnd), now)
                    .forEach(::execute)
            is RoutingEffect.Conclude -> {
                dispatch.decide(DispatchEvent.Concluded(effect.admitted.ticket), now)
                outcomes[effect.admitted.ticket.number] = effect.outcome
            }
            is RoutingEffect.EndCall ->
                dispatch
                    .decide(DispatchEvent.CallOverdue(effect.ticket, effect.instance), now)
                    .forEach(::execute)
            else -> Unit
        }
    }

    private fun execute(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Call -> {
                calls[effect.admitted.ticket.number] = effect
                made += effect
            }
            is DispatchEffect.Conclude -> outcomes[effect.admitted.ticket.number] = effect.outcome
            is DispatchEffect.Release ->
                route(RoutingEvent.CallReleased(effect.ticket, effect.instance, effect.health, effect.isError))
            is DispatchEffect.Retry ->
                route(
                    RoutingEvent.RetryRequested(
                        effect.admitted,
                        effect.attempt,
                        effect.excluded,
                        effect.fallbackOutcome,
                    ),
                )
            is DispatchEffect.Reassign ->
                route(
                    RoutingEvent.ReassignmentRequested(
                        effect.admitted,
                        effect.attempt,
                        effect.excluded,
                        effect.fallbackOutcome,
                    ),
                )
            is DispatchEffect.EndCall -> breakOff(effect.ticket.number, null, CallFailure.TimedOut)
            is DispatchEffect.Abort, is DispatchEffect.ReportDurations -> Unit
        }
    }
}
