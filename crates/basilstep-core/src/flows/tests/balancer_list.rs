use super::{balancer_ip, heartbeat};
use crate::{
    address::DomainId,
    flows::{BalancerEntry, BalancerHeartbeat, BalancerList, Lifetime},
};

fn listed(number: u8, lifetime: u32, age_ms: u32) -> BalancerEntry {
    BalancerEntry {
        ip: balancer_ip(number),
        domain: DomainId(0),
        lifetime: Lifetime(lifetime),
        age_ms,
    }
}

#[test]
fn later_run_at_the_same_address_is_news() {
    let mut peers = BalancerList::default();
    assert!(peers.merge_entry(&listed(1, 5, 400), 10_000));
    assert!(!peers.merge_entry(&listed(1, 5, 0), 10_000));
    assert!(peers.merge_entry(&listed(1, 6, 0), 10_001));
}

#[test]
fn run_that_was_heard_longer_ago_does_not_replace_the_present_one() {
    let mut peers = BalancerList::default();
    peers.merge_entry(&listed(1, 6, 0), 10_000);
    assert!(!peers.merge_entry(&listed(1, 5, 3_000), 10_000));
    assert_eq!(peers.entries(10_000)[0].lifetime, Lifetime(6));
}

#[test]
fn balancer_that_said_goodbye_is_not_learned_again_from_a_list() {
    let mut peers = BalancerList::default();
    peers.record_heartbeat(balancer_ip(1), &heartbeat(0), 10_000);
    let final_heartbeat = BalancerHeartbeat {
        is_stopping: true,
        ..heartbeat(0)
    };
    peers.record_heartbeat(balancer_ip(1), &final_heartbeat, 10_100);
    assert!(!peers.merge_entry(&listed(1, 77, 200), 10_200));
    assert!(peers.is_empty());
}

#[test]
fn goodbye_of_an_earlier_run_leaves_the_present_one() {
    let mut peers = BalancerList::default();
    peers.merge_entry(&listed(1, 78, 0), 10_000);
    let final_heartbeat = BalancerHeartbeat {
        is_stopping: true,
        ..heartbeat(0)
    };
    peers.record_heartbeat(balancer_ip(1), &final_heartbeat, 10_100);
    assert_eq!(peers.len(), 1);
}

#[test]
fn balancers_that_nobody_hears_are_forgotten() {
    let mut peers = BalancerList::default();
    peers.merge_entry(&listed(1, 5, 0), 1_000);
    peers.merge_entry(&listed(2, 5, 0), 9_000);
    peers.forget(2_000);
    assert_eq!(peers.addresses().collect::<Vec<_>>(), [balancer_ip(2)]);
}

#[test]
fn only_balancers_of_the_domain_are_told_and_not_more_than_the_limit() {
    let mut peers = BalancerList::default();
    for number in 1..=20 {
        let mut entry = listed(number, 5, 0);
        entry.domain = DomainId(number % 2);
        peers.merge_entry(&entry, 1_000);
    }
    let told = peers.advertised_to(DomainId(1), 42, 3);
    assert_eq!(told.len(), 3);
    assert!(told.iter().all(|ip| ip.octets()[3] % 2 == 1));
    assert_eq!(told, peers.advertised_to(DomainId(1), 42, 3));
}
