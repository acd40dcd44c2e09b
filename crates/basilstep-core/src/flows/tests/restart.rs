//! Power is lost everywhere: all processes and all targets start again, and all callers are back
//! at once.

use super::fleet::Fleet;

/// How long after the last process is up each caller has to have heard something.
const HEARD_WITHIN_MS: u64 = 1_000;

#[test]
fn flows_of_before_are_reset_soon_after_the_fleet_is_back() {
    let mut fleet = Fleet::start(3, 6);
    let flows = fleet.open_flows(120);
    fleet.run(1_000);
    fleet.lose_power();
    let back_ms = fleet.now_ms();
    for flow in &flows {
        fleet.send_request(*flow);
    }
    while fleet.now_ms() < back_ms + HEARD_WITHIN_MS {
        fleet.run(200);
        for flow in &flows {
            fleet.send_request(*flow);
        }
    }
    assert_eq!(fleet.count_reset(&flows), flows.len());
}

#[test]
fn new_flows_are_taken_soon_after_the_fleet_is_back() {
    let mut fleet = Fleet::start(3, 6);
    fleet.lose_power();
    let back_ms = fleet.now_ms();
    fleet.run(300);
    let flows = fleet.open_flows(60);
    fleet.run(50);
    assert_eq!(fleet.count_held(&flows), flows.len());
    assert!(fleet.now_ms() < back_ms + HEARD_WITHIN_MS);
}
