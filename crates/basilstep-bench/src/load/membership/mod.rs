//! The `membership` experiment: the decision core at the target size, in virtual time.

mod costs;
pub(super) mod fleet;
mod observer;
mod scenarios;
pub(super) mod traffic;

use super::{LoadArgs, Report};
use crate::plot::{Line, Plot};
use serde_json::{Value, json};

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    let mut runs = Vec::new();
    let mut lines = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        for outcome in scenarios::run_all(seed) {
            eprintln!("seed {seed} {}: {}", outcome.name, outcome.figures);
            if seed == args.seed && outcome.is_plotted {
                lines.push(line(&outcome));
            }
            runs.push(json!({"seed": seed, "scenario": outcome.name, "figures": outcome.figures}));
        }
    }
    Report {
        figures: json!({
            "experiment": "membership",
            "balancers": fleet::TARGET_SIZE.balancers,
            "agents": fleet::TARGET_SIZE.agents,
            "goal": {
                "balancer_bytes_per_s": 3_000,
                "out_of_placement_ms": 3_000,
                "false_removals_in_calm": 0,
                "converged_ms": 12_000,
            },
            "arithmetic": arithmetic(),
            "costs": costs::measure(),
            "runs": runs,
        }),
        plot: Some(Plot {
            title: "Control traffic of a balancer, mean of 640".to_owned(),
            x_label: "seconds after the fault".to_owned(),
            y_label: "bytes a second, sent and received".to_owned(),
            lines,
        }),
    }
}

fn line(outcome: &scenarios::Outcome) -> Line {
    let points = outcome.balancer_means.iter().enumerate();
    Line {
        name: outcome.name.to_owned(),
        points: points
            .map(|(second, bytes)| (second as f64, *bytes))
            .collect(),
    }
}

/// Computes simpler policies that need no run: heartbeats from every agent to every balancer, and
/// leases in the store.
fn arithmetic() -> Value {
    const HEARTBEAT_BYTES: usize = 53;
    const LEASE_RENEWAL_S: usize = 3;
    let shape = fleet::TARGET_SIZE;
    json!({
        "all_to_all_heartbeats_bytes_per_s_a_balancer": shape.agents * HEARTBEAT_BYTES,
        "agent_leases_store_writes_per_s": shape.agents / LEASE_RENEWAL_S,
    })
}
