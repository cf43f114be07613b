package gypsumcart.core.streams

import gypsumcart.core.NodeId
import gypsumcart.core.routing.finalizeHash

/**
 * Returns the nodes among these that keep the records of all nodes.
 *
 * Nodes with the same view choose the same ones, from each zone by its size. When a node goes or comes, the choice
 * changes in its zone alone, unless it is the only one there.
 */
internal fun List<StreamPeer>.chooseRecorders(): List<StreamPeer> {
    if (isEmpty()) return emptyList()
    val zones = groupBy { it.zone }.values
    val minPerZone = ceilDiv(MIN_RECORDERS, zones.size)
    return zones.flatMap { zone ->
        val count = maxOf(minPerZone, ceilDiv(zone.size, NODES_PER_RECORDER))
        zone.sortedWith(compareBy({ finalizeHash(it.key.node.hashCode()) }, { it.key })).take(count)
    }
}

/** Returns these nodes in the order in which [node] has its records kept by them; it prefers itself. */
internal fun List<StreamPeer>.preferredBy(node: NodeId): List<StreamPeer> =
    sortedWith(compareBy({ it.key.node != node }, { rendezvousWeight(node, it) }, { it.key }))

private fun rendezvousWeight(node: NodeId, recorder: StreamPeer): Int =
    finalizeHash(node.hashCode() * HASH_MULTIPLIER + recorder.key.node.hashCode())

private fun ceilDiv(dividend: Int, divisor: Int): Int = (dividend + divisor - 1) / divisor

/** With this many writers, each of them may write ten times a second within the writes that all may make together. */
private const val MIN_RECORDERS = 5

/**
 * Bounds how many nodes send their records to the same one, and how many are asked for a record.
 *
 * At 400 nodes, 20 keep records and write them every 0.4 s; with 40, which write every 0.8 s, most of the streams that
 * a loss of all nodes breaks off have no stored record yet.
 */
private const val NODES_PER_RECORDER = 20

private const val HASH_MULTIPLIER = 31
