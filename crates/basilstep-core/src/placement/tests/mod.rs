//! Tests of the decisions of one agent.

mod chain;
mod targets;

use super::{
    Load, MAX_COMPARE_HOPS, OfferDecision, OfferedPacket, OwnLoad, PlacementSettings, RecentOffers,
    acknowledge_offer, decide_offer,
};
use crate::{
    address::AgentAddress,
    codes::ResultCode,
    context::Context,
    wire::{Candidates, CarrierPurpose},
};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, number), 7_000))
}

fn caller() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 50_000))
}

fn own(number: u8, flows: u32) -> OwnLoad {
    OwnLoad {
        address: agent(number),
        flows,
        flow_limit: 2_000,
        weight: 1,
        flow_refusal: None,
    }
}

fn offer(numbers: &[u8]) -> CarrierPurpose {
    let mut agents = numbers.iter().copied().map(agent);
    let candidates = Candidates {
        first: agents.next().expect("a first candidate"),
        second: agents.next(),
        third: agents.next(),
    };
    CarrierPurpose::Offer { candidates }
}

fn compare(best: u8, flows: u32, next: Option<u8>) -> CarrierPurpose {
    CarrierPurpose::Compare {
        from: agent(best),
        best: agent(best),
        load: Load::of(flows + 1, 1),
        next: next.map(agent),
        hops: 1,
    }
}

fn no_new_flows(best: u8) -> CarrierPurpose {
    CarrierPurpose::Compare {
        from: agent(best),
        best: agent(best),
        load: Load::NO_NEW_FLOWS,
        next: None,
        hops: 1,
    }
}

fn recent() -> RecentOffers {
    RecentOffers::new(PlacementSettings::default(), &mut Context::new(1))
}

fn step(
    purpose: CarrierPurpose,
    own: &OwnLoad,
    recent: &mut RecentOffers,
    now_ms: u64,
) -> OfferDecision {
    let offered = OfferedPacket {
        caller: caller(),
        connection_id: b"first-id",
        purpose,
    };
    decide_offer(&offered, own, recent, now_ms)
}

fn compared(to: u8, best: u8, flows: u32, next: Option<u8>) -> OfferDecision {
    OfferDecision::Compare {
        to: agent(to),
        best: agent(best),
        load: Load::of(flows + 1, 1),
        next: next.map(agent),
        hops: 1,
    }
}

fn compared_onward(to: u8, best: u8, flows: u32) -> OfferDecision {
    OfferDecision::Compare {
        to: agent(to),
        best: agent(best),
        load: Load::of(flows + 1, 1),
        next: None,
        hops: 2,
    }
}

#[rstest]
#[case::alone(offer(&[1]), OfferDecision::Accept)]
#[case::listed_more_than_once(offer(&[1, 1, 1]), OfferDecision::Accept)]
#[case::compares_with_the_second(offer(&[1, 2]), compared(2, 1, 10, None))]
#[case::sends_the_third_along(offer(&[1, 2, 3]), compared(2, 1, 10, Some(3)))]
#[case::skips_itself(offer(&[2, 1, 3]), compared(3, 1, 10, None))]
#[case::less_loaded(compare(2, 11, None), OfferDecision::Accept)]
#[case::equal(compare(2, 10, None), OfferDecision::Accept)]
#[case::more_loaded(compare(2, 9, None), OfferDecision::Assign { to: agent(2) })]
#[case::less_loaded_compares_onward(compare(2, 11, Some(3)), compared_onward(3, 1, 10))]
#[case::equal_compares_onward(compare(2, 10, Some(3)), compared_onward(3, 1, 10))]
#[case::more_loaded_compares_onward(compare(2, 9, Some(3)), compared_onward(3, 2, 9))]
#[case::next_is_itself(compare(2, 9, Some(1)), OfferDecision::Assign { to: agent(2) })]
#[case::assigned(CarrierPurpose::Assign, OfferDecision::Accept)]
#[case::not_an_offer(
    CarrierPurpose::Established,
    OfferDecision::Drop(ResultCode::Malformed)
)]
fn a_first_packet_is_decided_by_exact_load(
    #[case] purpose: CarrierPurpose,
    #[case] expected: OfferDecision,
) {
    assert_eq!(step(purpose, &own(1, 10), &mut recent(), 0), expected);
}

#[rstest]
#[case::first_is_full(own(1, 2_000), offer(&[1, 2]), OfferDecision::Compare {
    to: agent(2), best: agent(1), load: Load::NO_NEW_FLOWS, next: None, hops: 1,
})]
#[case::only_one_is_full(
    own(1, 2_000),
    offer(&[1]),
    OfferDecision::Refuse(ResultCode::ConnectionsFull)
)]
#[case::second_is_full(own(1, 2_000), compare(2, 10, None), OfferDecision::Assign { to: agent(2) })]
#[case::second_drains(
    OwnLoad { flow_refusal: Some(ResultCode::Draining), ..own(1, 0) },
    compare(2, 10, None),
    OfferDecision::Assign { to: agent(2) }
)]
#[case::first_drains(own(1, 10), no_new_flows(2), OfferDecision::Accept)]
#[case::both_are_full(
    own(1, 2_000),
    no_new_flows(2),
    OfferDecision::Refuse(ResultCode::ConnectionsFull)
)]
#[case::without_weight(
    OwnLoad { weight: 0, ..own(1, 0) },
    offer(&[1]),
    OfferDecision::Refuse(ResultCode::TargetUnreachable)
)]
fn an_agent_that_accepts_no_flow_passes_it_to_another(
    #[case] own: OwnLoad,
    #[case] purpose: CarrierPurpose,
    #[case] expected: OfferDecision,
) {
    assert_eq!(step(purpose, &own, &mut recent(), 0), expected);
}

#[rstest]
#[case::small_target(4, 1, 20, 4, true)]
#[case::large_target(5, 1, 20, 4, false)]
fn unequal_targets_are_compared_by_weight(
    #[case] flows: u32,
    #[case] weight: u8,
    #[case] other_flows: u32,
    #[case] other_weight: u8,
    #[case] accepts: bool,
) {
    let own = OwnLoad {
        weight,
        ..own(1, flows)
    };
    let purpose = CarrierPurpose::Compare {
        from: agent(2),
        best: agent(2),
        next: None,
        load: Load::of(other_flows + 1, other_weight),
        hops: 1,
    };
    let decision = step(purpose, &own, &mut recent(), 0);
    assert_eq!(decision == OfferDecision::Accept, accepts, "{decision:?}");
}

#[test]
fn a_second_packet_is_compared_with_the_load_of_the_first() {
    let mut recent = recent();
    assert_eq!(
        step(offer(&[1, 2]), &own(1, 10), &mut recent, 0),
        compared(2, 1, 10, None)
    );
    let later = step(offer(&[1, 2]), &own(1, 99), &mut recent, 299);
    assert_eq!(later, compared(2, 1, 10, None));
}

#[test]
fn a_retransmission_is_accepted_when_the_second_is_dead() {
    let mut recent = recent();
    assert_eq!(
        step(offer(&[1, 2]), &own(1, 10), &mut recent, 0),
        compared(2, 1, 10, None)
    );
    let later = step(offer(&[1, 2]), &own(1, 10), &mut recent, 1_000);
    assert_eq!(later, OfferDecision::Accept);
}

#[test]
fn a_flow_that_was_assigned_to_a_dead_agent_is_eventually_accepted() {
    let mut recent = recent();
    let assigned = OfferDecision::Assign { to: agent(2) };
    assert_eq!(
        step(compare(2, 9, None), &own(1, 10), &mut recent, 0),
        assigned
    );
    assert_eq!(
        step(offer(&[1, 3]), &own(1, 10), &mut recent, 100),
        assigned
    );
    assert_eq!(
        step(offer(&[1, 3]), &own(1, 10), &mut recent, 1_000),
        compared(2, 1, 10, None)
    );
    let last = step(offer(&[1, 3]), &own(1, 10), &mut recent, 3_000);
    assert_eq!(last, OfferDecision::Accept);
}

#[rstest]
#[case::offer_again(offer(&[1, 2]), 5_000)]
#[case::compare(compare(2, 0, None), 5_000)]
#[case::assigned(CarrierPurpose::Assign, 5_000)]
fn an_agent_that_holds_the_flow_keeps_it(#[case] purpose: CarrierPurpose, #[case] now_ms: u64) {
    let mut recent = recent();
    step(offer(&[1]), &own(1, 10), &mut recent, 0);
    let full = own(1, 2_000);
    assert_eq!(
        step(purpose, &full, &mut recent, now_ms),
        OfferDecision::Accept
    );
}

#[test]
fn the_chain_of_comparisons_is_bounded() {
    let mut recent = recent();
    step(offer(&[1, 2]), &own(1, 10), &mut recent, 0);
    let purpose = CarrierPurpose::Compare {
        from: agent(3),
        best: agent(3),
        load: Load::of(1, 1),
        next: None,
        hops: MAX_COMPARE_HOPS,
    };
    let decision = step(purpose, &own(1, 10), &mut recent, 1);
    assert_eq!(decision, OfferDecision::Drop(ResultCode::HopLimit));
}

#[test]
fn flows_that_are_not_open_yet_count_as_load() {
    let mut recent = recent();
    step(offer(&[1]), &own(1, 10), &mut recent, 0);
    let offered = OfferedPacket {
        caller: caller(),
        connection_id: b"other-id",
        purpose: compare(2, 10, None),
    };
    let decision = decide_offer(&offered, &own(1, 10), &mut recent, 0);
    assert_eq!(decision, OfferDecision::Assign { to: agent(2) });
}

#[test]
fn a_flow_that_never_opens_counts_for_a_bounded_time() {
    let mut recent = recent();
    step(CarrierPurpose::Assign, &own(1, 10), &mut recent, 0);
    assert_eq!(recent.pending_flows(), 1);
    let settings = PlacementSettings::default();
    step(
        CarrierPurpose::Established,
        &own(1, 10),
        &mut recent,
        settings.pending_ms,
    );
    assert_eq!((recent.pending_flows(), recent.len()), (0, 1));
    step(
        CarrierPurpose::Established,
        &own(1, 10),
        &mut recent,
        settings.retention_ms,
    );
    assert!(recent.is_empty());
}

#[test]
fn a_flow_that_has_opened_is_no_longer_pending() {
    let mut recent = recent();
    step(CarrierPurpose::Assign, &own(1, 10), &mut recent, 0);
    recent.note_opened(&caller(), b"first-id");
    recent.note_opened(&caller(), b"first-id");
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
        let offered = OfferedPacket {
            caller: caller(),
            connection_id: &number.to_be_bytes(),
            purpose: offer(&[1]),
        };
        decide_offer(&offered, &own(1, 0), &mut recent, 0);
    }
    assert_eq!((recent.len(), recent.pending_flows()), (10, 10));
}

/// Decides on an offer of a different flow than [`step`].
fn step_other(purpose: CarrierPurpose, recent: &mut RecentOffers, now_ms: u64) -> OfferDecision {
    let offered = OfferedPacket {
        caller: caller(),
        connection_id: b"other-id",
        purpose,
    };
    decide_offer(&offered, &own(1, 10), recent, now_ms)
}

#[rstest]
#[case::not_yet(offer(&[1, 2, 3]), 99, compared(2, 1, 10, Some(3)))]
#[case::the_second(offer(&[1, 2, 3]), 100, compared(3, 1, 10, None))]
#[case::the_third(offer(&[1, 3, 2]), 100, compared(3, 1, 10, None))]
#[case::the_only_one(offer(&[1, 2]), 100, OfferDecision::Accept)]
#[case::the_next(compare(3, 0, Some(2)), 100, OfferDecision::Assign { to: agent(3) })]
#[case::tried_again(offer(&[1, 2, 3]), 5_000, compared(2, 1, 10, Some(3)))]
fn an_agent_that_does_not_acknowledge_is_skipped(
    #[case] purpose: CarrierPurpose,
    #[case] now_ms: u64,
    #[case] expected: OfferDecision,
) {
    let mut recent = recent();
    step(offer(&[1, 2]), &own(1, 10), &mut recent, 0);
    assert_eq!(step_other(purpose, &mut recent, now_ms), expected);
}

#[test]
fn an_acknowledgement_shows_that_an_agent_is_alive() {
    let mut recent = recent();
    step(offer(&[1, 2]), &own(1, 10), &mut recent, 0);
    recent.note_acknowledged(agent(2));
    let decision = step_other(offer(&[1, 2]), &mut recent, 100);
    assert_eq!(decision, compared(2, 1, 10, None));
}

#[test]
fn an_offer_shows_that_its_sender_is_alive() {
    let mut recent = recent();
    step(offer(&[1, 2]), &own(1, 10), &mut recent, 0);
    let third_flow = OfferedPacket {
        caller: caller(),
        connection_id: b"third-id",
        purpose: compare(2, 9, None),
    };
    decide_offer(&third_flow, &own(1, 10), &mut recent, 200);
    let decision = step_other(offer(&[1, 2]), &mut recent, 300);
    assert_eq!(decision, compared(2, 1, 10, None));
}

#[test]
fn each_comparison_is_acknowledged_to_its_sender() {
    let seen =
        acknowledge_offer(&compare(2, 10, None), agent(1)).map(|seen| (seen.to, seen.purpose));
    assert_eq!(
        seen,
        Some((agent(2), CarrierPurpose::CompareAck { by: agent(1) }))
    );
    assert_eq!(acknowledge_offer(&offer(&[1, 2]), agent(1)), None);
}

#[test]
fn an_unresponsive_agent_is_reported_once_until_it_responds() {
    let mut recent = recent();
    step(offer(&[1, 2]), &own(1, 10), &mut recent, 0);
    assert_eq!(recent.take_unresponsive(99), []);
    assert_eq!(recent.take_unresponsive(100), [agent(2)]);
    assert_eq!(recent.take_unresponsive(1_000), []);
    recent.note_acknowledged(agent(2));
    step_other(offer(&[1, 2]), &mut recent, 1_000);
    assert_eq!(recent.take_unresponsive(1_100), [agent(2)]);
}

#[test]
fn an_agent_that_acknowledges_is_not_reported() {
    let mut recent = recent();
    step(offer(&[1, 2]), &own(1, 10), &mut recent, 0);
    recent.note_acknowledged(agent(2));
    assert_eq!(recent.take_unresponsive(1_000), []);
}

#[test]
fn reports_of_many_unresponsive_agents_are_spread_over_time() {
    let mut recent = recent();
    for second in 2..=6_u8 {
        let offered = OfferedPacket {
            caller: caller(),
            connection_id: &[second],
            purpose: offer(&[1, second]),
        };
        decide_offer(&offered, &own(1, 10), &mut recent, 0);
    }
    let reported =
        [100, 200, 600, 1_100, 1_600].map(|now_ms| recent.take_unresponsive(now_ms).len());
    assert_eq!(reported, [2, 0, 2, 1, 0]);
}
