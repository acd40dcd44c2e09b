//! When a change of the configuration is in force at the balancers.

use super::{fleet::entry, support::fleet::Fleet};
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
