//! A large configuration reaches all balancers of a large fleet: each asks one that has told it of
//! the change.

use crate::flows::balancer::TransferBudget;
use rstest::rstest;

/// The time between two attempts of a balancer, and between two heartbeats of its domain.
const RETRY_MS: u64 = 250;

/// Returns how long it takes until all balancers have settings of `bytes`, and the most bytes that
/// one balancer sends within a second.
fn spread(balancers: usize, bytes: usize) -> (u64, usize) {
    let mut budgets = vec![TransferBudget::default(); balancers];
    let mut holders = 2;
    let mut most_bytes = 0;
    let mut round: u64 = 0;
    while holders < balancers {
        let now_ms = 1_000 + round * RETRY_MS;
        let mut sent = vec![0; holders];
        let asking = balancers - holders;
        for place in 0..asking {
            let holder = place % sent.len();
            if budgets[holder].try_send(bytes, now_ms) {
                sent[holder] += bytes;
                holders += 1;
            }
        }
        most_bytes = most_bytes.max(sent.into_iter().max().unwrap_or_default());
        round += 1;
    }
    (round * RETRY_MS, most_bytes * 1_000 / RETRY_MS as usize)
}

#[rstest]
#[case::usual_configuration(60, 2_300, 250)]
#[case::two_thousand_routes(60, 35_000, 1_500)]
#[case::size_we_build_for(640, 40_000, 2_500)]
fn settings_spread_in_time_and_leave_room_on_each_link(
    #[case] balancers: usize,
    #[case] bytes: usize,
    #[case] limit_ms: u64,
) {
    let (duration_ms, bytes_per_second) = spread(balancers, bytes);
    assert!(duration_ms <= limit_ms, "{duration_ms} ms");
    // A quarter of a link of 20 Mbit/s over the time of an attempt.
    assert!(bytes_per_second <= 640_000, "{bytes_per_second} B/s");
}

#[test]
fn settings_that_exceed_the_budget_are_sent_one_at_a_time() {
    let mut budget = TransferBudget::default();
    assert!(budget.try_send(1_000_000, 1_000));
    assert!(!budget.try_send(1_000_000, 1_050));
    assert!(budget.try_send(1_000_000, 1_100));
}
