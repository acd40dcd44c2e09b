//! The `steering` experiment: steering of flows without a token, against simpler policies.
//!
//! The decision cores of balancers and agents run in virtual time. Each question is a case of
//! [`cases::CASES`], and its policies differ from the product's in settings only.

mod callers;
mod cases;
mod figures;
mod simulation;
mod target;

use super::{LoadArgs, Report};
use cases::{CASES, Case, Policy};
use figures::Figures;
use serde_json::{Value, json};
use simulation::Simulation;

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    let rows: Vec<Value> = CASES
        .iter()
        .flat_map(|case| case.policies.iter().map(move |policy| (case, policy)))
        .map(|(case, policy)| row(case, policy, args))
        .collect();
    Report {
        figures: json!({
            "experiment": "steering",
            "seed": args.seed,
            "seeds": args.seeds,
            "balancers": simulation::BALANCERS,
            "agents": simulation::AGENTS,
            "flows": simulation::FLOWS,
            "duration_ms": simulation::DURATION_MS,
            "rows": rows,
        }),
        plot: None,
    }
}

fn row(case: &Case, policy: &Policy, args: &LoadArgs) -> Value {
    let mut total = Figures::default();
    for seed in args.seed..args.seed + args.seeds {
        total.add(&Simulation::start(case, policy, seed).run());
    }
    json!({
        "question": case.question,
        "policy": policy.name,
        "figures": total.summary(),
    })
}
