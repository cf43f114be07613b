package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.rollout.VersionSplit

/** The refusal of a request whose stream no back end can go on with; a later try would fare no better. */
internal val ORIGIN_GONE: Outcome = Outcome.NotRun(RefusalReason.OriginGone, retryAfter = null)

/** Returns the candidates that may write the next events of a stream of [origin]. */
internal fun List<Candidate>.acceptedBy(origin: StreamOrigin): List<Candidate> =
    when (origin) {
        StreamOrigin.Unwritten -> this
        is StreamOrigin.WrittenBy -> filter { origin.accepts(it.backEnd.version) }
    }

/** Returns the back ends of the service; only those that may go on with the stream if the client has a part of it. */
internal fun VersionSplit.backEndsFor(
    admitted: AdmittedRequest,
    candidatesByService: Map<ServiceName, List<Candidate>>,
): List<Candidate> =
    when (admitted.origin) {
        StreamOrigin.Unwritten -> candidatesByService[admitted.service].orEmpty()
        is StreamOrigin.WrittenBy -> permitted(admitted.service, admitted.origin, candidatesByService)
    }

/** Returns whether no back end can go on with the stream of which the client has a part. */
internal fun VersionSplit.isOriginGone(
    admitted: AdmittedRequest,
    candidatesByService: Map<ServiceName, List<Candidate>>,
): Boolean {
    // Nothing is known of the back ends before the first listing.
    if (candidatesByService.isEmpty()) return false
    return backEndsFor(admitted, candidatesByService).areGoneFor(admitted.origin)
}

/** Returns whether none of these candidates, which may go on with a stream of [origin], accepts requests. */
internal fun List<Candidate>.areGoneFor(origin: StreamOrigin): Boolean =
    when (origin) {
        StreamOrigin.Unwritten -> false
        is StreamOrigin.WrittenBy -> all { it.backEnd.draining }
    }
