//! Which records are in force: malformed records, records with foreign keys and services without
//! their claims are not.

use super::builders::{
    address_claim, claimed_service, domain, domain_json, entry, flow_keys, id_claim, removed,
    service, service_json, state,
};
use crate::{
    address::{DomainId, ServiceId},
    codes::ResultCode,
    settings::{ApplyOutcome, DomainState, FLOW_KEYS_PATH, SettingsState, service_path},
};
use rstest::rstest;

const ADDRESS: &str = "127.0.0.1:443";
const OTHER_ADDRESS: &str = "127.0.0.1:444";

fn served(state: &SettingsState) -> Vec<(u16, &str)> {
    let services = state.view().services.iter();
    services
        .map(|(id, service)| (id.0, service.path.as_str()))
        .collect()
}

#[rstest]
#[case::not_json("teams/a/services/x", "{", ResultCode::MalformedRecord)]
#[case::unknown_field("teams/a/services/x", r#"{"limit":1}"#, ResultCode::MalformedRecord)]
#[case::port_zero(
    "teams/a/services/x",
    r#"{"id":1,"address":"127.0.0.1:0"}"#,
    ResultCode::InvalidSetting
)]
#[case::domain_state("domains/x", r#"{"id":1,"state":"away"}"#, ResultCode::MalformedRecord)]
#[case::certificate("teams/a/certificates/x", "[]", ResultCode::MalformedRecord)]
#[case::claim("claims/ids/1", "1", ResultCode::MalformedRecord)]
#[case::foreign_key(
    "keys/flow",
    r#"{"current":{"id":1,"sealed":"00"}}"#,
    ResultCode::MalformedRecord
)]
fn malformed_record_is_rejected_and_listed(
    #[case] path: &str,
    #[case] value: &str,
    #[case] code: ResultCode,
) {
    let mut state = state();
    let ApplyOutcome::Rejected(rejection) = state.apply(entry(path, 5, value)) else {
        panic!("a malformed record was accepted");
    };
    assert_eq!((rejection.version, rejection.code), (5, code));
    assert_eq!(state.rejections()[path], rejection);
}

#[test]
fn last_valid_record_stays_in_force_until_a_valid_one_follows() {
    let mut state = state();
    state.apply(domain("alder", 4, DomainState::Out));
    state.apply(entry("domains/alder", 5, "{"));
    assert!(state.view().domains_out.contains(DomainId(1)));
    assert_eq!(state.rejections().len(), 1);
    state.apply(domain("alder", 6, DomainState::In));
    assert!(!state.view().domains_out.contains(DomainId(1)));
    assert!(state.rejections().is_empty());
}

#[test]
fn removed_domain_is_neither_in_nor_out() {
    let mut state = state();
    state.apply(domain("alder", 4, DomainState::Out));
    state.apply(removed("domains/alder", 5));
    assert!(state.view().domains_out.is_empty());
    assert!(state.view().domains.is_empty());
}

#[test]
fn flow_keys_rotate_and_are_never_removed() {
    let mut state = state();
    state.apply(flow_keys(4, &[1]));
    state.apply(flow_keys(5, &[2, 1]));
    let keys = state.view().flow_keys.unwrap();
    assert_eq!((keys.current.id, keys.previous.unwrap().id), (2, 1));
    state.apply_full_read(9, vec![]);
    assert_eq!(state.view().flow_keys, Some(keys));
    assert_eq!(state.rejections()[FLOW_KEYS_PATH].version, 9);
}

#[test]
fn flow_keys_with_the_same_id_are_rejected() {
    let mut state = state();
    assert!(matches!(
        state.apply(flow_keys(4, &[1, 1])),
        ApplyOutcome::Rejected(_)
    ));
}

#[test]
fn service_is_served_once_both_claims_exist_in_any_order() {
    let [address, id, record] = claimed_service("x", 4, 1, ADDRESS).try_into().unwrap();
    let mut state = state();
    for entry in [record, address, id] {
        assert_eq!(served(&state), []);
        state.apply(entry);
    }
    assert_eq!(served(&state), [(1, "teams/a/services/x")]);
    assert_eq!(state.view().by_address[&ADDRESS.parse().unwrap()].0, 1);
    assert_eq!(
        state.view().service_at("teams/a/services/x").unwrap().path,
        "teams/a/services/x"
    );
}

#[test]
fn address_claimed_by_another_path_is_not_served() {
    let mut state = state();
    state.apply_full_read(9, claimed_service("owner", 1, 1, ADDRESS));
    state.apply(id_claim(2, 10, "intruder"));
    state.apply(service("intruder", 11, 2, ADDRESS));
    assert_eq!(served(&state), [(1, "teams/a/services/owner")]);
    let unserved = state.unserved();
    assert_eq!(
        unserved[&service_path("a", "intruder")].code,
        ResultCode::AddressTaken
    );
}

#[test]
fn of_two_services_with_the_same_id_only_the_claims_owner_is_served() {
    let mut state = state();
    state.apply_full_read(9, claimed_service("owner", 1, 1, ADDRESS));
    state.apply(address_claim(OTHER_ADDRESS, 10, "intruder"));
    state.apply(service("intruder", 11, 1, OTHER_ADDRESS));
    assert_eq!(served(&state), [(1, "teams/a/services/owner")]);
    assert!(
        !state
            .view()
            .by_address
            .contains_key(&OTHER_ADDRESS.parse().unwrap())
    );
}

#[test]
fn claim_with_a_new_owner_moves_the_address() {
    let mut state = state();
    state.apply_full_read(9, claimed_service("old", 1, 1, ADDRESS));
    state.apply(id_claim(2, 10, "new"));
    state.apply(service("new", 11, 2, ADDRESS));
    state.apply(address_claim(ADDRESS, 12, "new"));
    assert_eq!(served(&state), [(2, "teams/a/services/new")]);
    assert_eq!(
        state.view().by_address[&ADDRESS.parse().unwrap()],
        ServiceId(2)
    );
}

#[test]
fn service_that_changes_its_address_frees_the_old_one() {
    let mut state = state();
    state.apply_full_read(9, claimed_service("x", 1, 1, ADDRESS));
    state.apply(address_claim(OTHER_ADDRESS, 10, "x"));
    state.apply(service("x", 11, 1, OTHER_ADDRESS));
    let addresses: Vec<_> = state.view().by_address.keys().copied().collect();
    assert_eq!(addresses, [OTHER_ADDRESS.parse().unwrap()]);
}

#[test]
fn value_at_an_unknown_path_has_no_effect() {
    let mut state = state();
    state.apply(entry("notes/x", 4, "anything"));
    state.apply(entry("domains", 5, &domain_json(1, DomainState::Out)));
    state.apply(entry("teams/a/services/x/y", 6, &service_json(1, ADDRESS)));
    assert!(state.rejections().is_empty());
    assert!(state.view().domains.is_empty());
    assert!(state.view().services.is_empty());
}
