//! Power loss everywhere while the store is away: all processes start at about the same time, and
//! their first calls go to a store that does not answer yet.

use crate::flows::StoreRetry;
use rstest::rstest;

const MAX_TIMEOUT_MS: u64 = 1_000;
const MAX_DELAY_MS: u64 = 1_000;
const PROCESSES: u64 = 195;

/// Returns when a process that starts at `started_ms` gets its first answer from a store that is
/// back at `back_ms`, and how many calls it makes.
fn first_answer(started_ms: u64, back_ms: u64) -> (u64, usize) {
    let mut retry = StoreRetry::new(MAX_TIMEOUT_MS, MAX_DELAY_MS);
    let mut now_ms = started_ms;
    let mut calls = 1;
    while now_ms < back_ms {
        now_ms += retry.timeout_ms();
        now_ms += retry.on_failure();
        calls += 1;
    }
    (now_ms, calls)
}

#[rstest]
#[case::back_at_once(300)]
#[case::half_a_second(500)]
#[case::a_second(1_000)]
#[case::three_seconds(3_000)]
fn processes_wait_in_proportion_to_the_outage(#[case] back_ms: u64) {
    for process in 0..PROCESSES {
        let started_ms = process * 300 / PROCESSES;
        let (answered_ms, _) = first_answer(started_ms, back_ms);
        let outage_ms = back_ms - started_ms;
        // A call that has just been sent, and the delay after it, may double the time so far.
        let limit_ms = (2 * outage_ms).clamp(300, MAX_TIMEOUT_MS + MAX_DELAY_MS);
        assert!(
            answered_ms <= back_ms + limit_ms,
            "started at {started_ms}, answered at {answered_ms}"
        );
    }
}

/// Without the short first timeouts nobody has an answer before 1.3 s.
#[test]
fn some_process_is_answered_soon_and_can_tell_the_others() {
    let first_ms = (0..PROCESSES)
        .map(|process| first_answer(process * 300 / PROCESSES, 400).0)
        .min();
    assert!(first_ms <= Some(450), "{first_ms:?}");
}

#[test]
fn long_outage_is_not_flooded_with_calls() {
    let (_, calls) = first_answer(0, 30_000);
    assert!(calls <= 20, "{calls}");
}

#[test]
fn answered_task_waits_as_long_as_the_store_may_take() {
    let mut retry = StoreRetry::new(MAX_TIMEOUT_MS, MAX_DELAY_MS);
    retry.on_answer();
    assert_eq!(retry.timeout_ms(), MAX_TIMEOUT_MS);
    assert_eq!(retry.on_failure(), MAX_DELAY_MS);
}
