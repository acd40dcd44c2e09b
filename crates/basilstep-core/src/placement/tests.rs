use super::{
    Load, MAX_COMPARE_HOPS, OfferDecision, Offered, OwnLoad, PlacementSettings, RecentOffers,
    ServiceTargets, decide,
};
use crate::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    codes::ResultCode,
    context::Context,
    membership::{AgentPhase, AgentRecord},
    settings::DomainSet,
    wire::{Candidates, Leg},
};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

const SERVICE: ServiceId = ServiceId(7);

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, number), 7_000))
}

fn caller() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 50_000))
}

fn record(number: u8) -> AgentRecord {
    AgentRecord {
        address: agent(number),
        service: SERVICE,
        domain: DomainId(number % 3),
        incarnation: Incarnation(1),
        revision: 1,
        weight: 1,
        phase: AgentPhase::Serving,
    }
}

fn own(number: u8, flows: u32) -> OwnLoad {
    OwnLoad {
        address: agent(number),
        flows,
        flow_limit: 2_000,
        weight: 1,
        closed: None,
    }
}

fn offer(first: u8, second: Option<u8>) -> Leg {
    let candidates = Candidates {
        first: agent(first),
        second: second.map(agent),
    };
    Leg::Offer { candidates }
}

fn compare(from: u8, flows: u32) -> Leg {
    Leg::Compare {
        from: agent(from),
        load: Load::of(flows + 1, 1),
        hops: 1,
    }
}

fn unwilling(from: u8) -> Leg {
    Leg::Compare {
        from: agent(from),
        load: Load::UNWILLING,
        hops: 1,
    }
}

fn recent() -> RecentOffers {
    RecentOffers::new(PlacementSettings::default(), &mut Context::new(1))
}

fn step(leg: Leg, own: &OwnLoad, recent: &mut RecentOffers, now_ms: u64) -> OfferDecision {
    let offered = Offered {
        caller: caller(),
        connection_id: b"first-id",
        leg,
    };
    decide(&offered, own, recent, now_ms)
}

fn ask(other: u8, flows: u32) -> OfferDecision {
    OfferDecision::CompareWith {
        other: agent(other),
        load: Load::of(flows + 1, 1),
        hops: 1,
    }
}

#[rstest]
#[case::alone(offer(1, None), OfferDecision::Take)]
#[case::named_twice(offer(1, Some(1)), OfferDecision::Take)]
#[case::asks_the_second(offer(1, Some(2)), ask(2, 10))]
#[case::less_loaded(compare(2, 11), OfferDecision::Take)]
#[case::equal(compare(2, 10), OfferDecision::HandBack { to: agent(2) })]
#[case::more_loaded(compare(2, 9), OfferDecision::HandBack { to: agent(2) })]
#[case::must_take(Leg::Take, OfferDecision::Take)]
#[case::not_an_offer(Leg::Established, OfferDecision::Drop(ResultCode::Malformed))]
fn a_first_packet_is_decided_by_exact_load(#[case] leg: Leg, #[case] expected: OfferDecision) {
    assert_eq!(step(leg, &own(1, 10), &mut recent(), 0), expected);
}

#[rstest]
#[case::first_is_full(own(1, 2_000), offer(1, Some(2)), OfferDecision::CompareWith {
    other: agent(2), load: Load::UNWILLING, hops: 1,
})]
#[case::only_one_is_full(
    own(1, 2_000),
    offer(1, None),
    OfferDecision::Refuse(ResultCode::ConnectionsFull)
)]
#[case::second_is_full(own(1, 2_000), compare(2, 10), OfferDecision::HandBack { to: agent(2) })]
#[case::second_drains(
    OwnLoad { closed: Some(ResultCode::Draining), ..own(1, 0) },
    compare(2, 10),
    OfferDecision::HandBack { to: agent(2) }
)]
#[case::first_drains(own(1, 10), unwilling(2), OfferDecision::Take)]
#[case::both_are_full(
    own(1, 2_000),
    unwilling(2),
    OfferDecision::Refuse(ResultCode::ConnectionsFull)
)]
#[case::without_weight(
    OwnLoad { weight: 0, ..own(1, 0) },
    offer(1, None),
    OfferDecision::Refuse(ResultCode::TargetUnreachable)
)]
fn an_agent_that_takes_no_flow_hands_it_on(
    #[case] own: OwnLoad,
    #[case] leg: Leg,
    #[case] expected: OfferDecision,
) {
    assert_eq!(step(leg, &own, &mut recent(), 0), expected);
}

#[rstest]
#[case::small_target(4, 1, 20, 4, true)]
#[case::large_target(5, 1, 20, 4, false)]
fn unequal_targets_are_compared_by_weight(
    #[case] flows: u32,
    #[case] weight: u8,
    #[case] other_flows: u32,
    #[case] other_weight: u8,
    #[case] takes: bool,
) {
    let own = OwnLoad {
        weight,
        ..own(1, flows)
    };
    let leg = Leg::Compare {
        from: agent(2),
        load: Load::of(other_flows + 1, other_weight),
        hops: 1,
    };
    let decision = step(leg, &own, &mut recent(), 0);
    assert_eq!(decision == OfferDecision::Take, takes, "{decision:?}");
}

#[test]
fn a_second_packet_is_shown_with_the_load_of_the_first() {
    let mut recent = recent();
    assert_eq!(
        step(offer(1, Some(2)), &own(1, 10), &mut recent, 0),
        ask(2, 10)
    );
    let later = step(offer(1, Some(2)), &own(1, 99), &mut recent, 299);
    assert_eq!(later, ask(2, 10));
}

#[test]
fn a_retransmission_is_taken_when_the_second_is_dead() {
    let mut recent = recent();
    assert_eq!(
        step(offer(1, Some(2)), &own(1, 10), &mut recent, 0),
        ask(2, 10)
    );
    let later = step(offer(1, Some(2)), &own(1, 10), &mut recent, 1_000);
    assert_eq!(later, OfferDecision::Take);
}

#[test]
fn a_flow_that_was_handed_back_to_a_dead_agent_is_taken_in_the_end() {
    let mut recent = recent();
    let back = OfferDecision::HandBack { to: agent(2) };
    assert_eq!(step(compare(2, 9), &own(1, 10), &mut recent, 0), back);
    assert_eq!(step(offer(1, Some(3)), &own(1, 10), &mut recent, 100), back);
    assert_eq!(
        step(offer(1, Some(3)), &own(1, 10), &mut recent, 1_000),
        ask(2, 10)
    );
    let last = step(offer(1, Some(3)), &own(1, 10), &mut recent, 3_000);
    assert_eq!(last, OfferDecision::Take);
}

#[rstest]
#[case::offer_again(offer(1, Some(2)), 5_000)]
#[case::compare(compare(2, 0), 5_000)]
#[case::take(Leg::Take, 5_000)]
fn an_agent_that_holds_the_flow_keeps_it(#[case] leg: Leg, #[case] now_ms: u64) {
    let mut recent = recent();
    step(offer(1, None), &own(1, 10), &mut recent, 0);
    let full = own(1, 2_000);
    assert_eq!(step(leg, &full, &mut recent, now_ms), OfferDecision::Take);
}

#[test]
fn the_chain_of_comparisons_is_bounded() {
    let mut recent = recent();
    step(offer(1, Some(2)), &own(1, 10), &mut recent, 0);
    let leg = Leg::Compare {
        from: agent(3),
        load: Load::of(1, 1),
        hops: MAX_COMPARE_HOPS,
    };
    let decision = step(leg, &own(1, 10), &mut recent, 1);
    assert_eq!(decision, OfferDecision::Drop(ResultCode::HopLimit));
}

#[test]
fn flows_that_are_not_open_yet_count_as_load() {
    let mut recent = recent();
    step(offer(1, None), &own(1, 10), &mut recent, 0);
    let offered = Offered {
        caller: caller(),
        connection_id: b"other-id",
        leg: compare(2, 10),
    };
    let decision = decide(&offered, &own(1, 10), &mut recent, 0);
    assert_eq!(decision, OfferDecision::HandBack { to: agent(2) });
}

#[test]
fn targets_that_take_no_new_flows_are_left_out() {
    let mut out = DomainSet::default();
    out.insert(DomainId(0));
    let mut records: Vec<_> = (1..=5).map(record).collect();
    records[0].phase = AgentPhase::Draining;
    records[1].phase = AgentPhase::Down;
    let targets = ServiceTargets::arrange(SERVICE, &records, &out);
    assert_eq!(targets.len(), 2);
}

#[test]
fn a_flow_that_never_opens_counts_for_a_bounded_time() {
    let mut recent = recent();
    step(Leg::Take, &own(1, 10), &mut recent, 0);
    assert_eq!(recent.pending_flows(), 1);
    let settings = PlacementSettings::default();
    step(
        Leg::Established,
        &own(1, 10),
        &mut recent,
        settings.pending_ms,
    );
    assert_eq!((recent.pending_flows(), recent.len()), (0, 1));
    step(
        Leg::Established,
        &own(1, 10),
        &mut recent,
        settings.retention_ms,
    );
    assert!(recent.is_empty());
}

#[test]
fn a_flow_that_has_opened_is_pending_no_longer() {
    let mut recent = recent();
    step(Leg::Take, &own(1, 10), &mut recent, 0);
    recent.opened(&caller(), b"first-id");
    recent.opened(&caller(), b"first-id");
    assert_eq!(recent.pending_flows(), 0);
}

#[test]
fn the_record_of_offers_is_bounded_under_a_flood() {
    let settings = PlacementSettings {
        recent_limit: 10,
        ..PlacementSettings::default()
    };
    let mut recent = RecentOffers::new(settings, &mut Context::new(1));
    for number in 0..1_000_u32 {
        let offered = Offered {
            caller: caller(),
            connection_id: &number.to_be_bytes(),
            leg: offer(1, None),
        };
        decide(&offered, &own(1, 0), &mut recent, 0);
    }
    assert_eq!((recent.len(), recent.pending_flows()), (10, 10));
}

#[test]
fn each_target_is_drawn_in_proportion_to_its_weight() {
    let mut records: Vec<_> = (1..=3).map(record).collect();
    records[1].weight = 2;
    records[2].weight = 4;
    let targets = ServiceTargets::arrange(SERVICE, &records, &DomainSet::default());
    let mut first_draws = [0_u32; 4];
    for number in 0..7_000_u32 {
        let candidates = targets.candidates(&caller(), &number.to_be_bytes());
        let first = candidates.expect("three targets").first;
        first_draws[usize::from(first.0.ip().octets()[3])] += 1;
    }
    for (weight, draws) in [
        (1, first_draws[1]),
        (2, first_draws[2]),
        (4, first_draws[3]),
    ] {
        let expected = 1_000 * weight;
        assert!(draws.abs_diff(expected) < expected / 10, "{first_draws:?}");
    }
}

#[test]
fn the_latest_record_of_an_address_counts() {
    let old = record(1);
    let new = AgentRecord {
        revision: 2,
        phase: AgentPhase::Draining,
        ..old
    };
    let restarted = AgentRecord {
        incarnation: Incarnation(2),
        ..old
    };
    let len = |records: &[AgentRecord]| {
        ServiceTargets::arrange(SERVICE, records, &DomainSet::default()).len()
    };
    assert_eq!((len(&[old, new]), len(&[new, old])), (0, 0));
    assert_eq!(len(&[restarted, new, old]), 1);
}
