use super::{balancer_ip, balancer_with, context, heartbeat};
use crate::{
    address::DomainId,
    flows::{BalancerEntry, BalancerHeartbeat, BalancerList, ProcessIncarnation, RequestKind},
};

fn listed(number: u8, incarnation: u32, age_ms: u32) -> BalancerEntry {
    BalancerEntry {
        ip: balancer_ip(number),
        domain: DomainId(0),
        incarnation: ProcessIncarnation(incarnation),
        age_ms,
    }
}

#[test]
fn later_incarnation_at_the_same_address_is_new() {
    let mut list = BalancerList::default();
    assert!(list.merge_entry(&listed(1, 5, 400), 10_000));
    assert!(!list.merge_entry(&listed(1, 5, 0), 10_000));
    assert!(list.merge_entry(&listed(1, 6, 0), 10_001));
}

#[test]
fn incarnation_that_was_alive_longer_ago_does_not_replace_the_present_one() {
    let mut list = BalancerList::default();
    list.merge_entry(&listed(1, 6, 0), 10_000);
    assert!(!list.merge_entry(&listed(1, 5, 3_000), 10_000));
    assert_eq!(list.entries(10_000)[0].incarnation, ProcessIncarnation(6));
}

#[test]
fn stopped_balancer_is_not_added_again_from_a_list() {
    let mut list = BalancerList::default();
    list.record_heartbeat(balancer_ip(1), &heartbeat(0), 10_000);
    let final_heartbeat = BalancerHeartbeat {
        is_stopping: true,
        ..heartbeat(0)
    };
    list.record_heartbeat(balancer_ip(1), &final_heartbeat, 10_100);
    assert!(!list.merge_entry(&listed(1, 77, 200), 10_200));
    assert!(list.is_empty());
}

#[test]
fn final_heartbeat_of_an_earlier_incarnation_keeps_the_present_one() {
    let mut list = BalancerList::default();
    list.merge_entry(&listed(1, 78, 0), 10_000);
    let final_heartbeat = BalancerHeartbeat {
        is_stopping: true,
        ..heartbeat(0)
    };
    list.record_heartbeat(balancer_ip(1), &final_heartbeat, 10_100);
    assert_eq!(list.len(), 1);
}

#[test]
fn silent_balancers_are_forgotten() {
    let mut list = BalancerList::default();
    list.merge_entry(&listed(1, 5, 0), 1_000);
    list.merge_entry(&listed(2, 5, 0), 9_000);
    list.forget(2_000);
    assert_eq!(list.addresses().collect::<Vec<_>>(), [balancer_ip(2)]);
}

#[test]
fn only_balancers_of_the_domain_are_selected_and_at_most_the_limit() {
    let mut list = BalancerList::default();
    for number in 1..=20 {
        let mut entry = listed(number, 5, 0);
        entry.domain = DomainId(number % 2);
        list.merge_entry(&entry, 1_000);
    }
    let selected = list.select_recipients(DomainId(1), 42, 3);
    assert_eq!(selected.len(), 3);
    assert!(selected.iter().all(|ip| ip.octets()[3] % 2 == 1));
    assert_eq!(selected, list.select_recipients(DomainId(1), 42, 3));
}

/// All balancers restart: each hears all others, whose lists differ, within a moment.
#[test]
fn lists_of_starting_balancers_are_requested_one_at_a_time() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    let requests = (0..50)
        .filter(|after_ms| balancer.try_list_balancers(true, &context(10_000 + after_ms)))
        .count();
    assert_eq!(requests, 1);
    assert!(balancer.try_list_balancers(true, &context(10_050)));
    assert!(!balancer.try_list_balancers(false, &context(10_100)));
}

/// A lost domain comes back: its balancers find all others in the list of a seed.
#[test]
fn balancer_that_has_just_started_introduces_itself_to_all() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    let entries: Vec<BalancerEntry> = (1..=60).map(|number| listed(number, 5, 0)).collect();
    let greeted = balancer.on_balancers(&entries, &context(100));
    assert_eq!(greeted.len(), 59);
    assert!(balancer.on_balancers(&entries, &context(150)).is_empty());
}

#[test]
fn running_balancer_does_not_introduce_itself_to_new_ones() {
    let (mut balancer, ctx) = balancer_with(0, RequestKind::Idempotent);
    assert!(balancer.on_balancers(&[listed(2, 5, 0)], &ctx).is_empty());
    assert!(balancer.balancers().domain_of(balancer_ip(2)).is_some());
}
