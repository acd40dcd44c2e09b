use super::{ReturnPaths, ReturnSettings};
use crate::address::BalancerAddress;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

const CALLER: u16 = 1;

fn caller(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn balancer(host: u8) -> BalancerAddress {
    BalancerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 9_100))
}

fn paths() -> ReturnPaths {
    ReturnPaths::new(ReturnSettings::default())
}

#[test]
fn fresh_packet_determines_the_balancer() {
    let mut paths = paths();
    paths.note_packet(caller(CALLER), balancer(1), 0);
    paths.note_packet(caller(CALLER), balancer(2), 10);
    assert_eq!(paths.choose_balancer(caller(CALLER), 20), Some(balancer(2)));
}

#[test]
fn idle_caller_does_not_depend_on_a_failed_balancer() {
    let mut paths = paths();
    paths.note_packet(caller(CALLER), balancer(1), 0);
    // The balancer fails; others keep forwarding packets of other callers.
    paths.note_packet(caller(2), balancer(2), 100);
    paths.note_packet(caller(3), balancer(3), 200);
    let turns: Vec<_> = (0..3)
        .filter_map(|turn| paths.choose_balancer(caller(CALLER), 400 + turn))
        .collect();
    assert!(turns.contains(&balancer(2)) && turns.contains(&balancer(3)));
    let later: Vec<_> = (0..3)
        .filter_map(|turn| {
            paths.note_heard(balancer(2), 4_000);
            paths.choose_balancer(caller(CALLER), 4_000 + turn)
        })
        .collect();
    assert_eq!(later, vec![balancer(2); 3]);
}

#[test]
fn only_balancer_is_used_however_old() {
    let mut paths = paths();
    paths.note_packet(caller(CALLER), balancer(1), 0);
    assert_eq!(
        paths.choose_balancer(caller(CALLER), 60_000),
        Some(balancer(1))
    );
}

#[test]
fn unknown_caller_has_no_return_path() {
    assert_eq!(paths().choose_balancer(caller(CALLER), 0), None);
}

#[test]
fn tables_stay_bounded() {
    let settings = ReturnSettings {
        caller_limit: 100,
        balancer_limit: 10,
        ..ReturnSettings::default()
    };
    let mut paths = ReturnPaths::new(settings);
    for number in 0..2_000_u16 {
        paths.note_packet(caller(number), balancer(number as u8), u64::from(number));
    }
    assert!(paths.caller_count() <= 100);
    assert!(paths.balancer_count() <= 10);
    assert_eq!(
        paths.choose_balancer(caller(1_999), 1_999),
        Some(balancer(207))
    );
}
