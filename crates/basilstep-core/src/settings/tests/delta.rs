//! Which settings an agent receives: all that concern its service, and no others.

use super::builders::{address_claim, claimed_service, domain, service, state};
use crate::{
    address::ServiceId,
    membership::SettingsDelta,
    settings::{DomainState, SettingsState},
};

const ADDRESS: &str = "127.0.0.1:443";
const OTHER_ADDRESS: &str = "127.0.0.1:444";

fn send(from: &SettingsState, to: &mut SettingsState) {
    SettingsDelta::collect(from, to.version(), Some(ServiceId(1))).apply_to(to);
}

fn balancer() -> SettingsState {
    let mut balancer = state();
    let mut entries = claimed_service("x", 1, 1, ADDRESS);
    entries.extend(claimed_service("y", 4, 2, OTHER_ADDRESS));
    entries.push(domain("alder", 7, DomainState::In));
    balancer.apply_full_read(7, entries);
    balancer
}

#[test]
fn agent_receives_only_its_service_and_the_domains() {
    let mut agent = state();
    send(&balancer(), &mut agent);
    let paths: Vec<&str> = agent.entries().map(|entry| entry.path.as_str()).collect();
    let expected = [
        "claims/addresses/127.0.0.1:443",
        "claims/ids/1",
        "domains/alder",
        "teams/a/services/x",
    ];
    assert_eq!(paths, expected);
    assert_eq!(agent.view().services.len(), 1);
}

#[test]
fn agent_keeps_its_service_when_its_address_changes_in_two_steps() {
    let (mut balancer, mut agent) = (balancer(), state());
    send(&balancer, &mut agent);
    let mut entries: Vec<_> = balancer.entries().cloned().collect();
    entries.push(address_claim("127.0.0.1:445", 8, "x"));
    balancer.apply_full_read(8, entries.clone());
    send(&balancer, &mut agent);
    entries.retain(|entry| entry.path != "teams/a/services/x");
    entries.push(service("x", 9, 1, "127.0.0.1:445"));
    balancer.apply_full_read(9, entries);
    send(&balancer, &mut agent);
    assert_eq!(agent.version(), 9);
    let service = &agent.view().services[&ServiceId(1)];
    assert_eq!(service.record.address.port(), 445);
}
