package gypsumcart.node

import gypsumcart.core.WindowNumber
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.membership.PeerItem
import gypsumcart.core.membership.key

/**
 * Keeps the encoded form of the latest report of each node, for the other recipients that are to get it.
 *
 * A relay sends each report to all nodes of its zone, mostly in the form in which it received it. The same heartbeat
 * stands for the same report. Used by the edge thread alone.
 */
internal class ReportTexts {
    private class Text(val heartbeat: Long, val hasUsage: Boolean, val windows: Set<WindowNumber>, val json: String) {
        fun isOf(item: PeerItem): Boolean =
            heartbeat == item.report.heartbeat && hasUsage == item.hasUsage && windows == item.report.usage.keys
    }

    private val textsByNode =
        object : LinkedHashMap<NodeKey, ArrayList<Text>>() {
            override fun removeEldestEntry(eldest: Map.Entry<NodeKey, ArrayList<Text>>): Boolean = size > MAX_NODES
        }

    /** Returns the text of the report in [item], which [encode] provides if it is not known. */
    fun getOrPut(item: PeerItem, encode: () -> String): String {
        val texts = textsByNode.getOrPut(item.report.key) { ArrayList(MAX_FORMS) }
        texts.firstOrNull { it.isOf(item) }?.let { return it.json }
        val text =
            Text(
                item.report.heartbeat,
                item.hasUsage,
                item.report.usage.keys
                    .toSet(),
                encode(),
            )
        if (texts.size >= MAX_FORMS) texts.removeFirst()
        texts += text
        return text.json
    }

    private companion object {
        /** More than the processes that a large fleet starts in the time for which their reports are passed on. */
        const val MAX_NODES = 1_024

        /** Recipients lack all windows, the current one or the last two, or none. */
        const val MAX_FORMS = 4
    }
}
