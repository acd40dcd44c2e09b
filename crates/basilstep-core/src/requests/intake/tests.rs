use super::RequestIntake;

/// Guards against a request that runs although the GOAWAY says that it doesn't.
#[test]
fn request_that_a_goaway_names_as_not_run_is_rejected() {
    let mut intake = RequestIntake::default();
    assert!(intake.accept_next());
    let first_not_run = intake.limit_to(3);
    let accepted = (0..9).filter(|_| intake.accept_next()).count();
    assert_eq!(accepted as u32, first_not_run - 1);
}

/// Guards against a first request that runs after a GOAWAY that states request 0.
#[test]
fn flow_without_requests_accepts_none_after_a_goaway() {
    let mut intake = RequestIntake::default();
    intake.limit_to(256);
    assert!(!intake.accept_next());
}

/// Guards against a later GOAWAY that allows more requests again.
#[test]
fn later_limit_only_lowers_the_former_one() {
    let mut intake = RequestIntake::default();
    assert!(intake.accept_next());
    intake.limit_to(256);
    assert!(intake.accept_next());
    intake.limit_to(1);
    assert!(!intake.accept_next());
    intake.limit_to(256);
    assert!(!intake.accept_next());
}
