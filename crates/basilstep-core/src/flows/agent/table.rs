use super::sequence_window::SequenceWindow;
use crate::{
    address::DomainId,
    flows::{
        handshake::HANDSHAKE_TIMEOUT_MS,
        key::FlowKey,
        recent_keys::RecentKeys,
        segment::{Segment, is_ahead},
    },
};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// The maximum number of idle flows that are remembered after they were discarded: several times the
/// flows that callers keep open to one target, in about 1 MB.
const MAX_IDLE_FLOWS: usize = 8_192;

/// The longest time between two retransmissions of a caller that waits for something.
const MAX_CALLER_PAUSE_MS: u64 = 1_600;

/// The stage of a flow in its life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowStage {
    /// The SYN was sent to the target.
    Offered,
    /// A later packet of a flow that was not in the table was sent to the target.
    Probed,
    /// The target has answered the SYN; the caller may have accepted another target's answer.
    Answered,
    /// The caller has acknowledged the answer, or the target has answered a later packet.
    Open,
    /// The flow was open, and perhaps its target's incarnation has ended since: its next packet tells.
    Doubted,
    /// Both ends have closed the flow, or one end has reset it.
    Closed,
    /// The incarnation of the target that held the flow has ended.
    Lost,
}

/// What the caller of a flow is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerWait {
    /// Nothing: the caller has its answer or has not sent a request yet.
    Nothing,
    /// The caller waits for an answer.
    Answer,
    /// The caller has waited for so long that it has probably given up.
    GivenUp,
}

/// A flow in the table of an agent.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// The stage of the flow.
    pub stage: FlowStage,
    /// The target is only asked whether it holds the flow, like those of other agents.
    pub is_search: bool,
    /// The balancer that forwarded the caller's last packet.
    pub origin: Ipv4Addr,
    /// The failure domain of that balancer.
    pub origin_domain: DomainId,
    /// When the SYN, or the first packet seen, arrived.
    pub opened_ms: u64,
    /// When the last packet in either direction passed.
    pub used_ms: u64,
    /// What the caller is waiting for.
    pub wait: CallerWait,
    /// When the caller last sent new data, or opened the flow.
    pub requested_ms: u64,
    /// When the last packet arrived that certainly was one of this flow's caller.
    caller_seen_ms: u64,
    /// When the first SYN of the flow arrived, or a later one of another flow with the same key that
    /// went to the target.
    pub syn_arrived_ms: u64,
    /// The target's first sequence number, if its answer to the SYN was seen.
    target_first_sequence: Option<u32>,
    /// What the caller can acknowledge; `None` until a packet shows it.
    window: Option<SequenceWindow>,
    /// The window of another flow with the same key that the target may have accepted: the caller's
    /// next packet tells.
    successor: Option<SequenceWindow>,
    caller_end_sequence: Option<u32>,
    is_caller_finished: bool,
    is_target_finished: bool,
}

impl Flow {
    /// Creates a flow whose first packet was forwarded by `origin`.
    pub const fn new(
        stage: FlowStage,
        origin: Ipv4Addr,
        origin_domain: DomainId,
        now_ms: u64,
    ) -> Self {
        Self {
            stage,
            is_search: false,
            origin,
            origin_domain,
            opened_ms: now_ms,
            used_ms: now_ms,
            wait: CallerWait::Nothing,
            requested_ms: now_ms,
            caller_seen_ms: now_ms,
            syn_arrived_ms: now_ms,
            target_first_sequence: None,
            window: None,
            successor: None,
            caller_end_sequence: None,
            is_caller_finished: false,
            is_target_finished: false,
        }
    }

    /// Creates a flow that is not known to the agent, but perhaps to its target, from a packet of its
    /// caller.
    pub fn probed(
        segment: &Segment,
        origin: Ipv4Addr,
        origin_domain: DomainId,
        now_ms: u64,
    ) -> Self {
        let mut flow = Self::new(FlowStage::Probed, origin, origin_domain, now_ms);
        if segment.flags.ack {
            flow.window = Some(SequenceWindow::from_middle(segment.acknowledged, now_ms));
        }
        flow
    }

    /// Returns the highest acknowledgement number of the caller.
    pub fn caller_acknowledged(&self) -> u32 {
        self.window.map_or(0, |window| window.acknowledged())
    }

    /// Returns whether a packet of the caller can continue what this target has sent.
    ///
    /// Packets that may be late ones of this flow are included: if they are, the target ignores them,
    /// while a refusal could end the flow.
    pub fn may_include(&self, segment: &Segment) -> bool {
        let Some(window) = &self.window else {
            // The target has not answered the SYN, so no later packet can belong to it.
            return self.stage != FlowStage::Offered;
        };
        !segment.flags.ack
            || window.may_contain(segment.acknowledged)
            || self.is_succeeded_by(segment)
    }

    /// Returns whether a packet of the caller certainly belongs to this flow, and not to another one
    /// with the same key at another target.
    pub fn surely_includes(&self, segment: &Segment) -> bool {
        !segment.flags.ack
            || self
                .window
                .map_or(self.stage != FlowStage::Offered, |window| {
                    window.surely_contains(segment.acknowledged)
                })
    }

    /// Returns whether the caller has used this open flow so recently that it is probably still using
    /// it, and not another one with the same key.
    pub fn is_in_use(&self, now_ms: u64) -> bool {
        self.is_open() && now_ms < self.caller_seen_ms + MAX_CALLER_PAUSE_MS
    }

    /// Returns whether a packet of the caller belongs to another flow with the same key that the
    /// target has accepted.
    fn is_succeeded_by(&self, segment: &Segment) -> bool {
        let is_in = |window: &SequenceWindow| {
            let acknowledged = segment.acknowledged;
            window.may_contain(acknowledged) && window.surely_contains(acknowledged)
        };
        segment.flags.ack
            && self.successor.as_ref().is_some_and(is_in)
            && !self.window.as_ref().is_some_and(is_in)
    }

    /// Returns whether the caller has completed the handshake, neither end has closed the flow, and it
    /// is not known to be lost.
    pub const fn is_open(&self) -> bool {
        matches!(self.stage, FlowStage::Open | FlowStage::Doubted)
    }

    /// Returns whether the target has accepted the flow and neither end has closed it.
    pub const fn is_held(&self) -> bool {
        matches!(self.stage, FlowStage::Answered) || self.is_open()
    }

    /// Returns whether a SYN that arrives now belongs to another flow with the same key.
    ///
    /// The caller sends no more SYNs of this flow; a copy that the network has delayed for longer is
    /// answered by the target as such.
    pub const fn is_followed_by_syn(&self, now_ms: u64) -> bool {
        now_ms >= self.syn_arrived_ms + HANDSHAKE_TIMEOUT_MS
    }

    /// Returns whether a packet of the target accepts another flow with the same key.
    ///
    /// The target repeats its answer to a late copy of the SYN with the sequence number at which it
    /// has begun this flow.
    pub fn is_replaced_by(&self, segment: &Segment) -> bool {
        self.syn_arrived_ms > self.opened_ms
            && segment.flags.syn
            && segment.flags.ack
            && self
                .target_first_sequence
                .is_some_and(|first| first != segment.sequence)
    }

    /// Returns whether a packet of the target starts the answer to the caller's last request.
    pub const fn is_answered_by(&self, segment: &Segment) -> bool {
        matches!(self.wait, CallerWait::Answer) && segment.data_bytes > 0
    }

    /// Updates the flow for a packet of the caller that goes to the target.
    pub fn record_caller_packet(&mut self, segment: &Segment, now_ms: u64) {
        if let Some(window) = self.successor.filter(|_| self.is_succeeded_by(segment)) {
            self.replace();
            self.stage = FlowStage::Answered;
            self.target_first_sequence = Some(window.acknowledged());
            self.window = Some(window);
        }
        self.used_ms = now_ms;
        if self.surely_includes(segment) {
            self.caller_seen_ms = now_ms;
        }
        if segment.flags.ack {
            self.record_acknowledged(segment.acknowledged, now_ms);
            if self.stage == FlowStage::Answered {
                self.stage = FlowStage::Open;
            }
        }
        if segment.data_bytes > 0 {
            if self.stage == FlowStage::Closed && !self.is_finished() {
                // The reset was late and belonged to an earlier flow with the same key; otherwise the
                // target answers with another one.
                self.stage = FlowStage::Open;
            }
            let end = segment.end_sequence();
            if self
                .caller_end_sequence
                .is_none_or(|known| is_ahead(end, known))
            {
                self.caller_end_sequence = Some(end);
                self.wait = CallerWait::Answer;
                self.requested_ms = now_ms;
            }
        }
        self.is_caller_finished |= segment.flags.fin;
        if segment.flags.rst {
            self.close();
        }
        self.close_if_finished();
    }

    /// Updates the flow for a packet of the target.
    pub fn record_target_packet(&mut self, segment: &Segment, now_ms: u64) {
        if self.is_replaced_by(segment) {
            self.replace();
        }
        self.used_ms = now_ms;
        self.record_sent(segment, now_ms);
        match self.stage {
            FlowStage::Offered if segment.flags.syn => self.stage = FlowStage::Answered,
            FlowStage::Probed => self.stage = FlowStage::Open,
            FlowStage::Doubted if !segment.flags.syn => self.stage = FlowStage::Open,
            _ => {}
        }
        if segment.data_bytes > 0 {
            self.wait = CallerWait::Nothing;
        }
        self.is_target_finished |= segment.flags.fin;
        if segment.flags.rst {
            self.close();
        }
        self.close_if_finished();
    }

    /// Starts afresh for another flow with the same key, whose SYN came last.
    fn replace(&mut self) {
        *self = Self {
            is_search: self.is_search,
            ..Self::new(
                FlowStage::Offered,
                self.origin,
                self.origin_domain,
                self.syn_arrived_ms,
            )
        };
    }

    fn record_acknowledged(&mut self, acknowledged: u32, now_ms: u64) {
        if let Some(window) = &mut self.window {
            if window.surely_contains(acknowledged) {
                self.successor = None;
            }
            window.record_acknowledged(acknowledged, now_ms);
        } else {
            self.window = Some(SequenceWindow::from_middle(acknowledged, now_ms));
        }
    }

    fn record_sent(&mut self, segment: &Segment, now_ms: u64) {
        let sequence = segment.sequence;
        if segment.flags.syn && segment.flags.ack {
            let window = SequenceWindow::from_start(sequence, now_ms);
            let is_opening = matches!(self.stage, FlowStage::Offered | FlowStage::Answered);
            if self.window.is_none() || is_opening {
                self.target_first_sequence = Some(sequence);
                self.window = Some(window);
            } else if self.target_first_sequence != Some(sequence) {
                self.successor = Some(window);
            }
        } else if !segment.flags.rst {
            let window = match &mut self.successor {
                Some(successor) if successor.surely_contains(sequence) => Some(successor),
                _ => self.window.as_mut(),
            };
            if let Some(window) = window {
                window.record_sent(sequence, segment.end_sequence());
            }
        }
    }

    const fn is_finished(&self) -> bool {
        self.is_caller_finished && self.is_target_finished
    }

    fn close_if_finished(&mut self) {
        if self.is_finished() {
            self.close();
        }
    }

    fn close(&mut self) {
        self.wait = CallerWait::Nothing;
        if self.stage != FlowStage::Lost {
            self.stage = FlowStage::Closed;
        }
    }

    const fn is_live(&self) -> bool {
        matches!(
            self.stage,
            FlowStage::Offered | FlowStage::Probed | FlowStage::Answered | FlowStage::Open
        )
    }

    const fn is_at_work(&self) -> bool {
        match self.wait {
            CallerWait::Answer => self.is_live(),
            CallerWait::Nothing => {
                matches!(self.stage, FlowStage::Offered | FlowStage::Answered)
            }
            CallerWait::GivenUp => false,
        }
    }

    /// Returns whether the caller has waited longer than callers do.
    const fn is_overdue(&self, limits: &WaitLimits, now_ms: u64) -> bool {
        let limit_ms = match self.stage {
            FlowStage::Open => limits.answer_ms,
            _ => limits.handshake_ms,
        };
        now_ms >= self.requested_ms + limit_ms
    }
}

/// How long callers wait before their flows and requests no longer count as work.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// For a flow whose caller does not complete the handshake.
    pub handshake_ms: u64,
    /// For an answer to a request.
    pub answer_ms: u64,
}

/// The flows of a target, with running counts of live flows and of requests at work.
#[derive(Clone, Debug)]
pub struct FlowTable {
    flows: BTreeMap<FlowKey, Flow>,
    /// Open flows that were discarded because they were idle, with the time of their last packet; the
    /// target may still hold them.
    idle: RecentKeys<FlowKey>,
    live: usize,
    at_work: usize,
}

impl Default for FlowTable {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            idle: RecentKeys::new(MAX_IDLE_FLOWS),
            live: 0,
            at_work: 0,
        }
    }
}

impl FlowTable {
    /// Returns a flow.
    pub fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.flows.get(key)
    }

    /// Adds a flow and replaces an earlier one with the same key.
    pub fn insert(&mut self, key: FlowKey, flow: Flow) {
        self.remove(&key);
        self.idle.remove(&key);
        self.update_counts(&flow, true);
        self.flows.insert(key, flow);
    }

    /// Removes a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        let flow = self.flows.remove(key)?;
        self.update_counts(&flow, false);
        Some(flow)
    }

    /// Ends a flow that was discarded while it was open; returns whether it was.
    pub fn end_idle(&mut self, key: &FlowKey) -> bool {
        self.idle.remove(key)
    }

    /// Changes a flow and returns its new state.
    pub fn update(&mut self, key: &FlowKey, change: impl FnOnce(&mut Flow)) -> Option<Flow> {
        let flow = self.flows.get_mut(key)?;
        let before = *flow;
        change(flow);
        let after = *flow;
        self.update_counts(&before, false);
        self.update_counts(&after, true);
        Some(after)
    }

    /// Returns all flows.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &Flow)> {
        self.flows.iter()
    }

    /// Returns how many flows the target holds.
    pub const fn live(&self) -> usize {
        self.live
    }

    /// Returns how many requests the target is processing or has queued.
    pub const fn at_work(&self) -> usize {
        self.at_work
    }

    /// Marks the open flows that arrived until `opened_until_ms` as lost and returns them in their
    /// previous state.
    ///
    /// Flows whose callers have not completed the handshake here are removed: they may be open at
    /// another target.
    pub fn mark_lost(&mut self, opened_until_ms: u64, now_ms: u64) -> Vec<(FlowKey, Flow)> {
        self.idle.expire(opened_until_ms.saturating_add(1));
        let mut lost: Vec<(FlowKey, Flow)> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.is_live() || flow.is_open())
            .filter(|(_, flow)| flow.opened_ms <= opened_until_ms)
            .map(|(key, flow)| (*key, *flow))
            .collect();
        for (key, flow) in &lost {
            if flow.is_open() {
                self.update(key, |flow| {
                    flow.stage = FlowStage::Lost;
                    flow.used_ms = now_ms;
                });
            } else {
                self.remove(key);
            }
        }
        lost.retain(|(_, flow)| flow.is_open());
        lost
    }

    /// Doubts the open flows: their target's incarnation may have ended.
    pub fn doubt_all(&mut self) {
        self.replace_stage(FlowStage::Open, FlowStage::Doubted);
    }

    /// Takes the doubt back: their target's incarnation is running.
    pub fn trust_all(&mut self) {
        self.replace_stage(FlowStage::Doubted, FlowStage::Open);
    }

    fn replace_stage(&mut self, from: FlowStage, to: FlowStage) {
        let keys: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.stage == from)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.update(&key, |flow| flow.stage = to);
        }
    }

    /// Stops counting flows and requests that callers have probably given up.
    pub fn expire_waits(&mut self, limits: &WaitLimits, now_ms: u64) {
        for flow in self.flows.values_mut() {
            if flow.is_at_work() && flow.is_overdue(limits, now_ms) {
                flow.wait = CallerWait::GivenUp;
                self.at_work -= 1;
            }
        }
    }

    /// Removes flows by the time of their last packet.
    pub fn expire(&mut self, open_before_ms: u64, others_before_ms: u64) {
        let expired: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| {
                let limit_ms = if flow.is_open() {
                    open_before_ms
                } else {
                    others_before_ms
                };
                flow.used_ms < limit_ms
            })
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            let flow = self.remove(&key);
            if let Some(open) = flow.filter(Flow::is_open) {
                self.idle.insert(key, open.used_ms);
            }
        }
    }

    fn update_counts(&mut self, flow: &Flow, is_added: bool) {
        let live = usize::from(flow.is_live());
        let at_work = usize::from(flow.is_at_work());
        if is_added {
            self.live += live;
            self.at_work += at_work;
        } else {
            self.live -= live;
            self.at_work -= at_work;
        }
    }
}
