use super::{
    announcer::Announcer,
    contradictions::Contradictions,
    failure_detector::{DetectorFindings, FailureDetector},
    failure_reports::FailureReports,
    gossip::{ByteBudget, GossipKind, GossipQueue},
    member::MemberRecord,
    member_table::{MemberTable, MergeResult},
    messages::MembershipAction,
    probes::{SILENT_DOMAIN_PROBE_INTERVAL_MS, UNANSWERED_PROBE_MS, probe},
    record::{AgentPhase, BalancerRecord},
    settings::MembershipSettings,
    store_freshness::StoreFreshness,
    suspicion::PendingSuspicion,
};
use crate::{address::AgentAddress, context::Context};
use rand::RngExt;
use serde::Serialize;
use std::{collections::BTreeSet, net::SocketAddrV4};

/// How many balancers are probed before a member is suspected.
const PEER_PROBES_BEFORE_SUSPICION: usize = 2;

/// How long a balancer keeps its view to itself after a pause, if no peer's view arrives: the time of
/// a second attempt to fetch one.
const MAX_STALE_VIEW_MS: u64 = 4_000;

/// How long the ages of evidence in datagrams are not trusted after a pause.
const STALE_DATAGRAMS_MS: u64 = 200;

/// The time between two removals of members that have been gone for long.
const FORGET_INTERVAL_MS: u64 = 60_000;

/// The membership view of a balancer.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) announcer: Announcer,
    pub(super) table: MemberTable,
    pub(super) detector: FailureDetector,
    pub(super) gossip_queue: GossipQueue,
    pub(super) budget: ByteBudget,
    pub(super) store_freshness: StoreFreshness,
    pub(super) contradictions: Contradictions,
    /// Until when the view is not spread, because it is from before a pause; 0 once a peer's view has
    /// been merged since.
    pub(super) stale_view_until_ms: u64,
    pub(super) reports: FailureReports,
    pub(super) settings_version: u64,
    pub(super) urgent_sends: u8,
    pub(super) has_new_gossip: bool,
    pub(super) last_received_ms: u64,
    pub(super) last_change_ms: u64,
    pub(super) next_gossip_ms: u64,
    pub(super) next_sync_ms: u64,
    pub(super) next_fetch_ms: u64,
    pub(super) counters: MembershipCounters,
    pub(super) live_peers: Vec<SocketAddrV4>,
    pub(super) are_peers_outdated: bool,
    pub(super) pending_suspicions: BTreeSet<PendingSuspicion>,
    pub(super) needs_snapshot: bool,
    pub(super) next_snapshot_ms: u64,
    pub(super) next_forget_ms: u64,
    pub(super) next_silent_domain_probe_ms: u64,
    pub(super) last_active_ms: u64,
    pub(super) trusted_from_ms: u64,
    pub(super) started_ms: u64,
    pub(super) view_version: u64,
}

/// Counters of a balancer's membership since its start, for dumps and metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MembershipCounters {
    /// Members that this balancer suspected.
    pub suspected: u64,
    /// Domains that this balancer suspected as a whole.
    pub domains_suspected: u64,
    /// Suspicions that this balancer refuted.
    pub refuted: u64,
    /// Pauses and isolations of this process.
    pub pauses: u64,
    /// View comparisons with a peer.
    pub syncs: u64,
    /// Received records or evidence that were older than the view or concerned an unknown state.
    pub outdated: u64,
}

impl Membership {
    /// Creates a view that contains only the balancer itself.
    pub fn new(settings: MembershipSettings, own: BalancerRecord, ctx: &mut Context) -> Self {
        let mut table = MemberTable::new(settings.refute_window_ms);
        let record = MemberRecord::from(own);
        table.merge_record(record, ctx.now_ms);
        let now_ms = ctx.now_ms;
        Self {
            settings,
            announcer: Announcer::new(settings, record),
            table,
            detector: FailureDetector::new(settings, own.domain),
            gossip_queue: GossipQueue::default(),
            budget: ByteBudget::new(settings, now_ms),
            store_freshness: StoreFreshness::new(&settings, ctx),
            contradictions: Contradictions::default(),
            stale_view_until_ms: 0,
            reports: FailureReports::default(),
            settings_version: 0,
            urgent_sends: 0,
            has_new_gossip: false,
            last_received_ms: now_ms,
            last_change_ms: now_ms,
            next_gossip_ms: now_ms + ctx.rng.random_range(0..settings.gossip_interval_ms),
            next_sync_ms: now_ms + ctx.rng.random_range(0..settings.sync_interval_ms),
            next_fetch_ms: 0,
            counters: MembershipCounters::default(),
            live_peers: Vec::new(),
            are_peers_outdated: true,
            pending_suspicions: BTreeSet::new(),
            needs_snapshot: true,
            next_snapshot_ms: now_ms,
            next_forget_ms: now_ms + FORGET_INTERVAL_MS,
            next_silent_domain_probe_ms: now_ms
                + ctx.rng.random_range(0..SILENT_DOMAIN_PROBE_INTERVAL_MS),
            last_active_ms: now_ms,
            trusted_from_ms: now_ms,
            started_ms: now_ms,
            view_version: 1,
        }
    }

    /// Records that the store answered this balancer.
    pub fn on_store_answer(&mut self, ctx: &Context) {
        self.store_freshness.note_answer(ctx.now_ms);
    }

    /// Sets the settings version that is in force here, and spreads it by gossip.
    pub fn set_settings_version(&mut self, version: u64) {
        if version > self.settings_version {
            self.settings_version = version;
            self.announcer.set_settings_version(version);
            self.urgent_sends = self.settings.sends_per_item;
            self.has_new_gossip = true;
        }
    }

    /// Announces a new phase of this balancer, such as draining.
    pub fn set_phase(&mut self, phase: AgentPhase, ctx: &mut Context) -> Vec<MembershipAction> {
        let mut actions = self.announcer.set_phase(phase, ctx);
        let own = *self.announcer.own_record();
        if self.table.merge_record(own, ctx.now_ms) == MergeResult::Changed {
            self.enqueue_gossip(own.address, GossipKind::Record, ctx);
            self.flush(ctx, &mut actions);
        }
        actions
    }

    /// Merges the list of balancers from the platform's store.
    pub fn on_balancer_list(
        &mut self,
        balancers: &[BalancerRecord],
        ctx: &mut Context,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let own = self.own_record().address;
        let others = balancers.iter().filter(|other| other.address.0 != own);
        let mut is_alone = true;
        for balancer in others {
            is_alone = false;
            self.merge_record(MemberRecord::from(*balancer), ctx, &mut actions);
        }
        if is_alone {
            // There is no peer to fetch a view from.
            self.needs_snapshot = false;
        }
        actions
    }

    /// Suspects an agent on evidence from the packet path, such as a refused send.
    pub fn on_agent_unreachable(
        &mut self,
        agent: AgentAddress,
        ctx: &mut Context,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.suspect(agent.0, ctx, &mut actions);
        self.flush(ctx, &mut actions);
        actions
    }

    /// Carries out what is due; the I/O layer calls it every 100 ms.
    pub fn on_tick(&mut self, ctx: &mut Context) -> Vec<MembershipAction> {
        self.detect_pause(ctx);
        self.refresh_peers(ctx.now_ms);
        let mut actions = self.announcer.on_tick(ctx);
        let findings = self.detector.on_tick(ctx.now_ms, self.last_received_ms);
        self.apply_findings(&findings, ctx, &mut actions);
        self.suspect_reported_agents(ctx, &mut actions);
        self.apply_due_suspicions(ctx.now_ms, &mut actions);
        self.probe_contradictions(ctx, &mut actions);
        self.probe_unresponsive_domains(ctx, &mut actions);
        self.request_snapshot(ctx, &mut actions);
        self.gossip(ctx, &mut actions);
        if ctx.now_ms >= self.next_forget_ms {
            self.next_forget_ms = ctx.now_ms + FORGET_INTERVAL_MS;
            self.table
                .forget_gone(ctx.now_ms.saturating_sub(self.settings.forget_after_ms));
        }
        actions
    }

    /// Detects a pause of this process; the ages of evidence in datagrams queued meanwhile are
    /// wrong.
    pub fn detect_pause(&mut self, ctx: &Context) {
        let gap_ms = ctx.now_ms - self.last_active_ms;
        self.last_active_ms = ctx.now_ms;
        if gap_ms > self.settings.pause_limit_ms {
            self.recover_from_pause(ctx.now_ms);
            self.trusted_from_ms = ctx.now_ms + STALE_DATAGRAMS_MS;
            self.stale_view_until_ms = ctx.now_ms + MAX_STALE_VIEW_MS;
        }
    }

    /// Returns whether the ages of evidence in a datagram that arrives now can be trusted.
    pub(super) fn trusts_ages(&self, now_ms: u64) -> bool {
        now_ms >= self.trusted_from_ms
    }

    /// Returns whether the view is from before a pause, so that it may hold members that have left and
    /// that nobody else knows.
    pub(super) fn has_stale_view(&self, now_ms: u64) -> bool {
        now_ms < self.stale_view_until_ms
    }

    /// Returns whether the view may still be incomplete.
    pub(super) fn is_settling(&self, now_ms: u64) -> bool {
        now_ms < self.started_ms + self.settings.settle_ms
    }

    fn recover_from_pause(&mut self, now_ms: u64) {
        self.counters.pauses += 1;
        self.detector.restart(now_ms);
        self.reports = FailureReports::default();
        self.needs_snapshot = true;
        self.next_snapshot_ms = now_ms + STALE_DATAGRAMS_MS;
    }

    fn apply_findings(
        &mut self,
        findings: &DetectorFindings,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        if findings.has_rejoined {
            self.recover_from_pause(ctx.now_ms);
        }
        actions.extend(findings.to_probe.iter().map(|to| probe(*to)));
        if findings.needs_peer_probes {
            let peers = (0..PEER_PROBES_BEFORE_SUSPICION).filter_map(|_| self.random_peer(ctx));
            actions.extend(peers.map(probe));
        }
        for domain in &findings.silent_domains {
            self.counters.domains_suspected += 1;
            self.merge_and_spread_domain(*domain, true, ctx.now_ms - UNANSWERED_PROBE_MS, actions);
        }
        for member in &findings.silent {
            self.suspect(*member, ctx, actions);
        }
    }

    pub(super) fn suspect(
        &mut self,
        address: SocketAddrV4,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(state_checksum) = self.table.get(address).map(|m| m.record.state_checksum())
        else {
            return;
        };
        self.counters.suspected += 1;
        let stamp_ms = ctx.now_ms - UNANSWERED_PROBE_MS;
        self.merge_and_spread_evidence(address, state_checksum, true, stamp_ms, ctx, actions);
    }

    /// Returns a random live balancer other than this one.
    pub(super) fn random_peer(&mut self, ctx: &mut Context) -> Option<SocketAddrV4> {
        if self.live_peers.is_empty() {
            self.refresh_peers(ctx.now_ms);
        }
        if self.live_peers.is_empty() {
            return None;
        }
        let index = ctx.rng.random_range(0..self.live_peers.len());
        self.live_peers.get(index).copied()
    }

    fn refresh_peers(&mut self, now_ms: u64) {
        if !self.are_peers_outdated {
            return;
        }
        let own = self.own_record().address;
        let live: Vec<BalancerRecord> = self.balancers(now_ms).collect();
        let live: BTreeSet<SocketAddrV4> = live.iter().map(|balancer| balancer.address.0).collect();
        let gone: Vec<SocketAddrV4> = self.table.balancers().difference(&live).copied().collect();
        for address in gone {
            self.announcer.remove_balancer(address);
        }
        let known: Vec<BalancerRecord> = self.balancers(now_ms).collect();
        self.announcer.add_balancers(&known);
        self.live_peers = live.into_iter().filter(|address| *address != own).collect();
        self.are_peers_outdated = false;
    }
}
