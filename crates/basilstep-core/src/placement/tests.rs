use super::{
    Load, OfferDecision, Offered, OwnLoad, PlacementSettings, RecentOffers, ServiceTargets, decide,
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
