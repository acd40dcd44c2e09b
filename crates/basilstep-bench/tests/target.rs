//! Tests the fake target over HTTP.

use argh::FromArgs;
use basilstep_bench::fakes::{
    receipt::Receipt,
    target::{FakeTarget, TargetArgs, TargetCounts},
};
use reqwest::{Client, Response};
use rstest::rstest;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_POLLS: usize = 1_000;

struct Fixture {
    target: FakeTarget,
    client: Client,
}

impl Fixture {
    async fn start() -> Self {
        let flags = ["--listen", "127.0.0.1:0", "--service", "teams/a/services/b"];
        let args = TargetArgs::from_args(&["target"], &flags).expect("the flags are valid");
        Self {
            target: FakeTarget::bind(args).await.expect("a port is free"),
            client: Client::new(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.target.address())
    }

    async fn get(&self, path: &str) -> Response {
        let sent = self.client.get(self.url(path)).send().await;
        sent.expect("the target responds")
    }

    async fn set_fault(&self, name: &str) {
        let url = self.url(&format!("/admin/fault/{name}"));
        let sent = self.client.post(url).send().await;
        assert_eq!(sent.expect("the target responds").status(), 200);
    }

    async fn counts(&self) -> TargetCounts {
        let counts = self.get("/admin/counts").await.json().await;
        counts.expect("the counts are JSON")
    }

    async fn wait_until(&self, holds: impl Fn(&TargetCounts) -> bool) {
        for _ in 0..MAX_POLLS {
            if holds(&self.counts().await) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out; the last counts are: {:?}", self.counts().await);
    }
}

#[tokio::test]
async fn offer_returns_its_own_receipt() {
    let fixture = Fixture::start().await;
    let sent = fixture
        .client
        .post(fixture.url("/offers"))
        .body("offer-1")
        .send();
    let body = sent
        .await
        .expect("a response")
        .bytes()
        .await
        .expect("a body");
    let receipt: Receipt = serde_json::from_slice(&body).expect("a receipt");
    assert!(receipt.matches_request("offer-1", b"offer-1"));
    assert!(!receipt.matches_request("offer-2", b"offer-2"));
    assert_eq!(receipt.service, "teams/a/services/b");
}

#[rstest]
#[case::own("teams/a/services/b", 0)]
#[case::foreign("teams/c/services/d", 1)]
#[tokio::test]
async fn request_for_another_service_is_counted(#[case] service: &str, #[case] misrouted: u64) {
    let fixture = Fixture::start().await;
    let request = fixture.client.get(fixture.url("/quotes/1"));
    let sent = request.header("basilstep-service", service).send().await;
    assert_eq!(sent.expect("a response").status(), 200);
    assert_eq!(fixture.counts().await.misrouted, misrouted);
}

#[rstest]
#[case::short("1", 504)]
#[case::long("5000", 200)]
#[tokio::test]
async fn deadline_is_kept(#[case] deadline_ms: &str, #[case] status: u16) {
    let fixture = Fixture::start().await;
    let request = fixture.client.get(fixture.url("/quotes/1"));
    let sent = request.header("x-deadline-ms", deadline_ms).send().await;
    assert_eq!(sent.expect("a response").status(), status);
}

#[tokio::test]
async fn cancelled_request_frees_its_slot() {
    let fixture = Fixture::start().await;
    fixture.set_fault("hang").await;
    let hanging = tokio::spawn(fixture.client.get(fixture.url("/quotes/1")).send());
    fixture.wait_until(|counts| counts.in_flight == 1).await;
    hanging.abort();
    fixture
        .wait_until(|counts| counts.in_flight == 0 && counts.cancelled == 1)
        .await;
}

#[tokio::test]
async fn board_streams_until_its_caller_leaves() {
    let fixture = Fixture::start().await;
    let mut board = fixture.get("/boards/7").await;
    assert_eq!(board.headers()["content-type"], "text/event-stream");
    let line = board.chunk().await.expect("a line").expect("a line");
    assert!(line.ends_with(b"\n"));
    fixture.wait_until(|counts| counts.boards_open == 1).await;
    assert_eq!(fixture.counts().await.in_flight, 0);
    drop(board);
    fixture.wait_until(|counts| counts.boards_open == 0).await;
}

#[tokio::test]
async fn request_with_a_lost_response_has_run() {
    let fixture = Fixture::start().await;
    fixture.set_fault("lose-answer").await;
    let sent = fixture
        .client
        .post(fixture.url("/offers"))
        .body("offer-1")
        .send();
    assert!(sent.await.is_err());
    assert_eq!(fixture.counts().await.runs["offers"], 1);
}

#[tokio::test]
async fn draining_target_refuses_with_retry_after() {
    let fixture = Fixture::start().await;
    let drain = fixture.client.post(fixture.url("/admin/drain")).send();
    assert_eq!(drain.await.expect("a response").status(), 200);
    let refused = fixture.get("/quotes/1").await;
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["retry-after"], "1");
    assert_eq!(fixture.get("/health").await.status(), 503);
}
