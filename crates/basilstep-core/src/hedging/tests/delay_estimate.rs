use crate::hedging::DelayEstimate;
use rstest::rstest;

fn estimate(delays_ms: impl Iterator<Item = u64>, quantile: f64) -> Option<u64> {
    let mut estimate = DelayEstimate::default();
    for delay_ms in delays_ms {
        estimate.record(delay_ms, quantile);
    }
    estimate.quantile_ms()
}

/// Guards against a quantile that is off by one rank, and against quantiles outside of 0 to 1, which
/// `--set` accepts.
#[rstest]
#[case::median(0.5, 50)]
#[case::default(0.95, 95)]
#[case::highest(1.0, 100)]
#[case::lowest(0.0, 1)]
#[case::out_of_range(7.0, 100)]
fn quantile_of_one_to_a_hundred(#[case] quantile: f64, #[case] expected_ms: u64) {
    let ascending = estimate(1..=100, quantile).unwrap();
    let descending = estimate((1..=100).rev(), quantile).unwrap();
    // The last few delays may not be included yet.
    assert!(ascending.abs_diff(expected_ms) <= 4, "{ascending}");
    assert!(descending.abs_diff(expected_ms) <= 4, "{descending}");
}

/// Guards against a delay that follows from one or two confirmations.
#[test]
fn few_delays_give_no_quantile() {
    assert_eq!(estimate(1..=19, 0.95), None);
    assert_eq!(estimate(1..=20, 0.95), Some(19));
}

/// Guards against an estimate that keeps the delays of an earlier condition of the network.
#[test]
fn old_delays_are_replaced() {
    let delays = std::iter::repeat_n(90, 500).chain(std::iter::repeat_n(10, 136));
    assert_eq!(estimate(delays, 0.95), Some(10));
}
