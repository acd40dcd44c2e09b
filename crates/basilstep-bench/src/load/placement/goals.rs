//! The goals, and whether the product's policy meets them.

use super::{
    policy::Policy,
    rows::{Row, round},
};
use serde::Serialize;

/// The limit of the largest load over the mean (99th percentile) from 300 flows per target on.
const MAX_IMBALANCE_AT_300_FLOWS: f64 = 1.02;
/// The same limit with fewer flows per target.
const MAX_IMBALANCE_AT_30_FLOWS: f64 = 1.10;
/// Added to the limits if the targets have different weights.
const UNEQUAL_WEIGHTS_MARGIN: f64 = 0.03;

/// One goal and its result.
#[derive(Clone, Debug, Serialize)]
pub struct Goal {
    weights: Vec<u8>,
    flows_per_target: u32,
    limit_p99: f64,
    p99: f64,
    met: bool,
}

/// Compares the rows of the product's policy with the goals.
pub fn check_goals(rows: &[Row]) -> Vec<Goal> {
    rows.iter()
        .filter(|row| row.policy == Policy::ThreeExact)
        .map(check_goal)
        .collect()
}

fn check_goal(row: &Row) -> Goal {
    let limit = if row.flows_per_target >= 300 {
        MAX_IMBALANCE_AT_300_FLOWS
    } else {
        MAX_IMBALANCE_AT_30_FLOWS
    };
    let is_equal = row.weights.iter().all(|weight| *weight == row.weights[0]);
    let limit_p99 = if is_equal {
        limit
    } else {
        limit + UNEQUAL_WEIGHTS_MARGIN
    };
    Goal {
        weights: row.weights.clone(),
        flows_per_target: row.flows_per_target,
        limit_p99: round(limit_p99),
        p99: row.p99,
        met: row.p99 <= limit_p99,
    }
}
