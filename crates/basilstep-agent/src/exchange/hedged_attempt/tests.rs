use super::{AttemptFailure, HedgedResult};
use basilstep_core::{codes::ResultCode, requests::FailureReason};
use rstest::rstest;

const LOST: AttemptFailure = AttemptFailure {
    sent: true,
    failure: FailureReason::RelayLost,
    refusal: None,
};

const REFUSED: AttemptFailure = AttemptFailure {
    sent: true,
    failure: FailureReason::RelayRefused(ResultCode::Overloaded),
    refusal: None,
};

/// Guards against a request that is reported as not run because one of its copies, or the retry after
/// both, did not run.
#[rstest]
#[case::both_lost(LOST, Some(LOST), true)]
#[case::first_lost(LOST, Some(REFUSED), true)]
#[case::second_lost(REFUSED, Some(LOST), true)]
#[case::both_refused(REFUSED, Some(REFUSED), false)]
#[case::only_one_lost(LOST, None, true)]
#[case::only_one_refused(REFUSED, None, false)]
fn copy_that_may_have_run_is_not_forgotten(
    #[case] first: AttemptFailure,
    #[case] second: Option<AttemptFailure>,
    #[case] may_have_run: bool,
) {
    let hedged = HedgedResult::failed(first, second, 1);
    assert_eq!(hedged.may_have_run, may_have_run);
    let failed = hedged.result.expect_err("no copy was answered");
    let is_lost = failed.failure == FailureReason::RelayLost;
    assert_eq!(is_lost, may_have_run);
}
