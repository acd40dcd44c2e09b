//! Tests the contract of the store client against the fake store and its faults.

use basilstep_bench::fakes::store::{FakeStore, StoreFault, WriteToken};
use basilstep_core::{codes::ResultCode, crypto::ClusterKey, settings::SettingsState};
use basilstep_node::store::{
    BALANCERS_PREFIX, ConsulStore, LeaseSettings, RenewalOutcome, SETTINGS_PREFIX, Store,
    StoreError, StoreSettings, TreeSnapshot, WatchHandle, WriteOutcome, acquire_lease,
    spawn_tree_watch,
};
use rstest::rstest;
use std::{net::Ipv4Addr, time::Duration};

const KEY: &str = "basilstep/domains/alder";
const LEASE_KEY: &str = "basilstep-live/balancers/127.0.0.1:9000";

async fn start_store(tokens: &[(&str, &str)]) -> FakeStore {
    let tokens = tokens
        .iter()
        .map(|(token, prefix)| WriteToken {
            token: (*token).to_owned(),
            prefix: (*prefix).to_owned(),
        })
        .collect();
    FakeStore::bind((Ipv4Addr::LOCALHOST, 0).into(), tokens)
        .await
        .unwrap()
}

fn short_settings() -> StoreSettings {
    StoreSettings {
        call_timeout_ms: 300,
        watch_wait_ms: 200,
        retry_min_ms: 10,
        retry_max_ms: 20,
        watch_interval_ms: 1,
        ..StoreSettings::default()
    }
}

fn client(store: &FakeStore, token: Option<&str>) -> ConsulStore {
    ConsulStore::open_with_settings(&store.url(), token, short_settings()).unwrap()
}

fn values(snapshot: &TreeSnapshot) -> Vec<(&str, u64, &str)> {
    snapshot
        .entries
        .iter()
        .map(|entry| {
            let value = entry.value.as_deref().unwrap_or_default();
            (entry.path.as_str(), entry.version, value)
        })
        .collect()
}

#[tokio::test]
async fn tree_is_read_with_its_index_and_without_the_prefix() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    assert_eq!(store.read_tree(SETTINGS_PREFIX).await.unwrap().entries, []);
    store.write(KEY, "one", 0).await.unwrap();
    server.put("basilstep/teams/a/services/b", "two");
    server.put("basilstep-live/balancers/127.0.0.1:1", "foreign prefix");
    let snapshot = store.read_tree(SETTINGS_PREFIX).await.unwrap();
    let expected = [
        ("domains/alder", 2, "one"),
        ("teams/a/services/b", 3, "two"),
    ];
    assert_eq!(values(&snapshot), expected);
    assert_eq!(snapshot.index, 3);
}

#[rstest]
#[case::create(0, WriteOutcome::Written)]
#[case::current_version(2, WriteOutcome::Written)]
#[case::lost_race(7, WriteOutcome::Conflict)]
#[tokio::test]
async fn write_takes_effect_only_at_the_expected_version(
    #[case] expected: u64,
    #[case] outcome: WriteOutcome,
) {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    if expected > 0 {
        server.put(KEY, "before");
    }
    assert_eq!(store.write(KEY, "after", expected).await, Ok(outcome));
    let record = store.read(KEY).await.unwrap().unwrap();
    let written = outcome == WriteOutcome::Written;
    assert_eq!(record.value, if written { "after" } else { "before" });
}

#[rstest]
// The connection is accepted and closed: the client cannot know that nothing was written.
#[case::down(StoreFault::Down, WriteOutcome::Unknown, "before")]
// The client times out before the request is handled.
#[case::slow(StoreFault::Slow, WriteOutcome::Unknown, "before")]
#[case::answer_lost(StoreFault::AnswerLost, WriteOutcome::Unknown, "after")]
#[case::stale_reads(StoreFault::StaleReads, WriteOutcome::Written, "after")]
#[tokio::test]
async fn write_under_a_fault_reports_only_known_outcomes(
    #[case] fault: StoreFault,
    #[case] outcome: WriteOutcome,
    #[case] value: &str,
) {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    server.put(KEY, "before");
    server.set_fault(fault, true);
    let got = store.write(KEY, "after", 2).await;
    assert_eq!(got, Ok(outcome));
    server.set_fault(fault, false);
    assert_eq!(store.read(KEY).await.unwrap().unwrap().value, value);
}

#[tokio::test]
async fn write_to_a_closed_port_is_reported_as_not_written() {
    let store =
        ConsulStore::open_with_settings("http://127.0.0.1:1", None, short_settings()).unwrap();
    let error = store.write(KEY, "after", 0).await.unwrap_err();
    assert_eq!(error.code(), ResultCode::StoreUnavailable);
}

#[rstest]
#[case::down(StoreFault::Down)]
#[case::slow(StoreFault::Slow)]
#[tokio::test]
async fn read_under_a_fault_fails_instead_of_returning_an_empty_tree(#[case] fault: StoreFault) {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    server.put(KEY, "value");
    server.set_fault(fault, true);
    let error = store.read_tree(SETTINGS_PREFIX).await.unwrap_err();
    assert_eq!(error.code(), ResultCode::StoreUnavailable);
}

#[tokio::test]
async fn stale_read_has_a_lower_index() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    server.put(KEY, "old");
    server.set_fault(StoreFault::StaleReads, true);
    server.put(KEY, "new");
    let stale = store.read_tree(SETTINGS_PREFIX).await.unwrap();
    assert_eq!((stale.index, values(&stale)[0].2), (2, "old"));
    server.set_fault(StoreFault::StaleReads, false);
    let fresh = store.read_tree(SETTINGS_PREFIX).await.unwrap();
    assert_eq!((fresh.index, values(&fresh)[0].2), (3, "new"));
}

#[rstest]
#[case::own_prefix("basilstep/teams/a/services/b", true)]
#[case::other_team("basilstep/teams/c/services/b", false)]
#[tokio::test]
async fn token_writes_only_its_prefix(#[case] key: &str, #[case] allowed: bool) {
    let server = start_store(&[("secret", "basilstep/teams/a/")]).await;
    let store = client(&server, Some("secret"));
    match store.write(key, "value", 0).await {
        Ok(outcome) => assert!(allowed && outcome == WriteOutcome::Written),
        Err(error) => {
            assert!(!allowed);
            assert!(matches!(error, StoreError::Forbidden { .. }));
            assert_eq!(error.code(), ResultCode::ForeignSubtree);
        }
    }
}

#[tokio::test]
async fn watch_wakes_on_a_write_and_on_a_removal() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    let mut watch = spawn_tree_watch(store.clone(), SETTINGS_PREFIX, short_settings());
    assert_eq!(watch.next().await.unwrap().entries, []);
    store.write(KEY, "one", 0).await.unwrap();
    assert_eq!(watch.next().await.unwrap().entries.len(), 1);
    store.delete(KEY, 2).await.unwrap();
    let snapshot = watch.next().await.unwrap();
    assert_eq!((snapshot.index, snapshot.entries.len()), (3, 0));
}

#[tokio::test]
async fn watch_resumes_after_an_outage() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    server.put(KEY, "one");
    let mut watch = spawn_tree_watch(store.clone(), SETTINGS_PREFIX, short_settings());
    watch.next().await.unwrap();
    server.set_fault(StoreFault::Down, true);
    while watch.status().failure.is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    server.put(KEY, "two");
    server.set_fault(StoreFault::Down, false);
    let snapshot = watch.next().await.unwrap();
    assert_eq!(values(&snapshot)[0].2, "two");
}

#[tokio::test]
async fn watch_of_a_slow_store_still_delivers_the_change() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    let mut watch = spawn_tree_watch(store.clone(), SETTINGS_PREFIX, short_settings());
    watch.next().await.unwrap();
    server.set_fault(StoreFault::Slow, true);
    server.put(KEY, "one");
    assert_eq!(values(&watch.next().await.unwrap())[0].2, "one");
}

#[tokio::test]
async fn restarted_holder_replaces_its_earlier_lease() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    let settings = LeaseSettings::default();
    let first = acquire_lease(&store, LEASE_KEY, "run 1", &settings)
        .await
        .unwrap();
    let second = acquire_lease(&store, LEASE_KEY, "run 2", &settings)
        .await
        .unwrap();
    let record = store.read(LEASE_KEY).await.unwrap().unwrap();
    assert_eq!(record.value, "run 2");
    assert_eq!(record.session.as_ref(), Some(second.session()));
    let renewal = store.renew_session(first.session()).await.unwrap();
    assert_eq!(renewal, RenewalOutcome::Expired);
}

#[tokio::test]
async fn expired_lease_is_removed_and_its_renewal_reports_it() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    let settings = LeaseSettings::default();
    let lease = acquire_lease(&store, LEASE_KEY, "run", &settings)
        .await
        .unwrap();
    server.set_fault(StoreFault::LapsedLeases, true);
    let snapshot = store.read_tree(BALANCERS_PREFIX).await.unwrap();
    assert_eq!(snapshot.entries, []);
    let renewal = store.renew_session(lease.session()).await.unwrap();
    assert_eq!(renewal, RenewalOutcome::Expired);
}

/// Settings under which a watch reads by subtrees from the first change on.
fn subtree_settings() -> StoreSettings {
    StoreSettings {
        whole_limit_records: 0,
        ..short_settings()
    }
}

async fn follow(watch: &mut WatchHandle, state: &mut SettingsState, version: u64) {
    while state.version() < version {
        watch.next().await.unwrap().apply_to(state);
    }
}

fn paths_of(state: &SettingsState) -> Vec<&str> {
    let live = state.entries().filter(|entry| entry.value.is_some());
    live.map(|entry| entry.path.as_str()).collect()
}

#[tokio::test]
async fn change_is_read_without_the_unchanged_subtrees() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    for team in ["a", "b"] {
        server.put(&format!("basilstep/teams/{team}/notes/x"), "one");
    }
    server.put(KEY, "malformed");
    let mut watch = spawn_tree_watch(store.clone(), SETTINGS_PREFIX, subtree_settings());
    assert_eq!(watch.next().await.unwrap().subtrees, None);
    server.put("basilstep/teams/b/notes/x", "two");
    let snapshot = watch.next().await.unwrap();
    assert_eq!(values(&snapshot), [("teams/b/notes/x", 5, "two")]);
    assert_eq!(snapshot.index, 5);
}

#[rstest]
#[case::one_record("teams/a/notes/x", &["domains/alder", "teams/a/notes/y", "teams/b/notes/x"])]
#[case::last_of_its_team("teams/b/notes/x", &["domains/alder", "teams/a/notes/x", "teams/a/notes/y"])]
#[case::last_of_its_kind("domains/alder", &["teams/a/notes/x", "teams/a/notes/y", "teams/b/notes/x"])]
#[tokio::test]
async fn removal_is_detected_in_subtrees(#[case] removed: &str, #[case] left: &[&str]) {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    for path in ["teams/a/notes/x", "teams/a/notes/y", "teams/b/notes/x"] {
        server.put(&format!("{SETTINGS_PREFIX}{path}"), "one");
    }
    server.put(KEY, r#"{"id":1,"state":"in"}"#);
    let mut state = SettingsState::new(ClusterKey::new([1; 32]));
    let mut watch = spawn_tree_watch(store.clone(), SETTINGS_PREFIX, subtree_settings());
    follow(&mut watch, &mut state, 5).await;
    let key = format!("{SETTINGS_PREFIX}{removed}");
    let version = store.read(&key).await.unwrap().unwrap().version;
    store.delete(&key, version).await.unwrap();
    follow(&mut watch, &mut state, 6).await;
    assert_eq!(paths_of(&state), left);
}

#[tokio::test]
async fn tree_is_read_completely_after_an_outage() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    server.put(KEY, "one");
    let mut watch = spawn_tree_watch(store.clone(), SETTINGS_PREFIX, subtree_settings());
    watch.next().await.unwrap();
    server.set_fault(StoreFault::Down, true);
    while watch.status().failure.is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    server.put(KEY, "two");
    server.set_fault(StoreFault::Down, false);
    assert_eq!(watch.next().await.unwrap().subtrees, None);
}

#[tokio::test]
async fn tree_is_read_completely_after_its_index_went_back() {
    let server = start_store(&[]).await;
    let store = client(&server, None);
    server.put(KEY, "one");
    server.put(KEY, "two");
    let mut watch = spawn_tree_watch(store.clone(), SETTINGS_PREFIX, subtree_settings());
    assert_eq!(watch.next().await.unwrap().index, 3);
    server.restore_empty(2);
    let snapshot = watch.next().await.unwrap();
    assert_eq!((snapshot.index, snapshot.subtrees), (2, None));
}
