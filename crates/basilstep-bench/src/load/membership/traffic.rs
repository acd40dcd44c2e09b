//! Counts each member's traffic in windows of one and ten seconds.

use basilstep_core::membership::MembershipMessage;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const SECOND_MS: u64 = 1_000;
const LONG_WINDOW_S: usize = 10;

/// The purpose of a message.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MessagePurpose {
    /// Heartbeats and announcements.
    Announce,
    /// Acknowledgements.
    Ack,
    /// Reports of unresponsive agents, probes and their answers.
    Probe,
    /// Gossip between balancers.
    Gossip,
    /// Comparisons of views (anti-entropy).
    Sync,
}

impl MessagePurpose {
    /// Returns the purpose of a message.
    pub fn of(message: &MembershipMessage) -> Self {
        match message {
            MembershipMessage::Heartbeat(_) | MembershipMessage::Announce(_) => Self::Announce,
            MembershipMessage::Ack(_) => Self::Ack,
            MembershipMessage::Probe
            | MembershipMessage::ProbeAnswer(_)
            | MembershipMessage::UnresponsiveAgent { .. } => Self::Probe,
            MembershipMessage::BucketDigests { .. }
            | MembershipMessage::BucketStates(_)
            | MembershipMessage::Difference(_) => Self::Sync,
            _ => Self::Gossip,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Announce => "announce",
            Self::Ack => "ack",
            Self::Probe => "probe",
            Self::Gossip => "gossip",
            Self::Sync => "sync",
        }
    }
}

/// The bytes of all members since the last reset.
#[derive(Clone, Debug)]
pub struct Traffic {
    balancers: usize,
    window_end_ms: u64,
    started_ms: u64,
    current: Vec<Bytes>,
    history: Vec<Vec<Bytes>>,
    sent_by_purpose: BTreeMap<MessagePurpose, u64>,
    messages: u64,
    transfer_bytes: u64,
    transfers: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bytes {
    sent: u32,
    received: u32,
}

impl Bytes {
    fn total(self) -> u64 {
        u64::from(self.sent) + u64::from(self.received)
    }
}

impl Traffic {
    /// Creates counters at zero.
    pub fn new(balancers: usize, agents: usize, now_ms: u64) -> Self {
        Self {
            balancers,
            window_end_ms: now_ms + SECOND_MS,
            started_ms: now_ms,
            current: vec![Bytes::default(); balancers + agents],
            history: Vec::new(),
            sent_by_purpose: BTreeMap::new(),
            messages: 0,
            transfer_bytes: 0,
            transfers: 0,
        }
    }

    /// Resets all counters.
    pub fn reset(&mut self, now_ms: u64) {
        *self = Self::new(self.balancers, self.current.len() - self.balancers, now_ms);
    }

    /// Counts a datagram that a member sends.
    pub fn count_sent(&mut self, member: usize, bytes: usize, purpose: MessagePurpose) {
        self.current[member].sent += bytes as u32;
        *self.sent_by_purpose.entry(purpose).or_default() += bytes as u64;
        self.messages += 1;
    }

    /// Counts a datagram that a member receives.
    pub fn count_received(&mut self, member: usize, bytes: usize) {
        self.current[member].received += bytes as u32;
    }

    /// Counts a transfer over TCP, separately from the datagrams.
    pub fn count_transfer(&mut self, _from: usize, _to: usize, bytes: usize) {
        self.transfer_bytes += bytes as u64;
        self.transfers += 1;
    }

    /// Closes the windows that have ended.
    pub fn close_windows(&mut self, now_ms: u64) {
        while now_ms >= self.window_end_ms {
            let next = vec![Bytes::default(); self.current.len()];
            self.history
                .push(std::mem::replace(&mut self.current, next));
            self.window_end_ms += SECOND_MS;
        }
    }

    /// Returns the mean traffic of a balancer in bytes per second, sent and received, for each
    /// second.
    pub fn balancer_means(&self) -> Vec<f64> {
        self.history
            .iter()
            .map(|second| {
                let sum: u64 = second[..self.balancers].iter().map(|b| b.total()).sum();
                sum as f64 / self.balancers as f64
            })
            .collect()
    }

    /// Returns the figures.
    pub fn report(&self) -> Value {
        let seconds = self.history.len().max(1) as f64;
        let per_balancer = |bytes: u64| bytes as f64 / seconds / self.balancers as f64;
        let roles: BTreeMap<&str, f64> = self
            .sent_by_purpose
            .iter()
            .map(|(purpose, bytes)| (purpose.name(), rounded(per_balancer(*bytes))))
            .collect();
        json!({
            "seconds": self.history.len(),
            "balancer_bytes_per_s": self.windows(0..self.balancers),
            "agent_bytes_per_s": self.windows(self.balancers..self.current.len()),
            "all_sent_bytes_per_s_a_balancer_by_role": roles,
            "messages": self.messages,
            "bulk_transfers": self.transfers,
            "bulk_bytes_total": self.transfer_bytes,
        })
    }

    fn windows(&self, members: std::ops::Range<usize>) -> Value {
        let sent = self.samples(members.clone(), 1, |bytes| u64::from(bytes.sent));
        let total = self.samples(members.clone(), 1, Bytes::total);
        let long_window = self.samples(members, LONG_WINDOW_S, Bytes::total);
        json!({
            "sent_1s": summary(sent),
            "sent_and_received_1s": summary(total),
            "sent_and_received_10s": summary(long_window),
        })
    }

    fn samples(
        &self,
        members: std::ops::Range<usize>,
        window_s: usize,
        bytes: impl Fn(Bytes) -> u64,
    ) -> Vec<f64> {
        let mut samples = Vec::new();
        for seconds in self.history.chunks_exact(window_s) {
            for member in members.clone() {
                let sum: u64 = seconds.iter().map(|second| bytes(second[member])).sum();
                samples.push(sum as f64 / window_s as f64);
            }
        }
        samples
    }

    /// Returns when counting started.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }
}

/// Returns the mean, the median, the 99th percentile and the maximum of some samples.
pub fn summary(mut samples: Vec<f64>) -> Value {
    if samples.is_empty() {
        return Value::Null;
    }
    samples.sort_by(f64::total_cmp);
    let mean = samples.iter().sum::<f64>() / samples.len() as f64;
    let at = |permille: usize| samples[(samples.len() - 1) * permille / 1_000];
    json!({
        "mean": rounded(mean),
        "p50": rounded(at(500)),
        "p99": rounded(at(990)),
        "max": rounded(at(1_000)),
    })
}

fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
