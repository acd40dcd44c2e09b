//! The goals, and whether the product's policy meets them.

use super::{
    policy::Policy,
    rows::{Row, round},
};
use serde::Serialize;

const GOAL_AT_300: f64 = 1.02;
const GOAL_AT_30: f64 = 1.10;
const GOAL_UNEQUAL_MARGIN: f64 = 0.03;

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
        GOAL_AT_300
    } else {
        GOAL_AT_30
    };
    let is_equal = row.weights.iter().all(|weight| *weight == row.weights[0]);
    let limit_p99 = if is_equal {
        limit
    } else {
        limit + GOAL_UNEQUAL_MARGIN
    };
    Goal {
        weights: row.weights.clone(),
        flows_per_target: row.flows_per_target,
        limit_p99: round(limit_p99),
        p99: row.p99,
        met: row.p99 <= limit_p99,
    }
}
