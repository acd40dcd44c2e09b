//! The resolution of an attempt that received no answer.

use super::{Failure, Resolution};
use crate::codes::ResultCode;

/// Resolves an attempt at a request whose record this agent keeps, or which has no record.
///
/// The result is "not run" only when no byte was sent or the other side itself answered so.
pub(super) fn resolve(sent: bool, failure: Failure) -> Resolution {
    match failure {
        Failure::TargetShed => Resolution::NotRun(ResultCode::TargetShed),
        Failure::RelayRefused(code) if code.is_not_run() => Resolution::NotRun(code),
        Failure::RelayUnknown(code) if code.is_outcome_unknown() => Resolution::Unknown(code),
        Failure::RelayRefused(_) | Failure::RelayUnknown(_) => {
            Resolution::Unknown(ResultCode::RelayLost)
        }
        _ if sent => Resolution::Unknown(unknown_code(failure)),
        _ => Resolution::NotRun(not_run_code(failure)),
    }
}

fn unknown_code(failure: Failure) -> ResultCode {
    match failure {
        Failure::DeadlinePassed => ResultCode::DeadlineAfterSend,
        Failure::RelayLost => ResultCode::RelayLost,
        _ => ResultCode::TargetLost,
    }
}

fn not_run_code(failure: Failure) -> ResultCode {
    match failure {
        Failure::Refused(code) if code.is_not_run() => code,
        Failure::Refused(_) => ResultCode::Overloaded,
        Failure::DeadlinePassed => ResultCode::DeadlineBeforeRun,
        _ => ResultCode::TargetUnreachable,
    }
}

/// Resolves an attempt to relay a request to the agent that issued the ticket in its key.
///
/// An earlier copy of the request may have run there, so only that agent can tell that the
/// request was not run, even if this copy was never sent.
pub(super) fn resolve_foreign(failure: Failure) -> Resolution {
    match failure {
        Failure::RelayRefused(_) | Failure::RelayUnknown(_) => resolve(true, failure),
        Failure::DeadlinePassed => Resolution::Unknown(ResultCode::DeadlineAfterSend),
        _ => Resolution::Unknown(ResultCode::RelayLost),
    }
}
