package gypsumcart.core.membership

import gypsumcart.core.NodeId
import gypsumcart.core.ServiceName
import gypsumcart.core.routing.FleetLoad

/** Returns the load of each service on all nodes that sent these reports, of which [own] is this one. */
public fun List<NodeReport>.fleetLoads(own: NodeId): Map<ServiceName, FleetLoad> {
    val loads = HashMap<ServiceName, FleetLoad>()
    for (report in this) {
        for ((service, load) in report.load) {
            val ownLoad = if (report.node == own) load else 0.0
            val previous = loads[service] ?: FleetLoad(0.0, 0.0)
            loads[service] = FleetLoad(previous.total + load, previous.own + ownLoad)
        }
    }
    return loads
}
