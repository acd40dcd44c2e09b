//! The `overload` experiment: goodput beyond the capacity, with callers that retry.

mod callers;
mod run;

use super::{
    LoadArgs, Report,
    target_model::{FifoQueue, FixedRetry, NoLimit, SERVICE_MS, ServiceTimes},
};
use crate::plot::{Line, Plot};
use basilstep_core::admission::{Admission, AdmissionSettings};
use callers::Counts;
use run::{Case, LoadShape, MEASURED_MS, SLOTS, run_admission};
use serde_json::{Value, json};

/// The queueing time limit of the first-in-first-out queue.
const FIFO_WAIT_MS: u64 = 500;
/// The fixed retry time, which does not depend on the load.
const FIXED_RETRY_MS: u32 = 1_000;
/// The width of one interval in which retries are counted.
const RETRY_BIN_MS: u64 = 100;
/// The callers' retry budget, per hundred requests.
const BUDGET_PERCENT: u32 = 10;

const POLICIES: [&str; 4] = ["no admission", "fifo queue", "ours, fixed retry", "ours"];
const LOADS: [f64; 3] = [1.0, 2.0, 4.0];

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for policy in POLICIES {
        for budget_percent in [None, Some(BUDGET_PERCENT)] {
            let mut points = Vec::new();
            for load in LOADS {
                let case = Case {
                    shape: LoadShape::Steady(load),
                    budget_percent,
                    service_times: ServiceTimes::Even,
                };
                let runs = run_seeds(args, policy, &case);
                points.push((load, mean(&runs, goodput)));
                rows.push(row(policy, &case, &runs));
            }
            let budget = budget_percent.map_or("no budget", |_| "budget of 10%");
            lines.push(Line {
                name: format!("{policy}, {budget}"),
                points,
            });
        }
        for case in further_cases() {
            rows.push(row(policy, &case, &run_seeds(args, policy, &case)));
        }
    }
    Report {
        figures: json!({
            "experiment": "overload",
            "seed": args.seed,
            "seeds": args.seeds,
            "slots": SLOTS,
            "rows": rows,
        }),
        plot: Some(Plot {
            title: "Answers in time over capacity, callers retry up to 3 times".to_owned(),
            x_label: "load over capacity".to_owned(),
            y_label: "goodput over capacity".to_owned(),
            lines,
        }),
    }
}

fn further_cases() -> [Case; 2] {
    [
        Case {
            shape: LoadShape::Burst,
            budget_percent: None,
            service_times: ServiceTimes::Even,
        },
        Case {
            shape: LoadShape::Steady(4.0),
            budget_percent: None,
            service_times: ServiceTimes::Exponential,
        },
    ]
}

fn run_seeds(args: &LoadArgs, policy: &str, case: &Case) -> Vec<Counts> {
    (args.seed..args.seed + args.seeds)
        .map(|seed| run_policy(policy, case, seed))
        .collect()
}

fn run_policy(policy: &str, case: &Case, seed: u64) -> Counts {
    let settings = AdmissionSettings {
        request_limit: SLOTS,
        ..AdmissionSettings::default()
    };
    let product = Admission::new(settings, 0);
    match policy {
        "no admission" => run_admission(NoLimit, case, seed),
        "fifo queue" => run_admission(FifoQueue::new(SLOTS, FIFO_WAIT_MS), case, seed),
        "ours, fixed retry" => {
            let admission = FixedRetry {
                inner: product,
                retry_after_ms: FIXED_RETRY_MS,
            };
            run_admission(admission, case, seed)
        }
        _ => run_admission(product, case, seed),
    }
}

fn row(policy: &str, case: &Case, runs: &[Counts]) -> Value {
    let load = match case.shape {
        LoadShape::Steady(load) => format!("{load} x"),
        LoadShape::Burst => "0.5 x and a burst of 600".to_owned(),
    };
    json!({
        "policy": policy,
        "load": load,
        "service_times": case.service_times.name(),
        "caller_budget_percent": case.budget_percent,
        "goodput_over_capacity": mean(runs, goodput),
        "goodput_over_capacity_least": runs.iter().map(goodput).fold(f64::MAX, f64::min),
        "answered_share_of_requests": mean(runs, answered_share),
        "attempts_per_request": mean(runs, attempts_per_request),
        "timed_out_per_request": mean(runs, |counts| ratio(counts.timed_out, counts.requests)),
        "refusal_delay_p99_ms": runs.iter().map(refusal_delay_p99_ms).max(),
        "returns": runs.iter().map(|counts| counts.retried_ms.len()).sum::<usize>() / runs.len(),
        "returns_peak_over_mean": mean(runs, retry_peak_over_mean),
    })
}

fn mean(runs: &[Counts], figure: impl Fn(&Counts) -> f64) -> f64 {
    runs.iter().map(figure).sum::<f64>() / runs.len() as f64
}

fn ratio(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

fn goodput(counts: &Counts) -> f64 {
    let capacity = f64::from(SLOTS) * MEASURED_MS as f64 / SERVICE_MS;
    f64::from(counts.answered) / capacity
}

fn answered_share(counts: &Counts) -> f64 {
    ratio(counts.answered, counts.requests)
}

fn attempts_per_request(counts: &Counts) -> f64 {
    ratio(counts.attempts, counts.requests)
}

fn refusal_delay_p99_ms(counts: &Counts) -> u64 {
    let mut delays = counts.refusal_delays_ms.clone();
    delays.sort_unstable();
    let rank = delays.len() * 99 / 100;
    delays.get(rank).copied().unwrap_or(0)
}

/// Returns the retries of the busiest interval over the mean, between the first retry and the last.
fn retry_peak_over_mean(counts: &Counts) -> f64 {
    let (Some(first), Some(last)) = (counts.retried_ms.first(), counts.retried_ms.last()) else {
        return 0.0;
    };
    let bins = ((last - first) / RETRY_BIN_MS + 1) as usize;
    let mut by_bin = vec![0_u32; bins];
    for retried_ms in &counts.retried_ms {
        by_bin[((retried_ms - first) / RETRY_BIN_MS) as usize] += 1;
    }
    let peak = by_bin.iter().max().copied().unwrap_or(0);
    f64::from(peak) * bins as f64 / counts.retried_ms.len() as f64
}
