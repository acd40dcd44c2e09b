//! The operators' settings in force.

use super::BalancerFlows;
use crate::{
    address::DomainId,
    context::Context,
    flows::{
        balancer::{
            route_history::{PastRoutes, RouteHistoryRecord},
            settings_watch::WatchLimits,
        },
        frame::{AgentReport, ReportReply},
        routes::{FleetSettings, PriorityRanks},
        wire::WireVersion,
    },
};
use std::{collections::BTreeSet, net::Ipv4Addr};

impl BalancerFlows {
    /// Applies settings from the store or another balancer; returns whether anything changed.
    pub fn on_fleet_settings(&mut self, fleet: FleetSettings, ctx: &Context) -> bool {
        let before = self.fleet.clone();
        let is_changed = self.fleet.merge_newer(fleet);
        if is_changed {
            self.priority_ranks = PriorityRanks::new(&self.fleet.table);
            self.idempotent_services = self.fleet.table.idempotent_services();
        }
        self.held_domains
            .on_settings(&before, &self.fleet, ctx.now_ms);
        if is_changed {
            self.route_history
                .on_routes(&before.table, &self.fleet.table, ctx.now_ms);
            let idle_timeout_ms = u64::from(self.fleet.table.idle_timeout_ms);
            self.flow_lifetime
                .set_idle_timeout(idle_timeout_ms, ctx.now_ms);
        }
        is_changed
    }

    /// Records what the store says of the routes before the start of this balancer.
    pub fn on_past_routes(&mut self, past: &PastRoutes, ctx: &Context) {
        self.route_history
            .on_past(past, &self.fleet.table, ctx.now_ms);
        if let PastRoutes::Recorded(record) = past
            && record.agents.is_some()
        {
            self.recorded_agents.clone_from(&record.agents);
        }
    }

    /// Returns what balancers that start later have to know of the routes, or `None` if this balancer
    /// does not know it itself or others record it.
    ///
    /// When many balancers start, it takes a moment until most of them leave the store to others.
    pub fn route_history_record(&self, ctx: &Context) -> Option<RouteHistoryRecord> {
        let settled_ms = self.started_ms + self.settings.searches.settle_non_idempotent_ms;
        let is_known = self.fleet.is_known() && self.knows_route_history(ctx);
        if !is_known || ctx.now_ms < settled_ms || !self.watches_settings(ctx) {
            return None;
        }
        Some(RouteHistoryRecord {
            agents: self
                .knows_enough_agents(ctx)
                .then(|| self.agents_that_may_hold_flows().collect()),
            ..self.route_history.record(&self.fleet.table, ctx.now_ms)
        })
    }

    /// Returns whether all services are known at which flows may be open that are not too old.
    pub(super) fn knows_route_history(&self, ctx: &Context) -> bool {
        let identity = &self.identity;
        let lifetime_ms = identity.flow_max_age_ms + identity.watch_times.max_age_ms;
        self.route_history.is_complete(lifetime_ms, ctx.now_ms)
    }

    /// Records that the settings in force were the newest of the store at `at_ms`.
    pub fn on_settings_confirmed(&mut self, at_ms: u64) {
        self.settings_watch.on_confirmed(at_ms);
    }

    /// Returns whether this balancer has to watch the store for changes of the settings.
    pub fn watches_settings(&self, ctx: &Context) -> bool {
        let limits = WatchLimits {
            watchers: self.settings.settings_watch.watchers,
            times: self.identity.watch_times,
        };
        self.fleet.table.wire_version < WireVersion::LATEST
            || limits.is_watch_needed(self.identity.ip, &self.balancers, &self.fleet, ctx.now_ms)
    }

    /// Returns how long ago the store confirmed the settings in force to this balancer or to another
    /// one.
    pub fn settings_age_ms(&self, ctx: &Context) -> Option<u64> {
        self.settings_watch
            .age_ms(&self.balancers, &self.fleet, ctx.now_ms)
    }

    /// Returns the reply to the report of an agent.
    pub fn reply_to(&self, agent: Ipv4Addr, report: &AgentReport, ctx: &Context) -> ReportReply {
        let state = self.agents.get(agent);
        // It may have run until its next report to this balancer was due.
        let interval_ms = self.settings.liveness.report_interval_ms;
        let unreported_ms = u64::from(report.slowness.saturating_sub(1)) * interval_ms;
        let former_reported_ms = state
            .and_then(|state| state.former_reported_ms)
            .map(|at_ms| at_ms + unreported_ms);
        ReportReply {
            incarnation: self.identity.incarnation,
            version: self.fleet.table.version,
            revision: self.fleet.revision,
            is_domain_out: self.is_domain_out(report.domain),
            limits: self.fleet.table.services.get(&report.service).copied(),
            balancers_hash: self.balancers.hash(),
            former_report_age_ms: former_reported_ms
                .map(|at_ms| u32::try_from(ctx.now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)),
        }
    }

    /// Returns whether a domain gets no new flows, by the store's record or by that of an earlier
    /// era.
    fn is_domain_out(&self, domain: DomainId) -> bool {
        self.fleet.domains_out.contains(&domain) || self.held_domains.contains(domain)
    }

    /// Returns the domains that are out by the record of an earlier era of the store.
    pub fn held_domains(&self) -> BTreeSet<DomainId> {
        self.held_domains.domains()
    }
}
