//! One of several targets falls over; its flows stay with its agent.

use super::{
    super::{
        LoadArgs,
        target_model::{EndingKind, Harness, TargetModel, TargetSettings},
    },
    scenario::{Arrivals, TIMEOUT_MS, WARM_RUN_MS},
};
use basilstep_core::admission::{Admission, AdmissionSettings, RequestId};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// The targets of the service.
const TARGETS: usize = 7;
/// How long the service is watched after one of them fell over.
const WATCH_MS: u64 = 10_000;
/// The load of the service relative to its capacity.
const LOADS: [f64; 2] = [0.8, 1.2];

/// When an agent relays what its target refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Relay {
    Never,
    WhileImpaired,
    Always,
}

/// What the callers and agents of one run saw.
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
    relay: Relay,
    targets: Vec<Harness<Admission>>,
    arrivals: Vec<Arrivals>,
    relayed: BTreeSet<(usize, RequestId)>,
    counts: Counts,
}

/// Runs each policy and returns its figures.
pub fn rows(args: &LoadArgs, target: TargetSettings) -> Vec<Value> {
    let mut rows = Vec::new();
    for load in LOADS {
        for relay in [Relay::Never, Relay::Always, Relay::WhileImpaired] {
            let runs: Vec<Service> = (args.seed..args.seed + args.seeds)
                .map(|seed| Service::run(relay, target, load, seed))
                .collect();
            rows.push(row(relay, load, &runs));
        }
    }
    rows
}

fn row(relay: Relay, load: f64, runs: &[Service]) -> Value {
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
        "falls_worst": runs.iter().map(Service::falls).max(),
    })
}

impl Relay {
    const fn name(self) -> &'static str {
        match self {
            Self::Never => "refused at once",
            Self::WhileImpaired => "relayed once while impaired (ours)",
            Self::Always => "relayed once always",
        }
    }
}

impl Service {
    fn run(relay: Relay, target: TargetSettings, load: f64, seed: u64) -> Self {
        let settings = AdmissionSettings {
            request_limit: target.slots,
            ..AdmissionSettings::default()
        };
        let open = |number: usize| {
            let gate = Admission::new(settings.clone(), 0);
            let seed = seed * TARGETS as u64 + number as u64;
            Harness::new(gate, TargetModel::new(target, 1.0), seed)
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
        service.step(WATCH_MS);
        service
    }

    fn falls(&self) -> u32 {
        self.targets.iter().map(|one| one.target.falls()).sum()
    }

    fn step(&mut self, length_ms: u64) {
        for _ in 0..length_ms {
            for number in 0..TARGETS {
                self.counts.requests += self.arrivals[number].arrive(&mut self.targets[number]);
            }
            for number in 0..TARGETS {
                for ending in self.targets[number].step() {
                    self.end(number, ending.id, ending.kind);
                }
            }
        }
    }

    fn end(&mut self, number: usize, id: RequestId, kind: EndingKind) {
        let was_relayed = self.relayed.remove(&(number, id));
        match kind {
            EndingKind::Answered => self.counts.answered += 1,
            EndingKind::Lost => self.counts.lost += 1,
            EndingKind::TimedOut => self.counts.timed_out += 1,
            EndingKind::Refused { .. } if !was_relayed && self.relays(number) => {
                self.pass_on(number);
            }
            EndingKind::Refused { .. } => self.counts.refused += 1,
        }
    }

    fn relays(&self, number: usize) -> bool {
        match self.relay {
            Relay::Never => false,
            Relay::WhileImpaired => self.targets[number].is_impaired(),
            Relay::Always => true,
        }
    }

    /// Relays to any other agent; which of them has room is not known.
    fn pass_on(&mut self, from: usize) {
        let step = self.targets[from].context.rng.random_range(1..TARGETS);
        let to = (from + step) % TARGETS;
        let id = self.targets[to].arrive(TIMEOUT_MS);
        self.relayed.insert((to, id));
        self.counts.relayed += 1;
    }
}
