use super::{agent, arrival, single};
use crate::{
    address::{DomainId, Incarnation, ServiceId},
    codes::ResultCode,
    context::Context,
    hedging::HedgeRefusal,
    membership::{AgentPhase, AgentRecord},
    requests::{
        FailureReason, FirstCopy, MethodClass, RequestArrival, RequestSettings, RequestTracker,
        hedge_peers, may_have_run,
    },
};
use rstest::rstest;

const GET: FirstCopy<'_> = FirstCopy {
    method: "GET",
    has_body: false,
    has_key: false,
    is_from_caller: true,
};

const PEER: Option<u8> = Some(2);

fn hedging(hedge_percent: u16, retry_budget_percent: u32) -> (RequestTracker, Context) {
    single(RequestSettings {
        retry_budget_percent,
        hedge_percent,
        ..RequestSettings::default()
    })
}

/// Guards against a request that runs twice although it may not, and against copies of copies.
#[rstest]
#[case::get(GET, true)]
#[case::head(FirstCopy { method: "HEAD", ..GET }, true)]
#[case::options(FirstCopy { method: "OPTIONS", ..GET }, true)]
#[case::post(FirstCopy { method: "POST", ..GET }, false)]
#[case::put(FirstCopy { method: "PUT", ..GET }, false)]
#[case::delete(FirstCopy { method: "DELETE", ..GET }, false)]
#[case::body(FirstCopy { has_body: true, ..GET }, false)]
#[case::key(FirstCopy { has_key: true, ..GET }, false)]
#[case::relayed(FirstCopy { is_from_caller: false, ..GET }, false)]
fn only_requests_that_may_run_twice_have_a_delay(
    #[case] copy: FirstCopy<'_>,
    #[case] is_hedged: bool,
) {
    let (mut requests, _) = hedging(100, 10);
    assert_eq!(requests.hedge_delay_ms(copy, 0).is_some(), is_hedged);
}

/// Guards against second copies for services whose operators did not ask for them.
#[test]
fn default_settings_allow_no_second_copy() {
    let (mut requests, _) = single(RequestSettings::default());
    assert_eq!(requests.hedge_delay_ms(GET, 0), None);
    assert_eq!(requests.try_hedge(PEER, 0), Err(HedgeRefusal::Budget));
}

/// Guards against a delay that does not follow the service, and against one below the minimum.
#[test]
fn delay_is_the_quantile_of_the_times_to_a_response_head() {
    let (mut requests, _) = hedging(100, 10);
    assert_eq!(requests.hedge_delay_ms(GET, 0), Some(500));
    for _ in 0..200 {
        requests.record_first_delay(70, 0);
    }
    assert_eq!(requests.hedge_delay_ms(GET, 0), Some(70));
    for _ in 0..200 {
        requests.record_first_delay(1, 0);
    }
    assert_eq!(requests.hedge_delay_ms(GET, 0), Some(20));
}

/// Guards against second copies beyond the operators' share, whatever is asked for.
#[test]
fn second_copies_keep_to_their_share_of_first_ones() {
    let (mut requests, _) = hedging(5, 100);
    let get = RequestArrival {
        method: MethodClass::Idempotent,
        ..arrival(None)
    };
    let directory = super::REACHABLE;
    let mut sent = 0;
    for _ in 0..400 {
        requests.arrive(&get, &directory, &Context::new(1));
        requests.hedge_delay_ms(GET, 0);
        sent += u32::from(requests.try_hedge(PEER, 0).is_ok());
    }
    assert_eq!(sent, 20);
    assert_eq!(requests.view().hedges.refused_by_budget, 380);
}

/// Guards against second copies that come on top of the retry budget.
#[test]
fn second_copy_counts_as_a_retry() {
    let (mut requests, _) = hedging(100, 0);
    let budget = requests.view().retry_tokens;
    for _ in 0..2 * budget {
        requests.hedge_delay_ms(GET, 0);
    }
    for _ in 0..budget {
        assert_eq!(requests.try_hedge(PEER, 0), Ok(2));
    }
    assert_eq!(requests.view().retry_tokens, 0);
    requests.hedge_delay_ms(GET, 0);
    assert_eq!(requests.try_hedge(PEER, 0), Err(HedgeRefusal::Budget));
}

/// Guards against more work for a service that refuses work already, here or at another agent.
#[rstest]
#[case::own_admission(FailureReason::Refused(ResultCode::Overloaded), true)]
#[case::target(FailureReason::TargetShed, true)]
#[case::other_admission(FailureReason::RelayRefused(ResultCode::Overloaded), true)]
#[case::other_target(FailureReason::RelayRefused(ResultCode::TargetShed), true)]
#[case::lost(FailureReason::TargetLost, false)]
#[case::draining(FailureReason::RelayRefused(ResultCode::Draining), false)]
fn no_second_copy_in_the_second_after_a_refusal_for_load(
    #[case] failure: FailureReason,
    #[case] is_overload: bool,
) {
    let (mut requests, _) = hedging(100, 10);
    for _ in 0..3 {
        requests.hedge_delay_ms(GET, 0);
    }
    requests.record_failure(failure, 100);
    let expected = if is_overload {
        Err(HedgeRefusal::Overload)
    } else {
        Ok(2)
    };
    assert_eq!(requests.try_hedge(PEER, 1_099), expected);
    assert_eq!(requests.try_hedge(PEER, 1_100), Ok(2));
}

/// Guards against a refusal that costs the retry budget something.
#[test]
fn copy_without_an_agent_costs_nothing() {
    let (mut requests, _) = hedging(100, 10);
    requests.hedge_delay_ms(GET, 0);
    let nobody: Option<u8> = None;
    let budget = requests.view().retry_tokens;
    assert_eq!(
        requests.try_hedge(nobody, 0),
        Err(HedgeRefusal::NoCandidate)
    );
    assert_eq!(requests.view().retry_tokens, budget);
    assert_eq!(requests.try_hedge(PEER, 0), Ok(2));
}

/// Guards against second copies to cold targets, whose agents announce a lower weight.
#[test]
fn agents_of_low_weight_get_no_second_copies() {
    let record = |number, weight| AgentRecord {
        address: agent(number),
        service: ServiceId(1),
        domain: DomainId(1),
        incarnation: Incarnation(1),
        revision: 1,
        weight,
        phase: AgentPhase::Serving,
    };
    let chosen = hedge_peers(&[record(1, 16), record(2, 7), record(3, 8), record(4, 0)]);
    let chosen: Vec<_> = chosen.into_iter().map(|peer| peer.address).collect();
    assert_eq!(chosen, [agent(1), agent(3)]);
    assert!(hedge_peers(&[]).is_empty());
}

/// Guards against a caller that is told that its request did not run because one of two copies did
/// not.
#[rstest]
#[case::sent_and_lost(true, FailureReason::RelayLost, true)]
#[case::never_sent(false, FailureReason::TargetLost, false)]
#[case::refused_there(true, FailureReason::RelayRefused(ResultCode::Overloaded), false)]
fn lost_copy_may_have_run(
    #[case] sent: bool,
    #[case] failure: FailureReason,
    #[case] may_run: bool,
) {
    assert_eq!(may_have_run(sent, failure), may_run);
}
