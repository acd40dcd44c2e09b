use super::{
    TargetArgs,
    state::{Refusal, State},
};
use argh::FromArgs;
use rstest::rstest;
use std::time::{Duration, Instant};

fn args(slots: &str) -> TargetArgs {
    let flags = [
        "--listen",
        "127.0.0.1:0",
        "--slots",
        slots,
        "--cold-ms",
        "200",
    ];
    TargetArgs::from_args(&["target"], &flags).expect("the flags are valid")
}

fn warm_up(state: &mut State, args: &TargetArgs, answers: u32) {
    for _ in 0..answers {
        state.record_answered_work(args);
    }
}

#[rstest]
#[case::cold(0, 2)]
#[case::half_warm(5, 9)]
#[case::warm(10, 9)]
fn admits_twice_its_capacity_up_to_its_slots(#[case] answers: u32, #[case] admitted: usize) {
    let args = args("9");
    let mut state = State::default();
    warm_up(&mut state, &args, answers);
    let now = Instant::now();
    let accepted = (0..20).take_while(|_| state.admit(&args, now).is_ok());
    assert_eq!(accepted.count(), admitted);
}

#[test]
fn cold_target_falls_over_and_is_cold_afterwards() {
    let args = args("9");
    let mut state = State::default();
    let now = Instant::now();
    let admissions: Vec<_> = (0..4).map(|_| state.admit(&args, now)).collect();
    let fallen_over = Err(Refusal::FallenOver);
    assert_eq!(admissions, [Ok(()), Ok(()), fallen_over, fallen_over]);
    assert_eq!(state.counts.fell_over, 1);
    state.release_slot();
    state.release_slot();
    let later = now + Duration::from_secs(3);
    assert_eq!(state.admit(&args, later), Ok(()));
    assert!((state.capacity(&args) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn warm_target_sheds_above_its_slots() {
    let args = args("2");
    let mut state = State::default();
    warm_up(&mut state, &args, 10);
    let now = Instant::now();
    let admissions: Vec<_> = (0..3).map(|_| state.admit(&args, now)).collect();
    assert_eq!(admissions, [Ok(()), Ok(()), Err(Refusal::Shed)]);
    assert_eq!(state.counts.fell_over, 0);
}

#[test]
fn warm_target_that_turns_cold_falls_over_under_its_earlier_load() {
    let args = args("9");
    let mut state = State::default();
    warm_up(&mut state, &args, 10);
    let now = Instant::now();
    assert!((0..5).all(|_| state.admit(&args, now).is_ok()));
    assert!(state.set_fault("turn-cold", true));
    assert_eq!(state.admit(&args, now), Err(Refusal::FallenOver));
}

#[rstest]
#[case::offers_are_counted(&["a", "b", "a", "a"], "offers", 1)]
#[case::quotes_may_run_twice(&["a", "a"], "quotes", 0)]
fn second_run_of_an_offer_is_counted_once(
    #[case] operations: &[&str],
    #[case] kind: &str,
    #[case] ran_twice: u64,
) {
    let mut state = State::default();
    for operation in operations {
        state.count_run(kind, operation);
    }
    assert_eq!(state.counts.ran_twice, ran_twice);
    assert_eq!(state.counts.runs[kind], operations.len() as u64);
}

#[test]
fn report_lags_and_can_hide_the_load() {
    let args = args("9");
    let mut state = State::default();
    state.admit(&args, Instant::now()).expect("a slot is free");
    assert_eq!(state.reported.in_flight, 0);
    state.update_report(&args);
    assert_eq!(state.reported.in_flight, 1);
    state.set_fault("lie-idle", true);
    state.update_report(&args);
    assert_eq!(state.reported.in_flight, 0);
}

#[test]
fn unknown_fault_is_refused() {
    assert!(!State::default().set_fault("no-such-fault", true));
}
