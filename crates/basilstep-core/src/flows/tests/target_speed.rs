//! Load scenarios with slow and failing targets, with and without regard to their health.

use super::{
    health_settings,
    load_model::{AGENTS, Fault, LoadModel, Tally},
};
use crate::flows::FlowSettings;
use rstest::rstest;

/// What became of the requests with a fault at the first targets.
struct Comparison {
    with: Tally,
    without: Tally,
    /// The model that takes the health of targets into account.
    model: LoadModel,
}

fn compare(targets: usize, fault: Fault, load: f64) -> Comparison {
    let (with, model) = run_with_fault(&health_settings(), targets, fault, load);
    let (without, _) = run_with_fault(&FlowSettings::default(), targets, fault, load);
    println!("{fault:?} at {targets}, load {load}: {with:?}, without: {without:?}");
    Comparison {
        with,
        without,
        model,
    }
}

/// Runs the model for 8 s with a fault, and returns what became of the requests from the first second
/// on.
fn run_with_fault(
    settings: &FlowSettings,
    targets: usize,
    fault: Fault,
    load: f64,
) -> (Tally, LoadModel) {
    let mut model = LoadModel::new(settings, 7);
    model.run(2_000, load);
    model.set_fault(0..targets, fault);
    model.run(1_000, load);
    (model.run(8_000, load), model)
}

/// Load: half of the capacity; 30% of the targets 7 times slower. Guards against new flows that
/// queue at slow targets while others are free, and against an overload of the others.
#[test]
fn slow_targets_make_few_requests_late() {
    let run = compare(6, Fault::Slow(7), 0.5);
    assert!(run.with.missed() * 3 <= run.without.missed());
    assert_eq!(run.with.refused, 0);
    // An agent never admits more than its limit; what is offered beyond it is refused.
    let above_limit: usize = run.model.refused_by[6..].iter().sum();
    assert!(above_limit * 40 <= run.with.offered, "{above_limit}");
}

/// Load: as above, with the first second after the fault, in which agents and balancers find out which
/// targets are slow. Guards against a slow detection, and against a result that depends on the seed.
#[rstest]
#[case(3)]
#[case(7)]
#[case(23)]
fn slow_targets_are_found_at_once(#[case] seed: u64) {
    let missed = |settings: &FlowSettings| {
        let mut model = LoadModel::new(settings, seed);
        model.run(2_000, 0.5);
        model.set_fault(0..6, Fault::Slow(7));
        model.run(3_000, 0.5).missed()
    };
    let (with, without) = (missed(&health_settings()), missed(&FlowSettings::default()));
    println!("seed {seed}: {with}, without: {without}");
    assert!(with * 3 <= without, "{with} {without}");
}

/// Load: half of the capacity; a fifth of the targets 7 times slower for 5.5 s. Guards against
/// targets that stay slow in the eyes of balancers because they get too few flows to show their
/// speed.
#[test]
fn recovered_targets_get_their_share_again() {
    let mut model = LoadModel::new(&health_settings(), 7);
    model.run(2_000, 0.5);
    model.set_fault(0..4, Fault::Slow(7));
    model.run(5_500, 0.5);
    assert!(model.ranked().is_superset(&(0..4).collect()));
    model.set_fault(0..4, Fault::None);
    model.run(2_000, 0.5);
    model.run(2_000, 0.5);
    let recovered: usize = model.placed[..4].iter().sum();
    let all: usize = model.placed.iter().sum();
    assert!(recovered * 5 * 10 >= all * 9, "{:?}", model.placed);
}

/// Load: 0.8 of the capacity; 45% of the requests at 3 of 20 targets hang. Guards against targets
/// that look idle because they answer nothing: once callers have given up the first requests there,
/// such targets get probe flows only, two a second each.
#[test]
fn hanging_targets_get_probe_flows_only() {
    let mut run = compare(3, Fault::Hang(0.45), 0.8);
    assert!(run.with.missed() < run.without.missed());
    run.model.run(8_000, 0.8);
    let probes: usize = run.model.placed[..3].iter().sum();
    println!("{:?}", run.model.placed);
    assert!(probes <= 3 * 2 * 8 * 5 / 4, "{probes}");
}

/// Load: a tenth of the capacity; all targets 4 times slower at the same time. Guards against
/// steering that follows noise when no target is better than another.
#[test]
fn nothing_changes_if_all_targets_are_equally_slow() {
    let run = compare(usize::from(AGENTS), Fault::Slow(4), 0.1);
    assert!(run.model.ranked().len() <= 2);
    let fair = run.model.placed.iter().sum::<usize>() / usize::from(AGENTS);
    assert!(run.model.placed.iter().all(|placed| placed * 3 >= fair * 2));
}

/// Load: a quarter of the capacity; 60% of the targets 7 times slower. Guards against steering all
/// flows to a minority of the targets.
#[test]
fn minority_of_healthy_targets_is_not_overloaded() {
    let run = compare(12, Fault::Slow(7), 0.25);
    assert!(run.model.ranked().len() <= 8);
    assert!(run.with.missed() <= run.without.missed());
    assert!(run.with.refused <= run.without.refused);
}
