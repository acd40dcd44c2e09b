//! Members that have left, and processes that were paused meanwhile and still know them.

use super::{Fleet, Gossip, MemberRecord, STEP_MS, agent, balancer, three_agents};
use crate::{
    address::Incarnation,
    membership::{
        AgentPhase, BalancerRecord, Membership, MembershipAction, MembershipMessage,
        MembershipSettings, messages::BucketStates,
    },
};
use rstest::rstest;
use std::{collections::BTreeSet, net::SocketAddrV4};

/// The time within which a resumed balancer learns what it has missed, and members that only it knows
/// are probed.
const REMOVED_WITHIN_MS: u64 = 5_000;

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
    for _ in 0..REMOVED_WITHIN_MS / STEP_MS {
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
fn agent_that_has_left_is_removed_although_only_a_paused_balancer_knows_it(
    #[case] departure: Departure,
) {
    let mut fleet = fleet_without_the_agent(departure);
    let left = agent(1, 0).address.0;
    for index in [1, 3, 4, 5, 6] {
        restart(&mut fleet, index);
    }
    fleet.run_ms(3_000);
    fleet.stopped.remove(&frozen());
    fleet.run_ms(REMOVED_WITHIN_MS);
    assert_eq!(fleet.live_views(left), 0);
}

/// A fleet after a pause of one balancer in which nothing was received.
fn fleet_after_a_pause() -> Fleet {
    let mut fleet = Fleet::settled(6, &three_agents());
    fleet.ctx.advance(20_000);
    fleet
}

/// Guards against a view from before a pause that is spread in reply to a message, before a peer's
/// view has been merged.
#[test]
fn resumed_balancer_does_not_spread_its_view_in_reply_to_a_message() {
    let mut fleet = fleet_after_a_pause();
    let mut moved = agent(1, 0);
    moved.revision = 1;
    let gossip = MembershipMessage::Gossip(Gossip {
        digest: 0,
        members: 0,
        settings_version: 0,
        store_age_ms: None,
        domains: Vec::new(),
        records: vec![MemberRecord::from(moved)],
        evidence: Vec::new(),
    });
    let digests = MembershipMessage::BucketDigests {
        digests: vec![[0; 2]; 256],
    };
    let states = MembershipMessage::BucketStates(BucketStates {
        buckets: (0..=u8::MAX).collect(),
        ..BucketStates::default()
    });
    let view = fleet.balancers.get_mut(&frozen()).unwrap();
    let mut actions = Vec::new();
    // The contents of gossip count only from 200 ms after the pause on.
    view.on_tick(&mut fleet.ctx);
    fleet.ctx.advance(300);
    for message in [gossip, digests, states] {
        actions.extend(view.on_datagram(balancer(1).address.0, &message, &mut fleet.ctx));
    }
    let spread = actions.iter().filter(|action| {
        matches!(
            action,
            MembershipAction::Send {
                message: MembershipMessage::Gossip(_)
                    | MembershipMessage::BucketStates(_)
                    | MembershipMessage::Difference(_),
                ..
            }
        )
    });
    assert_eq!(spread.count(), 0, "{actions:?}");
}

/// Guards against an agent that has left and is never probed, because the first view of a peer
/// arrives late after a pause.
#[test]
fn unknown_members_are_probed_although_the_first_view_of_a_peer_is_late() {
    let mut fleet = fleet_after_a_pause();
    let left = agent(1, 0).address.0;
    let mut peers_view = fleet.balancers[&balancer(1).address.0]
        .snapshot(fleet.ctx.now_ms)
        .unwrap();
    peers_view
        .members
        .retain(|member| member.record.address != left);
    let view = fleet.balancers.get_mut(&frozen()).unwrap();
    for _ in 0..6 {
        view.on_tick(&mut fleet.ctx);
        fleet.ctx.advance(800);
    }
    view.merge_snapshot(&peers_view, &mut fleet.ctx);
    let mut probed = BTreeSet::new();
    for _ in 0..30 {
        fleet.ctx.advance(STEP_MS);
        for action in view.on_tick(&mut fleet.ctx) {
            if let MembershipAction::Send {
                to,
                message: MembershipMessage::Probe,
            } = action
            {
                probed.insert(to);
            }
        }
    }
    assert!(probed.contains(&left), "{probed:?}");
}

/// Guards against a member that has left and comes back at a balancer that joins, through the view
/// of one that was paused meanwhile.
#[test]
fn view_from_before_a_pause_is_no_snapshot_until_a_peers_view_is_merged() {
    let mut fleet = fleet_after_a_pause();
    let peers_view = fleet.balancers[&balancer(1).address.0]
        .snapshot(fleet.ctx.now_ms)
        .unwrap();
    let view = fleet.balancers.get_mut(&frozen()).unwrap();
    view.on_tick(&mut fleet.ctx);
    assert!(view.snapshot(fleet.ctx.now_ms).is_none());
    view.merge_snapshot(&peers_view, &mut fleet.ctx);
    assert!(view.snapshot(fleet.ctx.now_ms).is_some());
}
