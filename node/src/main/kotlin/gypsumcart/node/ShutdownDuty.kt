package gypsumcart.node

import gypsumcart.core.MonotonicTime
import gypsumcart.core.Outcome
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.dispatch.DispatchEvent
import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.shutdown.Shutdown
import gypsumcart.core.shutdown.ShutdownEffect
import gypsumcart.core.shutdown.ShutdownEvent
import gypsumcart.core.shutdown.ShutdownLimits
import gypsumcart.core.usage.UsageEvent
import gypsumcart.http.HttpServer
import gypsumcart.pipeline.Duty
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.Timers
import gypsumcart.pipeline.deciderDuty
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs the decider of a node's shutdown.
 *
 * @property carriedConnections returns the number of connections that are carried for other nodes
 * @param servers the servers whose connections are ended before the process, the busiest one last: closing the first
 *   listener takes longer, as classes are loaded, and resets the connections that are opened meanwhile
 */
internal class ShutdownDuty(
    private val rings: Rings,
    private val edge: ClientEdge,
    private val carriedConnections: () -> Int,
    private val servers: List<HttpServer>,
    private val codec: CallCodec,
    private val scope: CoroutineScope,
    private val timers: Timers,
    private val clock: MonotonicClock,
    limits: ShutdownLimits,
) {
    private val finished = CountDownLatch(1)
    private val inProgress: Int get() = edge.inProgress + carriedConnections()

    val duty: Duty = deciderDuty(rings.shutdown, Shutdown(limits), clock, ::execute)

    /** Waits until the process may end. */
    fun awaitFinished(): Unit = finished.await()

    private fun execute(effect: ShutdownEffect) {
        when (effect) {
            is ShutdownEffect.Drain -> drain(effect.callsEndAt)

            ShutdownEffect.RefuseRequests -> {
                log.info("event=node_refusing in_progress={}", edge.inProgress)
                edge.close()
            }

            ShutdownEffect.AbortRequests -> {
                log.info("event=node_aborting in_progress={}", edge.inProgress)
                rings.routing.put(RoutingEvent.Aborted)
                rings.dispatch.put(DispatchEvent.Aborted)
            }

            is ShutdownEffect.Finish -> finish(effect)

            is ShutdownEffect.CheckAt ->
                timers.after(timeUntil(effect.time)) { rings.shutdown.put(ShutdownEvent.Checked(inProgress)) }
        }
    }

    private fun drain(callsEndAt: MonotonicTime) {
        log.info("event=node_stopping in_progress={}", edge.inProgress)
        servers.forEach(HttpServer::drain)
        rings.admission.put(AdmissionEvent.Draining(callsEndAt))
        rings.dispatch.put(DispatchEvent.Draining)
        rings.membership.put(MembershipEvent.AcceptingChanged(false))
        rings.lease.put(LeaseEvent.Stopping(wallTime()))
    }

    private fun finish(effect: ShutdownEffect.Finish) {
        log.info("event=node_finishing in_progress={}", edge.inProgress)
        timers.after(timeUntil(effect.processEndsAt), finished::countDown)
        val refusal = codec.outcomeHead(Outcome.NotRun.STOPPING, id = null)
        scope.launch {
            val sharing = launch { shareLastCounts() }
            (servers.map { launch { it.finish(effect.closeTimeout, refusal) } } + sharing).joinAll()
            finished.countDown()
        }
    }

    /** Shares the usage counts of the last requests, over the link and through the store. */
    private suspend fun shareLastCounts() {
        rings.usage.offer(UsageEvent.Tick)
        delay(COUNTING_TIME)
        rings.membership.offer(MembershipEvent.AcceptingChanged(false))
        delay(SHARING_TIME)
    }

    private fun timeUntil(time: MonotonicTime): Duration = (time - clock.now()).coerceAtLeast(Duration.ZERO)

    private companion object {
        private val log = LoggerFactory.getLogger(ShutdownDuty::class.java)

        /** Several times what the usage duty takes to pass its counts on. */
        val COUNTING_TIME = 50.milliseconds

        /** Longer than the time after which each node of the zone turns to its relay again. */
        val SHARING_TIME = 300.milliseconds
    }
}
