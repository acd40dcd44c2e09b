mod departures;

use super::{
    AgentPhase, AgentRecord, Announcer, BalancerRecord, Evidence, MemberRecord, Membership,
    MembershipAction, MembershipMessage, MembershipSettings, ProbeAnswer, SettingsDelta,
    member_table::{MemberTable, MergeResult},
    messages::Gossip,
};
use crate::{
    address::{AgentAddress, BalancerAddress, DomainId, Incarnation, ServiceId},
    context::Context,
    crypto::ClusterKey,
    wire::{decode_authenticated, encode_authenticated},
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

const STEP_MS: u64 = 100;
const SERVICE: ServiceId = ServiceId(7);

fn balancer(index: u8) -> BalancerRecord {
    BalancerRecord {
        address: BalancerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index), 9000)),
        domain: DomainId(index % 4),
        incarnation: Incarnation(1),
    }
}

fn agent(index: u8, domain: u8) -> AgentRecord {
    AgentRecord {
        address: AgentAddress(SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index), 9100)),
        service: SERVICE,
        domain: DomainId(domain),
        incarnation: Incarnation(1),
        revision: 0,
        weight: 1,
        phase: AgentPhase::Serving,
    }
}

/// A few members simulated in one thread; datagrams on the paths in `lost_paths` are lost.
struct Fleet {
    ctx: Context,
    balancers: BTreeMap<SocketAddrV4, Membership>,
    agents: BTreeMap<SocketAddrV4, Announcer>,
    stopped: BTreeSet<SocketAddrV4>,
    lost_paths: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    acks_to_lose: u32,
    changes: u32,
}

impl Fleet {
    fn start(balancers: u8, agents: &[AgentRecord]) -> Self {
        let settings = MembershipSettings::default();
        let mut ctx = Context::new(5);
        ctx.now_ms = 1_000_000;
        let records: Vec<BalancerRecord> = (1..=balancers).map(balancer).collect();
        let mut fleet = Self {
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            stopped: BTreeSet::new(),
            lost_paths: BTreeSet::new(),
            acks_to_lose: 0,
            changes: 0,
            ctx,
        };
        for record in &records {
            let mut membership = Membership::new(settings, *record, &mut fleet.ctx);
            membership.on_balancer_list(&records, &mut fleet.ctx);
            fleet.balancers.insert(record.address.0, membership);
        }
        for record in agents {
            let mut announcer = Announcer::new(settings, MemberRecord::from(*record));
            announcer.add_balancers(&records);
            fleet.agents.insert(record.address.0, announcer);
        }
        fleet
    }

    fn settled(balancers: u8, agents: &[AgentRecord]) -> Self {
        let mut fleet = Self::start(balancers, agents);
        fleet.run_ms(40_000);
        fleet
    }

    fn run_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.ctx.advance(STEP_MS);
            self.tick();
        }
    }

    fn tick(&mut self) {
        let members: Vec<SocketAddrV4> = self
            .balancers
            .keys()
            .chain(self.agents.keys())
            .copied()
            .collect();
        for member in members {
            if self.stopped.contains(&member) {
                continue;
            }
            let actions = match self.balancers.get_mut(&member) {
                Some(balancer) => balancer.on_tick(&mut self.ctx),
                None => self.agents.get_mut(&member).unwrap().on_tick(&mut self.ctx),
            };
            self.execute(member, actions);
        }
    }

    fn execute(&mut self, by: SocketAddrV4, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.deliver(by, to, &message),
                MembershipAction::FetchSnapshot { from } => self.join(by, from.0),
                MembershipAction::AgentsChanged { .. } => self.changes += 1,
                _ => {}
            }
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, message: &MembershipMessage) {
        if self.stopped.contains(&to) || self.lost_paths.contains(&(from, to)) {
            return;
        }
        if matches!(message, MembershipMessage::Ack(_)) && self.acks_to_lose > 0 {
            self.acks_to_lose -= 1;
            return;
        }
        assert!(message.encoded_bytes() <= 1_200, "{message:?}");
        let actions = if let Some(balancer) = self.balancers.get_mut(&to) {
            balancer.on_datagram(from, message, &mut self.ctx)
        } else if let Some(agent) = self.agents.get_mut(&to) {
            agent.on_datagram(from, message, &self.ctx)
        } else {
            Vec::new()
        };
        self.execute(to, actions);
    }

    fn join(&mut self, by: SocketAddrV4, from: SocketAddrV4) {
        if self.stopped.contains(&from) || self.lost_paths.contains(&(by, from)) {
            return;
        }
        let Some(snapshot) = self.balancers[&from].snapshot(self.ctx.now_ms) else {
            return;
        };
        let joining = self.balancers.get_mut(&by).unwrap();
        let actions = joining.merge_snapshot(&snapshot, &mut self.ctx);
        self.execute(by, actions);
    }

    fn isolate(&mut self, member: SocketAddrV4) {
        for other in self.balancers.keys().chain(self.agents.keys()) {
            self.lost_paths.insert((member, *other));
            self.lost_paths.insert((*other, member));
        }
    }

    fn is_live_at(&self, member: SocketAddrV4, at: SocketAddrV4) -> bool {
        let view = &self.balancers[&at];
        view.agent(AgentAddress(member), self.ctx.now_ms)
            .is_some_and(|(_, live)| live)
    }

    /// Returns how many running balancers consider an agent live.
    fn live_views(&self, member: SocketAddrV4) -> usize {
        let running = self
            .balancers
            .keys()
            .filter(|at| !self.stopped.contains(at));
        running.filter(|at| self.is_live_at(member, **at)).count()
    }
}

fn three_agents() -> [AgentRecord; 3] {
    [agent(1, 0), agent(2, 1), agent(3, 2)]
}

#[test]
fn all_balancers_learn_all_agents() {
    let fleet = Fleet::settled(6, &three_agents());
    for record in three_agents() {
        assert_eq!(fleet.live_views(record.address.0), 6);
    }
    let peers: Vec<usize> = fleet.agents.values().map(|a| a.peers().len()).collect();
    assert_eq!(peers, [2, 2, 2]);
}

#[test]
fn dead_agent_leaves_every_view_within_three_seconds() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let dead = agent(1, 0).address.0;
    fleet.stopped.insert(dead);
    fleet.run_ms(3_000);
    assert_eq!(fleet.live_views(dead), 0);
    assert_eq!(fleet.live_views(agent(2, 1).address.0), 6);
}

#[test]
fn undisturbed_fleet_removes_no_member() {
    let mut fleet = Fleet::settled(6, &three_agents());
    fleet.changes = 0;
    fleet.run_ms(60_000);
    assert_eq!(fleet.changes, 0);
}

#[test]
fn refused_send_removes_a_dead_agent_at_once_but_not_a_live_one() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let dead = agent(1, 0).address;
    let live = agent(2, 1).address;
    let witness = balancer(1).address.0;
    fleet.stopped.insert(dead.0);
    for suspect in [dead, live] {
        let view = fleet.balancers.get_mut(&witness).unwrap();
        let actions = view.on_agent_unreachable(suspect, &mut fleet.ctx);
        fleet.execute(witness, actions);
    }
    fleet.run_ms(800);
    assert_eq!(fleet.live_views(dead.0), 0);
    assert_eq!(fleet.live_views(live.0), 6);
}

/// Lets the third agent report another as unresponsive `times` times, `interval_ms` apart.
fn report(fleet: &mut Fleet, reported: AgentAddress, times: u32, interval_ms: u64) {
    let by = agent(3, 2).address.0;
    for _ in 0..times {
        let actions = fleet.agents[&by].report_unresponsive(reported);
        fleet.execute(by, actions);
        fleet.run_ms(interval_ms);
    }
}

#[test]
fn dead_agent_reported_by_another_leaves_every_view_within_a_second() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let dead = agent(1, 0).address;
    fleet.stopped.insert(dead.0);
    fleet.run_ms(200);
    report(&mut fleet, dead, 1, 1_000);
    assert_eq!(fleet.live_views(dead.0), 0);
}

#[rstest]
#[case::once(1)]
#[case::again_and_again(40)]
fn live_agent_reported_by_another_stays_in_every_view(#[case] times: u32) {
    let mut fleet = Fleet::settled(6, &three_agents());
    let live = agent(1, 0).address;
    fleet.changes = 0;
    for _ in 0..times {
        report(&mut fleet, live, 1, STEP_MS);
        assert_eq!(fleet.live_views(live.0), 6);
    }
    fleet.run_ms(3_000);
    let suspected: u64 = fleet
        .balancers
        .values()
        .map(|b| b.counters().suspected)
        .sum();
    assert_eq!((fleet.changes, suspected), (0, 0));
}

#[test]
fn live_agent_unreachable_only_from_the_reporting_side_stays_in_every_view() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let live = agent(1, 0).address;
    let watchers: Vec<SocketAddrV4> = fleet.agents[&agent(3, 2).address.0].watchers().collect();
    for at in watchers {
        fleet.lost_paths.insert((live.0, at));
        fleet.lost_paths.insert((at, live.0));
    }
    for _ in 0..20 {
        report(&mut fleet, live, 1, STEP_MS);
        assert_eq!(fleet.live_views(live.0), 6);
    }
    let suspected: u64 = fleet
        .balancers
        .values()
        .map(|b| b.counters().suspected)
        .sum();
    assert!(suspected > 0);
}

#[test]
fn report_of_an_unknown_agent_does_nothing() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let unknown = MembershipMessage::UnresponsiveAgent {
        agent: agent(9, 0).address,
    };
    let view = fleet.balancers.get_mut(&balancer(1).address.0).unwrap();
    let from = agent(3, 2).address.0;
    assert_eq!(view.on_datagram(from, &unknown, &mut fleet.ctx), []);
}

#[test]
fn reports_of_agents_in_a_failed_domain_suspect_no_single_agent() {
    let agents: Vec<AgentRecord> = (1..=40).map(|index| agent(index, index % 4)).collect();
    let mut fleet = Fleet::settled(8, &agents);
    let lost = |record: &&AgentRecord| record.domain == DomainId(1);
    let lost: Vec<AgentAddress> = agents.iter().filter(lost).map(|a| a.address).collect();
    fleet.stopped.extend(lost.iter().map(|address| address.0));
    fleet.stopped.insert(balancer(1).address.0);
    fleet.stopped.insert(balancer(5).address.0);
    for reported in &lost {
        report(&mut fleet, *reported, 1, 0);
    }
    fleet.run_ms(600);
    let suspected: u64 = fleet
        .balancers
        .values()
        .map(|b| b.counters().suspected)
        .sum();
    assert_eq!(suspected, 0);
}

#[rstest]
#[case::draining(AgentPhase::Draining)]
#[case::down(AgentPhase::Down)]
fn phase_change_reaches_all_balancers_despite_lost_acknowledgements(#[case] phase: AgentPhase) {
    let mut fleet = Fleet::settled(6, &three_agents());
    let leaving = agent(1, 0).address.0;
    fleet.acks_to_lose = 3;
    let watchers: Vec<SocketAddrV4> = fleet.agents[&leaving].watchers().collect();
    fleet.lost_paths.insert((leaving, watchers[0]));
    let actions = fleet
        .agents
        .get_mut(&leaving)
        .unwrap()
        .set_phase(phase, &fleet.ctx);
    fleet.execute(leaving, actions);
    fleet.run_ms(1_000);
    for view in fleet.balancers.values() {
        let (record, _) = view.agent(AgentAddress(leaving), fleet.ctx.now_ms).unwrap();
        assert_eq!(record.phase, phase);
    }
}

#[test]
fn losing_the_path_to_one_watcher_removes_no_member() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let member = agent(1, 0).address.0;
    let watcher = fleet.agents[&member].watchers().next().unwrap();
    fleet.lost_paths.insert((member, watcher));
    fleet.lost_paths.insert((watcher, member));
    for _ in 0..100 {
        fleet.run_ms(STEP_MS);
        assert_eq!(fleet.live_views(member), 6);
    }
    assert!(fleet.agents[&member].watchers().all(|now| now != watcher));
}

#[test]
fn paused_balancer_suspects_no_member() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let frozen = balancer(2).address.0;
    fleet.stopped.insert(frozen);
    fleet.run_ms(20_000);
    fleet.stopped.remove(&frozen);
    fleet.changes = 0;
    for _ in 0..50 {
        fleet.run_ms(STEP_MS);
        for record in three_agents() {
            assert_eq!(fleet.live_views(record.address.0), 6);
        }
    }
    assert_eq!(fleet.balancers[&frozen].counters().suspected, 0);
}

#[test]
fn gossip_queued_during_a_pause_is_not_trusted() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let member = agent(1, 0);
    let at = balancer(1).address.0;
    let gossip = gossip_of_silence(member, 100, fleet.ctx.now_ms);
    fleet.ctx.advance(20_000);
    let view = fleet.balancers.get_mut(&at).unwrap();
    view.on_datagram(balancer(2).address.0, &gossip, &mut fleet.ctx);
    let mut fetched = 0;
    for _ in 0..10 {
        fleet.ctx.advance(STEP_MS);
        let view = fleet.balancers.get_mut(&at).unwrap();
        let actions = view.on_tick(&mut fleet.ctx);
        let is_fetch =
            |action: &&MembershipAction| matches!(action, MembershipAction::FetchSnapshot { .. });
        fetched += actions.iter().filter(is_fetch).count();
        assert!(fleet.is_live_at(member.address.0, at));
    }
    assert!(fetched > 0);
}

/// Returns gossip with evidence that an agent was silent `age_ms` ago.
fn gossip_of_silence(member: AgentRecord, age_ms: u64, now_ms: u64) -> MembershipMessage {
    let state = MemberRecord::from(member).state_hash();
    MembershipMessage::Gossip(Gossip {
        digest: 0,
        members: 0,
        settings_version: 0,
        store_age_ms: None,
        domains: Vec::new(),
        records: Vec::new(),
        evidence: vec![Evidence::new(state, true, now_ms - age_ms, now_ms)],
    })
}

#[test]
fn isolated_balancer_suspects_no_member() {
    let agents: Vec<AgentRecord> = (1..=12).map(|index| agent(index, index % 4)).collect();
    let mut fleet = Fleet::settled(6, &agents);
    let isolated = balancer(2).address.0;
    fleet.isolate(isolated);
    fleet.run_ms(20_000);
    for record in &agents {
        assert!(fleet.is_live_at(record.address.0, isolated));
    }
    fleet.lost_paths.clear();
    fleet.run_ms(10_000);
    for record in &agents {
        assert_eq!(fleet.live_views(record.address.0), 6);
    }
    assert_eq!(fleet.balancers[&isolated].counters().suspected, 0);
}

#[test]
fn last_agents_of_a_service_stay_in_placement() {
    let mut fleet = Fleet::settled(6, &three_agents());
    for record in three_agents() {
        fleet.stopped.insert(record.address.0);
    }
    fleet.run_ms(5_000);
    for view in fleet.balancers.values() {
        assert_eq!(view.agents_of(SERVICE, fleet.ctx.now_ms).len(), 3);
    }
}

#[test]
fn unresponsive_domain_is_suspected_and_returns_as_a_whole() {
    let agents: Vec<AgentRecord> = (1..=40).map(|index| agent(index, index % 4)).collect();
    let mut fleet = Fleet::settled(8, &agents);
    let lost: Vec<SocketAddrV4> = agents
        .iter()
        .filter(|record| record.domain == DomainId(1))
        .map(|record| record.address.0)
        .collect();
    fleet.stopped.extend(&lost);
    fleet.stopped.insert(balancer(1).address.0);
    fleet.stopped.insert(balancer(5).address.0);
    fleet.run_ms(3_000);
    for member in &lost {
        assert_eq!(fleet.live_views(*member), 0);
    }
    let suspected: u64 = fleet
        .balancers
        .values()
        .map(|b| b.counters().domains_suspected)
        .sum();
    assert!(suspected > 0);
    fleet.stopped.clear();
    fleet.run_ms(12_000);
    for record in &agents {
        assert_eq!(fleet.live_views(record.address.0), 8, "{record:?}");
    }
}

#[test]
fn partitioned_regions_keep_working_and_merge_again() {
    let agents: Vec<AgentRecord> = (1..=40).map(|index| agent(index, index % 4)).collect();
    let mut fleet = Fleet::settled(8, &agents);
    let region = |domain: DomainId| domain.0 / 2;
    let members: Vec<(SocketAddrV4, u8)> = (1..=8)
        .map(|index| (balancer(index).address.0, region(balancer(index).domain)))
        .chain(agents.iter().map(|a| (a.address.0, region(a.domain))))
        .collect();
    for (one, one_region) in &members {
        for (other, other_region) in &members {
            if one_region != other_region {
                fleet.lost_paths.insert((*one, *other));
            }
        }
    }
    fleet.run_ms(60_000);
    for record in &agents {
        assert_eq!(fleet.live_views(record.address.0), 4, "{record:?}");
    }
    fleet.lost_paths.clear();
    fleet.run_ms(12_000);
    for record in &agents {
        assert_eq!(fleet.live_views(record.address.0), 8, "{record:?}");
    }
}

#[test]
fn three_balancers_watch_the_store_and_others_take_over() {
    let mut fleet = Fleet::settled(8, &[]);
    let watching = |fleet: &Fleet| -> Vec<SocketAddrV4> {
        let now_ms = fleet.ctx.now_ms;
        let running = fleet
            .balancers
            .iter()
            .filter(|(at, _)| !fleet.stopped.contains(at));
        let watchers = running.filter(|(_, view)| view.is_store_watcher(now_ms));
        watchers.map(|(at, _)| *at).collect()
    };
    let answer = |fleet: &mut Fleet| {
        for view in fleet.balancers.values_mut() {
            view.on_store_answer(&fleet.ctx);
        }
    };
    answer(&mut fleet);
    let first = watching(&fleet);
    assert_eq!(first.len(), 3);
    fleet.stopped.extend(&first);
    fleet.run_ms(4_000);
    assert_eq!(watching(&fleet).len(), 3);
    fleet.run_ms(20_000);
    assert_eq!(watching(&fleet).len(), 5);
}

#[rstest]
#[case::next(3, 5, true)]
#[case::gap_before_it(4, 5, false)]
#[case::not_newer(1, 3, false)]
#[case::older(1, 2, false)]
fn settings_apply_only_forwards_and_without_a_gap(
    #[case] base_version: u64,
    #[case] version: u64,
    #[case] applies: bool,
) {
    let delta = SettingsDelta {
        base_version,
        version,
        entries: Vec::new(),
    };
    assert_eq!(delta.applies_to(3), applies);
}

#[test]
fn message_with_any_altered_byte_is_rejected() {
    let key = ClusterKey::new([9; 32]).derive("gossip");
    let record = MemberRecord::from(agent(1, 0));
    let message = MembershipMessage::ProbeAnswer(ProbeAnswer {
        address: record.address,
        state_checksum: record.state_checksum(),
        is_watched_by_receiver: true,
    });
    let mut buffer = [0; 64];
    let length = encode_authenticated(&key, &message, &mut buffer).unwrap();
    let whole: MembershipMessage = decode_authenticated(&key, &buffer[..length]).unwrap();
    assert_eq!(whole, message);
    for at in 0..length {
        let mut altered = buffer;
        altered[at] ^= 1;
        assert!(decode_authenticated::<MembershipMessage>(&key, &altered[..length]).is_err());
    }
}

#[rstest]
#[case::no_other_balancer(1, true)]
#[case::others(3, false)]
fn starting_balancer_waits_for_a_view_unless_it_is_alone(#[case] listed: u8, #[case] joined: bool) {
    let mut ctx = Context::new(5);
    let mut membership = Membership::new(MembershipSettings::default(), balancer(1), &mut ctx);
    assert!(!membership.is_joined());
    let list: Vec<BalancerRecord> = (1..=listed).map(balancer).collect();
    membership.on_balancer_list(&list, &mut ctx);
    assert_eq!(membership.is_joined(), joined);
}

#[test]
fn restarted_balancer_fetches_the_view_of_a_peer() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let mut record = balancer(3);
    record.incarnation = Incarnation(2);
    let mut fresh = Membership::new(MembershipSettings::default(), record, &mut fleet.ctx);
    let others: Vec<BalancerRecord> = (1..=6).map(balancer).collect();
    fresh.on_balancer_list(&others, &mut fleet.ctx);
    fleet.balancers.insert(record.address.0, fresh);
    fleet.run_ms(200);
    assert!(fleet.balancers[&record.address.0].is_joined());
    assert!(fleet.is_live_at(agent(1, 0).address.0, record.address.0));
}

#[test]
fn old_evidence_of_silence_leads_to_a_probe() {
    let mut fleet = Fleet::settled(6, &three_agents());
    let at = balancer(1).address.0;
    let member = agent(1, 0);
    let gossip = gossip_of_silence(member, 10_000, fleet.ctx.now_ms);
    let view = fleet.balancers.get_mut(&at).unwrap();
    view.on_datagram(balancer(2).address.0, &gossip, &mut fleet.ctx);
    let is_probe = |action: &MembershipAction| matches!(action, MembershipAction::Send { to, message: MembershipMessage::Probe } if *to == member.address.0);
    let mut probes = 0;
    for _ in 0..21 {
        fleet.ctx.advance(STEP_MS);
        let view = fleet.balancers.get_mut(&at).unwrap();
        let actions = view.on_tick(&mut fleet.ctx);
        probes += actions.iter().filter(|action| is_probe(action)).count();
        fleet.execute(at, actions);
        assert!(fleet.is_live_at(member.address.0, at));
    }
    assert_eq!(probes, 1);
}

/// Guards against an agent that stopped during the start of a balancer and is in use there again,
/// because a peer that does not know of the stop sent its older record.
#[test]
fn stop_that_arrives_first_outweighs_an_older_record() {
    let mut table = MemberTable::new(500);
    let serving = agent(1, 0);
    let stopped = AgentRecord {
        phase: AgentPhase::Down,
        revision: serving.revision + 1,
        ..serving
    };
    table.merge_record(MemberRecord::from(stopped), 1_000);
    let merged = table.merge_record(MemberRecord::from(serving), 1_100);
    assert_eq!(merged, MergeResult::Outdated);
    let member = table.get(serving.address.0).expect("the stop is kept");
    assert!(!table.is_live(member, 1_100));
    assert_eq!(table.digest(), MemberTable::new(500).digest());
    assert_eq!(table.forget_gone(1_001), 1);
}

/// A record or evidence to merge, in any order.
#[derive(Clone, Copy, Debug)]
enum Change {
    Record(u32, u16),
    Evidence(u32, u16, bool, u64),
}

fn record_of(incarnation: u32, revision: u16) -> MemberRecord {
    let mut record = agent(1, 0);
    record.incarnation = Incarnation(incarnation);
    record.revision = revision;
    MemberRecord::from(record)
}

fn merge(table: &mut MemberTable, change: Change) -> MergeResult {
    match change {
        Change::Record(incarnation, revision) => {
            table.merge_record(record_of(incarnation, revision), 0)
        }
        Change::Evidence(incarnation, revision, silent, stamp_ms) => {
            let record = record_of(incarnation, revision);
            table.merge_evidence(record.address, record.state_checksum(), silent, stamp_ms)
        }
    }
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..3u32, 0..3u16)
            .prop_map(|(incarnation, revision)| Change::Record(incarnation, revision)),
        (0..3u32, 0..3u16, any::<bool>(), 1..9u64).prop_map(
            |(incarnation, revision, silent, at)| Change::Evidence(
                incarnation,
                revision,
                silent,
                at
            )
        ),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_never_regresses_and_is_idempotent(changes in prop::collection::vec(change(), 1..30)) {
        let mut table = MemberTable::new(500);
        let mut last = None;
        for change in changes {
            merge(&mut table, change);
            let now = table.members().values().next().copied();
            let recency = now.map(|m| (m.record.recency(), m.stamp_ms));
            prop_assert!(recency >= last);
            last = recency;
            prop_assert_ne!(merge(&mut table, change), MergeResult::Changed);
            prop_assert_eq!(table.members().values().next().copied(), now);
        }
    }

    #[test]
    fn evidence_of_one_state_merges_in_any_order(
        evidence in prop::collection::vec((any::<bool>(), 1..9u64), 1..8),
        rotate in 0..8usize,
    ) {
        let mut forward = MemberTable::new(500);
        let mut shuffled = MemberTable::new(500);
        let mut other = evidence.clone();
        other.rotate_left(rotate % evidence.len());
        other.reverse();
        for (table, list) in [(&mut forward, &evidence), (&mut shuffled, &other)] {
            merge(table, Change::Record(1, 1));
            for (silent, at) in list {
                merge(table, Change::Evidence(1, 1, *silent, *at));
            }
        }
        let silence = |table: &MemberTable| table.members().values().next().map(|m| m.silent);
        prop_assert_eq!(silence(&forward), silence(&shuffled));
        prop_assert_eq!(forward.digest(), shuffled.digest());
    }
}
