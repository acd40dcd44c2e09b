//! Counters and latency histograms in the Prometheus text format.

use basilstep_core::{codes::ResultCode, hedging::HedgeCounts};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::collections::BTreeMap;

/// The port on which each process serves its metrics and its state.
pub const METRICS_PORT: u16 = 9_464;

/// Upper bounds of the latency buckets, in milliseconds.
const LATENCY_BUCKETS_MS: [f64; 12] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0,
];

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    decisions: IntCounterVec,
    counters: BTreeMap<ResultCode, prometheus::IntCounter>,
    settings_age_ms: Option<IntGauge>,
    hedges: IntCounterVec,
    /// The time from the arrival of a SYN at the agent to the target's answer.
    pub handshake_ms: Histogram,
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Panics
    ///
    /// Panics if the name of a metric is malformed or registered twice, which is never the case.
    pub fn new() -> Self {
        let registry = Registry::new();
        let decisions = IntCounterVec::new(
            Opts::new("basilstep_decisions_total", "Packets by result code"),
            &["code"],
        )
        .expect("the name of the counter is well formed");
        let hedges = IntCounterVec::new(
            Opts::new(
                "basilstep_hedges_total",
                "Second offers of SYNs by what became of them",
            ),
            &["result"],
        )
        .expect("the name of the counter is well formed");
        let handshake_ms = Histogram::with_opts(
            HistogramOpts::new(
                "basilstep_opening_ms",
                "Time from a SYN to the target's answer in milliseconds",
            )
            .buckets(LATENCY_BUCKETS_MS.to_vec()),
        )
        .expect("the name of the histogram is well formed");
        for collector in [
            Box::new(decisions.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(hedges.clone()),
            Box::new(handshake_ms.clone()),
        ] {
            registry
                .register(collector)
                .expect("each metric is registered once");
        }
        Self {
            registry,
            decisions,
            counters: BTreeMap::new(),
            settings_age_ms: None,
            hedges,
            handshake_ms,
        }
    }

    /// Counts a packet under the result code of its decision.
    pub fn count(&mut self, code: ResultCode) {
        self.counters
            .entry(code)
            .or_insert_with(|| self.decisions.with_label_values(&[&code.to_string()]))
            .inc();
    }

    /// Sets how long ago the store last confirmed the settings; the gauge appears with the first
    /// known age.
    ///
    /// # Panics
    ///
    /// Panics if the name of the gauge is malformed, which is never the case.
    pub fn set_settings_age(&mut self, age_ms: Option<u64>) {
        let Some(age_ms) = age_ms else {
            return;
        };
        let registry = &self.registry;
        self.settings_age_ms
            .get_or_insert_with(|| {
                let gauge = IntGauge::new(
                    "basilstep_settings_age_ms",
                    "Time since the store last confirmed the operators' settings in milliseconds",
                )
                .expect("the name of the gauge is well formed");
                registry
                    .register(Box::new(gauge.clone()))
                    .expect("the gauge is registered once");
                gauge
            })
            .set(i64::try_from(age_ms).unwrap_or(i64::MAX));
    }

    /// Sets how many second offers were sent and refused since the start of the process.
    pub fn set_hedges(&self, counts: &HedgeCounts) {
        for (result, count) in [
            ("sent", counts.sent),
            ("won", counts.won),
            ("refused_by_budget", counts.refused_by_budget),
            ("refused_by_overload", counts.refused_by_overload),
            ("without_candidate", counts.without_candidate),
        ] {
            if count > 0 {
                let counter = self.hedges.with_label_values(&[result]);
                counter.inc_by(count.saturating_sub(counter.get()));
            }
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(reason:% = error; "failed to encode the metrics");
        }
        text
    }
}
