use super::super::{PauseGuard, SteeringSettings};

const START_MS: u64 = 5_000;

fn guard() -> PauseGuard {
    PauseGuard::new(SteeringSettings::default(), START_MS)
}

#[test]
fn running_balancer_forwards_until_the_pause_limit() {
    let mut guard = guard();
    assert_eq!(guard.on_tick(START_MS + 100, true), Some(START_MS + 1_100));
    // An unconfirmed view alone, such as at the start, stops nothing.
    assert_eq!(guard.on_tick(START_MS + 200, false), Some(START_MS + 1_200));
}

#[test]
fn paused_balancer_forwards_nothing_until_its_view_is_confirmed() {
    let mut guard = guard();
    let resumed_ms = START_MS + 6_000;
    assert_eq!(guard.on_tick(resumed_ms, true), None);
    assert_eq!(guard.on_tick(resumed_ms + 100, false), None);
    assert!(guard.is_recovering());
    assert_eq!(
        guard.on_tick(resumed_ms + 200, true),
        Some(resumed_ms + 1_200)
    );
}

#[test]
fn confirmation_from_before_the_pause_does_not_count() {
    let mut guard = guard();
    guard.on_tick(START_MS + 100, true);
    assert_eq!(guard.on_tick(START_MS + 9_000, true), None);
    assert!(guard.is_recovering());
}
