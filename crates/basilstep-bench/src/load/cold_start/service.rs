//! One of several targets crashes; its flows stay assigned to its agent.

use super::{
    super::{
        LoadArgs,
        target_model::{CompletionKind, Harness, TargetModel, TargetSettings},
    },
    scenario::{Arrivals, TIMEOUT_MS, WARM_RUN_MS},
};
use basilstep_core::admission::{Admission, AdmissionSettings, RequestId};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// The number of targets of the service.
const TARGETS: usize = 7;
/// How long requests are counted after the crash.
const MEASURED_MS: u64 = 10_000;
/// The offered loads relative to the capacity of the service.
const LOADS: [f64; 2] = [0.8, 1.2];

/// When an agent relays a request that its own target refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayPolicy {
    Never,
    WhileImpaired,
    Always,
}

/// The counts of one run over all callers and agents.
#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    relayed: u32,
    answered: u32,
    refused: u32,
    lost: u32,
    timed_out: u32,
}

struct Service {
    relay: RelayPolicy,
    targets: Vec<Harness<Admission>>,
    arrivals: Vec<Arrivals>,
    relayed: BTreeSet<(usize, RequestId)>,
    counts: Counts,
}

/// Runs each relay policy and returns one row of figures per policy and load.
pub fn rows(args: &LoadArgs, target: TargetSettings) -> Vec<Value> {
    let mut rows = Vec::new();
    for load in LOADS {
        for relay in [
            RelayPolicy::Never,
            RelayPolicy::Always,
            RelayPolicy::WhileImpaired,
        ] {
            let runs: Vec<Service> = (args.seed..args.seed + args.seeds)
                .map(|seed| Service::run(relay, target, load, seed))
                .collect();
            rows.push(row(relay, load, &runs));
        }
    }
    rows
}

fn row(relay: RelayPolicy, load: f64, runs: &[Service]) -> Value {
    let share = |figure: fn(&Counts) -> u32| {
        let shares = runs
            .iter()
            .map(|run| f64::from(figure(&run.counts)) / f64::from(run.counts.requests));
        shares.sum::<f64>() / runs.len() as f64
    };
    json!({
        "scenario": "one of 7 targets falls over, 10 s",
        "load": load,
        "policy": relay.name(),
        "answered_share": share(|counts| counts.answered),
        "refused_share": share(|counts| counts.refused),
        "lost_share": share(|counts| counts.lost),
        "timed_out_share": share(|counts| counts.timed_out),
        "relayed_share": share(|counts| counts.relayed),
        "falls_worst": runs.iter().map(Service::crashes).max(),
    })
}

impl RelayPolicy {
    const fn name(self) -> &'static str {
        match self {
            Self::Never => "refused at once",
            Self::WhileImpaired => "relayed once while impaired (ours)",
            Self::Always => "relayed once always",
        }
    }
}

impl Service {
    fn run(relay: RelayPolicy, target: TargetSettings, load: f64, seed: u64) -> Self {
        let settings = AdmissionSettings {
            request_limit: target.slots,
            ..AdmissionSettings::default()
        };
        let open = |target_number: usize| {
            let admission = Admission::new(settings.clone(), 0);
            let seed = seed * TARGETS as u64 + target_number as u64;
            Harness::new(admission, TargetModel::new(target, 1.0), seed)
        };
        let mut service = Self {
            relay,
            targets: (0..TARGETS).map(open).collect(),
            arrivals: (0..TARGETS)
                .map(|_| Arrivals::new(target.slots, load))
                .collect(),
            relayed: BTreeSet::new(),
            counts: Counts::default(),
        };
        service.step(WARM_RUN_MS);
        service.counts = Counts::default();
        service.targets[0].crash();
        service.step(MEASURED_MS);
        service
    }

    fn crashes(&self) -> u32 {
        self.targets
            .iter()
            .map(|harness| harness.target.crashes())
            .sum()
    }

    fn step(&mut self, length_ms: u64) {
        for _ in 0..length_ms {
            for target_number in 0..TARGETS {
                self.counts.requests +=
                    self.arrivals[target_number].arrive(&mut self.targets[target_number]);
            }
            for target_number in 0..TARGETS {
                for completion in self.targets[target_number].step() {
                    self.complete(target_number, completion.id, completion.kind);
                }
            }
        }
    }

    fn complete(&mut self, target_number: usize, id: RequestId, kind: CompletionKind) {
        let was_relayed = self.relayed.remove(&(target_number, id));
        match kind {
            CompletionKind::Answered => self.counts.answered += 1,
            CompletionKind::Lost => self.counts.lost += 1,
            CompletionKind::TimedOut => self.counts.timed_out += 1,
            CompletionKind::Refused { .. } if !was_relayed && self.should_relay(target_number) => {
                self.relay_to_peer(target_number);
            }
            CompletionKind::Refused { .. } => self.counts.refused += 1,
        }
    }

    fn should_relay(&self, target_number: usize) -> bool {
        match self.relay {
            RelayPolicy::Never => false,
            RelayPolicy::WhileImpaired => self.targets[target_number].is_impaired(),
            RelayPolicy::Always => true,
        }
    }

    /// Relays a request to a random other agent, without knowledge of which agent has room.
    fn relay_to_peer(&mut self, from: usize) {
        let step = self.targets[from].context.rng.random_range(1..TARGETS);
        let to = (from + step) % TARGETS;
        let id = self.targets[to].arrive(TIMEOUT_MS);
        self.relayed.insert((to, id));
        self.counts.relayed += 1;
    }
}
