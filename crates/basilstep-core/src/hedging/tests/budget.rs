use crate::hedging::{HedgeBudget, HedgingSettings};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// Guards against second copies beyond what operators set: over no run of first copies, however
/// short or long, may there be more than the share of them and the burst.
#[rstest]
#[case::example(5, 10)]
#[case::one_percent(1, 3)]
#[case::no_burst(50, 1)]
#[case::every_request(100, 10)]
fn budget_is_kept_over_any_window(#[case] budget_percent: u16, #[case] burst: u16) {
    let settings = HedgingSettings {
        budget_percent,
        burst,
        ..HedgingSettings::default()
    };
    let mut rng = StdRng::seed_from_u64(7);
    let mut budget = HedgeBudget::new();
    // The number of first and second copies after each event.
    let mut history = vec![(0_u64, 0_u64)];
    for _ in 0..3_000 {
        let (mut first, mut second) = history[history.len() - 1];
        if rng.random_bool(0.6) {
            budget.record_first(&settings);
            first += 1;
        } else if budget.try_take() {
            second += 1;
        }
        history.push((first, second));
    }
    for (start, (first_before, second_before)) in history.iter().enumerate() {
        for (first, second) in &history[start..] {
            let allowed = (first - first_before) * u64::from(budget_percent) / 100;
            let bound = allowed + u64::from(burst);
            assert!(second - second_before <= bound, "from event {start}");
        }
    }
    assert!(history[history.len() - 1].1 > 0);
}

/// Guards against a burst of second copies from all processes after a restart of the fleet.
#[test]
fn new_budget_is_empty() {
    assert!(!HedgeBudget::new().try_take());
}

/// Guards against second copies where operators allow none.
#[rstest]
#[case::no_share(0, 10)]
#[case::no_burst(100, 0)]
fn empty_setting_allows_none(#[case] budget_percent: u16, #[case] burst: u16) {
    let settings = HedgingSettings {
        budget_percent,
        burst,
        ..HedgingSettings::default()
    };
    let mut budget = HedgeBudget::new();
    for _ in 0..1_000 {
        budget.record_first(&settings);
        assert!(!budget.try_take());
    }
}
