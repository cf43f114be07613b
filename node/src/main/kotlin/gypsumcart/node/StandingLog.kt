package gypsumcart.node

import gypsumcart.core.capacity.StandingChange
import gypsumcart.core.routing.RoutingEffect
import org.slf4j.LoggerFactory
import java.util.Locale

private val log = LoggerFactory.getLogger(RequestDuties::class.java)

/** Logs the change and records in [state] which back ends are ejected. */
internal fun RoutingEffect.StandingChanged.record(state: NodeState) {
    when (val change = change) {
        is StandingChange.Weighed ->
            log.info(
                "event=back_end_weighed back_end={} incarnation={} weight={} calls={} slowness={}",
                instance.id,
                instance.incarnation,
                change.weight.toLogValue(),
                change.calls.toLogValue(),
                change.slowness.toLogValue(),
            )

        is StandingChange.Ejected -> {
            state.ejectedBackEnds += instance
            log.info(
                "event=back_end_ejected back_end={} incarnation={} reason={} weight={} count={} for_ms={}",
                instance.id,
                instance.incarnation,
                change.reason.name.lowercase(),
                change.weight.toLogValue(),
                change.count,
                change.time.inWholeMilliseconds,
            )
        }

        is StandingChange.Returned -> {
            state.ejectedBackEnds -= instance
            log.info(
                "event=back_end_returned back_end={} incarnation={} after_ms={}",
                instance.id,
                instance.incarnation,
                change.after.inWholeMilliseconds,
            )
        }
    }
}

private fun Double.toLogValue(): String = String.format(Locale.ROOT, "%.2f", this)
