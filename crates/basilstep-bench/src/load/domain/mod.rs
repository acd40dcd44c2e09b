//! The `domain` experiment: a failure domain is taken out under load and returns cold.

mod admission;
mod agent;
mod balancer;
mod callers;
mod cases;
mod figures;
mod flows;
mod requests;
mod run;

use super::{LoadArgs, Report};
use crate::plot::{Line, Plot};
use cases::{LOADS, Policy, SERVICES, ServiceCase};
use figures::Figures;
use run::run_policy;
use serde_json::{Value, json};

/// The latest time after the change for the last packet to the domain.
const LAST_PACKET_GOAL_MS: u64 = 2_000;
/// The minimum served share of the allowed score while the domain is out.
const OUT_SHARE_GOAL: f64 = 0.95;
/// The minimum score after the return relative to the mean before it.
const RETURN_DIP_GOAL: f64 = 0.95;

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for case in &SERVICES {
        for load in LOADS {
            for policy in Policy::ALL {
                let runs: Vec<Figures> = (args.seed..args.seed + args.seeds)
                    .map(|seed| run_policy(case, policy, load, seed))
                    .collect();
                if is_plotted(case, load) {
                    lines.push(Line {
                        name: policy.name().to_owned(),
                        points: runs[0].curve(),
                    });
                }
                rows.push(row(case, load, policy, &runs));
            }
        }
    }
    Report {
        figures: json!({
            "experiment": "domain",
            "seed": args.seed,
            "seeds": args.seeds,
            "settings_in_force_after_ms": "even between 200 and 2000",
            "rows": rows,
        }),
        plot: Some(Plot {
            title: "Seats at 80% load: a domain goes out at 0 s and returns cold at 30 s"
                .to_owned(),
            x_label: "time (s)".to_owned(),
            y_label: "served score a second".to_owned(),
            lines,
        }),
    }
}

fn is_plotted(case: &ServiceCase, load: f64) -> bool {
    case.name == SERVICES[0].name && load < 1.0
}

fn row(case: &ServiceCase, load: f64, policy: Policy, runs: &[Figures]) -> Value {
    let most = |figure: fn(&Figures) -> f64| runs.iter().map(figure).fold(0.0, f64::max);
    let least = |figure: fn(&Figures) -> f64| runs.iter().map(figure).fold(f64::MAX, f64::min);
    let last_packet_ms = most(|run| run.last_packet_ms as f64);
    let out_share = least(Figures::out_share);
    let return_dip = least(Figures::return_dip);
    let full_after_s = runs
        .iter()
        .map(Figures::full_after_s)
        .try_fold(0, |worst, run| run.map(|run| run.max(worst)));
    json!({
        "service": case.name,
        "load": load,
        "policy": policy.name(),
        "last_packet_ms_worst": last_packet_ms,
        "last_packet_goal_met": last_packet_ms <= LAST_PACKET_GOAL_MS as f64,
        "given_up_flows_worst": most(|run| f64::from(run.flows_lost_with_domain)),
        "broken_flows_worst": most(|run| f64::from(run.broken_flows)),
        "reopened_after_ms_worst": most(|run| run.reopened_after_ms as f64),
        "served_over_allowed_first_2_s_least": rounded(least(Figures::departure_share)),
        "served_over_allowed_while_out_least": rounded(out_share),
        "served_over_allowed_while_out_goal_met": out_share >= OUT_SHARE_GOAL,
        "return_least_over_before": rounded(return_dip),
        "return_goal_met": return_dip >= RETURN_DIP_GOAL,
        "full_after_return_s_worst": full_after_s,
        "served_over_allowed_after_return_least": rounded(least(Figures::returned_share)),
        "returned_flows_over_fair_least": rounded(least(|run| run.returned_flow_share)),
        "returned_peak_load_over_bearable": rounded(most(|run| run.returned_peak_ratio)),
        "relayed_share_worst": rounded(most(|run| run.share_of_requests(run.relayed))),
        "relays_refused_share_worst": rounded(most(|run| run.share_of_requests(run.relays_refused))),
        "falls_worst": most(|run| f64::from(run.crashes)),
        "unknown_holds_worst": most(|run| f64::from(run.unknown_outcomes)),
        "timed_out_worst": most(|run| f64::from(run.timed_out)),
    })
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
