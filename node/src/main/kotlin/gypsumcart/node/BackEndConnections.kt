package gypsumcart.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import gypsumcart.core.BackEnd
import gypsumcart.core.MonotonicTime
import gypsumcart.core.routing.BackEndPath
import gypsumcart.core.routing.BackEndPaths
import gypsumcart.core.routing.Carrier
import gypsumcart.core.routing.CarrierChoice
import gypsumcart.core.routing.PathEffect
import gypsumcart.core.routing.PathEvent
import gypsumcart.core.routing.SilenceVerdict
import gypsumcart.core.routing.key
import gypsumcart.http.Connector
import gypsumcart.http.Endpoint
import gypsumcart.http.ExchangeFailure
import gypsumcart.http.HttpClient
import gypsumcart.http.OpenedConnection
import gypsumcart.http.TunnelFailure
import gypsumcart.pipeline.MonotonicClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.coroutines.cancellation.CancellationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Establishes the connections of calls to back ends, through other nodes where this one does not reach a back end.
 *
 * Used on the thread of the edge only.
 *
 * @property carriers returns the other nodes
 * @property listed returns the listed back ends, one of which is tried from time to time while none is reached
 * @property closeIdle closes the idle connections to all back ends
 * @property onReachChanged called when this node loses its connections to all back ends, or reaches one again
 */
internal class BackEndConnections(
    private val client: HttpClient,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    private val choice: CarrierChoice,
    private val metrics: Metrics,
    private val carriers: () -> List<Carrier>,
    private val listed: () -> Collection<BackEnd>,
    private val closeIdle: () -> Unit,
    private val onReachChanged: (reachesBackEnds: Boolean) -> Unit,
) {
    private val paths = BackEndPaths()

    /** The calls that wait for a back end on a direct connection. */
    private val waiting = LinkedHashSet<CallConnection>()
    private var isWatching = false
    private var prober: Job? = null

    /** Whether this node reaches no back end by itself. */
    val isCutOff: Boolean get() = paths.isCutOff

    /** The connection of one call to [backEnd]. */
    inner class CallConnection(private val backEnd: BackEnd) : Connector {
        private var job: Job? = null
        private var isCarried = false
        private var isAbandoned = false
        private var isSentDirectly = false
        private var hasReceived = false
        private var mayRunAgain: () -> Boolean = { false }

        private var wasCarrierFound = false

        /** Whether this node reaches no back end, and no other node carries connections for it. */
        val lacksPath: Boolean get() = isCutOff && !wasCarrierFound

        /** When the call started to wait for something to arrive. */
        var waitingSince: MonotonicTime = clock.now()
            private set

        /** Whether the call was sent on a connection that this node has lost. */
        val isLost: Boolean get() = isAbandoned || isCutOff && isSentDirectly

        /**
         * Returns the result of [exchange], or null if its connection is given up because the node is cut off.
         *
         * @param mayRunAgain returns whether the call may be ended and made again
         */
        suspend fun <T : Any> use(mayRunAgain: () -> Boolean, exchange: suspend () -> T): T? {
            this.mayRunAgain = mayRunAgain
            return try {
                coroutineScope {
                    job = coroutineContext.job
                    exchange()
                }
            } catch (e: CancellationException) {
                currentCoroutineContext().ensureActive()
                if (!isAbandoned) throw e
                null
            } finally {
                waiting -= this
            }
        }

        override suspend fun connect(): Result<OpenedConnection, ExchangeFailure> {
            // A node that knows no other one has no better way.
            val path = if (carriers().isEmpty()) BackEndPath.Direct else paths.pathTo(backEnd.key, clock.now())
            return when (path) {
                BackEndPath.Direct -> connectDirectly()
                is BackEndPath.Carried -> {
                    if (path.isProbeDue) scope.launch { probe(backEnd) }
                    connectThroughOther()
                }
            }
        }

        /** Records that the request is about to be written. */
        fun recordSent() {
            if (isCarried) return
            isSentDirectly = true
            waitingSince = clock.now()
            waiting += this
            watch()
        }

        /** Records that something was received. */
        fun recordReceived() {
            if (isCarried) return
            waitingSince = clock.now()
            hasReceived = true
            apply(PathEvent.Received)
        }

        /** Records that the connection was lost; its idle siblings are probably lost too. */
        fun recordLost() {
            if (!isSentDirectly || hasReceived) return
            client.closeIdle(backEnd.endpoint)
            apply(PathEvent.Lost(backEnd.key))
        }

        fun abandon() {
            if (!mayRunAgain()) return
            isAbandoned = true
            job?.cancel()
        }

        fun probedBackEnd(): BackEnd = backEnd

        /** Connects directly, and through another node as well if that takes long or fails. */
        private suspend fun connectDirectly(): Result<OpenedConnection, ExchangeFailure> {
            val direct = Attempt { client.connect(backEnd.endpoint) }
            val other = Attempt { connectThroughOther() }
            try {
                return coroutineScope {
                    val directJob = launch { direct.run() }
                    withTimeoutOrNull(PATIENCE) { directJob.join() }
                    if (direct.opened == null) {
                        val otherJob = launch { other.run() }
                        if (directJob.isActive) {
                            select {
                                directJob.onJoin {}
                                otherJob.onJoin {}
                            }
                        }
                        if (direct.opened == null) otherJob.join()
                        if (direct.opened == null && !other.isSettled) directJob.join()
                        directJob.cancel()
                        otherJob.cancel()
                    }
                    take(direct, other)
                }
            } finally {
                direct.opened?.close()
                other.opened?.close()
            }
        }

        private fun take(direct: Attempt, other: Attempt): Result<OpenedConnection, ExchangeFailure> {
            val opened = direct.takeOrNull()
            if (opened != null) {
                isCarried = false
                apply(PathEvent.Connected(backEnd.key))
                return Ok(opened)
            }
            val carried = other.takeOrNull()
            if (carried == null && other.failure == ExchangeFailure.NotWanted) return Err(ExchangeFailure.NotWanted)
            apply(PathEvent.Unreached(backEnd.key, isCarried = carried != null))
            return if (carried != null) Ok(carried) else Err(ExchangeFailure.NotConnected)
        }

        private suspend fun connectThroughOther(): Result<OpenedConnection, ExchangeFailure> {
            for (carrier in choice.choose(carriers(), clock.now())) {
                val opened = connectThrough(carrier)
                wasCarrierFound = wasCarrierFound || opened.mapBoth({ true }, { !it.isOfCarrier })
                val connection =
                    opened.getOrElse { failure ->
                        if (failure.isWithheld) return Err(ExchangeFailure.NotWanted)
                        if (failure.isOfCarrier) choice.recordFailure(carrier.node, clock.now())
                        null
                    }
                if (connection != null) {
                    isCarried = true
                    return Ok(connection)
                }
            }
            return Err(ExchangeFailure.NotConnected)
        }

        private suspend fun connectThrough(carrier: Carrier): Result<OpenedConnection, TunnelFailure> {
            val endpoint = Endpoint(carrier.address.host, carrier.address.port)
            val opened = client.connectThrough(endpoint, backEnd.toCarriedPath(), CARRIED_CONNECT_TIMEOUT)
            val result = opened.mapBoth({ "opened" }, { it.toLogValue() })
            metrics.countCarriedCall(result)
            log.info(
                "event=call_carried back_end={} incarnation={} through={} result={}",
                backEnd.id,
                backEnd.incarnation,
                carrier.node,
                result,
            )
            return opened
        }
    }

    /** Connects to [backEnd] for another node, and returns null if that takes long or fails. */
    suspend fun connectForOther(backEnd: BackEnd): OpenedConnection? = probeOrNull(backEnd)

    /** Tries a direct connection, which is kept for later calls if it is established. */
    private suspend fun probe(backEnd: BackEnd) {
        probeOrNull(backEnd)?.let { client.keepIdle(backEnd.endpoint, it) }
    }

    /** Tries direct connections until it is cancelled; the one that is established ends the cut. */
    private suspend fun probeWhileCutOff() {
        while (true) {
            delay(BackEndPaths.PROBE_PERIOD)
            listed().filterNot { it.draining }.randomOrNull()?.let { probe(it) }
        }
    }

    private suspend fun probeOrNull(backEnd: BackEnd): OpenedConnection? {
        val attempt = Attempt { client.connect(backEnd.endpoint) }
        try {
            coroutineScope {
                val job = launch { attempt.run() }
                withTimeoutOrNull(PATIENCE) { job.join() }
                // If this process has stood still, the connection may be ready.
                if (job.isActive) withTimeoutOrNull(SETTLING_TIME) { job.join() }
                job.cancel()
            }
            val opened = attempt.takeOrNull()
            apply(
                if (opened == null) {
                    PathEvent.Unreached(backEnd.key, isCarried = false)
                } else {
                    PathEvent.Connected(backEnd.key)
                },
            )
            return opened
        } finally {
            attempt.opened?.close()
        }
    }

    /** Watches for silence while calls wait on direct connections. */
    private fun watch() {
        if (isWatching) return
        isWatching = true
        scope.launch {
            try {
                while (waiting.isNotEmpty()) step(waiting.minBy { it.waitingSince })
            } finally {
                isWatching = false
            }
        }
    }

    private suspend fun step(longest: CallConnection) {
        val now = clock.now()
        when (val verdict = paths.verdictOnSilence(longest.waitingSince, now)) {
            is SilenceVerdict.Wait -> delay((verdict.until - now).coerceAtLeast(MIN_WAIT))

            SilenceVerdict.Probe -> {
                val backEnd = longest.probedBackEnd()
                val opened = probeOrNull(backEnd)
                if (opened != null) {
                    client.keepIdle(backEnd.endpoint, opened)
                } else {
                    apply(PathEvent.SilenceConfirmed(since = now))
                }
            }

            SilenceVerdict.Confirmed -> apply(PathEvent.SilenceConfirmed(since = now))
        }
    }

    private fun apply(event: PathEvent): Unit = paths.decide(event, clock.now()).forEach(::execute)

    private fun execute(effect: PathEffect) {
        when (effect) {
            is PathEffect.CutOffChanged -> {
                val others = carriers()
                log.warn(
                    "event=cut_off_changed cut_off={} carriers={} nodes={}",
                    effect.isCutOff,
                    others.count { it.reachesBackEnds },
                    others.size,
                )
                onReachChanged(!effect.isCutOff)
                prober?.cancel()
                if (effect.isCutOff) prober = scope.launch { probeWhileCutOff() }
            }

            PathEffect.CloseIdle -> closeIdle()

            PathEffect.AbandonConnections -> {
                closeIdle()
                waiting.toList().forEach { it.abandon() }
            }
        }
    }

    /** Holds a connection from the time when it is established until someone takes it. */
    private class Attempt(private val connect: suspend () -> Result<OpenedConnection, ExchangeFailure>) {
        var opened: OpenedConnection? = null
            private set
        var failure: ExchangeFailure? = null
            private set

        /** Whether nothing better is to be expected of another attempt. */
        val isSettled: Boolean get() = opened != null || failure == ExchangeFailure.NotWanted

        suspend fun run() {
            val result = connect()
            opened = result.get()
            failure = result.mapBoth({ null }, { it })
        }

        fun takeOrNull(): OpenedConnection? = opened.also { opened = null }
    }

    private companion object {
        private val log = LoggerFactory.getLogger(BackEndConnections::class.java)

        /** Several round trips between zones; a packet that is lost is sent again after one second. */
        val PATIENCE: Duration = 250.milliseconds

        /** Long enough for the loop to look at all sockets once. */
        val SETTLING_TIME: Duration = 20.milliseconds

        /** The time for the other node to connect, and for several round trips. */
        val CARRIED_CONNECT_TIMEOUT: Duration = 450.milliseconds

        val MIN_WAIT: Duration = 20.milliseconds
    }
}

/** The address of this instance of the back end for an [HttpClient]. */
internal val BackEnd.endpoint: Endpoint get() = Endpoint(address.host, address.port, peerId)
