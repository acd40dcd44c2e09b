//! Power loss everywhere: all processes and targets restart, and all callers return at once.

use super::fleet::Fleet;

/// The time after the start of the last process within which each caller must get an answer.
const ANSWERED_WITHIN_MS: u64 = 1_000;

#[test]
fn earlier_flows_are_reset_soon_after_the_fleet_has_restarted() {
    let mut fleet = Fleet::start(3, 6);
    let flows = fleet.open_flows(120);
    fleet.run(1_000);
    fleet.lose_power();
    let restarted_ms = fleet.now_ms();
    for flow in &flows {
        fleet.send_request(*flow);
    }
    while fleet.now_ms() < restarted_ms + ANSWERED_WITHIN_MS {
        fleet.run(200);
        for flow in &flows {
            fleet.send_request(*flow);
        }
    }
    assert_eq!(fleet.count_reset(&flows), flows.len());
}

#[test]
fn new_flows_are_accepted_soon_after_the_fleet_has_restarted() {
    let mut fleet = Fleet::start(3, 6);
    fleet.lose_power();
    let restarted_ms = fleet.now_ms();
    fleet.run(300);
    let flows = fleet.open_flows(60);
    fleet.run(50);
    assert_eq!(fleet.count_held(&flows), flows.len());
    assert!(fleet.now_ms() < restarted_ms + ANSWERED_WITHIN_MS);
}
