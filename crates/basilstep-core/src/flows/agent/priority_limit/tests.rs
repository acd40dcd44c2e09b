use super::PriorityLimit;
use crate::flows::settings::PrioritySettings;
use rstest::rstest;

const CAPACITY: u16 = 5;
const WORK_LIMIT: usize = 20;

/// A limit that was asked for `higher` flows of level 0 and has admitted `lower` of level 1.
fn limit_after(higher: u32, lower: u32) -> PriorityLimit {
    let mut limit = PriorityLimit::default();
    for _ in 0..higher {
        limit.record_asked(0, WORK_LIMIT, 1_000);
    }
    for _ in 0..lower {
        limit.record_asked(1, WORK_LIMIT, 1_000);
        limit.record_admitted(1, 1_000);
    }
    limit
}

fn lower_limit(limit: &mut PriorityLimit, now_ms: u64) -> usize {
    let settings = PrioritySettings::default();
    limit.limit(1, WORK_LIMIT, CAPACITY, settings, now_ms)
}

/// Guards against a reserve that nobody uses, one beyond the bound, and one that leaves slots of
/// the target idle.
#[rstest]
#[case::no_higher_demand(0, 10, 20)]
#[case::a_fifth_is_higher(10, 40, 16)]
#[case::most_is_higher(90, 10, 10)]
fn reserve_follows_the_share_of_the_higher_level(
    #[case] higher: u32,
    #[case] lower: u32,
    #[case] expected: usize,
) {
    assert_eq!(
        lower_limit(&mut limit_after(higher, lower), 1_500),
        expected
    );
}

/// Guards against a highest level that is held back by its own demand.
#[test]
fn highest_level_has_the_whole_limit() {
    let mut limit = limit_after(90, 10);
    let settings = PrioritySettings::default();
    assert_eq!(
        limit.limit(0, WORK_LIMIT, CAPACITY, settings, 1_500),
        WORK_LIMIT
    );
}

/// Guards against a reserve that outlives the demand for it.
#[test]
fn reserve_ends_within_two_seconds_of_the_last_higher_request() {
    let mut limit = limit_after(90, 10);
    assert_eq!(lower_limit(&mut limit, 1_900), 10);
    assert_eq!(lower_limit(&mut limit, 3_000), WORK_LIMIT);
}

/// Guards against a lower level that may not use a free slot of the target, also if the queue is
/// reserved entirely.
#[test]
fn free_slots_are_never_reserved() {
    let mut limit = limit_after(90, 0);
    let settings = PrioritySettings {
        max_reserved_share: 1.0,
    };
    let lower = limit.limit(1, WORK_LIMIT, CAPACITY, settings, 1_500);
    assert_eq!(lower, usize::from(CAPACITY));
}

/// Guards against lower requests that fill the target's queue beyond the limit of higher ones
/// because their own latency goal is longer.
#[test]
fn longer_goal_of_a_lower_level_does_not_exceed_the_higher_limit() {
    let mut limit = PriorityLimit::default();
    limit.record_asked(0, 10, 1_000);
    for _ in 0..99 {
        limit.record_admitted(1, 1_000);
    }
    assert_eq!(lower_limit(&mut limit, 1_000), 10);
}

/// Guards against refused lower requests, which are offered again and again, diluting the reserve.
#[test]
fn refused_lower_requests_do_not_reduce_the_reserve() {
    let mut limit = limit_after(10, 10);
    for _ in 0..1_000 {
        limit.record_asked(1, WORK_LIMIT, 1_000);
    }
    assert_eq!(lower_limit(&mut limit, 1_000), 10);
}
