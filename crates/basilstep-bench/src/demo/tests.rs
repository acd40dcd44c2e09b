use super::{observer::max_over_mean, result::DemoResult};
use crate::fakes::caller::OfferOutcome;
use rstest::rstest;
use std::collections::BTreeMap;

fn passing_result() -> DemoResult {
    let mut result = DemoResult::default();
    result.callers.answers_whole = 1;
    result.callers.requests_sent = 1;
    result.requests_to_returned_domain = Some(1);
    result.imbalance_max_over_mean = 1.0;
    result
}

#[test]
fn kept_promises_are_no_failure() {
    let mut result = passing_result();
    result.check_promises();
    assert_eq!(result.broken_promises, Vec::<String>::new());
}

#[rstest]
#[case::flow(|result: &mut DemoResult| result.callers.flows_broken = 1)]
#[case::line(|result: &mut DemoResult| result.callers.board_gaps = 1)]
#[case::cut(|result: &mut DemoResult| result.callers.boards_cut = 1)]
#[case::wrong(|result: &mut DemoResult| {
    result.callers.answers_wrong = 1;
    result.callers.requests_sent = 2;
})]
#[case::wrong_line(|result: &mut DemoResult| result.callers.board_lines_wrong = 1)]
#[case::attempt_without_an_end(|result: &mut DemoResult| result.callers.requests_sent = 2)]
#[case::attempt_with_two_ends(|result: &mut DemoResult| result.callers.refused_not_run = 1)]
#[case::misrouted(|result: &mut DemoResult| result.misrouted_packets = 1)]
#[case::twice(|result: &mut DemoResult| result.ran_twice = 1)]
#[case::ran(|result: &mut DemoResult| result.not_run_but_ran = 1)]
#[case::not_run(|result: &mut DemoResult| result.answered_but_not_run = 1)]
#[case::fell_over(|result: &mut DemoResult| result.targets_fell_over = 1)]
#[case::end(|result: &mut DemoResult| result.unexpected_ends.push(String::new()))]
#[case::stop(|result: &mut DemoResult| result.failed_stops.push(String::new()))]
#[case::out(|result: &mut DemoResult| result.packets_to_out_domain_after_s = 5.1)]
#[case::leaving(|result: &mut DemoResult| result.requests_to_leaving_after_s = 5.1)]
#[case::out_and_paused(|result: &mut DemoResult| result.packets_to_out_agents_from_resumed = 1)]
#[case::out_long_after(
    |result: &mut DemoResult| result.out_targets_with_requests_after_resumption = 1
)]
#[case::memory(|result: &mut DemoResult| result.most_memory_growth_kb = 4_097)]
#[case::uncounted(|result: &mut DemoResult| result.processes_that_count_no_drop = 1)]
#[case::hidden(|result: &mut DemoResult| result.balancers_that_hide_a_bad_record = 1)]
#[case::bad_record(|result: &mut DemoResult| result.flows_opened_on_good_record = Some(0))]
#[case::reopened(|result: &mut DemoResult| result.flows_reopened_after_s = 6.1)]
#[case::target_not_back(|result: &mut DemoResult| result.requests_to_restarted_target = Some(0))]
#[case::agent_without_store(|result: &mut DemoResult| {
    result.ready_without_store_after_s = Some(1.0);
    result.requests_to_agent_without_store = Some(0);
})]
#[case::balancer_without_store(
    |result: &mut DemoResult| result.requests_to_agent_without_store = Some(1)
)]
#[case::imbalance(|result: &mut DemoResult| result.imbalance_max_over_mean = 1.6)]
#[case::silence(|result: &mut DemoResult| {
    result.callers.answers_whole = 0;
    result.callers.answers_lost = 1;
})]
#[case::no_return(|result: &mut DemoResult| result.requests_to_returned_domain = Some(0))]
fn each_broken_promise_is_named(#[case] violate: fn(&mut DemoResult)) {
    let mut result = passing_result();
    violate(&mut result);
    result.check_promises();
    assert_eq!(result.broken_promises.len(), 1);
}

#[rstest]
#[case::once_for_each_cold_turn(2, 0)]
#[case::once_more(3, 1)]
fn target_may_fall_over_once_when_it_turns_cold(#[case] fell_over: u64, #[case] broken: usize) {
    let mut result = passing_result();
    result.targets_turned_cold = 2;
    result.targets_fell_over = fell_over;
    result.check_promises();
    assert_eq!(result.broken_promises.len(), broken);
}

#[rstest]
#[case::answered_and_ran(OfferOutcome::Answered, 1, (0, 0, 0))]
#[case::answered_and_ran_twice(OfferOutcome::Answered, 2, (1, 0, 0))]
#[case::answered_and_did_not_run(OfferOutcome::Answered, 0, (0, 0, 1))]
#[case::refused_and_ran(OfferOutcome::NotRun, 1, (0, 1, 0))]
#[case::refused_and_did_not_run(OfferOutcome::NotRun, 0, (0, 0, 0))]
#[case::unknown_and_ran(OfferOutcome::Unknown, 1, (0, 0, 0))]
#[case::unknown_and_did_not_run(OfferOutcome::Unknown, 0, (0, 0, 0))]
#[case::unknown_and_ran_twice(OfferOutcome::Unknown, 2, (1, 0, 0))]
fn offers_are_compared_with_their_runs(
    #[case] outcome: OfferOutcome,
    #[case] runs: u32,
    #[case] expected: (u64, u64, u64),
) {
    let outcomes = BTreeMap::from([("offer".to_owned(), outcome)]);
    let mut all = BTreeMap::new();
    if runs > 0 {
        all.insert("offer".to_owned(), runs);
    }
    let mut result = passing_result();
    result.compare_offers(&outcomes, &all);
    let seen = (
        result.ran_twice,
        result.not_run_but_ran,
        result.answered_but_not_run,
    );
    assert_eq!(seen, expected);
}

#[rstest]
#[case::nothing(&[0, 0], 1.0)]
#[case::even(&[3, 3, 3], 1.0)]
#[case::all_on_one(&[6, 0, 0], 3.0)]
fn imbalance_is_the_largest_over_the_mean(#[case] numbers: &[u32], #[case] expected: f64) {
    assert!((max_over_mean(numbers) - expected).abs() < 1e-9);
}
