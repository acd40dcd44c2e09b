use super::{
    Backoff, ConsulStore, Lease, LeaseSettings, SessionId, Store, StoreError, StoreSettings,
};
use crate::http::{RequestHandler, ServerRequest, ServerResponse, spawn_http_server};
use bytes::Bytes;
use http::StatusCode;
use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::{
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    time::{Duration, Instant},
};

#[rstest]
#[case::first(0, 125, 250)]
#[case::third(2, 500, 1_000)]
#[case::bounded(40, 5_000, 10_000)]
#[case::shift_overflow(100, 5_000, 10_000)]
fn backoff_grows_to_its_bound_with_jitter(
    #[case] failures: u32,
    #[case] min_ms: u64,
    #[case] max_ms: u64,
) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(250, 10_000);
    for _ in 0..failures {
        backoff.next_delay(&mut rng);
    }
    let pause = backoff.next_delay(&mut rng);
    assert!(pause >= Duration::from_millis(min_ms));
    assert!(pause <= Duration::from_millis(max_ms));
}

#[rstest]
#[case::fresh(0, true)]
#[case::just_before_the_margin(13_999, true)]
#[case::paused_into_the_margin(14_000, false)]
#[case::paused_past_its_end(60_000, false)]
fn lease_expires_by_the_holders_clock(#[case] paused_ms: u64, #[case] held: bool) {
    let requested_at = Instant::now();
    let settings = LeaseSettings::default();
    let lease = Lease::new(SessionId("s".to_owned()), &settings, requested_at);
    assert_eq!(
        lease.is_held(requested_at + Duration::from_millis(paused_ms)),
        held
    );
}

#[test]
fn renewal_runs_from_the_call_and_not_from_the_response() {
    let requested_at = Instant::now();
    let settings = LeaseSettings::default();
    let mut lease = Lease::new(SessionId("s".to_owned()), &settings, requested_at);
    // The process was paused for 20 s between the call at 5 s and reading the response.
    lease.confirm_renewal(requested_at + Duration::from_secs(5));
    assert!(!lease.is_held(requested_at + Duration::from_secs(25)));
}

#[rstest]
#[case::no_scheme("127.0.0.1:8500")]
#[case::tls("https://127.0.0.1:8500")]
#[case::empty("")]
fn address_that_is_not_an_http_url_is_rejected(#[case] url: &str) {
    let error = ConsulStore::open(url, None).map(|_| ()).unwrap_err();
    assert_eq!(
        error,
        StoreError::InvalidUrl {
            url: url.to_owned()
        }
    );
}

/// The time within which a change has to be in force everywhere; see DEVELOPERS.md.
const APPLY_LIMIT_MS: u64 = 12_000;

/// Guards against a watch that trusts a silent connection, or a store that was restored to a lower
/// index, for longer than a change may take.
#[test]
fn unanswered_watch_ends_within_the_limit_for_changes() {
    let settings = StoreSettings::default();
    assert!(settings.watch_timeout_ms(settings.watch_wait_ms) < APPLY_LIMIT_MS);
}

/// A store that answers each call with the same list.
#[derive(Clone)]
struct ListServer {
    body: Bytes,
}

impl RequestHandler for ListServer {
    async fn handle(&self, _request: ServerRequest) -> ServerResponse {
        let mut response = ServerResponse::json(StatusCode::OK, self.body.clone());
        response.headers.insert("x-consul-index", 7.into());
        response
    }
}

fn pair(key: &str, value: &str, index: &str) -> String {
    format!(r#"{{"Key":"{key}","Value":{value},"ModifyIndex":{index},"Session":null}}"#)
}

fn nested(depth: usize) -> String {
    ["[".repeat(depth), "]".repeat(depth)].concat()
}

/// Guards against processes that stop following the settings because of one odd entry among them: the
/// others hold, and the record of the odd one does not count as deleted.
#[rstest]
#[case::nested_value(pair("basilstep/odd", &nested(100_000), "3"))]
#[case::number_as_value(pair("basilstep/odd", "1e999", "3"))]
#[case::index_out_of_range(pair("basilstep/odd", r#""YQ==""#, "99999999999999999999999999"))]
#[case::negative_index(pair("basilstep/odd", r#""YQ==""#, "-1"))]
#[case::not_base64(pair("basilstep/odd", r#""?""#, "3"))]
#[tokio::test]
async fn odd_entry_of_a_list_leaves_the_others(#[case] odd: String) {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = free.local_addr().unwrap().port();
    drop(free);
    let list = [
        pair("basilstep/one", r#""YQ==""#, "1"),
        odd,
        pair("basilstep/two", r#""Yg==""#, "2"),
    ];
    let body = format!("[{}]", list.join(",")).into();
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    spawn_http_server(address, ListServer { body })
        .await
        .unwrap();
    let store = ConsulStore::open(&format!("http://{address}"), None).unwrap();
    let snapshot = store.read_tree("basilstep/").await.unwrap();
    let values: Vec<(&str, &str)> = snapshot
        .entries
        .iter()
        .map(|entry| (entry.path.as_str(), entry.value.as_deref().unwrap()))
        .collect();
    let odd_value = values[1].1;
    assert_eq!(values, [("one", "a"), ("odd", odd_value), ("two", "b")]);
    assert_eq!(odd_value, "");
}
