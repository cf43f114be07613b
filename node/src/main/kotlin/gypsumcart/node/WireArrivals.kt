package gypsumcart.node

import gypsumcart.core.ServiceName
import gypsumcart.core.replicas.Arrivals
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.round

/** Represents what arrives for a service per second: requests in tenths, tokens in whole numbers. */
@Serializable
internal class WireArrivals(
    @SerialName("requests") val requestsPerSecond: Double,
    @SerialName("prompt") val promptTokensPerSecond: Long,
    @SerialName("new") val newTokensPerSecond: Long,
)

/** Leaves out the services for which nothing arrives. */
internal fun Map<ServiceName, Arrivals>.toWire(): Map<String, WireArrivals> =
    entries.filter { it.value != Arrivals.NONE }.associate { (service, arrivals) ->
        service.text to
            WireArrivals(
                round(arrivals.requestsPerSecond * TENTHS) / TENTHS,
                arrivals.promptTokensPerSecond.toLong(),
                arrivals.newTokensPerSecond.toLong(),
            )
    }

internal fun Map<String, WireArrivals>.toArrivals(): Map<ServiceName, Arrivals> =
    entries.associate { (service, wire) ->
        ServiceName(service) to
            Arrivals(
                wire.requestsPerSecond,
                wire.promptTokensPerSecond.toDouble(),
                wire.newTokensPerSecond.toDouble(),
            )
    }

private const val TENTHS = 10.0
