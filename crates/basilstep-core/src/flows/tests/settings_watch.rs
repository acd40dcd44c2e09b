//! Which balancers ask the store: a few in calm, and whatever fails, each balancer that reaches the
//! store has a change in force in time.

use super::{FLOW_MAX_AGE_MS, fleet_settings, revision, service_address};
use crate::{
    address::DomainId,
    context::Context,
    flows::{
        BalancerFlows, FleetSettings, FlowSettings, ProcessIncarnation, Recipients, RequestKind,
        StoreRevision,
        balancer::{BalancerIdentity, WatchTimes},
    },
};
use rstest::rstest;
use std::{collections::BTreeSet, net::Ipv4Addr};

const STEP_MS: u64 = 50;
const HEARTBEAT_STEPS: u64 = 5;
const RETRY_MS: u64 = 250;
const DOMAINS: u8 = 3;

/// A call that waits at the store.
#[derive(Clone, Copy, Debug)]
struct Watch {
    sent_ms: u64,
    until_ms: u64,
    seen: StoreRevision,
}

#[derive(Clone, Debug)]
struct Node {
    ip: Ipv4Addr,
    flows: BalancerFlows,
    watch: Option<Watch>,
    retry_at_ms: u64,
    is_running: bool,
    /// A frozen process does nothing; what is sent to it waits.
    is_frozen: bool,
    reaches_store: bool,
    /// Only processes of the same side reach each other.
    side: u8,
}

/// Balancers and a store whose configuration changes.
#[derive(Clone, Debug)]
struct Cluster {
    now_ms: u64,
    times: WatchTimes,
    settings: FlowSettings,
    store: FleetSettings,
    nodes: Vec<Node>,
    calls: usize,
}

impl Cluster {
    fn start(balancers: u8, apply_limit_ms: u64) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            times: WatchTimes::for_apply_limit(apply_limit_ms),
            settings: FlowSettings::default(),
            store: fleet_settings(RequestKind::Idempotent),
            nodes: Vec::new(),
            calls: 0,
        };
        for number in 0..balancers {
            let ip = Ipv4Addr::new(10, 9, number % DOMAINS, number);
            let flows = cluster.new_flows(ip, u32::from(number));
            cluster.nodes.push(Node {
                ip,
                flows,
                watch: None,
                retry_at_ms: 0,
                is_running: true,
                is_frozen: false,
                reaches_store: true,
                side: 0,
            });
        }
        cluster
    }

    fn new_flows(&self, ip: Ipv4Addr, incarnation: u32) -> BalancerFlows {
        let own = BalancerIdentity {
            ip,
            domain: DomainId(ip.octets()[2]),
            incarnation: ProcessIncarnation(incarnation),
            watch_times: self.times,
            flow_max_age_ms: FLOW_MAX_AGE_MS,
        };
        BalancerFlows::new(self.settings, own, &self.context())
    }

    fn context(&self) -> Context {
        super::context(self.now_ms)
    }

    fn change(&mut self) {
        self.store.table.version += 1;
        self.store.revision.number += 7;
    }

    fn run(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            for place in 0..self.nodes.len() {
                if self.nodes[place].is_running && !self.nodes[place].is_frozen {
                    self.step(place);
                }
            }
            if (self.now_ms / STEP_MS).is_multiple_of(HEARTBEAT_STEPS) {
                self.exchange_heartbeats();
            }
        }
    }

    fn step(&mut self, place: usize) {
        let ctx = self.context();
        let node = &mut self.nodes[place];
        node.flows.on_tick(&ctx);
        let is_needed = node.flows.watches_settings(&ctx);
        let Some(watch) = node.watch else {
            if is_needed && self.now_ms >= node.retry_at_ms {
                self.calls += 1;
                self.list(place);
            }
            return;
        };
        if !node.reaches_store {
            if self.now_ms >= watch.until_ms + self.times.call_timeout_ms {
                node.watch = None;
                node.retry_at_ms = self.now_ms + RETRY_MS;
            }
            return;
        }
        if self.store.revision != watch.seen {
            node.flows.on_fleet_settings(self.store.clone(), &ctx);
            node.flows.on_settings_confirmed(watch.sent_ms);
        } else if self.now_ms >= watch.until_ms {
            node.flows.on_settings_confirmed(watch.until_ms);
        } else {
            return;
        }
        node.watch = None;
        if is_needed {
            self.calls += 1;
            self.watch(place);
        }
    }

    fn list(&mut self, place: usize) {
        let ctx = self.context();
        let node = &mut self.nodes[place];
        if !node.reaches_store {
            node.retry_at_ms = self.now_ms + self.times.call_timeout_ms + RETRY_MS;
            return;
        }
        node.flows.on_fleet_settings(self.store.clone(), &ctx);
        node.flows.on_settings_confirmed(self.now_ms);
        self.watch(place);
    }

    fn watch(&mut self, place: usize) {
        self.nodes[place].watch = Some(Watch {
            sent_ms: self.now_ms,
            until_ms: self.now_ms + self.times.wait_ms,
            seen: self.store.revision,
        });
    }

    fn exchange_heartbeats(&mut self) {
        let ctx = self.context();
        for sender in 0..self.nodes.len() {
            let from = &mut self.nodes[sender];
            if !from.is_running || from.is_frozen {
                continue;
            }
            let (ip, side) = (from.ip, from.side);
            let heartbeat = from.flows.heartbeat(&ctx);
            let fleet = from.flows.fleet().clone();
            let known = from.flows.due_heartbeats(Recipients::Scheduled, &ctx);
            for node in &mut self.nodes {
                let is_reached = node.is_running && !node.is_frozen && node.side == side;
                if !is_reached || node.ip == ip {
                    continue;
                }
                // At the start the store's list and the seeds introduce them to each other.
                if self.now_ms > 1_000 && !known.contains(&node.ip) {
                    continue;
                }
                node.flows.on_heartbeat(ip, &heartbeat, &ctx);
                let own = node.flows.fleet();
                if heartbeat.version > own.table.version || heartbeat.revision > own.revision {
                    node.flows.on_fleet_settings(fleet.clone(), &ctx);
                }
            }
        }
    }

    fn watching(&self) -> Vec<usize> {
        let ctx = self.context();
        (0..self.nodes.len())
            .filter(|place| self.nodes[*place].is_running)
            .filter(|place| self.nodes[*place].flows.watches_settings(&ctx))
            .collect()
    }

    /// Asserts that the store's version is in force wherever the store is reached.
    fn assert_in_force(&self) {
        for node in &self.nodes {
            if node.is_running && !node.is_frozen && node.reaches_store {
                let version = node.flows.fleet().table.version;
                assert_eq!(version, self.store.table.version, "at {}", node.ip);
            }
        }
    }
}

#[rstest]
#[case::small(5, 3_000)]
#[case::large(60, 5_000)]
#[case::short_limit(20, 1_500)]
#[case::long_limit(20, 12_000)]
fn few_balancers_watch_in_calm(#[case] balancers: u8, #[case] apply_limit_ms: u64) {
    let mut cluster = Cluster::start(balancers, apply_limit_ms);
    cluster.run(20_000);
    assert_eq!(cluster.watching().len(), 2);
    let domains: BTreeSet<u8> = cluster
        .watching()
        .iter()
        .map(|place| cluster.nodes[*place].ip.octets()[2])
        .collect();
    assert_eq!(domains.len(), 2);
    cluster.calls = 0;
    cluster.run(60_000);
    let calls_per_watcher = 60_000 / cluster.times.wait_ms as usize + 1;
    assert!(cluster.calls <= 2 * calls_per_watcher, "{}", cluster.calls);
}

/// What may go wrong with balancers that watch the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    KillWatchers,
    FreezeWatchers,
    CutWatchersFromStore,
    CutWatchersFromBalancers,
    SplitWithoutWatcher,
    KillOthers,
    RestartAll,
    RestoreStore,
}

const FAULTS: [Fault; 8] = [
    Fault::KillWatchers,
    Fault::FreezeWatchers,
    Fault::CutWatchersFromStore,
    Fault::CutWatchersFromBalancers,
    Fault::SplitWithoutWatcher,
    Fault::KillOthers,
    Fault::RestartAll,
    Fault::RestoreStore,
];

impl Cluster {
    fn strike(&mut self, fault: Fault) {
        let watching = self.watching();
        let others: Vec<usize> = (0..self.nodes.len())
            .filter(|place| !watching.contains(place))
            .collect();
        for place in &watching {
            let node = &mut self.nodes[*place];
            match fault {
                Fault::KillWatchers => node.is_running = false,
                Fault::FreezeWatchers => node.is_frozen = true,
                Fault::CutWatchersFromStore => node.reaches_store = false,
                Fault::CutWatchersFromBalancers => node.side = 1,
                _ => {}
            }
        }
        match fault {
            Fault::SplitWithoutWatcher => {
                for place in others.iter().step_by(2) {
                    self.nodes[*place].side = 2;
                }
            }
            Fault::KillOthers => {
                for place in others.iter().step_by(2) {
                    self.nodes[*place].is_running = false;
                }
            }
            Fault::RestartAll => {
                for place in 0..self.nodes.len() {
                    let ip = self.nodes[place].ip;
                    let flows = self.new_flows(ip, 1_000 + place as u32);
                    let node = &mut self.nodes[place];
                    node.flows = flows;
                    node.watch = None;
                }
            }
            Fault::RestoreStore => {
                self.store.revision = StoreRevision { era: 1, number: 3 };
                for node in &mut self.nodes {
                    // The store ends waiting watches; those who watch list again.
                    node.watch = None;
                }
            }
            _ => {}
        }
    }
}

/// All pairs of faults, the second one at each moment of the first one's recovery, and a change
/// between or after them.
#[test]
fn change_is_in_force_in_time_whatever_fails() {
    const APPLY_LIMIT_MS: u64 = 3_000;
    let mut calm = Cluster::start(9, APPLY_LIMIT_MS);
    calm.run(8_000);
    for first in FAULTS {
        for second in FAULTS {
            for gap_ms in [0, 300, 1_000, 2_000, 3_500] {
                for change_first in [true, false] {
                    let mut cluster = calm.clone();
                    cluster.strike(first);
                    if change_first {
                        cluster.change();
                    }
                    cluster.run(gap_ms);
                    cluster.strike(second);
                    if !change_first {
                        cluster.change();
                    }
                    cluster.run(APPLY_LIMIT_MS);
                    cluster.assert_in_force();
                }
            }
        }
    }
}

#[test]
fn balancers_that_come_first_replace_failed_watchers_for_all() {
    let mut cluster = Cluster::start(60, 5_000);
    cluster.run(20_000);
    cluster.strike(Fault::KillWatchers);
    cluster.calls = 0;
    cluster.run(5_000);
    // Without an order, each of the other 58 balancers lists and watches.
    assert!(cluster.calls < 40, "{}", cluster.calls);
    cluster.run(20_000);
    assert_eq!(cluster.watching().len(), 2);
}

#[test]
fn thawed_watcher_claims_the_age_that_it_has() {
    let mut cluster = Cluster::start(9, 3_000);
    cluster.run(8_000);
    let watching = cluster.watching();
    cluster.strike(Fault::FreezeWatchers);
    cluster.change();
    cluster.run(6_000);
    for place in watching {
        cluster.nodes[place].is_frozen = false;
        let ctx = cluster.context();
        let age_ms = cluster.nodes[place].flows.heartbeat(&ctx).settings_age_ms;
        assert!(age_ms.unwrap() >= 6_000);
    }
    cluster.run(3_000);
    cluster.assert_in_force();
}

/// The process's clock does not count the time for which its machine was suspended.
#[test]
fn nothing_from_before_a_pause_counts_after_it() {
    let mut cluster = Cluster::start(3, 3_000);
    cluster.run(8_000);
    let ctx = cluster.context();
    let node = &mut cluster.nodes[0];
    assert!(node.flows.settings_age_ms(&ctx).is_some());
    node.flows.on_pause(5_000, &ctx);
    node.flows.on_settings_confirmed(ctx.now_ms - 100);
    assert_eq!(node.flows.settings_age_ms(&ctx), None);
    assert!(node.flows.watches_settings(&ctx));
}

#[test]
fn confirmation_of_newer_settings_does_not_count_before_they_are_here() {
    let mut cluster = Cluster::start(2, 3_000);
    cluster.run(8_000);
    let ctx = cluster.context();
    let [one, other] = &mut cluster.nodes[..] else {
        panic!("two balancers");
    };
    let mut newer = other.flows.fleet().clone();
    newer.table.version += 1;
    newer.revision = revision(newer.revision.number + 1);
    other.flows.on_fleet_settings(newer, &ctx);
    let later = super::context(ctx.now_ms + 5_000);
    other.flows.on_settings_confirmed(later.now_ms);
    let heartbeat = other.flows.heartbeat(&later);
    one.flows.on_heartbeat(other.ip, &heartbeat, &later);
    assert!(one.flows.settings_age_ms(&later) >= Some(5_000));
    assert!(
        one.flows
            .fleet()
            .table
            .routes
            .contains_key(&service_address())
    );
}
