package gypsumcart.node

import gypsumcart.core.Address
import gypsumcart.core.AttemptNumber
import gypsumcart.core.BackEnd
import gypsumcart.core.Features
import gypsumcart.core.Incarnation
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.ZoneName
import gypsumcart.core.addressOrNull
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.directory.DirectoryEvent
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.MembershipSettings
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.RelayRank
import gypsumcart.core.membership.carriers
import gypsumcart.core.membership.nearestFirst
import gypsumcart.core.replicas.AutoscalerEvent
import gypsumcart.core.rollout.RolloutEvent
import gypsumcart.core.routing.CarrierChoice
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.routing.key
import gypsumcart.core.shutdown.ShutdownEvent
import gypsumcart.core.shutdown.ShutdownLimits
import gypsumcart.core.streams.StreamEvent
import gypsumcart.core.usage.UsageEvent
import gypsumcart.http.CONNECT
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpServer
import gypsumcart.http.MemoryBudget
import gypsumcart.http.MessageLimits
import gypsumcart.http.RequestHandler
import gypsumcart.http.ResponseHead
import gypsumcart.http.SocketLoop
import gypsumcart.http.Traffic
import gypsumcart.pipeline.Duty
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Provides the thread of network I/O.
 *
 * @param memory bounds what the messages on all connections hold in memory
 */
public class EdgeRuntime(memory: MemoryBudget = MemoryBudget.ofHeap()) {
    /** Runs all coroutines and sockets of the edge. */
    public val loop: SocketLoop = SocketLoop("edge", memory)

    /** The scope of the coroutines of servers and clients. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + loop)
}

/** Serves the requests of clients on one host. */
public class Node(
    private val settings: NodeSettings,
    private val platform: Platform,
    private val runtime: EdgeRuntime,
    private val client: HttpClient,
    private val features: Features = Features.NONE,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private val rings = Rings(hasRollouts = features.rollouts != null)
    private val state = NodeState()
    private val metrics = Metrics()
    private val timers = TimerService(clock)
    private val identity =
        MembershipSettings(
            node = NodeId(settings.node),
            incarnation = Incarnation(System.currentTimeMillis()),
            clientAddress = settings.clients.toAddress(),
            peerAddress = settings.peers.takeIf { it.isNotEmpty() }?.toAddress(),
            zone = ZoneName(settings.zone),
            heartbeatTimeout = HEARTBEAT_TIMEOUT,
            quotaWindow = settings.bounds.quotas.window,
            relayRank = if (features.relayedFeeds) settings.host.relayRank else RelayRank.LOWEST,
        )
    private val self = NodeKey(identity.node, identity.incarnation)
    private val statedLimits =
        StatedLimits(state) { instance, statement ->
            rings.routing.offer(RoutingEvent.LimitStated(instance, statement))
        }
    private val statedBrittleness =
        StatedBrittleness(state) { instance, statement ->
            rings.routing.offer(RoutingEvent.BrittlenessStated(instance, statement))
        }
    private val statedAvailability =
        StatedAvailability(
            clock,
            onDeparture = { rings.backEnds.put(DirectoryEvent.DepartureStated(it)) },
            onPause = { instance, until -> rings.routing.offer(RoutingEvent.PauseStated(instance, until)) },
        )
    private val connections =
        BackEndConnections(
            client,
            clock,
            runtime.scope,
            CarrierChoice(identity.zone),
            metrics,
            carriers = { state.members.carriers(identity.node) },
            listed = { state.backEnds.values },
            closeIdle = { platform.closeIdleConnectionsExcept(emptySet()) },
        ) { reachesBackEnds ->
            rings.membership.offer(MembershipEvent.BackEndsReachedChanged(reachesBackEnds))
        }
    private val carriedConnections = CarriedConnections(state, connections, statedAvailability, ::observeCarried)
    private val calls =
        BackEndCalls(
            platform.codec,
            client,
            connections,
            clock,
            statedLimits,
            statedBrittleness,
            statedAvailability,
            settings.responses,
            ::reportFirstPiece,
        ) { team, at ->
            rings.usage.offer(UsageEvent.RequestStarted(team, at))
        }
    private val rollout =
        rings.rollout?.let { ring ->
            features.rollouts?.let { limits ->
                RolloutDuty(ring, rings, state, metrics, platform, runtime.scope, clock, self, limits)
            }
        }
    private val edge =
        ClientEdge(
            platform.codec,
            calls,
            EdgeRings(rings.admission, rings.routing, rings.dispatch),
            clock,
            metrics,
            ::reportCallEnded,
        )
    private val streamLink = StreamLink(rings.streams, client, runtime.scope, clock, metrics)
    private val streams =
        StreamDuty(
            rings,
            edge,
            metrics,
            platform,
            streamLink,
            runtime.scope,
            timers,
            clock,
            self.takeIf { identity.peerAddress != null },
        )
    private val peerLink = PeerLink(rings.membership, client, runtime.scope, metrics)
    private val loanLink = QuotaLoanLink(identity.node, rings.admission, client, runtime.scope, clock, metrics)
    private val readPace = FleetReadPace()
    private val duties: List<Duty> =
        RequestDuties(rings, edge, loanLink, state, metrics, platform, timers, clock, settings.bounds, features).all +
            FleetDuties(
                rings,
                state,
                metrics,
                platform,
                runtime.scope,
                peerLink,
                readPace,
                clock,
                identity,
                settings.bounds,
                features,
            ).all + listOfNotNull(streams.duty, rollout?.duty)
    private val fleetClock = FleetClock(platform.rowStore)

    private val clientServer = createServer("clients", settings.clients, edge, traffic = Traffic.Forwarded)
    private val readinessServer =
        createServer("readiness", settings.readiness, platform.readinessHandler { state.isReady })
    private val directoryServer =
        createServer("directory", settings.directory, platform.directoryHandler(::addressesFor))
    private val metricsServer =
        settings.metrics.takeIf { it.isNotEmpty() }?.let { createServer("metrics", it, metrics.handler) }
    private val peerHandler =
        RequestHandler { request, response ->
            val relay = platform.feedRelay?.takeIf { it.handles(request.path) }
            val handler =
                when {
                    request.method == CONNECT -> carriedConnections
                    relay != null -> relay.handler
                    request.path == LOAN_PATH -> loanLink
                    request.path == STREAMS_PATH -> streamLink
                    else -> peerLink
                }
            handler.handle(request, response)
        }
    private val peerServer =
        settings.peers.takeIf { it.isNotEmpty() }?.let { createServer("peers", it, peerHandler, ::peerLimits) }
    private val shutdown =
        ShutdownDuty(
            rings,
            edge,
            { carriedConnections.count },
            listOf(directoryServer, clientServer),
            platform.codec,
            runtime.scope,
            timers,
            clock,
            ShutdownLimits(settings.bounds.grace, ADDRESS_TTL + IN_FLIGHT_MARGIN),
        )
    private val stopRequested = AtomicBoolean()

    /** Binds the addresses of all servers, then starts the duties and timers. */
    public fun start() {
        log.info(
            "event=node_started node={} zone={} incarnation={} features={}",
            identity.node,
            identity.zone,
            identity.incarnation,
            features,
        )
        runBlocking(runtime.scope.coroutineContext) {
            clientServer.start()
            readinessServer.start()
            directoryServer.start()
            metricsServer?.start()
            peerServer?.start()
        }
        metrics.registerGauges(state, { edge.inProgress }, { statedAvailability.pausedBackEnds })
        metrics.registerGauges(runtime.loop.memory)
        metrics.registerStoreEra(platform.rowStore)
        metrics.registerGauges({ carriedConnections.count }, { connections.isCutOff })
        rings.all.forEach(metrics::registerGauges)
        timers.start()
        (duties + shutdown.duty).forEach(Duty::start)
        followTables()
        startTimers()
    }

    /**
     * Starts a graceful shutdown.
     *
     * The node no longer offers its address to clients, but serves the requests of clients that still have it until the
     * address has expired, except for those that might not end within the grace period. It then refuses new requests
     * and stops when none is in progress, at the latest shortly before the end of the grace period. Further calls have
     * no effect.
     */
    public fun stop() {
        if (!stopRequested.compareAndSet(false, true)) return
        state.stopping = true
        rings.shutdown.put(ShutdownEvent.Requested)
    }

    /** Waits until the node has stopped. */
    public fun awaitStopped() {
        shutdown.awaitFinished()
        log.info("event=node_stopped in_progress={}", edge.inProgress)
    }

    private fun followTables() {
        runtime.scope.launch {
            platform.followConfigurations(rings.configuration::put) { order ->
                rings.rollout?.put(RolloutEvent.Ordered(order))
            }
        }
        runtime.scope.launch { platform.followBackEnds(::passOn) }
        runtime.scope.launch {
            val listener = FleetListener(rings, fleetClock::doubt, platform.rowStore::clockOrNull)
            platform.rowStore.follow(Tables.FLEET, readPace, listener)
        }
    }

    private fun passOn(event: DirectoryEvent) {
        rings.backEnds.put(event)
        when (event) {
            DirectoryEvent.RegistryAvailable -> reportRegistry(isAvailable = true)
            DirectoryEvent.RegistryUnavailable -> reportRegistry(isAvailable = false)
            DirectoryEvent.Restored -> rings.streams.put(StreamEvent.StoreRestored)
            else -> Unit
        }
    }

    private fun reportRegistry(isAvailable: Boolean) {
        rings.orders.offer(AutoscalerEvent.RegistryChanged(isAvailable))
        rings.streams.put(StreamEvent.RegistryChanged(isAvailable))
    }

    private fun startTimers() {
        timers.every(SWEEP_PERIOD) { rings.routing.offer(RoutingEvent.Sweep) }
        timers.every(REPORT_PERIOD) { triggerReports() }
        timers.every(FLEET_TICK_PERIOD) { triggerFleetDuties() }
        if (peerServer != null) {
            timers.every(EXCHANGE_PERIOD) {
                rings.membership.offer(MembershipEvent.ExchangeDue)
                if (features.relayedFeeds) rings.usage.offer(UsageEvent.Tick)
            }
        }
        timers.every(LEASE_TICK_PERIOD) { rings.lease.offer(LeaseEvent.Tick(wallTime())) }
        rings.rollout?.let { ring -> timers.every(ROLLOUT_TICK_PERIOD) { ring.offer(RolloutEvent.Tick) } }
        timers.every(STREAM_TICK_PERIOD) { rings.streams.offer(StreamEvent.Tick) }
        timers.every(READINESS_CHECK_PERIOD) { checkReadiness() }
        timers.every(EXPIRY_SWEEP_PERIOD) { rings.backEnds.offer(DirectoryEvent.Sweep) }
    }

    private fun triggerReports() {
        rings.admission.offer(AdmissionEvent.ReportDue)
        rings.routing.offer(RoutingEvent.ReportDue)
        rings.membership.offer(MembershipEvent.ReportDue)
    }

    private fun triggerFleetDuties() {
        rings.usage.offer(UsageEvent.Tick)
        rings.orders.offer(AutoscalerEvent.Tick)
        runtime.scope.launch { fleetClock.latestOrNull()?.let { rings.usage.put(it) } }
    }

    /** Reports the start of a response; the latency of a later call says more about the back end that failed before. */
    private fun reportFirstPiece(call: DispatchEffect.Call, at: MonotonicTime) {
        streams.observeFirstPiece(call)
        rollout?.observeFirstPiece(call, at)
        val admitted = call.admitted
        val fraction = (at - admitted.submission.arrivedAt) / admitted.route.targetLatency
        rings.routing.offer(
            RoutingEvent.FirstPieceReceived(
                admitted.ticket,
                admitted.service,
                call.backEnd.key,
                fraction.takeIf { call.attempt == AttemptNumber.FIRST },
            ),
        )
    }

    /** Observes what a back end states in a response that this node carries for another. */
    private fun observeCarried(backEnd: BackEnd, head: ResponseHead) {
        statedAvailability.observe(backEnd, platform.codec.availabilityStatements(head))
        if (head.status != MISDIRECTED_REQUEST) {
            statedLimits.observe(backEnd, platform.codec.limitStatementOrNull(head))
        }
    }

    private fun reportCallEnded(call: DispatchEffect.Call, result: CallResult, started: Boolean) {
        streams.observeEnd(call, result)
        rollout?.observeEnd(call, result, started)
    }

    private var wasReady = false

    private fun checkReadiness() {
        val ready = state.isReady
        if (ready == wasReady) return
        wasReady = ready
        log.info("event=ready_changed ready={}", ready)
        rings.membership.offer(MembershipEvent.AcceptingChanged(ready))
    }

    private fun addressesFor(zone: ZoneName?): NodeAddresses {
        val members = state.members.nearestFirst(zone).map { it.clientAddress }
        val addresses = members.ifEmpty { listOf(identity.clientAddress).takeIf { state.isReady }.orEmpty() }
        return NodeAddresses(addresses.take(MAX_ADDRESSES), ADDRESS_TTL)
    }

    private fun createServer(
        name: String,
        address: String,
        handler: RequestHandler,
        limits: () -> MessageLimits = ::messageLimits,
        traffic: Traffic = Traffic.Control,
    ): HttpServer {
        val (host, port) = address.toAddress()
        return HttpServer(name, host, port, runtime.loop, runtime.scope, limits, handler, traffic)
    }

    private fun peerLimits(): MessageLimits = PEER_LIMITS

    private fun messageLimits(): MessageLimits {
        val limits = state.configuration?.limits ?: return DEFAULT_LIMITS
        return MessageLimits(limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout)
    }

    private companion object {
        private val log = LoggerFactory.getLogger(Node::class.java)

        /** Allows for three missed reports; it elapses only while the store responds. */
        val HEARTBEAT_TIMEOUT: Duration = 3.5.seconds

        /** The status with which another back end at the address responds. */
        const val MISDIRECTED_REQUEST = 421

        /** Makes up for a sweep that found the ring of the routing filter full. */
        val SWEEP_PERIOD: Duration = 500.milliseconds

        /** How often a node renews its report, from which the others compute their shares of the quotas. */
        val REPORT_PERIOD: Duration = 500.milliseconds

        /** If a host without a peer link fails, the usage counts of at most this time are lost with it. */
        val FLEET_TICK_PERIOD: Duration = 1.seconds

        /**
         * A report takes up to three exchanges to reach the nodes of another zone. Usage counts are collected as often,
         * so that each has left the host with the second renewal of the report after it at the latest.
         */
        val EXCHANGE_PERIOD: Duration = 250.milliseconds

        /**
         * Short enough for several ticks between a renewal of the lease and the time when the next one is due, the
         * shortest part of a term that matters.
         */
        val LEASE_TICK_PERIOD: Duration = 250.milliseconds

        /** As often as messages are exchanged, which carry the evidence. */
        val ROLLOUT_TICK_PERIOD: Duration = 250.milliseconds

        /** Makes up for ticks that found the ring of the streams full, and repeats rows of versions. */
        val STREAM_TICK_PERIOD: Duration = 1.seconds

        val READINESS_CHECK_PERIOD: Duration = 200.milliseconds

        /** A tenth of the time within which expired entries of live back ends reappear in the registry. */
        val EXPIRY_SWEEP_PERIOD: Duration = 200.milliseconds

        /** Limits the size of a directory response; a client loses little if it gets only some of the addresses. */
        const val MAX_ADDRESSES = 64

        /** Short enough that clients avoid a node within a second or two after it starts to shut down. */
        val ADDRESS_TTL: Duration = 2.seconds

        /** Allows for requests that clients sent just before the address expired. */
        val IN_FLIGHT_MARGIN: Duration = 500.milliseconds

        val PEER_LIMITS = MessageLimits(16_384, MAX_PEER_MESSAGE_BYTES, 1.seconds, 15.seconds)

        /** In force until the first configuration is adopted; limits that are common for HTTP servers. */
        val DEFAULT_LIMITS = MessageLimits(16_384, 4_194_304, 3.seconds, 15.seconds)
    }
}

private fun String.toAddress(): Address =
    checkNotNull(addressOrNull(this)) { "the validated settings contain an invalid address: $this" }
