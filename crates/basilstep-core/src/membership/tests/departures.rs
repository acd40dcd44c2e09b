//! Members that have left, and processes that were paused meanwhile and still know them.

use super::{Fleet, STEP_MS, agent, balancer, three_agents};
use crate::{
    address::Incarnation,
    membership::{AgentPhase, BalancerRecord, Membership, MembershipSettings},
};
use rstest::rstest;
use std::net::SocketAddrV4;

/// The time within which a paused process learns again what it has missed, and the others dispel
/// what it still believes.
const DISPELLED_WITHIN_MS: u64 = 5_000;

/// How an agent has left while a balancer was paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Departure {
    Announced,
    Crashed,
}

fn frozen() -> SocketAddrV4 {
    balancer(2).address.0
}

/// A fleet in which an agent has left while one balancer was paused.
fn fleet_without_the_agent(departure: Departure) -> Fleet {
    let mut fleet = Fleet::settled(6, &three_agents());
    fleet.stopped.insert(frozen());
    let leaving = agent(1, 0).address.0;
    if departure == Departure::Announced {
        let announcer = fleet.agents.get_mut(&leaving).unwrap();
        let actions = announcer.set_phase(AgentPhase::Down, &fleet.ctx);
        fleet.execute(leaving, actions);
        fleet.run_ms(2_000);
    }
    fleet.stopped.insert(leaving);
    fleet.run_ms(20_000);
    assert_eq!(fleet.live_views(leaving), 0);
    fleet
}

/// Replaces a balancer by its next incarnation, which knows nothing.
fn restart(fleet: &mut Fleet, index: u8) {
    let mut record = balancer(index);
    record.incarnation = Incarnation(2);
    let mut fresh = Membership::new(MembershipSettings::default(), record, &mut fleet.ctx);
    let listed: Vec<BalancerRecord> = (1..=6).map(balancer).collect();
    fresh.on_balancer_list(&listed, &mut fleet.ctx);
    fleet.balancers.insert(record.address.0, fresh);
}

/// Guards against an agent that has left and is placed again at balancers that were not paused.
#[rstest]
#[case::announced(Departure::Announced)]
#[case::crashed(Departure::Crashed)]
fn agent_that_has_left_comes_back_at_no_balancer_that_was_not_paused(#[case] departure: Departure) {
    let mut fleet = fleet_without_the_agent(departure);
    let left = agent(1, 0).address.0;
    fleet.stopped.remove(&frozen());
    for _ in 0..DISPELLED_WITHIN_MS / STEP_MS {
        fleet.run_ms(STEP_MS);
        let others = (1..=6).map(|index| balancer(index).address.0);
        for at in others.filter(|at| *at != frozen()) {
            assert!(!fleet.is_live_at(left, at));
        }
    }
    assert_eq!(fleet.live_views(left), 0);
}

/// Guards against an agent that has left and stays in placement, because all balancers that knew of
/// its departure have restarted.
#[rstest]
#[case::announced(Departure::Announced)]
#[case::crashed(Departure::Crashed)]
fn agent_that_has_left_is_dispelled_although_only_a_paused_balancer_knows_it(
    #[case] departure: Departure,
) {
    let mut fleet = fleet_without_the_agent(departure);
    let left = agent(1, 0).address.0;
    for index in [1, 3, 4, 5, 6] {
        restart(&mut fleet, index);
    }
    fleet.run_ms(3_000);
    fleet.stopped.remove(&frozen());
    fleet.run_ms(DISPELLED_WITHIN_MS);
    assert_eq!(fleet.live_views(left), 0);
}
