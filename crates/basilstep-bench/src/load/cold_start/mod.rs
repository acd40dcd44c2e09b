//! The `cold-start` experiment: a cold target joins, turns cold unannounced, or crashes.

mod figures;
mod scenario;
mod service;

use super::{
    LoadArgs, Report,
    target_model::{Aimd, FifoQueue, NoLimit, ServiceTimes, TargetSettings},
};
use crate::plot::{Line, Plot};
use basilstep_core::admission::{Admission, AdmissionSettings};
use figures::Figures;
use scenario::{Event, Scenario, run_scenario};
use serde_json::{Value, json};

/// How long the simpler policies queue a request; the product's admission waits equally long.
const QUEUE_WAIT_MS: u64 = 200;
/// The time that the target takes from cold to warm.
const WARM_UP_MS: f64 = 3_000.0;
/// How long the target withstands more than twice its current capacity.
const CRASH_AFTER_MS: u64 = 500;
/// How long a fragile target withstands more than twice its current capacity.
const FRAGILE_CRASH_AFTER_MS: u64 = 50;
/// How long the target refuses connections after a crash.
const DOWN_MS: u64 = 2_000;

/// The index of the plotted scenario: a target of 9 slots turns cold.
const PLOTTED_SCENARIO: usize = 1;

const POLICIES: [&str; 4] = ["no limit", "fixed limit", "aimd", "ours"];

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for scenario in scenarios() {
        for policy in POLICIES {
            let runs: Vec<Figures> = (args.seed..args.seed + args.seeds)
                .map(|seed| run_policy(policy, &scenario, seed))
                .collect();
            if scenario.is_plotted {
                lines.push(Line {
                    name: policy.to_owned(),
                    points: runs[0].answered_curve(),
                });
            }
            rows.push(row(&scenario, policy, &runs));
        }
    }
    Report {
        figures: json!({
            "experiment": "cold-start",
            "seed": args.seed,
            "seeds": args.seeds,
            "down_ms": DOWN_MS,
            "ramp_ms": AdmissionSettings::default().ramp_ms,
            "rows": rows,
            "service": service::rows(args, target(9)),
        }),
        plot: Some(Plot {
            title: "A target of 9 slots turns cold unannounced at 0 s under 90% load".to_owned(),
            x_label: "time (s)".to_owned(),
            y_label: "answers a second".to_owned(),
            lines,
        }),
    }
}

fn scenarios() -> Vec<Scenario> {
    let mut all = Vec::new();
    for slots in [9, 2] {
        for event in [Event::JoinsCold, Event::TurnsCold, Event::Crashes] {
            all.push(scenario(event, target(slots)));
        }
        let fragile = TargetSettings {
            crash_after_ms: Some(FRAGILE_CRASH_AFTER_MS),
            ..target(slots)
        };
        all.push(scenario(Event::JoinsCold, fragile));
    }
    for warm_up_ms in [1_000.0, 10_000.0] {
        let other = TargetSettings {
            warm_up_ms,
            ..target(9)
        };
        all.push(scenario(Event::JoinsCold, other));
    }
    for event in [Event::JoinsCold, Event::TurnsCold] {
        let uneven = TargetSettings {
            service_times: ServiceTimes::Exponential,
            ..target(9)
        };
        all.push(scenario(event, uneven));
    }
    all[PLOTTED_SCENARIO].is_plotted = true;
    all
}

fn scenario(event: Event, target: TargetSettings) -> Scenario {
    Scenario {
        event,
        target,
        is_plotted: false,
    }
}

fn target(slots: u32) -> TargetSettings {
    TargetSettings {
        slots,
        warm_up_ms: WARM_UP_MS,
        crash_after_ms: Some(CRASH_AFTER_MS),
        down_ms: DOWN_MS,
        service_times: ServiceTimes::Even,
    }
}

fn run_policy(policy: &str, scenario: &Scenario, seed: u64) -> Figures {
    let slots = scenario.target.slots;
    match policy {
        "no limit" => run_scenario(NoLimit, scenario, seed),
        "fixed limit" => run_scenario(FifoQueue::new(slots, QUEUE_WAIT_MS), scenario, seed),
        "aimd" => run_scenario(Aimd::new(slots, QUEUE_WAIT_MS), scenario, seed),
        _ => {
            let settings = AdmissionSettings {
                request_limit: slots,
                ..AdmissionSettings::default()
            };
            run_scenario(Admission::new(settings, 0), scenario, seed)
        }
    }
}

fn row(scenario: &Scenario, policy: &str, runs: &[Figures]) -> Value {
    let worst = |figure: fn(&Figures) -> f64| runs.iter().map(figure).fold(0.0, f64::max);
    let full_after_ms = runs
        .iter()
        .map(|run| run.full_after_ms)
        .try_fold(0, |worst, run| run.map(|run| run.max(worst)));
    json!({
        "scenario": scenario.event.name(),
        "slots": scenario.target.slots,
        "warm_up_ms": scenario.target.warm_up_ms,
        "service_times": scenario.target.service_times.name(),
        "fall_after_ms": scenario.target.crash_after_ms,
        "policy": policy,
        "full_after_ms_worst": full_after_ms,
        "full_after_in_warm_ups": warm_ups(full_after_ms, scenario),
        "falls_worst": worst(|run| f64::from(run.crashes)),
        "lost_worst": worst(|run| f64::from(run.lost)),
        "timed_out_worst": worst(|run| f64::from(run.timed_out)),
        "refused_worst": worst(|run| f64::from(run.refused)),
        "answered_share": runs.iter().map(Figures::answered_share).sum::<f64>() / runs.len() as f64,
        "above_bearable_ms_worst": worst(|run| run.above_capacity_ms as f64),
        "peak_load_over_bearable": worst(|run| run.peak_load_ratio),
    })
}

/// Converts the recovery time to multiples of the warm-up time, starting when the target accepts
/// connections again.
fn warm_ups(full_after_ms: Option<u64>, scenario: &Scenario) -> Option<f64> {
    let down_ms = if scenario.event == Event::Crashes {
        scenario.target.down_ms
    } else {
        0
    };
    full_after_ms.map(|ms| ms.saturating_sub(down_ms) as f64 / scenario.target.warm_up_ms)
}
