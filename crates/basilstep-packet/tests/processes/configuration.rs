//! When a change of the configuration is in force at the balancers.

use super::{
    fleet::entry,
    support::fleet::{BALANCER, Fleet},
};
use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

/// The bound within which a change has to be in force once the store is reached again.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// The time that a balancer has to notice that its connections are dead, before the bound holds.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Long enough for all watches to be waiting.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Starts a fleet with two balancers, a copy of the store from before version 2, and version 2 in
/// force.
async fn fleet_ahead_of_its_copy(name: &str) -> Fleet {
    let mut fleet = Fleet::start(name).await;
    fleet.configure(1, entry());
    fleet.store.copy();
    fleet.start_balancer(1);
    fleet.start_balancer(2);
    for balancer in 1..=2 {
        assert!(fleet.is_in_force_within(balancer, 1, APPLY_LIMIT).await);
    }
    fleet.configure(2, entry());
    for balancer in 1..=2 {
        assert!(fleet.is_in_force_within(balancer, 2, APPLY_LIMIT).await);
    }
    sleep(SETTLE_TIME).await;
    fleet
}

/// Guards against watches that wait for revisions of the former era, which the store does not reach
/// for a long time, and that it neither cuts nor answers.
#[tokio::test]
async fn change_after_a_restore_is_in_force_although_waiting_watches_are_not_answered() {
    let fleet = fleet_ahead_of_its_copy("restore-waiting").await;
    fleet.store.set_keeps_waiting_watches(true);
    fleet.store.restore();
    fleet.configure(3, entry());
    for balancer in 1..=2 {
        assert!(fleet.is_in_force_within(balancer, 3, APPLY_LIMIT).await);
    }
}

/// Guards against a watch that continues from a revision of the former era which the store has given
/// out again for other changes.
#[tokio::test]
async fn change_at_a_revision_that_was_given_out_again_is_in_force() {
    let fleet = fleet_ahead_of_its_copy("restore-reused").await;
    fleet.store.restore();
    fleet
        .store
        .put("servers/unrelated", Some(&serde_json::json!({})));
    fleet.configure(3, entry());
    for version in 4..=9 {
        fleet
            .store
            .put("servers/unrelated", Some(&serde_json::json!(version)));
    }
    for balancer in 1..=2 {
        assert!(fleet.is_in_force_within(balancer, 3, APPLY_LIMIT).await);
    }
}

/// Guards against a watch that waits on a connection that has gone silent without being closed.
#[tokio::test]
async fn change_is_in_force_although_open_connections_to_the_store_went_silent() {
    let mut fleet = Fleet::start("silent").await;
    fleet.configure(1, entry());
    let proxies = [
        fleet.start_balancer_behind_proxy(1).await,
        fleet.start_balancer_behind_proxy(2).await,
    ];
    for balancer in 1..=2 {
        assert!(fleet.is_in_force_within(balancer, 1, APPLY_LIMIT).await);
    }
    sleep(SETTLE_TIME).await;
    for proxy in &proxies {
        proxy.silence_open_connections();
    }
    fleet.configure(2, entry());
    for balancer in 1..=2 {
        assert!(fleet.is_in_force_within(balancer, 2, CONTACT_TIME).await);
    }
}

/// Long enough for balancers that need not watch the store to have stopped watching it.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Starts a fleet of four balancers, whose changes have to be in force within `apply_limit_ms`.
async fn calm_fleet(name: &str, apply_limit_ms: u64) -> Fleet {
    let mut fleet = Fleet::start(name).await;
    fleet.configure(1, entry());
    let bounds = json!({"Bounds": {"ConfigApplyMs": apply_limit_ms}});
    for number in 1..=4 {
        fleet.spawn(BALANCER, number, &bounds);
    }
    for number in 1..=4 {
        assert!(fleet.is_in_force_within(number, 1, APPLY_LIMIT).await);
    }
    sleep(CALM_TIME).await;
    fleet
}

async fn watching(fleet: &Fleet) -> Vec<u8> {
    let mut watching = Vec::new();
    for number in 1..=4 {
        let state = fleet.state(number).await.unwrap();
        if state["watches_settings"] == true {
            watching.push(number);
        }
    }
    watching
}

/// The limit that the deployment states holds, whatever it is.
#[rstest]
#[case::short(1_500)]
#[case::usual(3_000)]
#[tokio::test]
async fn change_is_in_force_although_all_watching_balancers_were_killed(
    #[case] apply_limit_ms: u64,
) {
    let mut fleet = calm_fleet(&format!("watchers-{apply_limit_ms}"), apply_limit_ms).await;
    let watching = watching(&fleet).await;
    assert_eq!(watching.len(), 2, "{watching:?}");
    for number in &watching {
        fleet.processes[usize::from(*number) - 1].kill();
    }
    fleet.configure(2, entry());
    let limit = Duration::from_millis(apply_limit_ms);
    for number in (1..=4).filter(|number| !watching.contains(number)) {
        assert!(fleet.is_in_force_within(number, 2, limit).await);
    }
}

/// Watching balancers that stand still neither notice a change nor say so.
#[tokio::test]
async fn change_is_in_force_although_all_watching_balancers_stand_still() {
    let fleet = calm_fleet("frozen-watchers", 3_000).await;
    let watching = watching(&fleet).await;
    for number in &watching {
        fleet.processes[usize::from(*number) - 1].signal(Signal::STOP);
    }
    fleet.configure(2, entry());
    for number in (1..=4).filter(|number| !watching.contains(number)) {
        assert!(fleet.is_in_force_within(number, 2, APPLY_LIMIT).await);
    }
}
