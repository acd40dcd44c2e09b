//! The resolution of an attempt that received no answer.

use super::{FailureReason, RequestResolution};
use crate::codes::ResultCode;

/// Resolves an attempt at a request whose record this agent keeps, or which has no record.
///
/// The result is "not run" only when no byte was sent or the other side itself answered so.
pub(super) fn resolve(sent: bool, failure: FailureReason) -> RequestResolution {
    match failure {
        FailureReason::TargetShed => RequestResolution::NotRun(ResultCode::TargetShed),
        FailureReason::RelayRefused(code) if code.is_not_run() => RequestResolution::NotRun(code),
        FailureReason::RelayUnknown(code) if code.is_outcome_unknown() => {
            RequestResolution::Unknown(code)
        }
        FailureReason::RelayRefused(_) | FailureReason::RelayUnknown(_) => {
            RequestResolution::Unknown(ResultCode::RelayLost)
        }
        _ if sent => RequestResolution::Unknown(unknown_code(failure)),
        _ => RequestResolution::NotRun(not_run_code(failure)),
    }
}

fn unknown_code(failure: FailureReason) -> ResultCode {
    match failure {
        FailureReason::DeadlinePassed => ResultCode::DeadlineAfterSend,
        FailureReason::RelayLost => ResultCode::RelayLost,
        FailureReason::AnswerTooLarge => ResultCode::AnswerNotKept,
        _ => ResultCode::TargetLost,
    }
}

fn not_run_code(failure: FailureReason) -> ResultCode {
    match failure {
        FailureReason::Refused(code) if code.is_not_run() => code,
        FailureReason::Refused(_) => ResultCode::Overloaded,
        FailureReason::DeadlinePassed => ResultCode::DeadlineBeforeRun,
        _ => ResultCode::TargetUnreachable,
    }
}

/// Resolves an attempt to relay a request to the agent that issued the ticket in its key.
///
/// An earlier copy of the request may have run there, so only that agent can tell that the
/// request was not run, even if this copy was never sent.
pub(super) fn resolve_foreign(failure: FailureReason) -> RequestResolution {
    match failure {
        FailureReason::RelayRefused(_) | FailureReason::RelayUnknown(_) => resolve(true, failure),
        FailureReason::DeadlinePassed => RequestResolution::Unknown(ResultCode::DeadlineAfterSend),
        _ => RequestResolution::Unknown(ResultCode::RelayLost),
    }
}
