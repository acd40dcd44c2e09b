use crate::hedging::{HedgeCounts, HedgePolicy, HedgeRefusal, HedgingSettings};

const UNKNOWN_DELAY_MS: u64 = 100;

fn policy() -> HedgePolicy<u8> {
    HedgePolicy::new(HedgingSettings {
        budget_percent: 100,
        ..HedgingSettings::default()
    })
}

/// Guards against a second copy that comes before most first ones are answered.
#[test]
fn delay_is_the_quantile_and_at_least_the_minimum() {
    let mut policy = policy();
    assert_eq!(policy.record_first(1, UNKNOWN_DELAY_MS, 0), 100);
    for delay_ms in [40; 20] {
        policy.record_delay(1, delay_ms, 0);
    }
    for delay_ms in [3; 20] {
        policy.record_delay(2, delay_ms, 0);
    }
    assert_eq!(policy.record_first(1, UNKNOWN_DELAY_MS, 0), 40);
    assert_eq!(policy.record_first(2, UNKNOWN_DELAY_MS, 0), 20);
    assert_eq!(policy.record_first(3, UNKNOWN_DELAY_MS, 0), 100);
}

/// Guards against more work for a service that refuses work already, and against one service's
/// overload ending the second copies of another.
#[test]
fn no_second_copy_in_the_second_after_a_refusal_for_load() {
    let mut policy = policy();
    for _ in 0..5 {
        policy.record_first(1, UNKNOWN_DELAY_MS, 0);
    }
    policy.record_overload(1, 500);
    assert_eq!(
        policy.try_hedge(1, Some(()), 500),
        Err(HedgeRefusal::Overload)
    );
    assert_eq!(
        policy.try_hedge(1, Some(()), 1_499),
        Err(HedgeRefusal::Overload)
    );
    assert_eq!(policy.try_hedge(2, Some(()), 600), Ok(()));
    assert_eq!(policy.try_hedge(1, Some(()), 1_500), Ok(()));
}

/// Guards against a refused copy that is charged to the budget.
#[test]
fn only_copies_that_are_sent_are_charged() {
    let mut policy = policy();
    policy.record_first(1, UNKNOWN_DELAY_MS, 0);
    let nobody: Option<()> = None;
    assert_eq!(
        policy.try_hedge(1, nobody, 0),
        Err(HedgeRefusal::NoCandidate)
    );
    assert_eq!(policy.try_hedge(1, Some(()), 0), Ok(()));
    assert_eq!(policy.try_hedge(1, Some(()), 0), Err(HedgeRefusal::Budget));
    policy.record_won();
    let expected = HedgeCounts {
        sent: 1,
        won: 1,
        refused_by_budget: 1,
        refused_by_overload: 0,
        without_candidate: 1,
    };
    assert_eq!(policy.counts(), expected);
}

/// Guards against state that grows with every service that was ever used.
#[test]
fn delays_of_an_unused_group_are_forgotten() {
    let mut policy = policy();
    for _ in 0..20 {
        policy.record_delay(1, 40, 0);
    }
    policy.forget_idle_groups(59_999);
    assert_eq!(policy.record_first(1, UNKNOWN_DELAY_MS, 59_999), 40);
    policy.forget_idle_groups(200_000);
    assert_eq!(policy.record_first(1, UNKNOWN_DELAY_MS, 200_000), 100);
}

/// Guards against a search for a process that ends in a refusal that was known before.
#[test]
fn refusal_is_known_without_a_candidate() {
    let mut policy = policy();
    assert_eq!(policy.refusal(1, 0), Some(HedgeRefusal::Budget));
    policy.record_first(1, UNKNOWN_DELAY_MS, 0);
    assert_eq!(policy.refusal(1, 0), None);
    policy.record_overload(1, 0);
    assert_eq!(policy.refusal(1, 999), Some(HedgeRefusal::Overload));
    assert_eq!(policy.refusal(2, 999), None);
}
