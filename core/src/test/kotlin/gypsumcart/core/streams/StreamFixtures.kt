package gypsumcart.core.streams

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallKind
import gypsumcart.core.LEDGER
import gypsumcart.core.MonotonicTime
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.StreamTakeUp
import gypsumcart.core.admitted
import gypsumcart.core.backEnd
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal val V1 = BackEndVersion("v1")
internal val V2 = BackEndVersion("v2")
internal val STREAMED = CallKind.Streamed(resumable = true, maxPause = 1.seconds)

internal fun record(id: String, version: BackEndVersion?, service: ServiceName = LEDGER): StreamRecord =
    StreamRecord(RequestId(id), service, version)

internal fun takeUp(
    beganAs: String?,
    number: Long = 1,
    now: MonotonicTime = MonotonicTime(0),
    timeLeft: Duration = 2.seconds,
): AdmittedRequest {
    val request = admitted(STREAMED, number)
    val submission = request.submission.copy(takeUp = StreamTakeUp(beganAs?.let(::RequestId), "1"), arrivedAt = now)
    return request.copy(submission = submission, deadline = now + timeLeft)
}

internal fun listed(versions: Set<BackEndVersion?>): StreamEvent.BackEndsListed =
    StreamEvent.BackEndsListed(versions.map { backEnd("b-$it").copy(version = it) })

/** The stored versions as a node reads them when it starts. */
internal fun stored(versions: Set<BackEndVersion?>): StreamEvent.VersionsRead {
    val rows = if (versions.isEmpty()) emptyMap() else mapOf(LEDGER to versions)
    return StreamEvent.VersionsRead(rows, isComplete = true)
}

/** The version to which the request goes, as a list of one element, or an empty list if it does not go anywhere. */
internal fun List<StreamEffect>.routedVersions(): List<BackEndVersion?> =
    filterIsInstance<StreamEffect.Route>().map { (it.admitted.origin as StreamOrigin.WrittenBy).version }
