package gypsumcart.node

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEndVersion
import gypsumcart.core.RequestId
import gypsumcart.core.ServiceName
import gypsumcart.core.StreamOrigin
import gypsumcart.core.admission.AdmissionEvent
import gypsumcart.core.dispatch.CallResult
import gypsumcart.core.dispatch.DispatchEffect
import gypsumcart.core.membership.NodeKey
import gypsumcart.core.routing.RoutingEvent
import gypsumcart.core.streams.OriginSearch
import gypsumcart.core.streams.OriginSource
import gypsumcart.core.streams.RecordReadResult
import gypsumcart.core.streams.StreamEffect
import gypsumcart.core.streams.StreamEvent
import gypsumcart.core.streams.StreamOrigins
import gypsumcart.core.streams.StreamRecord
import gypsumcart.core.streams.VersionCheck
import gypsumcart.core.streams.isResumable
import gypsumcart.pipeline.Duty
import gypsumcart.pipeline.MonotonicClock
import gypsumcart.pipeline.Timers
import gypsumcart.pipeline.deciderDuty
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.time.Duration

/**
 * Runs the decider of stream origins, and reports the streams that begin and end at this node to it.
 *
 * @param self this process, or null if it has no link to other nodes
 */
internal class StreamDuty(
    private val rings: Rings,
    private val edge: ClientEdge,
    private val metrics: Metrics,
    private val platform: Platform,
    private val link: StreamLink,
    private val scope: CoroutineScope,
    private val timers: Timers,
    private val clock: MonotonicClock,
    self: NodeKey?,
) {
    private val rows: RowStore get() = platform.rowStore
    val duty: Duty = deciderDuty(rings.streams, StreamOrigins(self), clock, ::execute)

    /**
     * Records that the first event of a response arrived, before the client receives it.
     *
     * If the ring is full, only the take-up of this stream is affected: it is refused.
     */
    fun observeFirstPiece(call: DispatchEffect.Call) {
        val admitted = call.admitted
        if (call.resumeAfter != null || admitted.submission.takeUp != null) return
        if (!admitted.route.kind.isResumable) return
        val id = admitted.submission.requestId ?: return
        rings.streams.offer(StreamEvent.StreamBegan(StreamRecord(id, admitted.service, call.backEnd.version)))
    }

    /** Records the end of a call; a stream that broke off may be taken up. */
    fun observeEnd(call: DispatchEffect.Call, result: CallResult) {
        if (result !is CallResult.Answered || !call.admitted.route.kind.isResumable) return
        val submission = call.admitted.submission
        val takeUp = submission.takeUp
        val beganAs = (if (takeUp == null) submission.requestId else takeUp.beganAs) ?: return
        rings.streams.offer(StreamEvent.StreamEnded(beganAs))
    }

    private fun execute(effect: StreamEffect) {
        when (effect) {
            is StreamEffect.Route -> {
                record(effect.admitted, effect.source, "routed", search = null)
                rings.routing.put(RoutingEvent.RequestAdmitted(effect.admitted))
            }

            is StreamEffect.Refuse -> {
                record(effect.admitted, source = null, effect.outcome.reason.toLogValue(), effect.search)
                // If the ring of admission is full, the request stays charged.
                rings.admission.offer(AdmissionEvent.Settled(effect.admitted.ticket))
                edge.deliver(effect.admitted.ticket, EdgeCommand.Conclude(effect.outcome))
            }

            is StreamEffect.ReadRecord ->
                scope.launch { rings.streams.reply(StreamEvent.RecordRead(effect.ticket, read(effect.beganAs))) }

            is StreamEffect.CheckVersions ->
                scope.launch { rings.streams.reply(StreamEvent.VersionsChecked(checkVersions(effect.services))) }

            is StreamEffect.WriteRecords ->
                scope.launch { rings.streams.reply(StreamEvent.RecordsWritten(write(effect))) }

            is StreamEffect.Send -> link.send(effect)

            is StreamEffect.Respond -> link.respond(effect)

            is StreamEffect.WriteVersions -> scope.launch { writeVersions(effect.service, effect.versions) }

            // A tick that does not fit into the ring is made up for by the next periodic one.
            is StreamEffect.WakeAt ->
                timers.after((effect.time - clock.now()).coerceAtLeast(Duration.ZERO)) {
                    rings.streams.offer(StreamEvent.Tick)
                }
        }
    }

    private fun record(admitted: AdmittedRequest, source: OriginSource?, result: String, search: OriginSearch?) {
        val sourceName = source?.toLogValue() ?: "none"
        metrics.countTakeUp(sourceName, result)
        log.info(
            "event=stream_taken_up request={} began_as={} service={} version={} source={} result={} waited_ms={} " +
                "reads={} last_read={} versions={}",
            admitted.submission.requestId,
            admitted.submission.takeUp?.beganAs,
            admitted.service,
            (admitted.origin as? StreamOrigin.WrittenBy)?.version,
            sourceName,
            result,
            search?.waited?.inWholeMilliseconds,
            search?.reads,
            search?.lastRead?.toLogValue(),
            search?.versionCount,
        )
    }

    private fun RecordReadResult.toLogValue(): String =
        when (this) {
            RecordReadResult.Absent -> "absent"
            RecordReadResult.Failed -> "failed"
            is RecordReadResult.Found -> "found"
        }

    private fun OriginSource.toLogValue(): String =
        when (this) {
            OriginSource.History -> "history"
            OriginSource.Memory -> "memory"
            OriginSource.Peer -> "peer"
            OriginSource.Store -> "store"
        }

    private suspend fun read(beganAs: RequestId): RecordReadResult =
        rows.get(Tables.STREAMS, beganAs.toSlotKey()).fold(
            { row -> row?.toRecordOrLog()?.let(RecordReadResult::Found) ?: RecordReadResult.Absent },
            { RecordReadResult.Failed },
        )

    private fun Row.toRecordOrLog(): StreamRecord? {
        val record = toStreamRecordOrNull()
        if (record == null) {
            log.warn("event=row_unreadable table={} key={} version={}", Tables.STREAMS, key, version)
        }
        return record
    }

    /** Reads the registry, and the stored rows, which still name versions that have left it. */
    private suspend fun checkVersions(services: Set<ServiceName>): VersionCheck {
        val versions = HashMap(platform.readVersions().getOrElse { return VersionCheck.Failed })
        for (service in services) {
            val row =
                rows.get(Tables.FLEET, service.toVersionsKey()).getOrElse { return VersionCheck.Failed } ?: continue
            val stored = row.toVersionsOrNull()?.second ?: continue
            versions.merge(service, stored) { listed, _ -> listed + stored }
        }
        return VersionCheck.Confirmed(versions)
    }

    private suspend fun write(effect: StreamEffect.WriteRecords): Boolean =
        rows
            .putAll(effect.records.map { it.toRow() })
            .onSuccess { metrics.countStreamRecords(effect.records.size, effect.delay) }
            .onFailure {
                metrics.countFailedWrite("streams")
                log.info("event=stream_records_unwritten count={} cause={}", effect.records.size, it.toLogValue())
            }.isOk

    private suspend fun writeVersions(service: ServiceName, versions: Set<BackEndVersion?>) {
        val written =
            rows.put(Tables.FLEET, service.toVersionsKey(), encodeVersions(versions), expected = null).onFailure {
                metrics.countFailedWrite("versions")
                log.info("event=versions_unwritten service={} cause={}", service, it.toLogValue())
            }
        log.info("event=versions_in_use service={} versions={} stored={}", service, versions, written.isOk)
        rings.streams.reply(StreamEvent.VersionsWritten(service, versions, written.isOk))
    }

    private companion object {
        private val log = LoggerFactory.getLogger(StreamDuty::class.java)
    }
}
