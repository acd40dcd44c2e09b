//! What an agent sends to balancers: reports, and advertisements of the flows that its target
//! holds.

use super::AgentFlows;
use crate::{
    context::Context,
    flows::{
        agent::table::Flow,
        frame::{AgentReport, BalancerEntry, HeldFlows},
        key::FlowKey,
        send_schedule::{self, Pace, Recipients},
    },
};
use std::net::Ipv4Addr;

impl AgentFlows {
    /// Merges a list of balancers and advertises to each new one the flows that it should know;
    /// returns whether any balancer is new.
    pub fn on_balancers(&mut self, entries: &[BalancerEntry], ctx: &Context) -> bool {
        let new: Vec<Ipv4Addr> = entries
            .iter()
            .filter(|entry| self.balancers.merge_entry(entry, ctx.now_ms))
            .map(|entry| entry.ip)
            .collect();
        self.update_advertisement_scope(ctx);
        for balancer in &new {
            self.readvertise_all(*balancer, ctx);
        }
        !new.is_empty()
    }

    pub(super) fn update_advertisement_scope(&mut self, ctx: &Context) {
        let balancers = self.balancers.len();
        if self
            .advertisement_scope
            .update(balancers, &self.settings, ctx.now_ms)
        {
            let all: Vec<Ipv4Addr> = self.balancers.addresses().collect();
            for balancer in all {
                self.readvertise_all(balancer, ctx);
            }
        }
    }

    /// Returns the agent's report to a balancer.
    pub fn report(&mut self, balancer: Ipv4Addr, ctx: &Context) -> AgentReport {
        let room = self.admission.room(
            &self.target,
            self.limits.as_ref(),
            &self.settings,
            ctx.now_ms,
        );
        let health = self.health_reading(ctx);
        AgentReport {
            incarnation: self.identity.incarnation,
            service: self.identity.service,
            domain: self.identity.domain,
            phase: self.target.phase(),
            is_cold: self.target.is_cold(ctx.now_ms),
            is_stopping: self.is_stopping,
            at_work: saturate(self.table.at_work()),
            open_flows: saturate(self.table.live()),
            capacity: self.target.capacity(),
            room,
            wants_reply: false,
            advertised_total: self.advertised_total(balancer, ctx),
            slowness: send_schedule::send_period_intervals(
                balancer,
                &self.balancers,
                self.identity.domain,
                Pace::Idle,
                &self.settings,
            ),
            service_time_ms: health.service_time_ms,
            failure_permille: health.failure_permille,
            queued: saturate(self.queue.len()),
        }
    }

    /// Returns the reports that are due in this report interval; `source` always gets one and is
    /// asked for a reply.
    pub fn due_reports(
        &mut self,
        recipients: Recipients,
        source: Option<Ipv4Addr>,
        ctx: &Context,
    ) -> Vec<(Ipv4Addr, AgentReport)> {
        let balancers = self.send_schedule.next_interval(
            recipients,
            source,
            &self.balancers,
            self.identity.domain,
            Pace::Idle,
            &self.settings,
        );
        balancers
            .into_iter()
            .map(|balancer| {
                let mut report = self.report(balancer, ctx);
                report.wants_reply = Some(balancer) == source;
                (balancer, report)
            })
            .collect()
    }

    /// Takes the flow advertisements that are ready to be sent.
    pub fn take_advertisements(&mut self) -> Vec<(Ipv4Addr, HeldFlows)> {
        self.advertiser.take_frames()
    }

    /// Advertises all flows to a balancer again, with its count reset.
    pub fn readvertise_all(&mut self, balancer: Ipv4Addr, ctx: &Context) {
        let flows = self.flows_for(balancer, ctx.now_ms);
        self.advertiser.restart(balancer, flows);
    }

    pub(super) fn advertise(&mut self, key: FlowKey, flow: &Flow, now_ms: u64) {
        let mut recipients = self.recipients_of(&key, flow, now_ms);
        if !recipients.contains(&flow.origin) {
            recipients.push(flow.origin);
        }
        for balancer in recipients {
            self.advertiser.enqueue(balancer, key);
        }
    }

    /// Returns the flows that a balancer should know.
    fn flows_for(&self, balancer: Ipv4Addr, now_ms: u64) -> Vec<FlowKey> {
        self.table
            .iter()
            .filter(|(_, flow)| flow.is_held())
            .filter(|(key, flow)| self.recipients_of(key, flow, now_ms).contains(&balancer))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns the balancers that should know a flow: all of them, or some of its caller's domain
    /// if there are too many.
    fn recipients_of(&self, key: &FlowKey, flow: &Flow, now_ms: u64) -> Vec<Ipv4Addr> {
        if self
            .advertisement_scope
            .includes_all_balancers(&self.settings, now_ms)
        {
            return self.balancers.addresses().collect();
        }
        let limit = self.settings.advertisements.told_balancers;
        self.balancers
            .select_recipients(flow.origin_domain, key.hash(), limit)
    }

    /// Returns the number of flows advertised to a balancer, or `None` if the balancer cannot infer
    /// from it which flows this target does not hold.
    fn advertised_total(&self, balancer: Ipv4Addr, ctx: &Context) -> Option<u32> {
        let knows_all = self.knows_all_flows(ctx);
        let is_recipient = self.balancers.domain_of(balancer).is_some();
        (knows_all && is_recipient && self.advertisement_scope.may_report_total())
            .then(|| self.advertiser.total_for(balancer))
    }
}

fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
