use super::{OverflowRelays, OverflowSettings};
use crate::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    context::Context,
    membership::{AgentPhase, AgentRecord},
    settings::DomainSet,
};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddrV4};

const OUT: DomainId = DomainId(9);
const PAUSE_MIN_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 400;

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, number), 7_000))
}

fn record(number: u8, domain: DomainId, phase: AgentPhase) -> AgentRecord {
    AgentRecord {
        address: agent(number),
        service: ServiceId(1),
        domain,
        incarnation: Incarnation(1),
        revision: 1,
        weight: 16,
        phase,
    }
}

fn relays() -> OverflowRelays {
    OverflowRelays::new(OverflowSettings {
        pause_min_ms: PAUSE_MIN_MS,
        pause_max_ms: PAUSE_MAX_MS,
    })
}

fn pick_at(relays: &OverflowRelays, now_ms: u64) -> Option<AgentAddress> {
    let peers = [record(1, DomainId(1), AgentPhase::Serving)];
    let mut context = Context::new(1);
    context.now_ms = now_ms;
    relays.choose_peer(&peers, &DomainSet::default(), &mut context)
}

#[rstest]
#[case::serving(DomainId(1), AgentPhase::Serving, true)]
#[case::draining(DomainId(1), AgentPhase::Draining, false)]
#[case::stopped(DomainId(1), AgentPhase::Down, false)]
#[case::domain_out(OUT, AgentPhase::Serving, false)]
fn only_serving_agents_of_domains_that_are_in_get_overflow(
    #[case] domain: DomainId,
    #[case] phase: AgentPhase,
    #[case] is_picked: bool,
) {
    let mut out = DomainSet::default();
    out.insert(OUT);
    let peers = [record(1, domain, phase)];
    let picked = relays().choose_peer(&peers, &out, &mut Context::new(1));
    assert_eq!(picked.is_some(), is_picked);
}

#[test]
fn agent_that_refused_is_skipped_for_doubling_pauses_up_to_a_limit() {
    let mut relays = relays();
    let mut now_ms = 0;
    for pause_ms in [100, 200, 400, 400] {
        relays.on_refusal(agent(1), now_ms);
        assert_eq!(pick_at(&relays, now_ms + pause_ms - 1), None);
        now_ms += pause_ms;
        assert_eq!(pick_at(&relays, now_ms), Some(agent(1)));
    }
}

#[test]
fn refusals_during_a_pause_count_once() {
    let mut relays = relays();
    relays.on_refusal(agent(1), 0);
    relays.on_refusal(agent(1), 50);
    assert_eq!(pick_at(&relays, PAUSE_MIN_MS), Some(agent(1)));
}

#[test]
fn each_answer_halves_the_next_pause() {
    let mut relays = relays();
    relays.on_refusal(agent(1), 0);
    relays.on_refusal(agent(1), 100);
    relays.on_refusal(agent(1), 300);
    relays.on_answer(agent(1));
    assert_eq!(pick_at(&relays, 699), None, "a running pause is kept");
    relays.on_answer(agent(1));
    relays.on_refusal(agent(1), 700);
    assert_eq!(pick_at(&relays, 899), None);
    assert_eq!(pick_at(&relays, 900), Some(agent(1)));
}

#[test]
fn an_answer_after_one_refusal_ends_the_pause() {
    let mut relays = relays();
    relays.on_refusal(agent(1), 0);
    relays.on_answer(agent(1));
    assert_eq!(pick_at(&relays, 1), Some(agent(1)));
    assert_eq!(relays.refusing_peer_count(), 0);
}

#[test]
fn old_refusals_are_forgotten() {
    let mut relays = relays();
    for number in 0..50 {
        relays.on_refusal(agent(number), u64::from(number) * 2 * PAUSE_MAX_MS);
        assert!(relays.refusing_peer_count() <= 1);
    }
}
