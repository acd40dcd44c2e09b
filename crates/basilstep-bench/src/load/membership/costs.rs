//! Processor time per message and memory per member, as slopes for capacity planning.

use super::fleet::{Fleet, Node, TARGET_SIZE};
use crate::load::processes::own_resident_bytes;
use basilstep_core::{
    address::BalancerAddress,
    membership::{
        Announcer, BalancerRecord, Gossip, MemberRecord, Membership, MembershipAction,
        MembershipMessage, MembershipSettings,
    },
};
use serde_json::{Value, json};
use std::time::Instant;

const VIEW_COPIES: usize = 100;
const MESSAGES: u32 = 100_000;

/// Measures at the target size, on one thread.
pub fn measure() -> Value {
    let mut fleet = Fleet::with_full_views(TARGET_SIZE, MembershipSettings::default(), 1);
    let members = fleet.nodes.len();
    let Node::Balancer(view) = fleet.nodes[0].clone() else {
        return Value::Null;
    };
    let before = own_resident_bytes();
    let copies = vec![view.clone(); VIEW_COPIES];
    let bytes_per_view = own_resident_bytes().saturating_sub(before) / VIEW_COPIES;
    drop(copies);
    fleet.run_until(fleet.now_ms() + 5_000);
    let agent = fleet.record(TARGET_SIZE.balancers);
    let Node::Balancer(mut view) = fleet.nodes[0].clone() else {
        return Value::Null;
    };
    json!({
        "members": members,
        "bytes_a_view": bytes_per_view,
        "bytes_a_member": bytes_per_view / members,
        "announcement_us": announcement_us(&mut view, &mut fleet, agent),
        "empty_gossip_us": gossip_us(&mut view, &mut fleet),
        "tick_us": tick_us(&mut view, &mut fleet),
    })
}

fn announcement_us(view: &mut Membership, fleet: &mut Fleet, agent: MemberRecord) -> f64 {
    let mut announcer = Announcer::new(MembershipSettings::default(), agent);
    announcer.add_balancers(&[BalancerRecord {
        address: BalancerAddress(view.own_record().address),
        domain: view.own_record().domain,
        incarnation: view.own_record().incarnation,
    }]);
    let Some(message) = first_message(&announcer.on_tick(&mut fleet.ctx)) else {
        return f64::NAN;
    };
    mean_us(|| {
        view.on_datagram(agent.address, &message, &mut fleet.ctx);
    })
}

fn first_message(actions: &[MembershipAction]) -> Option<MembershipMessage> {
    actions.iter().find_map(|action| match action {
        MembershipAction::Send { message, .. } => Some(message.clone()),
        _ => None,
    })
}

fn gossip_us(view: &mut Membership, fleet: &mut Fleet) -> f64 {
    let from = fleet.address(1);
    let message = MembershipMessage::Gossip(Gossip {
        digest: 0,
        members: 0,
        settings_version: 0,
        store_age_ms: None,
        domains: Vec::new(),
        records: Vec::new(),
        evidence: Vec::new(),
    });
    mean_us(|| {
        view.on_datagram(from, &message, &mut fleet.ctx);
    })
}

fn tick_us(view: &mut Membership, fleet: &mut Fleet) -> f64 {
    mean_us(|| {
        view.on_tick(&mut fleet.ctx);
    })
}

fn mean_us(mut step: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..MESSAGES {
        step();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(MESSAGES)
}
