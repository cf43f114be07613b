package gypsumcart.node

import gypsumcart.core.CallFailure
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.dispatch.CallResult

/** Returns the value that identifies the reason in log lines and metrics. */
internal fun RefusalReason.toLogValue(): String =
    when (this) {
        RefusalReason.NoConfiguration -> "no_configuration"
        RefusalReason.NoRoute -> "no_route"
        RefusalReason.UnknownKey -> "unknown_key"
        RefusalReason.NoRequestId -> "no_request_id"
        RefusalReason.QuotaExceeded -> "quota"
        is RefusalReason.Overloaded -> "overloaded_$filter"
        is RefusalReason.Quarantined -> "quarantined"
        RefusalReason.BackEndsLimited -> "limited"
        RefusalReason.BackEndsPaused -> "paused"
        RefusalReason.Stopping -> "stopping"
        RefusalReason.NoBackEnd -> "no_back_end"
        RefusalReason.OriginUnknown -> "origin_unknown"
        RefusalReason.OriginGone -> "origin_gone"
        RefusalReason.Declined -> "declined"
    }

/** Returns the value that identifies the failure in log lines and metrics. */
internal fun CallFailure.toLogValue(): String =
    when (this) {
        CallFailure.ConnectFailed -> "connect_failed"
        CallFailure.Withheld -> "withheld"
        CallFailure.NoPath -> "no_path"
        CallFailure.CutOff -> "cut_off"
        is CallFailure.Declined -> "declined_$status"
        is CallFailure.UnattributedRefusal -> "unattributed_$status"
        CallFailure.WrongInstance -> "wrong_instance"
        CallFailure.Truncated -> "cut"
        CallFailure.TimedOut -> "timed_out"
        CallFailure.InvalidResponse -> "unreadable"
        CallFailure.Aborted -> "aborted"
        is CallFailure.NotResumed -> "not_resumed_$status"
        is CallFailure.ServerError -> "server_error_$status"
    }

/** Returns the value that identifies the outcome in log lines and metrics. */
internal fun Outcome.toLogValue(): String =
    when (this) {
        is Outcome.NotRun -> "not_run:${reason.toLogValue()}"
        is Outcome.Failed -> "failed:${failure.toLogValue()}"
    }

/** Returns the value that identifies the result in log lines and metrics. */
internal fun CallResult.toLogValue(): String =
    when (this) {
        is CallResult.Answered -> "answered_$status"
        is CallResult.Failed -> failure.toLogValue()
        CallResult.ClientGone -> "client_gone"
    }

/** Returns the value that identifies the kind of response in log lines. */
internal fun ResponseKind.toLogValue(): String =
    when (this) {
        ResponseKind.Valid -> "valid"
        is ResponseKind.Declined -> "declined"
        is ResponseKind.WrongInstance -> "wrong_instance"
        is ResponseKind.Unconfirmed -> "unconfirmed"
        is ResponseKind.Invalid -> "invalid"
    }

/** Returns the value that identifies the request that a response names in log lines. */
internal fun ResponseId.toLogValue(): String =
    when (this) {
        ResponseId.OWN -> "own"
        ResponseId.NONE -> "none"
        ResponseId.OTHER -> "other"
    }
