//! Another writer has left odd entries in the store.

use super::{
    fleet::{data_text, entry},
    support::{caller::Caller, fleet::Fleet},
};
use serde_json::json;
use std::time::Duration;

const AGENT: u8 = 11;
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Values that no process writes: nested too deeply, out of range, or no text.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = ["[".repeat(100_000), "]".repeat(100_000)].concat();
    vec![
        nested.into_bytes(),
        br#"{"agents":1e999}"#.to_vec(),
        br#"{"agents":70000}"#.to_vec(),
        br#"{"agents":-1}"#.to_vec(),
        vec![0xff; 64],
        Vec::new(),
    ]
}

/// Guards against processes that end, or stop following the operators' settings, because of one odd
/// entry among those that they read.
#[tokio::test]
async fn odd_entries_in_the_store_change_nothing() {
    let mut fleet = Fleet::start("odd-entries").await;
    fleet.configure(1, entry());
    for (number, value) in odd_values().into_iter().enumerate() {
        let number = number + 100;
        let keys = [
            format!("balancers/127.0.0.{number}"),
            format!("balancers/no-address-{number}"),
            format!("op/evacuate/zone-{number}"),
            format!("op/other-{number}"),
            format!("routes/history-{number}"),
        ];
        for key in keys {
            fleet.store.put_bytes(&key, Some(value.clone()));
        }
    }
    fleet
        .store
        .put_bytes("routes/history", Some(vec![0xff; 64]));
    fleet.start_balancer(1);
    let _target = fleet.start_agent(AGENT).await;
    fleet.await_ready(1).await;
    let caller = Caller::open(fleet.ip(200), fleet.ports.packets).await;
    let balancer = fleet.address(1, fleet.ports.packets);
    let opened = caller.open_flow(balancer, 40_060, entry()).await.unwrap();

    for value in odd_values() {
        fleet.store.put_bytes("op/config", Some(value));
    }
    fleet.configure(2, entry());
    assert!(fleet.is_in_force_within(1, 2, APPLY_LIMIT).await);
    let answer = caller.request(balancer, &opened, "after").await.unwrap();
    assert_eq!(data_text(&answer), "target-11 answers after");
    for process in &mut fleet.processes {
        assert_eq!(process.has_ended(), None);
    }
    assert_eq!(fleet.state(1).await.unwrap()["version"], json!(2));
}
