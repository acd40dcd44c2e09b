//! Versions never decrease, in whatever order entries and reads arrive.

use super::builders::{domain, entry, removed, state};
use crate::settings::{ApplyOutcome, DomainState, SettingsEntry, SettingsState, domain_path};
use rstest::rstest;

const ALDER: &str = "domains/alder";

fn alder(version: u64) -> SettingsEntry {
    domain("alder", version, DomainState::In)
}

fn birch(version: u64) -> SettingsEntry {
    domain("birch", version, DomainState::In)
}

fn names(state: &SettingsState) -> Vec<&str> {
    state.view().domains.keys().map(String::as_str).collect()
}

#[rstest]
#[case::older(4)]
#[case::same(5)]
fn entry_that_is_not_newer_changes_nothing(#[case] version: u64) {
    let mut state = state();
    state.apply(domain("alder", 5, DomainState::Out));
    assert_eq!(state.apply(alder(version)), ApplyOutcome::NotNewer);
    assert_eq!(state.view().domains["alder"].state, DomainState::Out);
}

#[test]
fn stale_read_changes_nothing_and_is_reported() {
    let mut state = state();
    state.apply_full_read(9, vec![alder(5), birch(9)]);
    assert_eq!(state.apply_full_read(6, vec![alder(6)]), []);
    assert_eq!(names(&state), ["alder", "birch"]);
    assert_eq!(
        (state.version(), state.outdated_store_index()),
        (9, Some(6))
    );
    state.apply_full_read(10, vec![alder(5), birch(9)]);
    assert_eq!(state.outdated_store_index(), None);
}

#[test]
fn store_restored_from_a_backup_does_not_revert_settings() {
    let mut state = state();
    state.apply_full_read(50, vec![alder(50)]);
    state.apply_full_read(3, vec![]);
    assert_eq!(names(&state), ["alder"]);
    assert_eq!(state.outdated_store_index(), Some(3));
}

#[test]
fn store_that_lost_only_its_last_removal_is_not_outdated() {
    let mut state = state();
    state.apply_full_read(9, vec![alder(5)]);
    state.apply_full_read(5, vec![alder(5)]);
    assert_eq!((state.version(), state.outdated_store_index()), (9, None));
}

#[test]
fn path_missing_from_a_newer_read_is_removed() {
    let mut state = state();
    state.apply_full_read(5, vec![alder(4), birch(5)]);
    let applied = state.apply_full_read(6, vec![birch(5)]);
    assert_eq!(applied, [(ALDER.to_owned(), ApplyOutcome::InForce)]);
    assert_eq!(names(&state), ["birch"]);
}

#[test]
fn record_removed_and_created_again_comes_back() {
    let mut state = state();
    state.apply_full_read(5, vec![alder(5)]);
    state.apply_full_read(6, vec![]);
    assert_eq!(state.apply(alder(5)), ApplyOutcome::NotNewer);
    assert_eq!(names(&state), Vec::<&str>::new());
    assert_eq!(state.apply(alder(7)), ApplyOutcome::InForce);
    assert_eq!(names(&state), ["alder"]);
}

#[test]
fn read_older_than_a_peers_entry_does_not_remove_it() {
    let mut state = state();
    state.apply_full_read(5, vec![alder(5)]);
    state.apply(birch(8));
    let applied = state.apply_full_read(7, vec![domain("alder", 7, DomainState::Out)]);
    assert_eq!(applied, [(ALDER.to_owned(), ApplyOutcome::InForce)]);
    assert_eq!(names(&state), ["alder", "birch"]);
}

#[test]
fn lagging_peer_does_not_restore_a_record_that_a_read_lacked() {
    let mut state = state();
    // Birch was written at 6 and removed at 8; this process has never seen it.
    state.apply_full_read(9, vec![alder(9)]);
    assert_eq!(state.apply(birch(6)), ApplyOutcome::NotNewer);
    assert_eq!(names(&state), ["alder"]);
}

#[test]
fn delta_carries_removals() {
    let (mut ahead, mut behind) = (state(), state());
    for state in [&mut ahead, &mut behind] {
        state.apply_full_read(5, vec![alder(4), birch(5)]);
    }
    ahead.apply_full_read(6, vec![birch(5)]);
    send_delta(&ahead, &mut behind);
    assert_eq!(names(&behind), ["birch"]);
    assert_eq!(behind.version(), 6);
}

#[test]
fn process_started_after_a_removal_sends_its_complete_settings() {
    let (mut fresh, mut behind) = (state(), state());
    behind.apply_full_read(5, vec![alder(4), birch(5)]);
    fresh.apply_full_read(6, vec![birch(5)]);
    send_delta(&fresh, &mut behind);
    assert_eq!(names(&behind), ["birch"]);
}

#[test]
fn record_created_and_removed_between_two_reads_does_not_survive_a_delta() {
    let (mut ahead, mut between) = (state(), state());
    // Birch was written at 6 and removed at 8; only the process `between` has seen it.
    ahead.apply_full_read(5, vec![alder(5)]);
    ahead.apply_full_read(8, vec![alder(5)]);
    between.apply_full_read(6, vec![alder(5), birch(6)]);
    send_delta(&ahead, &mut between);
    assert_eq!(names(&between), ["alder"]);
}

#[test]
fn single_entry_missing_from_a_newer_delta_is_removed() {
    let (mut ahead, mut behind) = (state(), state());
    for state in [&mut ahead, &mut behind] {
        state.apply_full_read(5, vec![alder(5)]);
    }
    behind.apply(birch(6));
    ahead.apply_full_read(8, vec![alder(5)]);
    send_delta(&ahead, &mut behind);
    assert_eq!(names(&behind), ["alder"]);
}

#[test]
fn delta_with_a_gap_before_it_changes_nothing() {
    let mut state = state();
    state.apply_full_read(5, vec![alder(5)]);
    assert_eq!(state.apply_changes(7, 9, vec![birch(9)]), []);
    assert_eq!(state.version(), 5);
}

#[test]
fn late_delta_does_not_restore_a_record_removed_since() {
    let mut state = state();
    state.apply_full_read(5, vec![alder(5)]);
    // A delta requested at version 5 arrives after a read at 8 that lacks birch.
    state.apply_full_read(8, vec![alder(5)]);
    state.apply_changes(5, 9, vec![birch(6), domain("alder", 9, DomainState::Out)]);
    assert_eq!(names(&state), ["alder"]);
    assert_eq!(state.version(), 9);
}

#[test]
fn rejected_record_is_sent_to_peers_and_does_not_count_as_removed() {
    let (mut ahead, mut behind) = (state(), state());
    behind.apply_full_read(5, vec![alder(5)]);
    // The peer started after the malformed write and never had a valid record.
    ahead.apply_full_read(7, vec![entry(ALDER, 7, "{")]);
    send_delta(&ahead, &mut behind);
    assert_eq!(names(&behind), ["alder"]);
    assert_eq!(behind.rejections()[ALDER].version, 7);
}

#[test]
fn removal_of_an_unknown_path_is_remembered() {
    let mut state = state();
    state.apply(removed(&domain_path("birch"), 8));
    assert_eq!(state.apply(birch(7)), ApplyOutcome::NotNewer);
}

fn send_delta(from: &SettingsState, to: &mut SettingsState) {
    let (base_version, entries) = from.changes_since(to.version());
    to.apply_changes(base_version, from.version(), entries);
}
