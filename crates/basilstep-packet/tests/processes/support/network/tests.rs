use super::{LOCK_HOST, LOCK_PORT, NETWORKS, Network};
use std::net::UdpSocket;

/// Guards against two runs of the tests that bind the same metrics addresses because their process
/// ids agree modulo the number of networks.
#[test]
fn network_of_another_run_is_not_reserved() {
    let first = NETWORKS - 1;
    let other_run = UdpSocket::bind((Network::of_index(first).ip(LOCK_HOST), LOCK_PORT));
    let reserved = Network::reserve_from(first);
    assert_ne!(reserved, Network::of_index(first));
    assert_ne!(Network::reserve_from(first), reserved);
    drop(other_run);
}
