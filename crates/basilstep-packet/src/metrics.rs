//! Counters and latency histograms in the Prometheus text format.

use basilstep_core::{
    codes::ResultCode,
    flows::{
        agent::{HealthReading, QueueOutcome},
        balancer::Standing,
    },
    hedging::HedgeCounts,
};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
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
    gauges: BTreeMap<&'static str, IntGauge>,
    hedges: IntCounterVec,
    /// The time from the arrival of a SYN at the agent to the target's answer.
    pub handshake_ms: Histogram,
    /// SYNs that an agent has queued.
    pub queued_syns: IntCounter,
    released_syns: IntCounterVec,
    queue_wait_ms: Histogram,
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
        let queued_syns = IntCounter::new(
            "basilstep_queued_total",
            "SYNs that entered the admission queue",
        )
        .expect("the name of the counter is well formed");
        let released_syns = IntCounterVec::new(
            Opts::new(
                "basilstep_queue_left_total",
                "SYNs that left the admission queue by outcome",
            ),
            &["outcome"],
        )
        .expect("the name of the counter is well formed");
        let queue_wait_ms = Histogram::with_opts(
            HistogramOpts::new(
                "basilstep_queue_wait_ms",
                "Time of a SYN in the admission queue in milliseconds",
            )
            .buckets(LATENCY_BUCKETS_MS.to_vec()),
        )
        .expect("the name of the histogram is well formed");
        for collector in [
            Box::new(decisions.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(hedges.clone()),
            Box::new(handshake_ms.clone()),
            Box::new(queued_syns.clone()),
            Box::new(released_syns.clone()),
            Box::new(queue_wait_ms.clone()),
        ] {
            registry
                .register(collector)
                .expect("each metric is registered once");
        }
        Self {
            registry,
            decisions,
            counters: BTreeMap::new(),
            gauges: BTreeMap::new(),
            hedges,
            handshake_ms,
            queued_syns,
            released_syns,
            queue_wait_ms,
        }
    }

    /// Counts a packet under the result code of its decision.
    pub fn count(&mut self, code: ResultCode) {
        self.counters
            .entry(code)
            .or_insert_with(|| self.decisions.with_label_values(&[&code.to_string()]))
            .inc();
    }

    /// Counts a SYN that has left the admission queue after `waited_ms`.
    pub fn count_released(&mut self, outcome: QueueOutcome, waited_ms: u64) {
        let name = match outcome {
            QueueOutcome::Admitted => "admitted",
            QueueOutcome::Expired => "expired",
            QueueOutcome::Evicted => "evicted",
            QueueOutcome::Withdrawn => "withdrawn",
        };
        self.released_syns.with_label_values(&[name]).inc();
        self.queue_wait_ms.observe(waited_ms as f64);
    }

    /// Sets how long ago the store last confirmed the settings; the gauge appears with the first
    /// known age.
    ///
    /// # Panics
    ///
    /// Panics if the name of the gauge is malformed, which is never the case.
    pub fn set_settings_age(&mut self, age_ms: Option<u64>) {
        if let Some(age_ms) = age_ms {
            self.set_gauge(
                "basilstep_settings_age_ms",
                "Time since the store last confirmed the operators' settings in milliseconds",
                i64::try_from(age_ms).unwrap_or(i64::MAX),
            );
        }
    }

    /// Sets how many peers speak an older version than this process.
    ///
    /// # Panics
    ///
    /// Panics if the name of the gauge is malformed, which is never the case.
    pub fn set_older_peers(&mut self, peers: usize) {
        self.set_gauge(
            "basilstep_older_peers",
            "Peers that speak an older version of frames than this process",
            i64::try_from(peers).unwrap_or(i64::MAX),
        );
    }

    /// Sets the health of the agent's target.
    ///
    /// # Panics
    ///
    /// Panics if the name of a gauge is malformed, which is never the case.
    pub fn set_target_health(&mut self, health: HealthReading) {
        self.set_gauge(
            "basilstep_service_time_ms",
            "Time of the target for a request that was not queued in milliseconds, 0 if unknown",
            i64::from(health.service_time_ms),
        );
        self.set_gauge(
            "basilstep_failure_permille",
            "Share of the target's recent requests without an answer in thousandths",
            i64::from(health.failure_permille),
        );
    }

    /// Sets how many targets count as slow and as avoided.
    ///
    /// # Panics
    ///
    /// Panics if the name of a gauge is malformed, which is never the case.
    pub fn set_standings(&mut self, standings: impl Iterator<Item = Standing>) {
        let (mut slow, mut avoided) = (0, 0);
        for standing in standings {
            slow += i64::from(standing == Standing::Slow);
            avoided += i64::from(standing == Standing::Avoided);
        }
        self.set_gauge(
            "basilstep_slow_targets",
            "Targets that get fewer new flows because they are slow",
            slow,
        );
        self.set_gauge(
            "basilstep_avoided_targets",
            "Targets that get only probe flows because of their failures",
            avoided,
        );
    }

    fn set_gauge(&mut self, name: &'static str, help: &str, value: i64) {
        let registry = &self.registry;
        self.gauges
            .entry(name)
            .or_insert_with(|| {
                let gauge =
                    IntGauge::new(name, help).expect("the name of the gauge is well formed");
                registry
                    .register(Box::new(gauge.clone()))
                    .expect("the gauge is registered once");
                gauge
            })
            .set(value);
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
