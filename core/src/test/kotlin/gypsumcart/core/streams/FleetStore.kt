package gypsumcart.core.streams

import gypsumcart.core.BackEndVersion
import gypsumcart.core.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Holds what the nodes of a [StreamFleet] have stored, and the registry of back ends. */
internal class FleetStore(var registered: Set<BackEndVersion?>) {
    private class Copy(
        val records: Map<RequestId, StreamRecord>,
        val versions: Set<BackEndVersion?>,
        val registered: Set<BackEndVersion?>,
    )

    private val records = HashMap<RequestId, StreamRecord>()
    private var copy: Copy? = null

    /** The versions in use as the nodes have stored them. */
    var versions: Set<BackEndVersion?> = registered

    /** Whether calls end without an effect. */
    var isAway = false

    var maxCallTime: Duration = 6.milliseconds

    operator fun plusAssign(added: List<StreamRecord>) {
        added.forEach { records[it.beganAs] = it }
    }

    fun read(beganAs: RequestId): RecordReadResult =
        records[beganAs]?.let(RecordReadResult::Found) ?: RecordReadResult.Absent

    fun takeCopy() {
        copy = Copy(records.toMap(), versions, registered)
    }

    fun becomeCopy() {
        val content = checkNotNull(copy)
        records.clear()
        records += content.records
        versions = content.versions
        registered = content.registered
    }
}
