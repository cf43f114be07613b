package gypsumcart.node

import gypsumcart.core.CallFailure
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.dispatch.CallResult

/** Returns a word that names the reason in logs. */
internal fun RefusalReason.toLogWord(): String =
    when (this) {
        RefusalReason.NoConfiguration -> "no_configuration"
        RefusalReason.NoRoute -> "no_route"
        RefusalReason.UnknownKey -> "unknown_key"
        RefusalReason.NoRequestId -> "no_request_id"
        RefusalReason.QuotaExceeded -> "quota"
        is RefusalReason.Overloaded -> "overloaded_$filter"
        RefusalReason.Stopping -> "stopping"
        RefusalReason.NoBackEnd -> "no_back_end"
        RefusalReason.Declined -> "declined"
    }

/** Returns a word that names the failure in logs. */
internal fun CallFailure.toLogWord(): String =
    when (this) {
        CallFailure.ConnectFailed -> "connect_failed"
        is CallFailure.Declined -> "declined_$status"
        CallFailure.WrongInstance -> "wrong_instance"
        CallFailure.Truncated -> "cut"
        CallFailure.TimedOut -> "timed_out"
        CallFailure.InvalidResponse -> "unreadable"
        is CallFailure.ServerError -> "server_error_$status"
    }

/** Returns a word that names the outcome in logs. */
internal fun Outcome.toLogWord(): String =
    when (this) {
        is Outcome.NotRun -> "not_run:${reason.toLogWord()}"
        is Outcome.Failed -> "failed:${failure.toLogWord()}"
    }

/** Returns a word that names the result in logs and metrics. */
internal fun CallResult.toLogWord(): String =
    when (this) {
        is CallResult.Answered -> "answered_$status"
        is CallResult.Failed -> failure.toLogWord()
        CallResult.ClientGone -> "client_gone"
    }
