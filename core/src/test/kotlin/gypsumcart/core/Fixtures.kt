package gypsumcart.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val MODEL = ServiceName("model")
internal val LEDGER = ServiceName("ledger")
internal val ZONES = listOf("a", "b", "c").map(::ZoneName)

internal fun at(elapsed: Duration): MonotonicTime = MonotonicTime(0) + elapsed

internal fun route(
    kind: CallKind,
    service: ServiceName = LEDGER,
    maxAttempts: Int = 2,
    prefix: String = "/calls/",
): Route =
    Route(
        host = "host.example",
        prefix = prefix,
        kind = kind,
        timeout = 2.seconds,
        targetLatency = 400.milliseconds,
        priority = 2,
        services = listOf(WeightedService(service, 1)),
        maxAttempts = maxAttempts,
        isPublic = false,
    )

internal fun submission(
    number: Long = 1,
    prompt: Prompt? = null,
    key: String? = "key",
    path: String = "/calls/one",
    arrivedAt: MonotonicTime = MonotonicTime(0),
): Submission =
    Submission(
        ticket = Ticket(number),
        requestId = RequestId("request-$number"),
        host = "host.example",
        path = path,
        key = key?.let(::ApiKey),
        remainingTime = 1.5.seconds,
        prompt = prompt,
        arrivedAt = arrivedAt,
    )

internal fun prompt(tokens: Int, sharedPart: String = "part"): Prompt =
    Prompt(
        tokens = tokens,
        maxNewTokens = 0,
        estimatedNewTokens = null,
        parts = listOf(PromptPart(PromptPartId(sharedPart), tokens / 2), PromptPart(PromptPartId("own"), tokens / 2)),
    )

internal fun admitted(kind: CallKind, number: Long = 1, prompt: Prompt? = null, maxAttempts: Int = 2): AdmittedRequest =
    AdmittedRequest(
        submission = submission(number, prompt),
        route = route(kind, maxAttempts = maxAttempts),
        service = LEDGER,
        team = TeamName("team"),
        priority = 2,
        deadline = at(1.5.seconds),
    )

internal fun backEnd(
    id: String,
    service: ServiceName = LEDGER,
    zone: ZoneName = ZONES.first(),
    draining: Boolean = false,
    spot: Boolean = false,
    incarnation: Long = 1,
    slots: Int = 6,
): BackEnd =
    BackEnd(
        id = BackEndId(id),
        incarnation = Incarnation(incarnation),
        service = service,
        address = Address("10.0.0.1", 80),
        zone = zone,
        slots = slots,
        draining = draining,
        spot = spot,
        terminatesIn = null,
    )

internal fun configuration(
    version: Long = 1,
    routes: List<Route> = listOf(route(CallKind.Idempotent)),
    quota: Quota? = null,
    scaling: Scaling? = null,
): Configuration =
    Configuration(
        version = ConfigurationVersion(version),
        routes = routes,
        services =
            mapOf(
                MODEL to Service(MODEL, "/health", 100, InferenceEngine(64, 100_000), scaling),
                LEDGER to Service(LEDGER, "/health", 100, null, null),
            ),
        teams = listOf(Team(TeamName("team"), setOf(ApiKey("key")), null, quota)),
        limits = ClientLimits(16_384, 1_000_000, 3.seconds, 15.seconds),
    )
