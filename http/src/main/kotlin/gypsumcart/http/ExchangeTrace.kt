package gypsumcart.http

import kotlinx.io.IOException
import org.slf4j.LoggerFactory

/** Collects what one exchange did on its connection, and logs it if the response can't be known to be whole. */
internal class ExchangeTrace(private val endpoint: Endpoint) {
    /** How far the request was written. */
    enum class Sending { OPEN, DONE, FAILED }

    var isFirstOnConnection = true
    var sending = Sending.OPEN

    /** Whether the socket has taken the whole request. */
    val isRequestSent: Boolean get() = sending == Sending.DONE

    private var status: Int? = null
    private var body: BodySource? = null
    private var result = "cut"

    fun headFailed(failure: ReadFailure) {
        result = "head_" + failure.toLogValue()
    }

    fun headReceived(head: ResponseHead, source: BodySource?) {
        status = head.status
        body = source
        if (source == null) result = "framing_malformed"
    }

    fun bodyReceived(isComplete: Boolean) {
        result = if (isComplete) "whole" else "left"
    }

    /** Logs an exchange that ended with [cause], which is not the caller's. */
    fun logCut(cause: IOException) {
        result = "cut:${cause.message?.replace(' ', '_')}"
        log()
    }

    /** Logs an exchange that was rejected or cut, whose body its connection ended, or whose request was not sent. */
    fun log() {
        val isCertain = result == "whole" && body !is BodySource.UntilClose && sending != Sending.FAILED
        if (isCertain || result == "left" && sending != Sending.FAILED) return
        log.info(
            "event=exchange_doubtful peer={}:{} status={} framing={} body_bytes={} request={} connection={} result={}",
            endpoint.host,
            endpoint.port,
            status,
            body.toLogValue(),
            body?.receivedBytes ?: 0,
            sending.name.lowercase(),
            if (isFirstOnConnection) "new" else "reused",
            result,
        )
    }

    private companion object {
        val log = LoggerFactory.getLogger(ExchangeTrace::class.java)
    }
}

private fun BodySource?.toLogValue(): String =
    when (this) {
        is BodySource.FixedLength -> "length"
        is BodySource.Chunked -> "chunks"
        is BodySource.UntilClose -> "connection"
        null -> "none"
    }

private fun ReadFailure.toLogValue(): String =
    when (this) {
        ReadFailure.Ended -> "missing"
        ReadFailure.Truncated -> "cut"
        ReadFailure.TooSlow -> "slow"
        ReadFailure.HeaderTooLarge, ReadFailure.BodyTooLarge -> "too_large"
        ReadFailure.NoMemory -> "no_memory"
        ReadFailure.Malformed -> "malformed"
    }
