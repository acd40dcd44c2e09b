//! Requests of two priorities that compete for the same targets.
//!
//! The load is that of customer A in docs/design/hard-load.md, for a fifth of its targets.

mod run;

use rstest::rstest;
use run::{FEED, Load, Outcome, QUERY, Run, SLOTS};
use std::collections::BTreeMap;

const TARGETS: u8 = 7;

/// A quarter of the longest latency goal.
const MAX_WAIT_MS: u64 = 100;

/// Returns the work of all levels, in thousandths of what the targets can do.
fn used_permille(outcomes: &BTreeMap<u8, Outcome>, targets: u8, duration_ms: u64) -> u64 {
    let work_ms: u64 = outcomes.values().map(|outcome| outcome.work_ms).sum();
    work_ms * 1_000 / (duration_ms * u64::from(targets) * u64::from(SLOTS))
}

/// Load scenario (a): a surge of one kind on shared targets, 1.5 to 2.4 times for 3 to 7 s. Guards
/// against a surge of the lower level that delays the higher one.
#[rstest]
#[case::feeds(QUERY, FEED.times(1.5), 3_000)]
#[case::many_feeds(QUERY, FEED.times(2.4), 7_000)]
#[case::queries(QUERY.times(1.5), FEED, 7_000)]
#[case::many_queries(QUERY.times(2.4), FEED, 3_000)]
fn surge_of_one_kind_leaves_the_higher_level_in_time(
    #[case] queries: Load,
    #[case] feeds: Load,
    #[case] surge_ms: u64,
) {
    let mut run = Run::start(TARGETS, &[queries, feeds]);
    run.run(&[QUERY, FEED], 2_000);
    let surge = run.run(&[queries, feeds], surge_ms);
    assert!(surge[&0].in_time_permille() >= 980, "{surge:?}");
    let after = run.run(&[QUERY, FEED], 2_000);
    assert!(after[&0].in_time_permille() >= 980, "{after:?}");
}

/// Load scenario (b): twice the load with 14% of the targets gone. Guards against an overload in
/// which the higher level loses requests although its own demand fits, and in which capacity stays
/// unused. With a goal as short as that of the lower level only the priority helps the higher one.
#[rstest]
#[case::longer_goal(QUERY)]
#[case::same_goal(QUERY.with_goal(300))]
fn twice_the_load_with_fewer_targets_keeps_the_higher_level_in_time(#[case] query: Load) {
    const TARGETS_LEFT: u8 = TARGETS - 1;
    let mut run = Run::start(TARGETS_LEFT, &[query, FEED]);
    run.run(&[query, FEED], 2_000);
    let surge = run.run(&[query.times(2.0), FEED.times(2.0)], 6_000);
    assert!(surge[&0].in_time_permille() >= 980, "{surge:?}");
    let used = used_permille(&surge, TARGETS_LEFT, 6_000);
    assert!(used >= 980, "{used} {surge:?}");
    // Capacity for 0.66 of the feeds is left beside the queries.
    assert!(surge[&1].in_time_permille() >= 600, "{surge:?}");
    assert!(run.admitted_from_queue > 0);
}

/// Load scenario (c): a sustained overload of the higher level. Guards against a queue that grows,
/// callers that are held longer than the bounds, and SYNs that expire in the queue.
#[test]
fn sustained_overload_of_the_higher_level_keeps_the_queue_short() {
    let mut run = Run::start(TARGETS, &[QUERY, FEED]);
    for _ in 0..3 {
        let overload = run.run(&[QUERY.times(8.0), FEED], 3_000);
        let used = used_permille(&overload, TARGETS, 3_000);
        assert!(used >= 980, "{used} {overload:?}");
        assert!(run.max_queued <= 10, "{}", run.max_queued);
    }
    assert!(run.admitted_from_queue > 0);
    let longest_ms = run.queue_waits_ms.iter().max();
    assert!(longest_ms <= Some(&MAX_WAIT_MS), "{longest_ms:?}");
    assert!(
        run.expired * 10 <= run.queue_waits_ms.len(),
        "{}",
        run.expired
    );
}

/// Guards against a reserve that stays when the higher level asks for nothing any more.
#[test]
fn lower_level_has_all_capacity_without_higher_demand() {
    let mut run = Run::start(TARGETS, &[QUERY, FEED]);
    run.run(&[QUERY.times(8.0), FEED], 2_000);
    run.run(&[FEED], 2_000);
    let after = run.run(&[FEED.times(2.2)], 3_000);
    assert!(after[&1].in_time_permille() >= 980, "{after:?}");
}
