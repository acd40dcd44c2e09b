//! A rolling upgrade and a rollback: processes that speak only the older version beside others.

use super::{
    fleet::entry,
    support::{caller::Caller, fleet::Fleet, packet::RST},
};
use std::time::Duration;

const OLDER: &[&str] = &["--set", "wire.highest_version=4"];
const LATEST: &[&str] = &[];

/// The time within which a change of the configuration is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Processes are replaced one after the other, first by the latest build and then by the older one.
#[tokio::test]
async fn flow_and_configuration_survive_an_upgrade_and_a_rollback() {
    let mut fleet = Fleet::start("upgrade").await;
    fleet.arguments = OLDER;
    fleet.configure(1, entry());
    let mut balancers = [fleet.start_balancer(1), fleet.start_balancer(2)];
    let (mut agent, target) = fleet.start_agent(11).await;
    fleet.await_ready(1).await;
    fleet.await_ready(2).await;
    let caller = Caller::open(fleet.ip(200), fleet.ports.packets).await;
    let first = fleet.address(1, fleet.ports.packets);
    let opened = caller.open_flow(first, 40_001, entry()).await.unwrap();

    let mut version = 1;
    for arguments in [LATEST, OLDER] {
        fleet.arguments = arguments;
        for number in 1..=2 {
            fleet.processes[balancers[usize::from(number) - 1]].kill();
            balancers[usize::from(number) - 1] = fleet.start_balancer(number);
            fleet.await_ready(number).await;
            assert_whole_answer(&fleet, &caller, &opened, number).await;
            version += 1;
            fleet.configure(version, entry());
            for balancer in 1..=2 {
                let is_in_force = fleet.is_in_force_within(balancer, version, APPLY_LIMIT);
                assert!(is_in_force.await, "version {version} at {balancer}");
            }
        }
        fleet.processes[agent].kill();
        agent = fleet.restart_agent(11);
        for number in 1..=2 {
            fleet.await_agents(number, 1).await;
            assert_whole_answer(&fleet, &caller, &opened, number).await;
        }
    }
    let opened = target.log.opened.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(opened, 1, "the flow was opened once");
}

async fn assert_whole_answer(
    fleet: &Fleet,
    caller: &Caller,
    opened: &super::support::packet::Packet,
    balancer: u8,
) {
    let address = fleet.address(balancer, fleet.ports.packets);
    let answer = caller.request(address, opened, "again").await.unwrap();
    assert!(!answer.is(RST));
    assert_eq!(super::fleet::data_text(&answer), "target-11 answers again");
}
