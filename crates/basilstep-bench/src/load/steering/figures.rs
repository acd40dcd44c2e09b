use hdrhistogram::Histogram;
use serde_json::{Value, json};

const MAX_MS: u64 = 60_000;

/// The counts of a run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that timed out.
    pub timed_out: u64,
    /// Requests that ended with a reset.
    pub resets: u64,
    /// Resets of flows that their target still held.
    pub wrong_resets: u64,
    /// Attempts to open a flow that failed.
    pub unopened: u64,
    /// Forwarded packets, counted in frames.
    pub forwards: u64,
    /// Packets from callers.
    pub packets: u64,
    /// Bytes of packets forwarded to another domain.
    pub cross_domain_bytes: u64,
    /// Frames without a packet.
    pub control_frames: u64,
    /// Bytes of frames without a packet.
    pub control_bytes: u64,
    /// The latencies of answered requests.
    pub latency_ms: Histogram<u64>,
}

impl Default for Figures {
    fn default() -> Self {
        Self {
            requests: 0,
            answered: 0,
            timed_out: 0,
            resets: 0,
            wrong_resets: 0,
            unopened: 0,
            forwards: 0,
            packets: 0,
            cross_domain_bytes: 0,
            control_frames: 0,
            control_bytes: 0,
            latency_ms: Histogram::new_with_max(MAX_MS, 3).expect("the bounds are valid"),
        }
    }
}

impl Figures {
    /// Adds the counts of another run.
    ///
    /// # Panics
    ///
    /// Panics when the histograms have different bounds, which cannot happen.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.timed_out += other.timed_out;
        self.resets += other.resets;
        self.wrong_resets += other.wrong_resets;
        self.unopened += other.unopened;
        self.forwards += other.forwards;
        self.packets += other.packets;
        self.cross_domain_bytes += other.cross_domain_bytes;
        self.control_frames += other.control_frames;
        self.control_bytes += other.control_bytes;
        self.latency_ms
            .add(&other.latency_ms)
            .expect("all histograms have the same bounds");
    }

    /// Returns the figures as one JSON object.
    pub fn summary(&self) -> Value {
        json!({
            "requests": self.requests,
            "answered": self.answered,
            "timed_out": self.timed_out,
            "resets": self.resets,
            "wrong_resets": self.wrong_resets,
            "unopened": self.unopened,
            "packets": self.packets,
            "carries_per_packet": ratio(self.forwards, self.packets),
            "cross_domain_bytes": self.cross_domain_bytes,
            "control_frames": self.control_frames,
            "control_bytes": self.control_bytes,
            "latency_p50_ms": self.latency_ms.value_at_quantile(0.5),
            "latency_p99_ms": self.latency_ms.value_at_quantile(0.99),
        })
    }
}

fn ratio(count: u64, total: u64) -> f64 {
    (count as f64 / total.max(1) as f64 * 1_000.0).round() / 1_000.0
}
