package gypsumcart.node

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.ZoneName
import gypsumcart.core.addressOrNull
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.directory.DirectoryEvent
import gypsumcart.core.leases.LeaseEvent
import gypsumcart.core.membership.MembershipEvent
import gypsumcart.core.membership.MembershipSettings
import gypsumcart.core.membership.nearestFirst
import gypsumcart.core.replicas.AutoscalerEvent
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.usage.UsageEvent
import gypsumcart.http.HttpClient
import gypsumcart.http.HttpServer
import gypsumcart.http.MessageLimits
import gypsumcart.http.RequestHandler
import gypsumcart.pipeline.Duty
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.TimerService
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Holds what the edges run on: one thread for all coroutines, and one that waits for the sockets. */
public class EdgeRuntime {
    private val edgeThread =
        Executors.newSingleThreadExecutor { Thread(it, "edge").apply { isDaemon = true } }.asCoroutineDispatcher()
    private val selectorThread =
        Executors.newSingleThreadExecutor { Thread(it, "selector").apply { isDaemon = true } }.asCoroutineDispatcher()

    /** Where the coroutines of the edges run. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + edgeThread)

    /** Waits for the sockets. */
    public val selector: SelectorManager = SelectorManager(selectorThread)
}

/** Serves clients on one host. */
public class Node(
    private val settings: NodeSettings,
    private val platform: Platform,
    private val runtime: EdgeRuntime,
    private val client: HttpClient,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private val rings = Rings()
    private val state = NodeState()
    private val metrics = Metrics()
    private val timers = TimerService(clock)
    private val identity =
        MembershipSettings(
            node = NodeId(settings.node),
            incarnation = Incarnation(System.currentTimeMillis()),
            clientAddress = settings.clients.toAddress(),
            zone = ZoneName(settings.zone),
            heartbeatTimeout = NODE_SILENCE,
            quotaWindow = settings.bounds.quotas.window,
        )
    private val calls =
        BackEndCalls(platform.codec, client, clock) { team, at ->
            rings.usage.offer(UsageEvent.RequestStarted(team, at))
        }
    private val edge =
        ClientEdge(platform.codec, calls, EdgeRings(rings.admission, rings.routing, rings.dispatch), clock, metrics)
    private val duties: List<Duty> =
        RequestDuties(rings, edge, state, platform, clock, settings.bounds).all +
            FleetDuties(rings, state, metrics, platform, runtime.scope, clock, identity, settings.bounds).all
    private val trueTime = TrueTime(platform.rowStore)

    private val clientServer = server("clients", settings.clients, edge)
    private val readinessServer = server("readiness", settings.readiness, platform.readinessHandler { state.isReady })
    private val directoryServer = server("directory", settings.directory, platform.directoryHandler(::directions))
    private val metricsServer =
        settings.metrics.takeIf { it.isNotEmpty() }?.let { server("metrics", it, metrics.handler) }
    private val stopped = CountDownLatch(1)

    /** Listens, then starts all duties. */
    public fun start() {
        log.info(
            "event=node_started node={} zone={} incarnation={}",
            identity.node,
            identity.zone,
            identity.incarnation,
        )
        runBlocking(runtime.scope.coroutineContext) {
            clientServer.start()
            readinessServer.start()
            directoryServer.start()
            metricsServer?.start()
        }
        metrics.registerGauges(state) { edge.inProgress }
        rings.all.forEach(metrics::registerGauges)
        timers.start()
        duties.forEach(Duty::start)
        follow()
        tick()
    }

    /** Stops taking new clients, serves those that come all the same, and ends in time. */
    public fun stop() {
        if (state.stopping) return
        state.stopping = true
        log.info("event=node_stopping in_progress={}", edge.inProgress)
        rings.membership.put(MembershipEvent.AcceptingChanged(false))
        rings.lease.put(LeaseEvent.Stopping(wall()))
        clientServer.drain()
        val limit = settings.bounds.grace - END_MARGIN
        timers.after((ADDRESS_TTL + IN_FLIGHT).coerceAtMost(limit)) { close() }
        timers.after(limit) { stopped.countDown() }
    }

    /** Waits until the node has stopped. */
    public fun awaitStopped() {
        stopped.await()
        log.info("event=node_stopped in_progress={}", edge.inProgress)
    }

    /** Refuses what still comes, so that nothing is sent on by a process that ends before it has the answer. */
    private fun close() {
        edge.close()
        timers.after(IDLE_CHECK) { endWhenIdle() }
    }

    private fun endWhenIdle() {
        if (edge.inProgress == 0) stopped.countDown() else timers.after(IDLE_CHECK) { endWhenIdle() }
    }

    private fun follow() {
        runtime.scope.launch { platform.followConfigurations(rings.configuration::put) }
        runtime.scope.launch { platform.followBackEnds(rings.backEnds::put) }
        runtime.scope.launch { platform.rowStore.follow(Tables.FLEET, FLEET_PAUSE, FleetListener(rings)) }
    }

    private fun tick() {
        timers.every(SWEEP_PERIOD) { rings.routing.offer(RoutingEvent.Sweep) }
        timers.every(REPORT_PERIOD) { report() }
        timers.every(LEASE_PERIOD) { rings.lease.offer(LeaseEvent.Tick(wall())) }
        timers.every(READY_PERIOD) { checkReady() }
        timers.every(LAPSE_PERIOD) { rings.backEnds.offer(DirectoryEvent.Sweep) }
    }

    private fun report() {
        rings.admission.offer(AdmissionEvent.ReportDue)
        rings.routing.offer(RoutingEvent.ReportDue)
        rings.usage.offer(UsageEvent.Tick)
        rings.orders.offer(AutoscalerEvent.Tick)
        rings.membership.offer(MembershipEvent.ReportDue)
        runtime.scope.launch { trueTime.agreedOrNull()?.let { rings.usage.put(it) } }
    }

    private var wasReady = false

    private fun checkReady() {
        val ready = state.isReady
        if (ready == wasReady) return
        wasReady = ready
        log.info("event=ready_changed ready={}", ready)
        rings.membership.offer(MembershipEvent.AcceptingChanged(ready))
    }

    private fun directions(zone: ZoneName?): NodeAddresses {
        val members = state.members.nearestFirst(zone).map { it.clientAddress }
        val known = members.ifEmpty { listOf(identity.clientAddress).takeIf { state.isReady }.orEmpty() }
        return NodeAddresses(known.take(MAX_DIRECTIONS), ADDRESS_TTL)
    }

    private fun server(name: String, address: String, handler: RequestHandler): HttpServer {
        val (host, port) = address.toAddress()
        return HttpServer(name, host, port, runtime.selector, runtime.scope, ::limits, handler)
    }

    private fun limits(): MessageLimits {
        val limits = state.configuration?.limits ?: return DEFAULT_LIMITS
        return MessageLimits(limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout)
    }

    private companion object {
        private val log = LoggerFactory.getLogger(Node::class.java)

        /** Three reports that are missing, while the store answers. */
        val NODE_SILENCE: Duration = 3.5.seconds

        /** Reports of nodes and the lease are read together about so often. */
        val FLEET_PAUSE: Duration = 700.milliseconds

        /** A fortieth of the latency targets of models, and a fifth of those of plain services. */
        val SWEEP_PERIOD: Duration = 20.milliseconds

        /** Counts of a host that is lost are lost with it, for at most this time. */
        val REPORT_PERIOD: Duration = 1.seconds

        /** Several looks within the shortest part of a term that matters. */
        val LEASE_PERIOD: Duration = 250.milliseconds

        val READY_PERIOD: Duration = 50.milliseconds

        /** A tenth of the time that entries of back ends have to come back. */
        val LAPSE_PERIOD: Duration = 200.milliseconds

        /** Clients that are told fewer addresses lose little; more cost bytes. */
        const val MAX_DIRECTIONS = 64

        /** Short enough that a node that leaves is avoided in a second or two. */
        val ADDRESS_TTL: Duration = 2.seconds

        /** Requests that were sent while the client still had the address. */
        val IN_FLIGHT: Duration = 500.milliseconds

        /** Left for the process itself to end. */
        val END_MARGIN: Duration = 700.milliseconds

        val IDLE_CHECK: Duration = 100.milliseconds

        /** Used until a configuration says otherwise; the figures of common servers. */
        val DEFAULT_LIMITS = MessageLimits(16_384, 4_194_304, 3.seconds, 15.seconds)
    }
}

private fun String.toAddress(): Address = checkNotNull(addressOrNull(this)) { "the settings were checked before" }
