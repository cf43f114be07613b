package gypsumcart.core.routing

import gypsumcart.core.StreamOrigin

/** Returns the candidates that may write the next events of a stream of [origin]. */
internal fun List<Candidate>.acceptedBy(origin: StreamOrigin): List<Candidate> =
    when (origin) {
        StreamOrigin.Unwritten -> this
        is StreamOrigin.WrittenBy -> filter { origin.accepts(it.backEnd.version) }
    }
