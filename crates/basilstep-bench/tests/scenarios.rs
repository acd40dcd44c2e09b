//! Runs the scripted scenarios, which can also be run with `basilstep-bench scenario`.

use basilstep_bench::scenario::Simulation;
use rstest::rstest;

#[rstest]
#[case::domain_leaves_and_returns("domain_leaves_and_returns")]
#[case::agent_dies_and_another_drains("agent_dies_and_another_drains")]
fn scenario(#[case] name: &str) {
    goldenscript::run(&mut Simulation::new(1), format!("scenarios/{name}"))
        .expect("the script runs");
}
