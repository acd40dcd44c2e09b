//! The `placement` experiment: how evenly policies distribute long-lived flows over the targets.

mod cases;
mod cost;
mod fleet;
mod goals;
mod policy;
mod rows;
mod setup;
mod simulation;

use super::{LoadArgs, Report};
use crate::plot::{Line, Plot};
use policy::Policy;
use rows::Row;
use serde_json::json;
use std::ops::Range;

const PLOT_FLOWS: [u32; 4] = [10, 30, 100, 300];
const PLOT_TARGETS: usize = 7;

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    let seeds = args.seed..args.seed + args.seeds.max(1);
    let rows = cases::equal_and_unequal_weights(seeds.clone());
    let goals = goals::check_goals(&rows);
    let figures = json!({
        "experiment": "placement",
        "seed": args.seed,
        "seeds": args.seeds,
        "mean_life_s": simulation::MEAN_LIFE_S,
        "goals": goals,
        "rows": rows,
        "reports": cases::delayed_and_false_reports(seeds.clone()),
        "changes": cases::planned_changes(seeds.clone()),
        "joins": cases::joins(seeds.clone()),
        "crashes": cases::crashes(seeds.clone()),
        "at_target_size": cases::target_size(args.seed),
        "draw_cost": cost::measure_draws(args.seed),
        "steer_cost": cost::measure_steering(),
    });
    Report {
        figures,
        plot: Some(plot(&rows, seeds)),
    }
}

fn plot(rows: &[Row], seeds: Range<u64>) -> Plot {
    let weights = [1; PLOT_TARGETS];
    let lines = Policy::ALL.map(|policy| {
        let point = |flows: &u32| {
            let known = rows
                .iter()
                .find(|row| row.matches_case(&weights, *flows, policy));
            let measure = || cases::measure(&weights, *flows, policy, seeds.clone());
            let row = known.cloned().unwrap_or_else(measure);
            (f64::from(*flows), row.p99)
        };
        Line {
            name: policy.name().to_owned(),
            points: PLOT_FLOWS.iter().map(point).collect(),
        }
    });
    Plot {
        title: "Largest load over the mean, 99th percentile, 7 equal targets".to_owned(),
        x_label: "flows a target".to_owned(),
        y_label: "largest load over the mean".to_owned(),
        lines: lines.into(),
    }
}
