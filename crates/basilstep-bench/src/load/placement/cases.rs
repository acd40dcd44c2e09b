//! The measured cases.

use super::{
    policy::Policy,
    rows::{Row, percentile, round, summarize},
    setup::{Change, Crash, Outcome, Setup},
    simulation::{MEAN_LIFE_S, Simulation},
};
use basilstep_core::membership::AgentPhase;
use serde::Serialize;
use std::ops::Range;

const REPORT_INTERVAL_MS: u64 = 1_000;
const LONG_REPORT_INTERVAL_MS: u64 = 5_000;
const WARM_UP_S: f64 = 6.0 * MEAN_LIFE_S;
const SAMPLED_S: f64 = 20.0 * MEAN_LIFE_S;
const SAMPLES_PER_S: f64 = 2.0;
/// The largest load over the mean up to which the load counts as level.
const LEVEL_IMBALANCE: f64 = 1.10;
const SERVICES: u64 = 2_200;
const SERVICES_SAMPLED_AT_300: u64 = 150;
const UNDERREPORTING_TARGET: usize = 0;
/// A flow that opens within this time needed no retransmission of its first packet.
const OPENED_AT_ONCE_MS: f64 = 100.0;
const RAMP_S: f64 = 60.0;
const RAMPED_WEIGHT: u8 = 16;
const JOIN_SAMPLES_S: [u32; 6] = [5, 10, 20, 30, 60, 90];

/// The figures with delayed or false load reports.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    report_interval_ms: u64,
    one_reports_half: bool,
    #[serde(flatten)]
    row: Row,
}

/// The effect of planned changes on flows and balance.
#[derive(Clone, Debug, Serialize)]
pub struct ChangeRow {
    flows_per_target: u32,
    policy: Policy,
    checked_flows: u64,
    moved_flows: u64,
    moved_by_plain_hash_without_tokens: u64,
    refused_flows: u64,
    opened_while_leaving: u64,
    level_after_join_s: Option<f64>,
}

/// How fast a target that joins without flows takes its share.
#[derive(Clone, Debug, Serialize)]
pub struct JoinRow {
    policy: Policy,
    ramp_s: Option<f64>,
    /// The flows of the target over the mean of the others.
    share_after: Vec<ShareAfter>,
}

/// The share of a joined target after some time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ShareAfter {
    after_s: u32,
    share: f64,
}

/// How long new flows take to open while a crashed target is not detected yet.
#[derive(Clone, Debug, Serialize)]
pub struct CrashRow {
    targets: usize,
    policy: Policy,
    flows: usize,
    opened_at_once: f64,
    mean_delay_ms: f64,
    worst_delay_ms: f64,
}

/// The figures over all services at the target size.
#[derive(Clone, Debug, Serialize)]
pub struct TargetSizeRow {
    services: u64,
    targets_per_service: usize,
    flows_per_target: u32,
    policy: Policy,
    mean: f64,
    p99: f64,
    p99_of_the_worst_service: f64,
    agent_messages_per_flow: f64,
}

/// Measures one policy in one case.
pub fn measure(weights: &[u8], flows_per_target: u32, policy: Policy, seeds: Range<u64>) -> Row {
    let outcomes: Vec<_> = seeds
        .map(|seed| Simulation::run(setup(weights, flows_per_target, policy, seed)))
        .collect();
    summarize(weights, flows_per_target, policy, &outcomes)
}

/// Measures all policies at current fleet sizes, with equal and unequal weights.
pub fn equal_and_unequal_weights(seeds: Range<u64>) -> Vec<Row> {
    let fleets: [&[u8]; 5] = [
        &[1; 3],
        &[1; 4],
        &[1; 7],
        &[1, 2, 4],
        &[1, 2, 4, 1, 2, 4, 1],
    ];
    let mut rows = Vec::new();
    for weights in fleets {
        for flows in [30, 300] {
            let row = |policy| measure(weights, flows, policy, seeds.clone());
            rows.extend(Policy::ALL.map(row));
        }
    }
    rows
}

/// Measures reports at intervals of 5 s, and one target that reports half its flows.
///
/// The rows of [`equal_and_unequal_weights`] have correct reports at intervals of 1 s.
pub fn delayed_and_false_reports(seeds: Range<u64>) -> Vec<ReportRow> {
    let mut rows = Vec::new();
    for (interval_ms, underreporting_target) in [
        (LONG_REPORT_INTERVAL_MS, None),
        (REPORT_INTERVAL_MS, Some(UNDERREPORTING_TARGET)),
    ] {
        for policy in Policy::ALL {
            let run = |seed| {
                let mut setup = setup(&[1; 7], 300, policy, seed);
                setup.report_interval_ms = interval_ms;
                setup.underreporting_target = underreporting_target;
                Simulation::run(setup)
            };
            let outcomes: Vec<_> = seeds.clone().map(run).collect();
            rows.push(ReportRow {
                report_interval_ms: interval_ms,
                one_reports_half: underreporting_target.is_some(),
                row: summarize(&[1; 7], 300, policy, &outcomes),
            });
        }
    }
    rows
}

/// Measures a target that drains and, once its flows have ended, rejoins without flows.
pub fn planned_changes(seeds: Range<u64>) -> Vec<ChangeRow> {
    let mut rows = Vec::new();
    for flows in [30, 300] {
        rows.extend(Policy::ALL.map(|policy| planned_change(flows, policy, seeds.clone())));
    }
    rows
}

fn planned_change(flows_per_target: u32, policy: Policy, seeds: Range<u64>) -> ChangeRow {
    let run = |seed| Simulation::run(change_setup(setup(&[1; 7], flows_per_target, policy, seed)));
    let outcomes: Vec<_> = seeds.map(run).collect();
    let sum = |count: fn(&Outcome) -> u64| outcomes.iter().map(count).sum();
    ChangeRow {
        flows_per_target,
        policy,
        checked_flows: sum(|outcome| outcome.checked_flows),
        moved_flows: sum(|outcome| outcome.moved_flows),
        moved_by_plain_hash_without_tokens: sum(|outcome| outcome.moved_by_hash),
        refused_flows: sum(|outcome| outcome.refused_flows),
        opened_while_leaving: sum(|outcome| outcome.opened_while_leaving),
        level_after_join_s: level_after_join(&outcomes),
    }
}

/// Drains the first target after the warm-up and lets it rejoin when its flows have ended.
fn change_setup(setup: Setup) -> Setup {
    let leave_s = WARM_UP_S;
    let join_s = leave_s + 10.0 * MEAN_LIFE_S;
    let change = |at_s, phase| Change {
        at_s,
        target: 0,
        phase,
    };
    Setup {
        changes: vec![
            change(leave_s, AgentPhase::Draining),
            change(join_s, AgentPhase::Serving),
        ],
        warm_up_s: join_s,
        ..setup
    }
}

/// Measures how long flows take to open between a crash and its detection.
pub fn crashes(seeds: Range<u64>) -> Vec<CrashRow> {
    let policies = [
        Policy::PlainHash,
        Policy::TwoReported,
        Policy::TwoExact,
        Policy::ThreeExact,
    ];
    let mut rows = Vec::new();
    for targets in [3, 7] {
        rows.extend(policies.map(|policy| crash(targets, policy, seeds.clone())));
    }
    rows
}

fn crash(targets: usize, policy: Policy, seeds: Range<u64>) -> CrashRow {
    let run = |seed| {
        let crash = Crash {
            at_s: WARM_UP_S,
            target: 0,
        };
        Simulation::run(Setup {
            crash: Some(crash),
            sampled_s: MEAN_LIFE_S,
            ..setup(&vec![1; targets], 300, policy, seed)
        })
    };
    let delays_ms: Vec<f64> = seeds.flat_map(|seed| run(seed).open_delays_ms).collect();
    let at_once = delays_ms
        .iter()
        .filter(|delay| **delay < OPENED_AT_ONCE_MS)
        .count();
    let flows = delays_ms.len();
    CrashRow {
        targets,
        policy,
        flows,
        opened_at_once: round(at_once as f64 / flows as f64),
        mean_delay_ms: round(delays_ms.iter().sum::<f64>() / flows as f64),
        worst_delay_ms: round(percentile(&delays_ms, 1.0)),
    }
}

/// Measures how fast a target that joins without flows takes its share, with and without a ramp of
/// the weight by which its agent compares its load.
pub fn joins(seeds: Range<u64>) -> Vec<JoinRow> {
    let cases = [
        (Policy::PlainHash, None),
        (Policy::LeastReported, None),
        (Policy::ThreeExact, None),
        (Policy::ThreeExact, Some(RAMP_S)),
    ];
    cases
        .into_iter()
        .map(|(policy, ramp_s)| join(policy, ramp_s, seeds.clone()))
        .collect()
}

fn join(policy: Policy, ramp_s: Option<f64>, seeds: Range<u64>) -> JoinRow {
    let run = |seed| {
        let setup = Setup {
            ramp_s,
            ..setup(&[RAMPED_WEIGHT; 7], 300, policy, seed)
        };
        Simulation::run(change_setup(setup))
    };
    let outcomes: Vec<_> = seeds.map(run).collect();
    let share_after = |after_s: u32| {
        let sample = (f64::from(after_s) * SAMPLES_PER_S) as usize;
        let sum: f64 = outcomes
            .iter()
            .map(|outcome| outcome.share_of_first[sample])
            .sum();
        let share = round(sum / outcomes.len() as f64);
        ShareAfter { after_s, share }
    };
    JoinRow {
        policy,
        ramp_s,
        share_after: JOIN_SAMPLES_S.into_iter().map(share_after).collect(),
    }
}

/// Returns the longest time over all seeds until the load was level again; `None` if one run never
/// got there.
fn level_after_join(outcomes: &[Outcome]) -> Option<f64> {
    let mut longest: f64 = 0.0;
    for outcome in outcomes {
        let sample = outcome
            .imbalance
            .iter()
            .skip(1)
            .position(|at| *at <= LEVEL_IMBALANCE)?;
        longest = longest.max((sample + 1) as f64 / SAMPLES_PER_S);
    }
    Some(longest)
}

/// Measures services of three targets at the target size; with 300 flows per target only a sample
/// of the services.
pub fn target_size(seed: u64) -> Vec<TargetSizeRow> {
    let mut rows = Vec::new();
    for (services, flows) in [(SERVICES, 30), (SERVICES_SAMPLED_AT_300, 300)] {
        for policy in [Policy::PlainHash, Policy::TwoReported, Policy::ThreeExact] {
            rows.push(target_size_row(services, flows, policy, seed));
        }
    }
    rows
}

fn target_size_row(services: u64, flows: u32, policy: Policy, seed: u64) -> TargetSizeRow {
    let weights = [1; 3];
    let run = |service| {
        let mut setup = setup(&weights, flows, policy, seed * SERVICES + service);
        setup.sampled_s = 4.0 * MEAN_LIFE_S;
        Simulation::run(setup)
    };
    let outcomes: Vec<_> = (0..services).map(run).collect();
    let worst = |worst: f64, outcome: &Outcome| worst.max(percentile(&outcome.imbalance, 0.99));
    let p99_of_the_worst_service = round(outcomes.iter().fold(0.0, worst));
    let row = summarize(&weights, flows, policy, &outcomes);
    TargetSizeRow {
        services,
        targets_per_service: weights.len(),
        flows_per_target: flows,
        policy,
        mean: row.mean,
        p99: row.p99,
        p99_of_the_worst_service,
        agent_messages_per_flow: row.agent_messages_per_flow,
    }
}

fn setup(weights: &[u8], flows_per_target: u32, policy: Policy, seed: u64) -> Setup {
    Setup {
        weights: weights.to_vec(),
        flows_per_target,
        policy,
        report_interval_ms: REPORT_INTERVAL_MS,
        underreporting_target: None,
        changes: Vec::new(),
        ramp_s: None,
        crash: None,
        warm_up_s: WARM_UP_S,
        sampled_s: SAMPLED_S,
        seed,
    }
}
