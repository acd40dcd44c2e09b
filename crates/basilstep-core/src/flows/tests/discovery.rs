//! Agents that start before any balancer, as after a power failure of all machines.

use super::{balancer_ip, heartbeat};
use crate::flows::{BalancerList, agent::Discovery};
use std::{collections::BTreeSet, net::Ipv4Addr};

fn list_with(balancers: &[u8], now_ms: u64) -> BalancerList {
    let mut list = BalancerList::default();
    for number in balancers {
        list.record_heartbeat(balancer_ip(*number), &heartbeat(1), now_ms);
    }
    list
}

fn ips(numbers: &[u8]) -> BTreeSet<Ipv4Addr> {
    numbers.iter().map(|number| balancer_ip(*number)).collect()
}

#[test]
fn first_listing_does_not_wait_for_the_seeds() {
    let mut discovery = Discovery::default();
    let nobody = BalancerList::default();
    assert!(discovery.try_list(&nobody, 0, 5));
    assert!(!discovery.try_list(&nobody, 0, 100));
    assert!(discovery.try_list(&nobody, 0, 505));
}

/// The seeds have ended, and the listed balancers start after the agent.
#[test]
fn seeds_and_listed_balancers_are_contacted_until_one_answers() {
    let mut discovery = Discovery::default();
    let nobody = BalancerList::default();
    let seeds = [balancer_ip(9)];
    discovery.on_listed(ips(&[1, 2]), 10);
    let mut contacted_ms = Vec::new();
    for now_ms in 10..210 {
        let contacts = discovery.take_contacts(&nobody, 0, &seeds, now_ms);
        if !contacts.is_empty() {
            assert_eq!(contacts, ips(&[1, 2, 9]));
            contacted_ms.push(now_ms);
        }
    }
    let longest_ms = contacted_ms.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert_eq!(longest_ms, Some(20));
}

#[test]
fn listed_balancers_are_contacted_after_another_one_has_answered() {
    let mut discovery = Discovery::default();
    discovery.on_listed(ips(&[1, 2, 3]), 10);
    let known = list_with(&[2], 20);
    assert_eq!(discovery.take_contacts(&known, 20, &[], 20), ips(&[1, 3]));
    assert!(discovery.take_contacts(&known, 20, &[], 50).is_empty());
    assert_eq!(discovery.take_contacts(&known, 20, &[], 120), ips(&[1, 3]));
}

/// The entry of a balancer that has ended stays in the store until its lease expires.
#[test]
fn listed_balancers_that_never_answer_are_given_up() {
    let mut discovery = Discovery::default();
    discovery.on_listed(ips(&[1, 2]), 10);
    let known = list_with(&[2], 20);
    assert!(
        discovery
            .take_contacts(&known, 4_000, &[], 4_000)
            .is_empty()
    );
}

/// Guards against an agent that knows only balancers that have ended, while others run behind the
/// seeds: their entries in the store may be gone.
#[test]
fn seeds_are_contacted_again_when_no_known_balancer_answers() {
    let mut discovery = Discovery::default();
    let known = list_with(&[2], 1_000);
    let seeds = [balancer_ip(9)];
    let early = discovery.take_contacts(&known, 1_000, &seeds, 2_400);
    assert!(early.is_empty());
    let late = discovery.take_contacts(&known, 1_000, &seeds, 2_500);
    assert_eq!(late, ips(&[9]));
    discovery.on_listed(ips(&[3]), 2_510);
    let listed = discovery.take_contacts(&known, 1_000, &seeds, 2_510);
    assert_eq!(listed, ips(&[3, 9]));
    let answered = discovery.take_contacts(&list_with(&[2, 9], 2_700), 2_700, &seeds, 2_700);
    assert_eq!(answered, ips(&[3]));
}

#[test]
fn store_is_not_listed_while_balancers_answer() {
    let mut discovery = Discovery::default();
    let known = list_with(&[2], 0);
    assert!(!discovery.try_list(&known, 9_000, 10_000));
    assert!(discovery.try_list(&known, 9_000, 10_500));
}
